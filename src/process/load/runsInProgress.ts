/**
 * Runs in progress at the local endpoint, and what their calls met downstream.
 *
 * A call that the endpoint makes names the attempt whose run makes it. So the call takes its priority from the client's
 * request, and the answer of the run tells the calling node whether the run failed by itself or because of a downstream
 * service.
 *
 * An attempt is one client's request or one call while it is routed. It may be sent to several instances, and more
 * than one of them may run it.
 */
import { updateAverage } from "../base/average.js";

/** The client's request, from outside, that a run or call descends from, and its place in the calls below it. */
export interface Origin {
    /** Name of its route. */
    readonly route: string;
    /** Priority of its customer, or of its route; 0 is the most urgent (in `Admission`, 0 is the lowest priority). */
    readonly priority: number;
    /** Priority of its route where its customer has another; `undefined` where `priority` is that of the route. */
    readonly routePriority?: number | undefined;
    /** Customer that sent it; `undefined` if it came without a customer's key. */
    readonly customer: string | undefined;
    /** Whether this run or call, or one that led to it, is a retry. */
    readonly isRepeated: boolean;
    /** Calls from the client's request to this one, counting this one; 0 for the client's request itself. */
    readonly depth: number;
    /** Calls of the same run that were served before this one. */
    readonly servedBefore: number;
    /** Whether it was refused before and came back at the time that it was told. */
    readonly hasReturned?: boolean | undefined;
}

/** What the calls of a run met downstream: no problem, an overloaded service (`crowd`), or another failure. */
export type DownstreamProblem = "none" | "crowd" | "failure";

/**
 * Share of a request's time, from its start to its deadline, that waiting downstream may take before the downstream
 * services count as overloaded.
 */
export const overloadedWaitShare = 0.3;

/** Weight of a run in the average number of calls of its route. */
const callsWeight = 0.2;

/** One run in progress, and the results of its calls. */
export class RunInProgress {
    private downstreamProblem: DownstreamProblem = "none";
    private waitedMs = 0;
    private servedCalls = 0;
    private downstreamUtilisation = 0;

    /** `usualCalls`: calls that a run of its route usually makes; 0 if that isn't known. */
    constructor(readonly origin: Origin, private readonly usualCalls: number) {}

    /** Calls of the run that were served so far; their work is wasted if the next one fails. */
    getServedCalls(): number {
        return this.servedCalls;
    }

    /** Calls that the run is likely to have left, its next one included; at least 1. */
    getCallsLeft(): number {
        return Math.max(1, this.usualCalls - this.servedCalls);
    }

    /** What the calls of the run met so far. An overloaded service takes precedence over another failure. */
    getDownstreamProblem(): DownstreamProblem {
        return this.downstreamProblem;
    }

    /** Time for which the calls of the run, and their own calls, waited in queues, in milliseconds. */
    getWaitedMs(): number {
        return this.waitedMs;
    }

    /** Highest utilisation of a downstream service that the calls of the run led to; above 1, requests wait there. */
    getDownstreamUtilisation(): number {
        return this.downstreamUtilisation;
    }

    /** Records how a call of the run ended. */
    recordCall(problem: DownstreamProblem, waitedMs: number, utilisation: number): void {
        this.waitedMs += waitedMs;
        this.downstreamUtilisation = Math.max(this.downstreamUtilisation, utilisation);
        this.servedCalls += problem === "none" ? 1 : 0;
        if (problem === "crowd" || this.downstreamProblem === "none") {
            this.downstreamProblem = problem;
        }
    }
}

/** Runs in progress by the id of their attempt. */
export class RunsInProgress {
    private readonly runs = new Map<string, RunInProgress>();
    private readonly averageCallsByRoute = new Map<string, number>();

    /** Records the start of a run of a route. */
    start(attemptId: string, origin: Origin, route: string): RunInProgress {
        const run = new RunInProgress(origin, this.averageCallsByRoute.get(route) ?? 0);
        this.runs.set(attemptId, run);
        return run;
    }

    /** Records the end of a run, unless a later run of the attempt has replaced it. */
    end(attemptId: string, run: RunInProgress): void {
        if (this.runs.get(attemptId) === run) {
            this.runs.delete(attemptId);
        }
    }

    /** Learns from a run that was served how many calls the runs of its route make. */
    recordServed(route: string, run: RunInProgress): void {
        const average = this.averageCallsByRoute.get(route) ?? 0;
        this.averageCallsByRoute.set(route, updateAverage(average, run.getServedCalls(), callsWeight));
    }

    /** Finds the run that makes a call; `undefined` when no such run is in progress. */
    find(attemptId: string | undefined): RunInProgress | undefined {
        return attemptId === undefined ? undefined : this.runs.get(attemptId);
    }
}
