/**
 * Forwards one request from its entry node to an instance of its service, and retries it at other instances where safe.
 *
 * A refusal proves that the request has not run, so any request may then be sent to another instance. After other
 * failures only an idempotent request is retried, within the run limit of its route and the retry budget of the
 * service.
 *
 * Load pattern handled: endpoints that refuse a large part of the requests though they have room. Once a request has
 * reached as many endpoints as its route allows, it is offered to the same ones again as long as the retry budget has room for
 * a repeat of its value (`repeatOrder.ts`): a rejection makes the next offer neither better nor worse. It goes to another of them
 * than the one that just rejected it, unless no other takes work. A rejected request has not run, so that it still runs at
 * one endpoint only.
 */
import type { Clock } from "../process/base/clock.js";
import type { InstanceSelector } from "../process/load/instanceSelector.js";
import type { Placement } from "../process/load/placement.js";
import type { RunOutcome } from "../process/load/runOutcome.js";
import type { DownstreamProblem } from "../process/load/runsInProgress.js";
import type { ServiceRetryBudget } from "../process/load/serviceRetryBudget.js";
import type { Logger } from "../process/telemetry/logger.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import type { HeaderList } from "./headers.js";
import type { RoutedCall } from "./routedCall.js";
import type { Sender, SendProgress, SendResult } from "./sender.js";

/** Refusals for lack of capacity after which the refusal of a request is final. */
const maxCapacityRefusals = 3;
/** Sends of one request to instances whose endpoints refused it before. */
const maxRepeatedOffers = 20;
/** Retry-after delay when no instance accepts requests, in milliseconds. */
const noInstanceRetryMs = 400;

/** Final outcome of a forwarded request. */
export type ForwardOutcome =
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly headers: HeaderList;
        readonly body: Buffer;
        /** Time for which the request and its downstream calls waited in queues, in milliseconds. */
        readonly waitedMs: number;
        /** Problem that the run's calls to downstream services met. */
        readonly behind: DownstreamProblem;
        /** Utilisation of the busiest downstream service; above 1 if requests are queued there. */
        readonly pressure: number;
    }
    /** No send of the request has run or can still run. */
    | { readonly kind: "refused"; readonly cause: string; readonly retryAfterMs: number; }
    | { readonly kind: "failed"; readonly cause: string; };

/** Where the answer to a request came from. */
export interface AnswerSource {
    /** Address of the instance whose endpoint answered. */
    readonly instance: string;
    /** Number of the send that it answers, counted from 1. */
    readonly sendNumber: number;
    /** Number of the connection to the endpoint; `undefined` if a node of an earlier build ran the request. */
    readonly connection: number | undefined;
}

/** Outcome of a send as it may be reported, and for an answer its source. */
interface SendEnd {
    readonly outcome: ForwardOutcome;
    readonly source?: AnswerSource | undefined;
}

/** Final outcome of a request, with the sends that led to it. */
export interface ForwardResult {
    readonly outcome: ForwardOutcome;
    /** Where the answer came from; `undefined` if the outcome is none. */
    readonly source?: AnswerSource | undefined;
    /** Address of the instance of the last send; `undefined` if there was no send. */
    readonly instance: string | undefined;
    /** Number of sends to nodes. */
    readonly sends: number;
    /** Number of sends that reached an endpoint or may have. */
    readonly runs: number;
}

/** Dependencies of the forwarder. */
export interface ForwarderDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly placement: Placement;
    readonly instanceSelector: Pick<InstanceSelector, "select" | "selectAtOnce">;
    /** Retry budget of each service. */
    readonly retryBudget: ServiceRetryBudget;
    readonly sender: Pick<Sender, "send">;
}

/** State of one request over its sends. */
interface ForwardProgress extends SendProgress {
    /** Instances that refused the request for lack of capacity. */
    capacityRefusals: number;
    /** Instances whose endpoints refused the request, and the number of repeated offers to them. */
    readonly shedBy: InstanceRecord[];
    repeatedOffers: number;
    /** Failure of a send that may have run; reported if no send succeeds. See {@link noteFailure}. */
    failure: SendEnd | undefined;
}

