/**
 * Decides which requests a stopping node still takes, when it closes its endpoint to new runs (executions of requests)
 * and when the process may end. Does no input or output.
 *
 * The endpoint keeps running without its node, but can't be reached until the node has restarted. So it stays open
 * while callers move to other instances. While no other instance of its service takes work, it stays open until just
 * enough time for its last runs is left.
 *
 * Callers may go on sending until the process has ended, and what is in progress then is cut. So in the later part of a
 * stop the node takes only what is sure to be answered before its end, and refuses the rest at once. Whatever it takes is due
 * before the end: endpoints are told the time that is really left, and answer in it.
 */
import { Cancellation } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";

/** Shortest time for which the endpoint stays open, so that callers can move to other instances, in milliseconds. */
const minEndpointOpenMs = 2200;
/** Time left for the last runs when the endpoint is closed before another instance takes work, in milliseconds. */
const lastRunsReserveMs = 1500;
/** Time from the latest end of the stop to the end of the grace period, when the process is killed, in milliseconds. */
const stopMarginMs = 600;

/** Part of the grace period in which every request is taken, since callers have hardly learnt of the stop. */
const openShare = 0.45;
/** Time between a request's deadline and its answer at the latest, in milliseconds. */
const lastAnswerMs = 100;
/** Time before the end of the stop up to which calls of runs in progress are taken; without them the runs fail. In milliseconds. */
const lastCallsReserveMs = 1000;

/** State of a graceful stop. Times are in milliseconds. */
export interface StopState {
    /** Time since the start of the stop. */
    readonly elapsedMs: number;
    /** Time from the start of the stop until the platform kills the process. */
    readonly graceMs: number;
    readonly isEndpointClosed: boolean;
    /** Whether another instance of the same service takes work. */
    readonly hasOtherInstance: boolean;
    /** Requests of callers that have not read their answers, plus runs at its endpoint; outcomes on their way count too. */
    readonly inProgress: number;
}

/** Next step of a graceful stop: wait, close the endpoint to new runs, or end the process. */
export type StopStep = "wait" | "close" | "end";

/** Decides the next step of a graceful stop. */
export function decideStopStep(state: StopState): StopStep {
    const remainingMs = computeStopMs(state.graceMs) - state.elapsedMs;
    if (remainingMs <= 0 || (state.isEndpointClosed && state.inProgress === 0)) {
        return "end";
    }
    const isCloseDue = state.elapsedMs >= minEndpointOpenMs
        && (state.hasOtherInstance || remainingMs < lastRunsReserveMs);
    return isCloseDue && !state.isEndpointClosed ? "close" : "wait";
}

/** Longest time from the start of a stop to the end of the process, in milliseconds. */
function computeStopMs(graceMs: number): number {
    return Math.max(0, graceMs - stopMarginMs);
}

/** The stop of a process, from its signal to its end; callers' requests ask it whether they are still taken. */
export class GracefulStop {
    /** Cancelled at the end of the process, for the requests that are in progress then. */
    readonly ending = new Cancellation();
    private startedAt: number | undefined;

    /** `graceMs` is the time from the signal until the platform kills the process, in milliseconds. */
    constructor(private readonly clock: Clock, private graceMs: number) {}

    /** Changes the grace period of a later stop: the platform counts one that is in progress from its own signal. */
    setGrace(graceMs: number): void {
        this.graceMs = this.hasStarted() ? this.graceMs : graceMs;
    }

    start(): void {
        this.startedAt ??= this.clock.readMonotonic();
    }

    hasStarted(): boolean {
        return this.startedAt !== undefined;
    }

    /** Decides the next step; must only be called after the start. */
    decideStep(state: Omit<StopState, "elapsedMs" | "graceMs">): StopStep {
        return decideStopStep({ ...state, elapsedMs: this.measureElapsedMs(), graceMs: this.graceMs });
    }

    /**
     * Whether a request is taken that is answered at `deadline` (monotonic, in milliseconds) at the latest. `isCall` says that
     * a run makes it, which is in progress itself.
     */
    canTake(deadline: number, isCall: boolean): boolean {
        const elapsedMs = this.measureElapsedMs();
        if (elapsedMs < this.graceMs * openShare) {
            return true;
        }
        const remainingMs = computeStopMs(this.graceMs) - elapsedMs;
        const leftMs = deadline - this.clock.readMonotonic();
        return leftMs + lastAnswerMs <= remainingMs || (isCall && remainingMs >= lastCallsReserveMs);
    }

    /**
     * Limits the deadline of a request or run that is taken now, so that its endpoint answers before the end of the stop. Times
     * are monotonic, in milliseconds.
     */
    lowerDeadline(deadline: number): number {
        return this.startedAt === undefined
            ? deadline
            : Math.min(deadline, this.startedAt + computeStopMs(this.graceMs) - lastAnswerMs);
    }

    private measureElapsedMs(): number {
        return this.startedAt === undefined ? 0 : this.clock.readMonotonic() - this.startedAt;
    }
}
