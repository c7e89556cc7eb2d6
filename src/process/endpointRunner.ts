/**
 * Runs requests at the endpoint beside this node. Only this node reaches the endpoint, so what runs, how much at once and what
 * waits is decided here, and a request that is refused here has not run.
 */
import type { EndpointAnswer, LossCause } from "../connection/endpointConnection.js";
import type { EndpointConnectionPool, SendResult } from "../connection/endpointConnectionPool.js";
import type { LoadReport } from "../connection/linkMessage.js";
import { computeFingerprint } from "../request/action.js";
import type { Dialect } from "../request/dialect.js";
import { copyEndToEndHeaders } from "../request/dialect.js";
import type { RunRequest } from "../request/runRequest.js";
import { Cancellation } from "./cancellation.js";
import type { Clock } from "./clock.js";
import type { CrashDetector } from "./crashDetector.js";
import type { EndpointState } from "./endpointState.js";
import type { Logger } from "./logger.js";
import type { Quarantine } from "./quarantine.js";
import type { FailureCause, RefusalCause, RunOutcome } from "./runOutcome.js";
import type { Candidate } from "./runQueue.js";
import { RunQueue } from "./runQueue.js";
import type { RunInProgress, RunsInProgress } from "./runsInProgress.js";

/** Part of the endpoint's slots that is used: near full, endpoints get slower. */
const slotShare = 0.95;
/** Slots assumed while the endpoint has not told them. */
const assumedSlots = 8;
/** Time beyond its deadline after which a run without an answer is given up, in milliseconds. */
const answerGraceMs = 60;
/** Weight of a new run in the share of failed runs. */
const failureWeight = 0.05;
/** Retry advice for a request that crashed endpoints, in milliseconds. */
const quarantineRetryMs = 5000;
/** Half-life of the share of failed runs while nothing runs, in milliseconds. */
const forgetFailuresMs = 1500;
/** Least time that a run needs; with less left it isn't begun, in milliseconds. */
const minRunMs = 3;
/** Retry advice while the endpoint takes no work, in milliseconds. */
const closedRetryMs = 300;

/** What the runner needs. */
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
    /** Whether this node gives the endpoint no more work, since it stops. */
    readonly isClosed: () => boolean;
    /** Whether this node has run for a while and is not about to stop. */
    readonly isSettled: () => boolean;
}

/** A request with the call-back that tells what became of its wait. */
interface Waiting extends Candidate {
    readonly settle: (refusal: RefusalCause | undefined) => void;
}

/** Runs requests, at most as many at once as the endpoint has slots for. */
export class EndpointRunner {
    private readonly line = new RunQueue<Waiting>();
    private failureShare = 0;
    private failureShareAt = 0;

    constructor(private readonly dependencies: EndpointRunnerDependencies) {}

    /** Load of the endpoint, for those who choose among instances. */
    getLoad(): LoadReport {
        const isClosed = this.findClosedCause() !== undefined;
        return {
            running: this.line.getRunning(),
            waiting: this.line.getWaiting(),
            limit: isClosed ? 0 : this.updateLimit(),
            failureShare: this.computeFailureShare(),
            isSettled: this.dependencies.isSettled(),
        };
    }

    /** Runs a request or refuses it. Gives it up when it is cancelled. Never rejects. */
    async run(request: RunRequest, cancellation: Cancellation): Promise<RunOutcome> {
        const { clock } = this.dependencies;
        const arrivedAt = clock.readMonotonic();
        const closed = request.service === this.dependencies.service ? this.findClosedCause() : "wrongService";
        if (closed !== undefined) {
            return this.refuse(request, closed, closedRetryMs);
        }
        if (this.isQuarantined(request)) {
            return this.refuse(request, "quarantined", quarantineRetryMs);
        }
        this.updateLimit();
        const refusal = await this.waitForPlace(request, arrivedAt, cancellation);
        if (refusal !== undefined) {
            return refusal;
        }
        const startedAt = clock.readMonotonic();
        const outcome = await this.runInPlace(request, startedAt, cancellation);
        this.endRun(request, outcome, clock.readMonotonic() - startedAt);
        return outcome.kind === "answer"
            ? { ...outcome, waitedMs: outcome.waitedMs + startedAt - arrivedAt }
            : outcome;
    }

