/** Runs in progress at the local endpoint. The endpoint's calls to other services name their run by its token. */
import { randomUUID } from "node:crypto";
import type { ActionContext } from "../request/action.js";
import { RetryBudget } from "../request/retryBudget.js";
import type { Clock } from "./clock.js";

/** One run of a request at the local endpoint. */
export class Run {
    readonly token = randomUUID();
    readonly budget: RetryBudget;
    private readonly startedAt: number;
    private callsInProgress = 0;
    private callStartedAt = 0;
    private callMs = 0;

    constructor(
        private readonly clock: Clock,
        readonly context: ActionContext,
        /** Monotonic time at which the run has to be over, in milliseconds. */
        readonly deadline: number,
        budget: number,
        /** Aborts when the caller has gone; the run's calls end with it. */
        readonly signal: AbortSignal,
        /** Number of the first send for calls of this run, see {@link ActionContext.attempt}. */
        readonly firstCallAttempt: number,
    ) {
        this.budget = new RetryBudget(budget);
        this.startedAt = clock.readMonotonic();
    }

    /** Notes the start of a call to another service. */
    startCall(): void {
        if (this.callsInProgress === 0) {
            this.callStartedAt = this.clock.readMonotonic();
        }
        this.callsInProgress += 1;
    }

    /** Notes the end of a call to another service. */
    endCall(): void {
        this.callsInProgress -= 1;
        if (this.callsInProgress === 0) {
            this.callMs += this.clock.readMonotonic() - this.callStartedAt;
        }
    }

    /** Time of the run so far without the calls it waited for, in milliseconds. */
    computeOwnMs(): number {
        return Math.max(0, this.clock.readMonotonic() - this.startedAt - this.callMs);
    }
}

/** Runs by token. */
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
