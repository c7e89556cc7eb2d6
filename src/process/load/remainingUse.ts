/**
 * Estimates how much of an endpoint's time a request still needs there, its calls that are still to come included. The
 * decisions are separate from input and output.
 *
 * Load pattern handled: a short service that is asked by direct requests and by runs that make several calls in a row. All
 * that wait there are worth the same inside a priority, so its time brings most when it goes to those that need least of
 * it: the last call of a run before the others, a direct request before the first call of a run that needs more. Work that
 * was spent elsewhere doesn't count, since it is not what runs short.
 *
 * How many calls a run makes is learned from the calls that come, by the route of the client's request: one that says that
 * three were served before it shows a run of four. The number falls slowly while no call shows as many.
 */

/** A request or call, as far as its remaining use depends on it. */
export interface UseCandidate {
    /** Route of the client's request. */
    readonly originRoute: string;
    /** Route of the request or call itself. */
    readonly route: string;
    /** Calls from the client's request to this one; 0 for the client's request itself. */
    readonly depth: number;
    /** Calls of the same run that were served before this one. */
    readonly servedBefore: number;
}

/** Part by which the learned number of calls approaches that of a call that shows fewer. */
const forgetWeight = 0.002;
/** Calls beyond which a run counts as needing no more. */
const maxCalls = 8;

/** Knows how many calls the runs of each client's route make to one service. */
export class RemainingUse {
    private readonly callsByRoute = new Map<string, number>();

    constructor(private readonly getRunMs: (route: string) => number) {}

    /** Learns from a request that has come. Returns whether it shows another number of calls than was known of its route. */
    recordArrival({ originRoute, depth, servedBefore }: UseCandidate): boolean {
        if (depth === 0) {
            return false;
        }
        const shown = Math.min(maxCalls, servedBefore + 1);
        const known = this.callsByRoute.get(originRoute) ?? shown;
        this.callsByRoute.set(originRoute, Math.max(shown, known + (shown - known) * forgetWeight));
        return shown > Math.round(known);
    }

    /** Time of the endpoint that a request still needs, in milliseconds. */
    estimateMs({ originRoute, route, depth, servedBefore }: UseCandidate): number {
        // In whole calls: otherwise what comes later would need a little less than what waits already.
        const calls = depth === 0 ? 1 : Math.round(this.callsByRoute.get(originRoute) ?? 1);
        return Math.max(1, calls - servedBefore) * this.getRunMs(route);
    }
}