    /** Refuses all that waits; called when the endpoint leaves or is gone. */
    refuseWaiting(cause: RefusalCause): void {
        for (const waiting of this.line.removeAll()) {
            waiting.settle(cause);
        }
    }

    private isQuarantined(request: RunRequest): boolean {
        const { quarantine } = this.dependencies;
        return !quarantine.isEmpty() && quarantine.isRefused(computeRunFingerprint(request));
    }

    private findClosedCause(): RefusalCause | undefined {
        return this.dependencies.isClosed() ? "leaving" : this.dependencies.endpoint.findRefusalReason();
    }

    private updateLimit(): number {
        const { endpoint } = this.dependencies;
        const slots = endpoint.getSlots() > 0 ? endpoint.getSlots() : assumedSlots;
        this.line.setLimit(Math.floor(slots * slotShare));
        return this.line.getLimit();
    }

    /** Waits for a place; the outcome is a refusal, or `undefined` once the place is taken. */
    private async waitForPlace(
        request: RunRequest,
        now: number,
        cancellation: Cancellation,
    ): Promise<RunOutcome | undefined> {
        if (request.deadline - now < minRunMs) {
            return this.refuse(request, "late", 0);
        }
        let settle: (refusal: RefusalCause | undefined) => void = () => undefined;
        const { origin, route, deadline, target } = request;
        const { depth, servedBefore, priority } = origin;
        const settleWait = (refusal: RefusalCause | undefined): void => settle(refusal);
        const waiting = { depth, servedBefore, priority, route, deadline, target, settle: settleWait };
        const decision = this.line.offer(waiting, now);
        if (decision.kind === "run") {
            return undefined;
        }
        if (decision.kind === "refuse") {
            return this.refuse(request, "full", decision.waitMs);
        }
        const decided = new Promise<RefusalCause | undefined>(resolve => settle = resolve);
        this.refuseHopeless(now);
        const cancel = (): void => {
            if (this.line.remove(waiting)) {
                settle("cancelled");
            }
        };
        cancellation.listen(cancel);
        const refusal = await decided;
        cancellation.removeListener(cancel);
        return refusal === undefined ? undefined : this.refuse(request, refusal, this.estimateRetryMs());
    }

    private async runInPlace(
        request: RunRequest,
        startedAt: number,
        cancellation: Cancellation,
    ): Promise<RunOutcome> {
        if (cancellation.isCancelled()) {
            return this.refuse(request, "cancelled", 0);
        }
        const closed = this.findClosedCause();
        if (closed !== undefined) {
            return this.refuse(request, closed, closedRetryMs);
        }
        const leftMs = request.deadline - startedAt;
        const giveUp = new Cancellation();
        const cancel = (): void => giveUp.cancel();
        const timer = this.dependencies.clock.startTimer(leftMs + answerGraceMs, cancel);
        if (request.isIdempotent) {
            cancellation.listen(cancel);
        }
        const run = this.dependencies.runs.start(request.attemptId, request.origin);
        let result = await this.send(request, leftMs, giveUp);
        if (this.isForAnother(result)) {
            result = await this.send(request, leftMs, giveUp);
        }
        this.dependencies.runs.end(request.attemptId, run);
        timer.stop();
        cancellation.removeListener(cancel);
        return this.readResult(request, result, startedAt, run);
    }

    private send(request: RunRequest, timeLeftMs: number, cancellation: Cancellation): Promise<SendResult> {
        const { dialect, pool, endpoint } = this.dependencies;
        const { method, path, body, attemptId, callerService } = request;
        const endpointId = endpoint.getIncarnationId();
        const own = dialect.createRunHeaders({ attemptId, timeLeftMs, callerService, endpointId });
        const headers = [...request.headers, ...own];
        return pool.send({ method, path, headers, body, attemptId }, request.isIdempotent, cancellation);
    }

