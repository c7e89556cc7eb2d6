/**
 * Takes one request from the node where it entered to an instance of its service, and to another one where that is safe.
 *
 * A refusal proves that the request has not run, so it may be offered elsewhere whatever its kind. After any other failure only
 * an idempotent request is sent again, within its route's bound and the allowance for repeats.
 */
import type { Clock } from "../process/clock.js";
import type { InstanceRegistry } from "../process/instanceRegistry.js";
import type { Logger } from "../process/logger.js";
import type { Placement } from "../process/placement.js";
import type { RunOutcome } from "../process/runOutcome.js";
import type { DownstreamProblem } from "../process/runsInProgress.js";
import type { ServiceRetryBudget } from "../process/serviceRetryBudget.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import type { HeaderList } from "./headers.js";
import type { RoutedCall } from "./routedCall.js";
import type { Ended, SendCount, Sender } from "./sender.js";

/** Instances that may turn a request away for want of room before its refusal is final. */
const maxOffers = 3;
/** Retry advice when no instance takes work, in milliseconds. */
const noInstanceRetryMs = 400;

/** Final outcome of a request. */
export type ForwardOutcome =
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly headers: HeaderList;
        readonly body: Buffer;
        readonly waitedMs: number;
        readonly behind: DownstreamProblem;
        readonly pressure: number;
    }
    /** No send of the request has run or will run. */
    | { readonly kind: "refused"; readonly cause: string; readonly retryAfterMs: number; }
    | { readonly kind: "failed"; readonly cause: string; };

/** Final outcome, and how it came about. */
export interface ForwardResult {
    readonly outcome: ForwardOutcome;
    /** Instance of the last send; `undefined` when there was none. */
    readonly instance: string | undefined;
    /** Sends to nodes, and those of them that reached an endpoint. */
    readonly sends: number;
    readonly runs: number;
}

/** What the forwarder needs from the rest of the node. */
export interface ForwarderDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly register: InstanceRegistry;
    readonly placement: Placement;
    readonly allowance: ServiceRetryBudget;
    readonly sender: Pick<Sender, "send">;
}

/** Progress of one request over its sends. */
interface Progress extends SendCount {
    /** Instances that turned it away for want of room. */
    offers: number;
    /** The best failure so far of a send that may have run. */
    failure: ForwardOutcome | undefined;
}

/** Forwards requests. */
export class Forwarder {
    constructor(private readonly dependencies: ForwarderDependencies) {}

    /** Forwards a request and returns its final outcome. Never rejects. */
    async forward(call: RoutedCall): Promise<ForwardResult> {
        const { allowance, clock } = this.dependencies;
        allowance.recordRequest(call.service);
        if (call.origin.isRepeated) {
            allowance.recordInheritedRetry(call.service);
        }
        const progress: Progress = { tried: new Set(), sends: 0, offers: 0, runs: 0, failure: undefined };
        let last: ForwardOutcome = { kind: "refused", cause: "noInstance", retryAfterMs: noInstanceRetryMs };
        while (!call.cancellation.isCancelled() && clock.readMonotonic() < call.deadline) {
            const record = this.choose(call, progress);
            if (record === undefined) {
                break;
            }
            const ends = await this.dependencies.sender.send(
                record,
                call,
                progress,
                silent => this.chooseSecond(silent, call, progress),
            );
            const { record: lastRecord, outcome } = ends[ends.length - 1]!;
            noteFailures(ends.slice(0, -1), progress);
            last = describeOutcome(outcome);
            if (this.decide(call, lastRecord, outcome, progress) === "final") {
                break;
            }
            this.logAgain("placedAgain", call, lastRecord, describeCause(outcome), progress);
        }
        const { sends, runs, tried } = progress;
        return { outcome: settle(last, progress), instance: [...tried].pop(), sends, runs };
    }

    private choose(call: RoutedCall, progress: Progress): InstanceRecord | undefined {
        const { register, placement } = this.dependencies;
        return placement.choose(register.listForService(call.service), progress.tried);
    }

