/**
 * Decides when a stopping node closes its endpoint to new runs (executions of requests) and when the process may end.
 * Does no input or output.
 *
 * The endpoint keeps running without its node, but can't be reached until the node has restarted. So it stays open
 * while callers move to other instances. While no other instance of its service takes work, it stays open until just
 * enough time for its last runs is left.
 */

/** Shortest time for which the endpoint stays open, so that callers can move to other instances, in milliseconds. */
const minEndpointOpenMs = 2200;
/** Time left for the last runs when the endpoint is closed before another instance takes work, in milliseconds. */
const lastRunsReserveMs = 1500;
/** Time from the latest end of the stop to the end of the grace period, when the process is killed, in milliseconds. */
const stopMarginMs = 600;

/** State of a graceful stop. Times are in milliseconds. */
export interface StopState {
    /** Time since the start of the stop. */
    readonly elapsedMs: number;
    /** Time from the start of the stop until the platform kills the process. */
    readonly graceMs: number;
    readonly isEndpointClosed: boolean;
    /** Whether another instance of the same service takes work. */
    readonly hasOtherInstance: boolean;
    /** Requests that this node received from callers, plus runs at its endpoint. */
    readonly inProgress: number;
}

/** Next step of a graceful stop: wait, close the endpoint to new runs, or end the process. */
export type StopStep = "wait" | "close" | "end";

/** Decides the next step of a graceful stop. */
export function decideStopStep(state: StopState): StopStep {
    const remainingMs = Math.max(0, state.graceMs - stopMarginMs) - state.elapsedMs;
    if (remainingMs <= 0 || (state.isEndpointClosed && state.inProgress === 0)) {
        return "end";
    }
    const isCloseDue = state.elapsedMs >= minEndpointOpenMs
        && (state.hasOtherInstance || remainingMs < lastRunsReserveMs);
    return isCloseDue && !state.isEndpointClosed ? "close" : "wait";
}
