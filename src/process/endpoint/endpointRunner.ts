/**
 * Runs requests at the local endpoint. Only this node reaches the endpoint, so this module decides which requests run,
 * how many run at once and which wait, and a request that is refused here has not run.
 */
import type { EndpointAnswer, LossCause } from "../../connection/endpointConnection.js";
import type { EndpointConnectionPool, SendResult } from "../../connection/endpointConnectionPool.js";
import type { LoadReport } from "../../connection/linkMessage.js";
import { computeFingerprint } from "../../request/action.js";
import type { Dialect } from "../../request/dialect.js";
import { copyEndToEndHeaders } from "../../request/dialect.js";
import type { RunRequest } from "../../request/runRequest.js";
import { Cancellation } from "../base/cancellation.js";
import type { Clock, Timer } from "../base/clock.js";
import type { FailureCause, RefusalCause, RunOutcome } from "../load/runOutcome.js";
import { RunPacer } from "../load/runPacer.js";
import type { Candidate } from "../load/runQueue.js";
import { RunQueue } from "../load/runQueue.js";
import type { RunInProgress, RunsInProgress } from "../load/runsInProgress.js";
import { RunTimeMonitor } from "../load/runTimeMonitor.js";
import { SheddingMonitor } from "../load/sheddingMonitor.js";
import type { Logger } from "../telemetry/logger.js";
import type { CrashDetector } from "./crashDetector.js";
import type { EndpointState } from "./endpointState.js";
import type { Quarantine } from "./quarantine.js";

/**
 * Share of the endpoint's slots that is used, since endpoints get slower when nearly full. The slots are the
 * concurrency limit that the endpoint reports, in requests.
 */
const usedSlotShare = 0.95;
/** Slots assumed until the endpoint has reported its own. */
const defaultSlots = 8;
/** Time beyond its deadline after which a run without an answer is aborted, in milliseconds. */
const answerGraceMs = 60;
/** Time in which an endpoint that names a limit can start all requests that are sent to it, in milliseconds; longer if runs are. */
const minPaceHorizonMs = 400;
/** Shortest wait for the next turn of a pace, in milliseconds. */
const minPaceWaitMs = 5;
/** Weight of a new run in the share of failed runs. */
const failureShareWeight = 0.05;
/** Retry delay advised for a request that crashed endpoints, in milliseconds. */
const quarantineRetryAfterMs = 5000;
/** Half-life of the share of failed runs while no run ends, in milliseconds. */
const failureShareHalfLifeMs = 1500;
/** Least time to the deadline with which a run is started, in milliseconds. */
const minRunMs = 3;
/** Retry delay advised while the endpoint takes no work, in milliseconds. */
const unavailableRetryAfterMs = 300;

/** Dependencies of the runner. */
export interface EndpointRunnerDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly service: string;
    readonly dialect: Dialect;
    readonly endpoint: EndpointState;
    readonly pool: EndpointConnectionPool;
    readonly runs: RunsInProgress;
    readonly quarantine: Quarantine;
    readonly crashes: Pick<CrashDetector, "recordLost">;
    /** Called with the id of an endpoint's process that leaves, as its answers or other nodes say; also repeatedly. */
    readonly recordLeaving: (endpointId: string) => void;
    /** Called with the limit that an answer of an endpoint's process names, if any, in requests per second. */
    readonly recordNamedLimit: (endpointId: string, perSecond: number | undefined) => void;
    /** Whether it is known what earlier processes of this node knew of the endpoint. */
    readonly isRestored: () => boolean;
    /** Whether this node is stopping and gives the endpoint no more work. */
    readonly isEndpointClosed: () => boolean;
    /** Deadline that the endpoint is told of a run that starts now; earlier than that of the request while this node stops. */
    readonly lowerDeadline: (deadline: number) => number;
    /** Weight of a customer among those that compete; 1 is usual. */
    readonly findCustomerWeight: (customer: string) => number;
    /** Whether this node is stable: it has run for a while and is not about to stop. */
    readonly isSettled: () => boolean;
    /** Whether the load tells how slow the endpoint is, and what it turns away with room to spare. */
    readonly isReporting: { readonly slowness: boolean; readonly shedShare: boolean; };
}