    private chooseSecond(silent: InstanceRecord, call: RoutedCall, progress: Progress): InstanceRecord | undefined {
        const other = this.choose(call, progress);
        if (other === undefined || !this.takeRepeat(call, progress.runs + 1)) {
            return undefined;
        }
        this.logAgain("hedged", call, silent, "silent", progress);
        return other;
    }

    /** Decides whether the request goes to another instance, and notes what its last send tells of the instance. */
    private decide(
        call: RoutedCall,
        record: InstanceRecord,
        outcome: RunOutcome,
        progress: Progress,
    ): "final" | "again" {
        const { placement } = this.dependencies;
        switch (outcome.kind) {
            case "answer":
                placement.recordRun(record.address, call.route.name, outcome.runMs);
                progress.runs += 1;
                return outcome.status >= 500 ? this.decideRepeat(call, outcome, progress) : "final";
            case "failed":
                if (outcome.ranMs > 0) {
                    placement.recordRun(record.address, call.route.name, outcome.ranMs);
                }
                progress.runs += 1;
                return this.decideRepeat(call, outcome, progress);
            case "refused":
                return this.decideOffer(call, record, outcome.cause, progress);
        }
    }

    /** An idempotent request whose run failed is sent again within its bounds. */
    private decideRepeat(call: RoutedCall, outcome: RunOutcome, progress: Progress): "final" | "again" {
        noteFailure(outcome, progress);
        // Another instance would meet the same trouble behind it, and its calls would add to that.
        const isLostBehind = outcome.kind === "answer" && outcome.behind !== "none";
        if (call.route.repetition !== "idempotent" || call.cancellation.isCancelled() || isLostBehind) {
            return "final";
        }
        return this.takeRepeat(call, progress.runs) ? "again" : "final";
    }

    private decideOffer(
        call: RoutedCall,
        record: InstanceRecord,
        cause: string,
        progress: Progress,
    ): "final" | "again" {
        switch (cause) {
            case "full":
            case "late":
                progress.offers += 1;
                return progress.offers < maxOffers ? "again" : "final";
            case "shed":
                // The endpoint itself was reached, so another one is a repeat.
                progress.runs += 1;
                return this.takeRepeat(call, progress.runs) ? "again" : "final";
            case "cancelled":
            case "quarantined":
                return "final";
            default:
                this.dependencies.placement.avoid(record.address);
                return "again";
        }
    }

    private takeRepeat(call: RoutedCall, runs: number): boolean {
        return runs < call.route.maxRuns && this.dependencies.allowance.takeRetry(call.service, call.origin);
    }

    private logAgain(
        event: "placedAgain" | "hedged",
        call: RoutedCall,
        record: InstanceRecord,
        cause: string,
        progress: Progress,
    ): void {
        this.dependencies.logger.info(event, {
            request: call.attemptId,
            route: call.route.name,
            after: record.address,
            cause,
            sends: progress.sends,
            runs: progress.runs,
            leftMs: Math.round(call.deadline - this.dependencies.clock.readMonotonic()),
        });
    }
}

function describeCause(outcome: RunOutcome): string {
    return outcome.kind === "answer" ? String(outcome.status) : outcome.cause;
}

function describeOutcome(outcome: RunOutcome): ForwardOutcome {
    return outcome.kind === "failed" ? { kind: "failed", cause: outcome.cause } : outcome;
}

/** Notes that a send may have run. An endpoint's own failure tells the caller more than a failure of ours. */
function noteFailure(outcome: RunOutcome, progress: Progress): void {
    progress.failure = progress.failure?.kind === "answer" ? progress.failure : describeOutcome(outcome);
}

/** Of two sends that went out for one request, notes the one that failed first. */
function noteFailures(ends: readonly Ended[], progress: Progress): void {
    for (const { outcome } of ends) {
        if (outcome.kind !== "refused") {
            noteFailure(outcome, progress);
        }
    }
}

/** A refusal is final only if no earlier send may have run. */
function settle(last: ForwardOutcome, progress: Progress): ForwardOutcome {
    return last.kind === "answer" && last.status < 500 ? last : progress.failure ?? last;
}
