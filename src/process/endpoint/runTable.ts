/**
 * Runs in progress at the local endpoint. A call of a run, here, is a request that the run sends to another service; it
 * carries the token of its run.
 */
import { randomUUID } from "node:crypto";
import type { ActionContext } from "../../request/action.js";
import { RetryBudget } from "../../request/retryBudget.js";
import type { Clock } from "../base/clock.js";

/** One run of a request at the local endpoint. */
export class Run {
    readonly token = randomUUID();
    readonly budget: RetryBudget;
    private readonly startedAt: number;
    private callsInProgress = 0;
    private callStartedAt = 0;
    private totalCallMs = 0;

    constructor(
        private readonly clock: Clock,
        readonly context: ActionContext,
        /** Monotonic time by which the run has to end, in milliseconds. */
        readonly deadline: number,
        /** Retries that the calls of the run may use. */
        budget: number,
        /** Aborts when the caller disconnects, which also cancels the calls of the run. */
        readonly signal: AbortSignal,
        /** Attempt number for the first send of each call of the run; not 1 if an earlier run may have made the call. */
        readonly firstCallAttempt: number,
    ) {
        this.budget = new RetryBudget(budget);
        this.startedAt = clock.readMonotonic();
    }

    /** Records the start of a call to another service. */
    startCall(): void {
        if (this.callsInProgress === 0) {
            this.callStartedAt = this.clock.readMonotonic();
        }
        this.callsInProgress += 1;
    }

    /** Records the end of a call to another service. */
    endCall(): void {
        this.callsInProgress -= 1;
        if (this.callsInProgress === 0) {
            this.totalCallMs += this.clock.readMonotonic() - this.callStartedAt;
        }
    }

    /** Time of the run so far in which no calls to other services were in progress, in milliseconds. */
    computeSelfTimeMs(): number {
        return Math.max(0, this.clock.readMonotonic() - this.startedAt - this.totalCallMs);
    }
}

/** Runs in progress, by token. */
export class RunTable {
    private readonly runs = new Map<string, Run>();

    add(run: Run): void {
        this.runs.set(run.token, run);
    }

    remove(run: Run): void {
        this.runs.delete(run.token);
    }

    find(token: string | undefined): Run | undefined {
        return token === undefined ? undefined : this.runs.get(token);
    }
}