/** A request and the callback that ends its wait: `undefined` lets it run, a cause refuses it. */
interface WaitingRequest extends Candidate {
    readonly settle: (refusal: RefusalCause | undefined) => void;
}

/** Runs requests at the local endpoint, at most as many at once as its slots allow. */
export class EndpointRunner {
    private readonly pacer: RunPacer;
    private readonly queue: RunQueue<WaitingRequest>;
    /** Timer of the next run that the pace holds up. */
    private paceTimer: Timer | undefined;
    private readonly runTimes: RunTimeMonitor;
    private readonly shedding: SheddingMonitor;
    private failureShare = 0;
    private failureShareAt = 0;

    constructor(private readonly dependencies: EndpointRunnerDependencies) {
        this.pacer = new RunPacer(dependencies.clock);
        this.queue = new RunQueue(this.pacer, dependencies.findCustomerWeight);
        this.runTimes = new RunTimeMonitor(dependencies.clock);
        this.shedding = new SheddingMonitor(dependencies.clock);
    }

    /** Load of the endpoint, as reported to the nodes that choose among instances. */
    getLoad(): LoadReport {
        const isUnavailable = this.findUnavailableCause() !== undefined;
        const { isReporting } = this.dependencies;
        return {
            running: this.queue.getRunning(),
            waiting: this.queue.getWaiting(),
            limit: isUnavailable ? 0 : this.computeUsableLimit(),
            failureShare: this.computeFailureShare(),
            isSettled: this.dependencies.isSettled(),
            slowness: isReporting.slowness ? this.runTimes.getAverage() : 0,
            shedShare: isReporting.shedShare ? this.shedding.getShare() : 0,
        };
    }

    /**
     * Runs a request or refuses it. Cancellation ends its wait, and its run if the request is idempotent. Never
     * rejects.
     */
    async run(request: RunRequest, cancellation: Cancellation): Promise<RunOutcome> {
        const { clock } = this.dependencies;
        const arrivedAt = clock.readMonotonic();
        if (request.leavingEndpoint !== undefined) {
            this.dependencies.recordLeaving(request.leavingEndpoint);
        }
        const unavailableCause = request.service === this.dependencies.service
            ? this.findUnavailableCause()
            : "wrongService";
        if (unavailableCause !== undefined) {
            return this.refuse(request, unavailableCause, unavailableRetryAfterMs);
        }
        if (this.isQuarantined(request)) {
            return this.refuse(request, "quarantined", quarantineRetryAfterMs);
        }
        if (this.hasNoTimeBeforeStop(request, arrivedAt)) {
            return this.refuse(request, "leaving", unavailableRetryAfterMs);
        }
        this.updateLimit();
        const refusal = await this.waitForSlot(request, arrivedAt, cancellation);
        if (refusal !== undefined) {
            return refusal;
        }
        const startedAt = clock.readMonotonic();
        const recordRunEnd = this.runTimes.start(request.usualRunMs);
        const outcome = await this.runInSlot(request, startedAt, cancellation);
        recordRunEnd();
        this.endRun(request, outcome, clock.readMonotonic() - startedAt);
        return outcome.kind === "answer"
            ? { ...outcome, waitedMs: outcome.waitedMs + startedAt - arrivedAt }
            : outcome;
    }

    /** Refuses all queued requests; called when the endpoint leaves or has ended. */
    refuseWaiting(cause: RefusalCause): void {
        for (const waiting of this.queue.removeAll()) {
            waiting.settle(cause);
        }
    }

    private isQuarantined(request: RunRequest): boolean {
        const { quarantine } = this.dependencies;
        return !quarantine.isEmpty() && quarantine.isRefused(computeRunFingerprint(request));
    }

    /** Whether this node stops before a run of usual length ends that its deadline leaves time for. */
    private hasNoTimeBeforeStop(request: RunRequest, now: number): boolean {
        const limited = this.dependencies.lowerDeadline(request.deadline);
        const usualMs = Math.max(request.usualRunMs, this.queue.getAverageRunMs(request.route));
        return limited < request.deadline && limited - now < usualMs;
    }

