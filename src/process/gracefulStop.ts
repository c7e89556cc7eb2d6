/**
 * Decides when a stopping node closes its endpoint to new runs (executions of requests) and when the process may end. Does no
 * input or output.
 *
 * The endpoint keeps running without its node, but can't be reached until the node is back. So it is closed as late as its
 * runs allow, and later still while no other instance of its service takes work.
 */

/** Time in which callers move to other instances while the endpoint still gets work, in milliseconds. */
const minOpenMs = 2200;
/** Time left for the last runs when the endpoint is closed although no other instance takes work, in milliseconds. */
const lastRunsReserveMs = 1500;
/** Time before the end of the grace period at which the stop ends in any case, before the process is killed, in milliseconds. */
const stopMarginMs = 600;

/** State of a graceful stop. Times are in milliseconds. */
export interface StopState {
    readonly elapsedMs: number;
    readonly graceMs: number;
    readonly isEndpointClosed: boolean;
    /** Whether another instance of the same service takes work. */
    readonly hasOtherInstance: boolean;
    /** Requests that entered at this node, plus runs at its endpoint. */
    readonly inProgress: number;
}

/** Next step of a graceful stop: wait, close the endpoint to new runs, or end the process. */
export type StopStep = "wait" | "close" | "end";

/** Decides the next step of a graceful stop. */
export function decideStopStep(state: StopState): StopStep {
    const leftMs = Math.max(0, state.graceMs - stopMarginMs) - state.elapsedMs;
    if (leftMs <= 0 || (state.isEndpointClosed && state.inProgress === 0)) {
        return "end";
    }
    const isCloseDue = state.elapsedMs >= minOpenMs && (state.hasOtherInstance || leftMs < lastRunsReserveMs);
    return isCloseDue && !state.isEndpointClosed ? "close" : "wait";
}
