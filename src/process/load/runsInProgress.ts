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
import type { DownstreamCalls, ShedLevel } from "./sheddingLevels.js";

/** The client's request, from outside, that a run or call descends from, and its place in the calls below it. */
export interface Origin {
    /** Name of its route. */
    readonly route: string;
    /** Priority of its route; 0 is the most urgent (in `Admission`, 0 is the lowest priority). */
    readonly priority: number;
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
    /**
     * Calls of one run that must be served before its repeats at a shedding service are paid for; `undefined` if the
     * client's request has no such plan. See `chainAdmission.ts`.
     */
    readonly paidAfter?: number | undefined;
}

/** Calls of a run, and of the runs below it, to one service. */
interface ServiceCalls {
    /** Calls of this run itself. */
    own: number;
    /** Calls of the runs below. */
    below: number;
    /** Calls of the run below that made the most. */
    inRowBelow: number;
    shedShare: number;
    /** When the share was measured, on the monotonic clock. */
    measuredAt: number;
}

/** What the calls of a run met downstream: no problem, an overloaded service (`crowd`), or another failure. */
export type DownstreamProblem = "none" | "crowd" | "failure";

/**
 * Share of a request's time, from its start to its deadline, that waiting downstream may take before the downstream
 * services count as overloaded.
 */
export const overloadedWaitShare = 0.3;

/** One run in progress, and the results of its calls. */
export class RunInProgress {
    private downstreamProblem: DownstreamProblem = "none";
    private waitedMs = 0;
    private servedCalls = 0;
    private downstreamUtilisation = 0;
    private readonly callsByService = new Map<string, ServiceCalls>();

    constructor(readonly origin: Origin) {}

    /** Calls of the run that were served so far; their work is wasted if the next one fails. */
    getServedCalls(): number {
        return this.servedCalls;
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

    /** Records a call of the run to a service, with the level that is known of it, and what the call itself led to. */
    recordCallTo(called: ShedLevel, below: readonly DownstreamCalls[], now: number): void {
        this.getServiceCalls(called, now).own += 1;
        for (const each of below) {
            const calls = this.getServiceCalls(each, now);
            calls.below += each.calls;
            calls.inRowBelow = Math.max(calls.inRowBelow, each.inRow);
        }
    }

    /** What the calls of the run led to so far. */
    listDownstreamCalls(now: number): readonly DownstreamCalls[] {
        return [...this.callsByService].map(([service, { own, below, inRowBelow, shedShare, measuredAt }]) => ({
            service,
            calls: own + below,
            inRow: Math.max(own, inRowBelow),
            shedShare,
            ageMs: now - measuredAt,
        }));
    }

    /** Finds the calls to a service, with the newest level that was reported with them. */
    private getServiceCalls({ service, shedShare, ageMs }: ShedLevel, now: number): ServiceCalls {
        const measuredAt = now - ageMs;
        const calls = this.callsByService.get(service) ?? { own: 0, below: 0, inRowBelow: 0, shedShare, measuredAt };
        this.callsByService.set(service, calls);
        if (measuredAt >= calls.measuredAt) {
            calls.shedShare = shedShare;
            calls.measuredAt = measuredAt;
        }
        return calls;
    }
}

/** Runs in progress by the id of their attempt. */
export class RunsInProgress {
    private readonly runs = new Map<string, RunInProgress>();

    /** Records the start of a run. */
    start(attemptId: string, origin: Origin): RunInProgress {
        const run = new RunInProgress(origin);
        this.runs.set(attemptId, run);
        return run;
    }

    /** Records the end of a run, unless a later run of the attempt has replaced it. */
    end(attemptId: string, run: RunInProgress): void {
        if (this.runs.get(attemptId) === run) {
            this.runs.delete(attemptId);
        }
    }

    /** Finds the run that makes a call; `undefined` when no such run is in progress. */
    find(attemptId: string | undefined): RunInProgress | undefined {
        return attemptId === undefined ? undefined : this.runs.get(attemptId);
    }
}
