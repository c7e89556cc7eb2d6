/**
 * Takes one request from the node where it entered to an instance of its service, and to another one where that is safe.
 *
 * A refusal proves that the request has not run, so it may be offered elsewhere whatever its kind. After any other failure only
 * an idempotent request is sent again, within its route's bound and the allowance for repeats.
 */
import type { PeerLinks } from "../connection/peerLinks.js";
import type { Clock } from "../process/clock.js";
import type { EndpointRunner } from "../process/endpointRunner.js";
import type { InstanceRegister } from "../process/instanceRegister.js";
import type { Logger } from "../process/logger.js";
import type { Placement } from "../process/placement.js";
import type { RetryAllowance } from "../process/retryAllowance.js";
import type { RunOutcome } from "../process/runOutcome.js";
import type { Behind, Origin } from "../process/runsInProgress.js";
import type { RouteContract } from "../version/configuration.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import type { HeaderList } from "./headers.js";

/** Instances that may turn a request away for want of room before its refusal is final. */
const maxOffers = 3;
/** Multiple of a route's usual run time after which an answer is taken for lost. */
const silenceFactor = 3.5;
/** Shortest silence after which an answer is taken for lost, in milliseconds. */
const minSilenceMs = 40;
/** Retry advice when no instance takes work, in milliseconds. */
const noInstanceRetryMs = 400;

/** A request on its way. Times are on the monotonic clock. */
export interface RoutedCall {
    readonly attemptId: string;
    readonly route: RouteContract;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    readonly origin: Origin;
    readonly deadline: number;
    readonly target: number;
    /** Aborts when nobody waits for the answer any more. */
    readonly signal: AbortSignal;
}

/** Final outcome of a request. */
export type ForwardOutcome =
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly headers: HeaderList;
        readonly body: Buffer;
        readonly waitedMs: number;
        readonly behind: Behind;
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
export interface ForwarderParts {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Address of the own instance. */
    readonly address: string;
    readonly service: string;
    readonly register: InstanceRegister;
    readonly placement: Placement;
    readonly allowance: RetryAllowance;
    readonly links: PeerLinks;
    readonly runner: EndpointRunner;
}

/** A send that has ended. */
interface Ended {
    readonly record: InstanceRecord;
    readonly outcome: RunOutcome;
}

/** A send in progress. */
interface Send {
    readonly ended: Promise<Ended>;
    readonly cancel: () => void;
}

/** Progress of one request over its sends. */
interface Progress {
    readonly tried: Set<string>;
    sends: number;
    offers: number;
    /** Sends that reached an endpoint. */
    runs: number;
    /** The best failure so far of a send that may have run. */
    failure: ForwardOutcome | undefined;
}

/** Forwards requests. */
export class Forwarder {
    constructor(private readonly parts: ForwarderParts) {}

    /** Forwards a request and returns its final outcome. Never rejects. */
    async forward(call: RoutedCall): Promise<ForwardResult> {
        const { allowance, clock } = this.parts;
        allowance.recordRequest(call.service);
        if (call.origin.isRepeated) {
            allowance.recordInherited(call.service);
        }
        const progress: Progress = { tried: new Set(), sends: 0, offers: 0, runs: 0, failure: undefined };
        let last: ForwardOutcome = { kind: "refused", cause: "noInstance", retryAfterMs: noInstanceRetryMs };
        while (!call.signal.aborted && clock.readMonotonic() < call.deadline) {
            const record = this.choose(call, progress);
            if (record === undefined) {
                break;
            }
            const ended = await this.sendHedged(record, call, progress);
            last = describeOutcome(ended.outcome);
            const next = this.decide(call, ended.record, ended.outcome, progress);
            if (next !== "again") {
                break;
            }
            this.logAgain("placedAgain", call, ended.record, describeCause(ended.outcome), progress);
        }
        const { sends, runs, tried } = progress;
        return { outcome: settle(last, progress), instance: [...tried].pop(), sends, runs };
    }

    private choose(call: RoutedCall, progress: Progress): InstanceRecord | undefined {
        const { register, placement } = this.parts;
        return placement.choose(register.listOfService(call.service), progress.tried);
    }

    /** Sends a request to an instance, and an idempotent one to a second instance if the first is silent for unusually long. */
    private async sendHedged(record: InstanceRecord, call: RoutedCall, progress: Progress): Promise<Ended> {
        const first = this.startSend(record, call, progress);
        const silenceMs = this.computeSilenceMs(call);
        if (silenceMs === undefined || !await this.isSilent(first, silenceMs)) {
            return first.ended;
        }
        const other = call.signal.aborted ? undefined : this.choose(call, progress);
        if (other === undefined || !this.takeRepeat(call, progress.runs + 1)) {
            return first.ended;
        }
        progress.runs += 1;
        this.parts.placement.recordRun(record.address, call.route.name, silenceMs);
        this.logAgain("hedged", call, record, "silent", progress);
        const second = this.startSend(other, call, progress);
        const winner = await Promise.race([first.ended, second.ended]);
        const loser = winner.record === record ? second : first;
        if (winner.outcome.kind !== "answer" || winner.outcome.status >= 500) {
            return loser.ended;
        }
        loser.cancel();
        return winner;
    }