    /** Whether the endpoint refused since it is another incarnation than expected, which is known from now on. */
    private isForAnother(result: SendResult): boolean {
        if (result.kind !== "answered" || result.answer.status !== 421) {
            return false;
        }
        const { endpointId, load } = result.answer.facts;
        const { endpoint, logger } = this.dependencies;
        const before = endpoint.getIncarnationId();
        if (endpointId === undefined || !endpoint.learnIncarnation(endpointId, load?.slots)) {
            return false;
        }
        logger.info("endpointLearned", { endpoint: endpointId, before });
        return endpoint.findRefusalReason() === undefined;
    }

    private readResult(request: RunRequest, result: SendResult, startedAt: number, run: RunInProgress): RunOutcome {
        const ranMs = this.dependencies.clock.readMonotonic() - startedAt;
        switch (result.kind) {
            case "unsent":
                if (result.cause === "aborted") {
                    return this.refuse(request, "cancelled", 0);
                }
                this.dependencies.endpoint.recordConnectionRefused();
                return this.refuse(request, "away", closedRetryMs);
            case "lost":
                if (result.cause === "reset" || result.cause === "closed") {
                    this.dependencies.crashes.recordLost(computeRunFingerprint(request));
                }
                return { kind: "failed", cause: describeLoss(result.cause), ranMs };
            case "answered":
                return this.readAnswer(request, result.answer, ranMs, run);
        }
    }

    private readAnswer(request: RunRequest, answer: EndpointAnswer, runMs: number, run: RunInProgress): RunOutcome {
        const { status, headers, body, facts } = answer;
        if (facts.isNotRun || status === 421) {
            return this.refuse(request, "shed", this.estimateRetryMs());
        }
        if (!facts.isSigned) {
            return { kind: "failed", cause: "unsigned", ranMs: runMs };
        }
        if (!this.dependencies.quarantine.isEmpty()) {
            this.dependencies.quarantine.recordCompleted(computeRunFingerprint(request));
        }
        return {
            kind: "answer",
            status,
            headers: copyEndToEndHeaders(headers, noHeaders),
            body,
            runMs,
            waitedMs: run.getWaitedMs(),
            behind: run.getDownstreamProblem(),
            pressure: run.getDownstreamUtilisation(),
        };
    }

    private endRun(request: RunRequest, outcome: RunOutcome, heldMs: number): void {
        const isSample = outcome.kind !== "refused";
        this.line.release(request.route, isSample ? heldMs : undefined);
        const hasFailed = outcome.kind === "failed" || (outcome.kind === "answer" && outcome.status >= 500)
            || (outcome.kind === "refused" && outcome.cause === "shed");
        const now = this.dependencies.clock.readMonotonic();
        const share = this.computeFailureShare();
        this.failureShare = share + ((hasFailed ? 1 : 0) - share) * failureWeight;
        this.failureShareAt = now;
        this.refuseHopeless(now);
        for (;;) {
            const next = this.line.takeNext();
            if (next === undefined) {
                return;
            }
            next.settle(undefined);
        }
    }

    /** Failures are forgotten with time, so that an instance that was passed over for them gets work again. */
    private computeFailureShare(): number {
        const age = this.dependencies.clock.readMonotonic() - this.failureShareAt;
        return this.failureShare * 0.5 ** (age / forgetFailuresMs);
    }

    private refuseHopeless(now: number): void {
        for (const waiting of this.line.removeLate(now)) {
            waiting.settle("late");
        }
    }

    private estimateRetryMs(): number {
        return this.line.estimateWaitMs(this.line.getWaiting());
    }

    private refuse(request: RunRequest, cause: RefusalCause, retryAfterMs: number): RunOutcome {
        if (cause !== "cancelled") {
            this.dependencies.logger.info("runRefused", {
                request: request.attemptId,
                route: request.route,
                cause,
                running: this.line.getRunning(),
                waiting: this.line.getWaiting(),
                limit: this.line.getLimit(),
                leftMs: Math.round(request.deadline - this.dependencies.clock.readMonotonic()),
            });
        }
        return { kind: "refused", cause, retryAfterMs };
    }
}

const noHeaders: ReadonlySet<string> = new Set();

function computeRunFingerprint(request: RunRequest): string {
    return computeFingerprint(request.service, request.method, request.path, request.body);
}

function describeLoss(cause: LossCause): FailureCause {
    return cause === "aborted" ? "noAnswer" : cause;
}