    private findUnavailableCause(): RefusalCause | undefined {
        const { endpoint, isEndpointClosed, isRestored } = this.dependencies;
        if (isEndpointClosed()) {
            return "leaving";
        }
        return isRestored() ? endpoint.findRefusalReason() : "notKnown";
    }

    private updateLimit(): number {
        const { endpoint } = this.dependencies;
        const slots = endpoint.getSlots() > 0 ? endpoint.getSlots() : defaultSlots;
        this.queue.setLimit(Math.floor(slots * usedSlotShare));
        this.pacer.setRate(endpoint.getNamedLimit());
        return this.queue.getLimit();
    }

    /**
     * Requests in progress up to which others may be sent: by slots, and by the limit that the endpoint names. An endpoint
     * that has not answered lately may have ended its limit, which only an answer can tell, so it gets a share again.
     */
    private computeUsableLimit(): number {
        const limit = this.updateLimit();
        const perSecond = this.dependencies.endpoint.getRecentNamedLimit();
        if (perSecond === undefined) {
            return limit;
        }
        const horizonMs = Math.max(minPaceHorizonMs, this.queue.getOverallAverageRunMs());
        return Math.min(limit, Math.max(1, Math.ceil(perSecond * horizonMs / 1000)));
    }

    /** Waits for a concurrency slot; the outcome is a refusal, or `undefined` once the request holds a slot. */
    private async waitForSlot(
        request: RunRequest,
        now: number,
        cancellation: Cancellation,
    ): Promise<RunOutcome | undefined> {
        if (request.deadline - now < minRunMs) {
            return this.refuse(request, "late", 0);
        }
        // If the request has to wait, `endWait` is set below to the function that resolves `waitEnd`.
        let endWait: (refusal: RefusalCause | undefined) => void = () => undefined;
        const { origin, route, deadline, target } = request;
        const { depth, servedBefore, priority, customer, hasReturned } = origin;
        const settleWait = (refusal: RefusalCause | undefined): void => endWait(refusal);
        const waiting = {
            depth,
            servedBefore,
            priority,
            customer,
            hasReturned,
            originRoute: origin.route,
            route,
            deadline,
            target,
            settle: settleWait,
        };
        const decision = this.queue.offer(waiting, now);
        if (decision.kind === "run") {
            return undefined;
        }
        if (decision.kind === "refuse") {
            return this.refuse(request, "full", decision.waitMs);
        }
        const waitEnd = new Promise<RefusalCause | undefined>(resolve => endWait = resolve);
        this.refuseLate(now);
        this.startPaceTimer();
        const cancel = (): void => {
            if (this.queue.remove(waiting)) {
                endWait("cancelled");
            }
        };
        cancellation.listen(cancel);
        const refusal = await waitEnd;
        cancellation.removeListener(cancel);
        return refusal === undefined ? undefined : this.refuse(request, refusal, this.estimateRetryAfterMs());
    }

    private async runInSlot(
        request: RunRequest,
        startedAt: number,
        cancellation: Cancellation,
    ): Promise<RunOutcome> {
        if (cancellation.isCancelled()) {
            return this.refuse(request, "cancelled", 0);
        }
        const unavailableCause = this.findUnavailableCause();
        if (unavailableCause !== undefined) {
            return this.refuse(request, unavailableCause, unavailableRetryAfterMs);
        }
        const timeLeftMs = this.dependencies.lowerDeadline(request.deadline) - startedAt;
        if (timeLeftMs < minRunMs && this.hasNoTimeBeforeStop(request, startedAt)) {
            return this.refuse(request, "leaving", unavailableRetryAfterMs);
        }
        const runCancellation = new Cancellation();
        const cancel = (): void => runCancellation.cancel();
        const timer = this.dependencies.clock.startTimer(timeLeftMs + answerGraceMs, cancel);
        // A run of a request that isn't idempotent goes on when the request is cancelled; only the timer aborts it.
        if (request.isIdempotent) {
            cancellation.listen(cancel);
        }
        const run = this.dependencies.runs.start(request.attemptId, request.origin, request.route);
        let result = await this.send(request, timeLeftMs, runCancellation);
        if (this.recordMisdirected(result)) {
            result = await this.send(request, timeLeftMs, runCancellation);
        }
        this.dependencies.runs.end(request.attemptId, run);
        timer.stop();
        cancellation.removeListener(cancel);
        return this.readResult(request, result, startedAt, run);
    }