/** Forwards requests and decides after each failure whether to try another instance. */
export class Forwarder {
    constructor(private readonly dependencies: ForwarderDependencies) {}

    /** Forwards a request and returns its final outcome. The promise never rejects. */
    async forward(call: RoutedCall): Promise<ForwardResult> {
        const { retryBudget: allowance, clock } = this.dependencies;
        allowance.recordRequest(call.service);
        if (call.origin.isRepeated && !allowance.takeInheritedRetry(call.service)) {
            return createUnsentResult("retryBound", noInstanceRetryMs);
        }
        const progress: ForwardProgress = {
            tried: new Set(),
            sends: 0,
            capacityRefusals: 0,
            runs: 0,
            shedBy: [],
            repeatedOffers: 0,
            failure: undefined,
        };
        let last: SendEnd = { outcome: { kind: "refused", cause: "noInstance", retryAfterMs: noInstanceRetryMs } };
        while (!call.cancellation.isCancelled() && clock.readMonotonic() < call.deadline) {
            const instance = await this.selectInstance(call, progress);
            if (instance === undefined || call.cancellation.isCancelled()) {
                break;
            }
            const results = await this.dependencies.sender.send(
                instance,
                call,
                progress,
                unresponsive => this.chooseHedgeInstance(unresponsive, call, progress),
            );
            const lastResult = results[results.length - 1]!;
            const { record: lastInstance, outcome } = lastResult;
            noteFailures(results.slice(0, -1), progress);
            last = createSendEnd(lastResult);
            if (this.decideAfterSend(call, lastResult, progress) === "final") {
                break;
            }
            this.logFurtherSend("placedAgain", call, lastInstance, describeCause(outcome), progress);
        }
        const { sends, runs, tried } = progress;
        return { ...chooseFinalEnd(last, progress), instance: [...tried].pop(), sends, runs };
    }

    private async selectInstance(call: RoutedCall, progress: ForwardProgress): Promise<InstanceRecord | undefined> {
        const { instanceSelector, placement } = this.dependencies;
        if (progress.repeatedOffers === 0) {
            return instanceSelector.select(call.service, progress.tried);
        }
        const last = progress.shedBy[progress.shedBy.length - 1]!;
        return placement.choose(progress.shedBy, new Set([last.address]))
            ?? placement.choose(progress.shedBy, new Set());
    }

    private chooseHedgeInstance(
        unresponsive: InstanceRecord,
        call: RoutedCall,
        progress: ForwardProgress,
    ): InstanceRecord | undefined {
        const other = this.dependencies.instanceSelector.selectAtOnce(call.service, progress.tried);
        if (other === undefined || !this.takeRetry(call, progress.runs + 1)) {
            return undefined;
        }
        this.logFurtherSend("hedged", call, unresponsive, "silent", progress);
        return other;
    }

    /** Decides whether to try another instance, and updates the statistics of the instance that was tried. */
    private decideAfterSend(
        call: RoutedCall,
        result: SendResult,
        progress: ForwardProgress,
    ): "final" | "again" {
        const { placement } = this.dependencies;
        const { record: instance, outcome } = result;
        switch (outcome.kind) {
            case "answer":
                placement.recordRun(instance.address, call.route.name, outcome.runMs);
                progress.runs += 1;
                return outcome.status >= 500 ? this.decideRetry(call, result, progress) : "final";
            case "failed":
                if (outcome.ranMs > 0) {
                    placement.recordRun(instance.address, call.route.name, outcome.ranMs);
                }
                progress.runs += 1;
                return this.decideRetry(call, result, progress);
            case "refused":
                return this.decideAfterRefusal(call, instance, outcome.cause, progress);
        }
    }

    /** Decides whether to retry a request whose run failed: only idempotent ones are, within their limits. */
    private decideRetry(call: RoutedCall, result: SendResult, progress: ForwardProgress): "final" | "again" {
        const { outcome } = result;
        noteFailure(result, progress);
        // Another instance would depend on the same failing downstream service, and its calls would add load there.
        const isDownstreamFailure = outcome.kind === "answer" && outcome.behind !== "none";
        if (call.route.repetition !== "idempotent" || call.cancellation.isCancelled() || isDownstreamFailure) {
            return "final";
        }
        return this.takeRetry(call, progress.runs) ? "again" : "final";
    }

