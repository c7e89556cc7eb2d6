/**
 * Decides which repeats a scarce budget is spent on. The decisions are separate from input and output.
 *
 * Load pattern handled: a service turns away a large part of its arrivals though it has room, and requests make several calls
 * in a row there. All of them together need many times the repeats that the bound allows; whoever comes first gets them,
 * they are spent on chains that fail at a later call, and none are left for the rest of the window.
 *
 * A repeat is worth what it brings for all the repeats that the request still needs: the value of the request, by its
 * priority, over the calls of its run that are still to be served. A repeat is sent if the budget that is left covers, besides, what
 * more valuable repeats will need for a while, by how many were wanted lately. So nothing is held back where repeats suffice,
 * and where they don't, the chains that are furthest and the most urgent ones are carried to their end.
 */
import type { Clock } from "../base/clock.js";

/** Time for which the more valuable repeats are provided for, in milliseconds. */
const provisionMs = 2000;
/** Half-life of the counts of wanted repeats, in milliseconds. */
const demandHalfLifeMs = 300;
/** Value of a request relative to one of the next more urgent priority. */
const valueByPriority = 0.5;
/** Calls still to be served beyond which the value doesn't fall further. */
const maxCallsLeft = 8;

/** What decides on the value of a repeat. */
export interface RepeatOrigin {
    /** Priority of the client's request; 0 is the most urgent. */
    readonly priority: number;
    /** Priority of its route where its customer has another. */
    readonly routePriority?: number | undefined;
    /** Calls that the run which makes the call still has to get served, this one included. */
    readonly callsLeft: number;
}

/** Repeats of one value that were wanted lately. */
interface Demand {
    /** Decayed count. */
    count: number;
    countedAt: number;
}

/** Knows which repeats were wanted at the services, by their value. */
export class RepeatOrder {
    private readonly demandsByService = new Map<string, Map<number, Demand>>();

    constructor(private readonly clock: Clock) {}

    /**
     * Records that a repeat at a service is wanted; returns how many repeats more valuable ones are expected to need, which
     * the budget has to cover besides.
     */
    recordWish(service: string, origin: RepeatOrigin): number {
        const now = this.clock.readMonotonic();
        const value = computeValue(origin);
        const demands = this.demandsByService.get(service) ?? new Map<number, Demand>();
        this.demandsByService.set(service, demands);
        let moreValuable = 0;
        for (const [otherValue, demand] of demands) {
            if (otherValue > value) {
                moreValuable += computeCount(demand, now);
            }
        }
        const own = demands.get(value);
        demands.set(value, { count: 1 + (own === undefined ? 0 : computeCount(own, now)), countedAt: now });
        return moreValuable * Math.LN2 / demandHalfLifeMs * provisionMs;
    }
}

/** Where a customer has a priority of its own, it counts as much as that of the route, which says what the request is worth. */
function computeValue({ priority, routePriority = priority, callsLeft }: RepeatOrigin): number {
    return valueByPriority ** ((priority + routePriority) / 2)
        / Math.min(maxCallsLeft, Math.max(1, Math.round(callsLeft)));
}

function computeCount({ count, countedAt }: Demand, now: number): number {
    return count * 0.5 ** ((now - countedAt) / demandHalfLifeMs);
}