    private async send(
        request: RunRequest,
        timeLeftMs: number,
        cancellation: Cancellation,
    ): Promise<SendResult> {
        const { dialect, pool, endpoint } = this.dependencies;
        const { method, path, body, attemptId, callerService, origin } = request;
        const endpointId = endpoint.getIncarnationId();
        // A call that a run makes carries no key, so the endpoint is not told a customer.
        const customer = origin.depth === 0 ? origin.customer : undefined;
        const runHeaders = dialect.createRunHeaders({ attemptId, timeLeftMs, callerService, endpointId, customer });
        const headers = [...request.headers, ...runHeaders];
        const result = await pool.send(
            { method, path, headers, body, attemptId },
            request.isIdempotent,
            cancellation,
        );
        if (result.kind === "answered") {
            this.recordStatements(result.answer, endpointId);
        }
        return result;
    }

    /** Records what an answer states of the endpoint. Only another one than the request was sent to names itself. */
    private recordStatements({ status, metadata }: EndpointAnswer, sentTo: string | undefined): void {
        const endpointId = metadata.endpointId ?? (status === 421 ? undefined : sentTo);
        if (endpointId === undefined) {
            return;
        }
        if (metadata.load?.slowness !== undefined) {
            this.runTimes.recordSlowness(metadata.load.slowness);
        }
        if (metadata.isLeaving) {
            this.dependencies.recordLeaving(endpointId);
        }
        if (metadata.isSigned || metadata.isNotRun) {
            this.dependencies.recordNamedLimit(endpointId, metadata.requestsPerSecond);
        }
    }

    /**
     * Records who is at the endpoint's address if the request was refused there (421, misdirected) because it names another
     * incarnation. Returns whether the request can be sent again, to that one.
     */
    private recordMisdirected(result: SendResult): boolean {
        if (result.kind !== "answered" || result.answer.status !== 421) {
            return false;
        }
        const { endpointId } = result.answer.metadata;
        const { endpoint, logger } = this.dependencies;
        const before = endpoint.getIncarnationId();
        if (endpointId === undefined || endpointId === before) {
            return false;
        }
        const isOwn = endpoint.recordOther(endpointId);
        logger.info(isOwn ? "endpointLearned" : "endpointAbsent", { endpoint: endpointId, before });
        return isOwn;
    }

    private readResult(request: RunRequest, result: SendResult, startedAt: number, run: RunInProgress): RunOutcome {
        const runMs = this.dependencies.clock.readMonotonic() - startedAt;
        switch (result.kind) {
            case "unsent":
                if (result.cause === "aborted") {
                    return this.refuse(request, "cancelled", 0);
                }
                this.dependencies.endpoint.recordConnectionRefused();
                return this.refuse(request, "away", unavailableRetryAfterMs);
            case "lost":
                if (result.cause === "reset" || result.cause === "closed") {
                    this.dependencies.crashes.recordLost(computeRunFingerprint(request));
                }
                return { kind: "failed", cause: deriveFailureCause(result.cause), ranMs: runMs };
            case "answered":
                return this.readAnswer(request, result.answer, runMs, run);
        }
    }

