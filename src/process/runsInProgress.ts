/**
 * Runs in progress at the endpoint beside this node, and what their calls met.
 *
 * A call that the endpoint makes names the attempt whose run makes it. So the call takes its rank from the request that a
 * caller sent, and the answer of the run tells the node before whether it failed for itself or for a service behind.
 */

/** Request of a caller that runs and calls go back to. */
export interface Origin {
    /** Its route. */
    readonly route: string;
    /** Rank of its route; 0 is the most urgent. */
    readonly priority: number;
    /** Whether this branch of it is a repeat. */
    readonly isRepeated: boolean;
    /** Calls between it and here. */
    readonly depth: number;
    /** Calls of the same run that were served before this one. */
    readonly servedBefore: number;
}

/** What the calls of a run met: nothing bad, a service without room, or a failure. */
export type DownstreamProblem = "none" | "crowd" | "failure";

/** Part of a request's time that waiting behind may take before the services behind count as crowded. */
export const overloadedWaitShare = 0.3;

/** One run in progress. */
export class RunInProgress {
    private behind: DownstreamProblem = "none";
    private waitedMs = 0;
    private servedCalls = 0;
    private pressure = 0;

    constructor(readonly origin: Origin) {}

    /** Calls of the run that were served so far: work that is wasted if the next one fails. */
    getServedCalls(): number {
        return this.servedCalls;
    }

    /** What the calls of the run met so far. */
    getDownstreamProblem(): DownstreamProblem {
        return this.behind;
    }

    /** Time for which calls of the run, and calls of those, waited for a place, in milliseconds. */
    getWaitedMs(): number {
        return this.waitedMs;
    }

    /** Part of the places that was taken at the fullest service that calls of the run led to. */
    getDownstreamUtilisation(): number {
        return this.pressure;
    }

    /** Notes how a call of the run ended. */
    recordCall(behind: DownstreamProblem, waitedMs: number, pressure: number): void {
        this.waitedMs += waitedMs;
        this.pressure = Math.max(this.pressure, pressure);
        this.servedCalls += behind === "none" ? 1 : 0;
        if (behind === "crowd" || this.behind === "none") {
            this.behind = behind;
        }
    }
}

/** Runs in progress by attempt. */
export class RunsInProgress {
    private readonly runs = new Map<string, RunInProgress>();

    /** Notes the start of a run. */
    start(attemptId: string, origin: Origin): RunInProgress {
        const run = new RunInProgress(origin);
        this.runs.set(attemptId, run);
        return run;
    }

    /** Notes the end of a run. */
    end(attemptId: string, run: RunInProgress): void {
        if (this.runs.get(attemptId) === run) {
            this.runs.delete(attemptId);
        }
    }

    /** Finds the run that makes a call. */
    find(attemptId: string | undefined): RunInProgress | undefined {
        return attemptId === undefined ? undefined : this.runs.get(attemptId);
    }
}
