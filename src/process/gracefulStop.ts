/**
 * When a stopping node closes its endpoint and when its process may end: decisions apart from input and output.
 *
 * The endpoint goes on without its node and is out of reach until the node is back. So it is closed as late as its runs allow,
 * and later still while no other instance of its service takes work.
 */

/** Time that callers are given to go elsewhere, and for which the endpoint still gets work, in milliseconds. */
const leaveMs = 2200;
/** Time for the last runs before a stop gives up waiting, in milliseconds. */
const lastRunsMs = 1500;
/** Time before the end of the grace period at which a stop gives up waiting, in milliseconds. */
const stopMarginMs = 600;

/** State of a stop. Times are in milliseconds. */
export interface StopState {
    readonly elapsedMs: number;
    readonly graceMs: number;
    readonly isEndpointClosed: boolean;
    /** Whether another instance of the own service takes work. */
    readonly hasOtherInstance: boolean;
    /** Requests that entered here and runs at the endpoint. */
    readonly inProgress: number;
}

/** What a stopping node does next. */
export type StopStep = "wait" | "close" | "end";

/** Decides the next step of a stop. */
export function decideStopStep(state: StopState): StopStep {
    const leftMs = Math.max(0, state.graceMs - stopMarginMs) - state.elapsedMs;
    if (leftMs <= 0 || (state.isEndpointClosed && state.inProgress === 0)) {
        return "end";
    }
    const isDue = state.elapsedMs >= leaveMs && (state.hasOtherInstance || leftMs < lastRunsMs);
    return isDue && !state.isEndpointClosed ? "close" : "wait";
}