    /** Silence after which an answer is probably lost, in milliseconds; `undefined` when a second send makes no sense. */
    private computeSilenceMs(call: RoutedCall): number | undefined {
        const usualMs = this.parts.placement.getRouteMs(call.route.name);
        if (call.route.repetition !== "idempotent" || usualMs === undefined) {
            return undefined;
        }
        const silenceMs = usualMs * silenceFactor + minSilenceMs;
        const leftMs = call.deadline - this.parts.clock.readMonotonic();
        return silenceMs + usualMs > leftMs ? undefined : silenceMs;
    }

    private async isSilent(send: Send, milliseconds: number): Promise<boolean> {
        const hasEnded = new AbortController();
        void send.ended.then(() => hasEnded.abort());
        await this.parts.clock.sleep(milliseconds, hasEnded.signal);
        return !hasEnded.signal.aborted;
    }

    private startSend(record: InstanceRecord, call: RoutedCall, progress: Progress): Send {
        progress.tried.add(record.address);
        progress.sends += 1;
        const controller = new AbortController();
        const cancel = (): void => controller.abort();
        call.signal.addEventListener("abort", cancel, { once: true });
        const ended = this.sendTo(record, { ...call, signal: controller.signal }, progress).then(outcome => {
            call.signal.removeEventListener("abort", cancel);
            return { record, outcome };
        });
        return { ended, cancel };
    }

    private async sendTo(record: InstanceRecord, call: RoutedCall, progress: Progress): Promise<RunOutcome> {
        const { placement, address } = this.parts;
        placement.startRun(record.address);
        const outcome = record.address === address
            ? await this.runHere(call, progress)
            : await this.runThere(record, call, progress);
        placement.endRun(record.address);
        return outcome;
    }

    private async runHere(call: RoutedCall, progress: Progress): Promise<RunOutcome> {
        const { runner, placement, address } = this.parts;
        const outcome = await runner.run(
            {
                ...this.describeRun(call, progress),
                route: call.route.name,
            },
            call.signal,
        );
        placement.recordLoad(address, runner.getLoad());
        return outcome;
    }

    private async runThere(record: InstanceRecord, call: RoutedCall, progress: Progress): Promise<RunOutcome> {
        const outcome = await this.parts.links.run(
            record.address,
            {
                ...this.describeRun(call, progress),
                route: call.route.name,
                sendNumber: progress.sends,
            },
            call.signal,
        );
        switch (outcome.kind) {
            case "unsent":
                return { kind: "refused", cause: "away", retryAfterMs: noInstanceRetryMs };
            case "lost":
                return { kind: "failed", cause: "linkLost", ranMs: 0 };
            default:
                return outcome;
        }
    }

    /** Decides whether the request goes to another instance, and notes what its last send tells of the instance. */
    private decide(
        call: RoutedCall,
        record: InstanceRecord,
        outcome: RunOutcome,
        progress: Progress,
    ): "final" | "again" {
        const { placement } = this.parts;
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
        const described = describeOutcome(outcome);
        // An endpoint's own failure tells the caller more than a failure of ours.
        progress.failure = progress.failure?.kind === "answer" ? progress.failure : described;
        // Another instance would meet the same trouble behind it, and its calls would add to that.
        const isLostBehind = outcome.kind === "answer" && outcome.behind !== "none";
        if (call.route.repetition !== "idempotent" || call.signal.aborted || isLostBehind) {
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
                this.parts.placement.avoid(record.address);
                return "again";
        }
    }

    private takeRepeat(call: RoutedCall, runs: number): boolean {
        return runs < call.route.maxRuns && this.parts.allowance.take(call.service, call.origin);
    }

    private describeRun(call: RoutedCall, progress: Progress) {
        const { attemptId, service, method, path, headers, body, deadline, target, route } = call;
        return {
            attemptId,
            service,
            method,
            path,
            headers,
            body,
            deadline,
            target,
            isIdempotent: route.repetition === "idempotent",
            callerService: this.parts.service,
            origin: { ...call.origin, isRepeated: call.origin.isRepeated || progress.runs > 0 },
        };
    }

    private logAgain(
        event: "placedAgain" | "hedged",
        call: RoutedCall,
        record: InstanceRecord,
        cause: string,
        progress: Progress,
    ): void {
        this.parts.logger.info(event, {
            request: call.attemptId,
            route: call.route.name,
            after: record.address,
            cause,
            sends: progress.sends,
            runs: progress.runs,
            leftMs: Math.round(call.deadline - this.parts.clock.readMonotonic()),
        });
    }
}

function describeCause(outcome: RunOutcome): string {
    return outcome.kind === "answer" ? String(outcome.status) : outcome.cause;
}

function describeOutcome(outcome: RunOutcome): ForwardOutcome {
    return outcome.kind === "failed" ? { kind: "failed", cause: outcome.cause } : outcome;
}

/** A refusal is final only if no earlier send may have run. */
function settle(last: ForwardOutcome, progress: Progress): ForwardOutcome {
    return last.kind === "answer" && last.status < 500 ? last : progress.failure ?? last;
}