    private readAnswer(request: RunRequest, answer: EndpointAnswer, runMs: number, run: RunInProgress): RunOutcome {
        const { status, headers, body, metadata: facts } = answer;
        this.recordShedding(facts.isNotRun, status);
        if (status === 421 && this.dependencies.endpoint.findRefusalReason() === "notKnown") {
            return this.refuse(request, "notKnown", unavailableRetryAfterMs);
        }
        if (facts.isNotRun || status === 421) {
            return this.refuse(request, "shed", this.estimateRetryAfterMs());
        }
        if (!facts.isSigned) {
            return { kind: "failed", cause: "unsigned", ranMs: runMs };
        }
        if (!this.dependencies.quarantine.isEmpty()) {
            this.dependencies.quarantine.recordCompleted(computeRunFingerprint(request));
        }
        if (status < 500) {
            this.dependencies.runs.recordServed(request.route, run);
        }
        return {
            kind: "answer",
            status,
            headers: copyEndToEndHeaders(headers, noDroppedHeaders),
            body,
            runMs,
            waitedMs: run.getWaitedMs(),
            behind: run.getDownstreamProblem(),
            pressure: run.getDownstreamUtilisation(),
            connection: answer.connection,
        };
    }

    /** An endpoint that names a limit, leaves or is another one rejects for that reason, which is known otherwise. */
    private recordShedding(isNotRun: boolean, status: number): void {
        if (status !== 421 && this.dependencies.endpoint.getNamedLimit() === undefined) {
            this.shedding.record(isNotRun, this.queue.getRunning() / Math.max(1, this.queue.getLimit()));
        }
    }

    private endRun(request: RunRequest, outcome: RunOutcome, heldMs: number): void {
        const hasRunTime = outcome.kind !== "refused";
        this.queue.release(request.route, hasRunTime ? heldMs : undefined);
        const hasFailed = outcome.kind === "failed" || (outcome.kind === "answer" && outcome.status >= 500)
            || (outcome.kind === "refused" && outcome.cause === "shed");
        const now = this.dependencies.clock.readMonotonic();
        const decayedShare = this.computeFailureShare();
        this.failureShare = decayedShare + ((hasFailed ? 1 : 0) - decayedShare) * failureShareWeight;
        this.failureShareAt = now;
        this.startNext();
    }

    /** Starts the waiting requests whose turn has come, and refuses those that can't meet their deadlines any more. */
    private startNext(): void {
        this.updateLimit();
        this.refuseLate(this.dependencies.clock.readMonotonic());
        for (let next = this.queue.takeNext(); next !== undefined; next = this.queue.takeNext()) {
            next.settle(undefined);
        }
        this.startPaceTimer();
    }

    private startPaceTimer(): void {
        const waitMs = this.queue.computePaceWaitMs();
        if (waitMs === undefined || this.paceTimer !== undefined) {
            return;
        }
        this.paceTimer = this.dependencies.clock.startTimer(Math.max(minPaceWaitMs, waitMs), () => {
            this.paceTimer = undefined;
            this.startNext();
        });
    }

    /**
     * Share of failed runs. It decays with time, so that an instance that was avoided because of it gets work again.
     */
    private computeFailureShare(): number {
        const elapsedMs = this.dependencies.clock.readMonotonic() - this.failureShareAt;
        return this.failureShare * 0.5 ** (elapsedMs / failureShareHalfLifeMs);
    }

    /** Refuses the queued requests that can't meet their deadlines any more. */
    private refuseLate(now: number): void {
        for (const waiting of this.queue.removeLate(now)) {
            waiting.settle("late");
        }
    }

    private estimateRetryAfterMs(): number {
        return this.queue.estimateWaitMs(this.queue.getWaiting());
    }

    private refuse(request: RunRequest, cause: RefusalCause, retryAfterMs: number): RunOutcome {
        if (cause !== "cancelled") {
            this.dependencies.logger.info("runRefused", {
                request: request.attemptId,
                route: request.route,
                customer: request.origin.customer,
                cause,
                running: this.queue.getRunning(),
                waiting: this.queue.getWaiting(),
                limit: this.queue.getLimit(),
                leftMs: Math.round(request.deadline - this.dependencies.clock.readMonotonic()),
            });
        }
        return { kind: "refused", cause, retryAfterMs };
    }
}

/** All end-to-end headers of an answer are copied. */
const noDroppedHeaders: ReadonlySet<string> = new Set();

function computeRunFingerprint(request: RunRequest): string {
    return computeFingerprint(request.service, request.method, request.path, request.body);
}

function deriveFailureCause(cause: LossCause): FailureCause {
    return cause === "aborted" ? "noAnswer" : cause;
}