    private decideAfterRefusal(
        call: RoutedCall,
        instance: InstanceRecord,
        cause: string,
        progress: ForwardProgress,
    ): "final" | "again" {
        switch (cause) {
            // The queue of the instance is full, or the request would end there after its deadline.
            case "full":
            case "late":
                progress.capacityRefusals += 1;
                return progress.capacityRefusals < maxCapacityRefusals ? "again" : "final";
            case "shed":
                // The endpoint itself refused the request. It was reached, so another send counts as a retry.
                progress.runs += 1;
                progress.shedBy.push(instance);
                return this.takeRetry(call, progress.runs) || this.takeRepeatedOffer(call, progress)
                    ? "again"
                    : "final";
            case "cancelled":
            case "quarantined":
                return "final";
            // The instance cannot be used now, for example because it is leaving or its endpoint is unreachable.
            default:
                this.dependencies.placement.avoid(instance.address);
                return "again";
        }
    }

    private takeRetry(call: RoutedCall, runs: number): boolean {
        return runs < call.route.maxRuns && this.takeFromBudget(call);
    }

    private takeFromBudget(call: RoutedCall): boolean {
        const { service, origin, callsLeft } = call;
        const { priority, routePriority } = origin;
        return this.dependencies.retryBudget.takeRetry(service, { priority, routePriority, callsLeft });
    }

    /** Takes one more offer to the instances that refused the request, if all that its route allows have done so. */
    private takeRepeatedOffer(call: RoutedCall, progress: ForwardProgress): boolean {
        const haveAllRefused = progress.runs >= call.route.maxRuns && progress.failure === undefined;
        if (
            !haveAllRefused || progress.repeatedOffers >= maxRepeatedOffers || !this.takeFromBudget(call)
        ) {
            return false;
        }
        progress.repeatedOffers += 1;
        return true;
    }

    private logFurtherSend(
        event: "placedAgain" | "hedged",
        call: RoutedCall,
        instance: InstanceRecord,
        cause: string,
        progress: ForwardProgress,
    ): void {
        this.dependencies.logger.info(event, {
            request: call.attemptId,
            route: call.route.name,
            after: instance.address,
            cause,
            sends: progress.sends,
            runs: progress.runs,
            leftMs: Math.round(call.deadline - this.dependencies.clock.readMonotonic()),
        });
    }
}

/** Result of a request that was refused before it was sent. */
export function createUnsentResult(cause: string, retryAfterMs: number): ForwardResult {
    return { outcome: { kind: "refused", cause, retryAfterMs }, instance: undefined, sends: 0, runs: 0 };
}

function describeCause(outcome: RunOutcome): string {
    return outcome.kind === "answer" ? String(outcome.status) : outcome.cause;
}

function createSendEnd({ record, outcome, sendNumber }: SendResult): SendEnd {
    switch (outcome.kind) {
        case "answer": {
            const { connection } = outcome;
            return { outcome, source: { instance: record.address, sendNumber, connection } };
        }
        case "failed":
            return { outcome: { kind: "failed", cause: outcome.cause } };
        case "refused":
            return { outcome };
    }
}

/** Records the failure of a send that may have run. An endpoint's error answer tells the caller most, so it is kept. */
function noteFailure(result: SendResult, progress: ForwardProgress): void {
    progress.failure = progress.failure?.outcome.kind === "answer" ? progress.failure : createSendEnd(result);
}

/** Records the failures of earlier results, such as the first failure of a hedged request. */
function noteFailures(results: readonly SendResult[], progress: ForwardProgress): void {
    for (const result of results) {
        if (result.outcome.kind !== "refused") {
            noteFailure(result, progress);
        }
    }
}

/** Chooses the outcome to report. A refusal is reported only if no earlier send may have run. */
function chooseFinalEnd(last: SendEnd, progress: ForwardProgress): SendEnd {
    return last.outcome.kind === "answer" && last.outcome.status < 500 ? last : progress.failure ?? last;
}
