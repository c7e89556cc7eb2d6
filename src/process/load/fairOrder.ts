/**
 * Order in which the requests of several customers wait for one endpoint. The decisions are separate from input and
 * output.
 *
 * Load patterns handled:
 *
 * - A hot customer sends several times its usual number of requests. Inside a priority the customers share the endpoint's
 *   time by weighted max-min: each request has a virtual start, which lies behind those of its customer's earlier
 *   ones by their expected run times, so a customer with much waiting work waits behind itself, not before others.
 * - Many customers, a few of them large. A customer that waits for nothing saves up no credit, and one that was ahead is
 *   even again once nobody waits at its priority, so only competition is counted.
 * - Runs that make several calls, beside direct requests. Each starts virtually later by a multiple of the time that it still
 *   needs here (`remainingUse.ts`), so work that was begun here goes before new work until its customer is far ahead of
 *   the others; the difference is bounded, so it starves nobody.
 *
 * Where no request names a customer, nothing here takes part.
 */

import type { UseCandidate } from "./remainingUse.js";

/** What the order needs to know of a request. Times are on the monotonic clock, in milliseconds. */
export interface FairCandidate extends UseCandidate {
    /** Customer of the client's request; `undefined` without one. Such requests share as one customer. */
    readonly customer?: string | undefined;
    readonly priority: number;
    /** Whether the request was refused before and came back at the time that it was told. */
    readonly hasReturned?: boolean | undefined;
    readonly target: number;
}

/** A waiting request with its place in the order. Virtual times are of the endpoint's time, divided by weights. */
export interface FairWaiter<T extends FairCandidate> {
    readonly candidate: T;
    /** By how much its remaining use sets the request back, in virtual time. */
    setback: number;
    virtualStart: number;
    /** Virtual start and setback; the lowest goes first inside a priority. */
    rank: number;
}

/** Virtual time by which a request is set back for each millisecond that it still needs at the endpoint. */
const setbackByUse = 4;
/** Average run times of remaining use beyond which a request is set back no further. */
const maxSetbackRuns = 4;
/** Head start of a request that was refused before and came back at its time, in average run times. */
const returnHeadStartRuns = 4;
/** Head start of a call before a direct request that needs as much, since refusing it wastes what its run did elsewhere. */
const callHeadStartRuns = 0.5;
/** Name under which requests without a customer share. */
const noCustomer = "";

/** Waiting requests of one customer at one priority, and what it was served since all there were last even. */
interface Share<T extends FairCandidate> {
    nextStart: number;
    /** In the order in which they run. */
    readonly waiting: FairWaiter<T>[];
}

/** Shares of one priority. */
interface PriorityState<T extends FairCandidate> {
    /** Virtual time: no waiting request starts earlier. */
    now: number;
    waitingCount: number;
    readonly sharesByCustomer: Map<string, Share<T>>;
}

/** Costs and weights by which customers share. */
export interface FairTerms {
    /** Expected run time of a route, in milliseconds. */
    readonly getRunMs: (route: string) => number;
    /** Average run time over the routes, in milliseconds. */
    readonly getAverageRunMs: () => number;
    /** Time of the endpoint that a request still needs, its later calls included, in milliseconds. */
    readonly estimateRemainingMs: (candidate: UseCandidate) => number;
    /** Weight of a customer; 1 is usual. */
    readonly findWeight: (customer: string) => number;
}

/** Orders waiting requests by priority, then by the customers' shares. */
export class FairOrder<T extends FairCandidate> {
    private readonly states = new Map<number, PriorityState<T>>();
    private hasCustomers = false;

    constructor(private readonly terms: FairTerms) {}

    /** Whether a request has named a customer. Until then the order takes no part. */
    isActive(): boolean {
        return this.hasCustomers;
    }

    /** Takes part from now on, with the requests that wait already. */
    start(waiting: FairWaiter<T>[]): void {
        this.hasCustomers = true;
        waiting.forEach(waiter => this.add(waiter));
        rankWaiting(waiting);
    }

    /** Returns the rank that a request would have, as {@link FairWaiter.rank}. */
    computeRank(candidate: T): number {
        const state = this.states.get(candidate.priority);
        const share = state?.sharesByCustomer.get(candidate.customer ?? noCustomer);
        const setback = this.computeSetback(candidate);
        let virtualStart = state === undefined ? 0 : Math.max(state.now, share?.nextStart ?? 0);
        for (const other of share?.waiting ?? []) {
            if (!isBeforeInShare(candidate, setback, other)) {
                virtualStart += this.computeCost(other.candidate);
            }
        }
        return virtualStart + setback;
    }

    /** Adds a request to its customer's share. Ranks of other requests of that share may rise. */
    add(waiter: FairWaiter<T>): void {
        const { priority, customer = noCustomer } = waiter.candidate;
        const state = this.states.get(priority)
            ?? { now: 0, waitingCount: 0, sharesByCustomer: new Map<string, Share<T>>() };
        this.states.set(priority, state);
        const share: Share<T> = state.sharesByCustomer.get(customer) ?? { nextStart: 0, waiting: [] };
        state.sharesByCustomer.set(customer, share);
        state.waitingCount += 1;
        waiter.setback = this.computeSetback(waiter.candidate);
        const index = share.waiting.findIndex(other => isBeforeInShare(waiter.candidate, waiter.setback, other));
        share.waiting.splice(index === -1 ? share.waiting.length : index, 0, waiter);
        this.updateRanks(state, share);
    }

    /** Ranks the waiting requests anew, since what their routes need here has changed. */
    refresh(waiting: FairWaiter<T>[]): void {
        for (const waiter of waiting) {
            waiter.setback = this.computeSetback(waiter.candidate);
        }
        for (const state of this.states.values()) {
            for (const share of state.sharesByCustomer.values()) {
                share.waiting.sort((a, b) => a.setback - b.setback || a.candidate.target - b.candidate.target);
                this.updateRanks(state, share);
            }
        }
        rankWaiting(waiting);
    }

    /** Takes a request out that was not started, which gives its place back: ranks of the share behind it fall. */
    remove(waiter: FairWaiter<T>): void {
        const { priority, customer = noCustomer } = waiter.candidate;
        const state = this.states.get(priority)!;
        const share = state.sharesByCustomer.get(customer)!;
        share.waiting.splice(share.waiting.indexOf(waiter), 1);
        state.waitingCount -= 1;
        this.updateRanks(state, share);
        this.forgetIfEven(priority, state);
    }

    /** Takes a request out that starts, and charges its customer. `waiting` are all others that wait. */
    recordStart(waiter: FairWaiter<T>, waiting: readonly FairWaiter<T>[]): void {
        const { candidate, virtualStart } = waiter;
        const { priority, customer = noCustomer } = candidate;
        const state = this.states.get(priority)!;
        const share = state.sharesByCustomer.get(customer)!;
        share.waiting.splice(share.waiting.indexOf(waiter), 1);
        share.nextStart = virtualStart + this.computeCost(candidate);
        state.waitingCount -= 1;
        const earliest = waiting.reduce(
            (least, other) => other.candidate.priority === priority ? Math.min(least, other.virtualStart) : least,
            virtualStart,
        );
        state.now = Math.max(state.now, earliest);
        this.forgetIfEven(priority, state);
    }

    /** Once nobody waits at a priority, all customers are even there. */
    private forgetIfEven(priority: number, state: PriorityState<T>): void {
        if (state.waitingCount === 0) {
            this.states.delete(priority);
        }
    }

    private updateRanks(state: PriorityState<T>, share: Share<T>): void {
        let virtualStart = Math.max(state.now, share.nextStart);
        for (const waiter of share.waiting) {
            waiter.virtualStart = virtualStart;
            waiter.rank = virtualStart + waiter.setback;
            virtualStart += this.computeCost(waiter.candidate);
        }
    }

    private computeCost({ route, customer }: T): number {
        const weight = customer === undefined ? 1 : this.terms.findWeight(customer);
        return this.terms.getRunMs(route) / weight;
    }

    private computeSetback(candidate: T): number {
        const { getAverageRunMs, estimateRemainingMs } = this.terms;
        const averageMs = getAverageRunMs();
        const remainingMs = Math.min(maxSetbackRuns * averageMs, estimateRemainingMs(candidate));
        const headStartRuns = (candidate.depth > 0 ? callHeadStartRuns : 0)
            + (candidate.hasReturned === true ? returnHeadStartRuns : 0);
        return remainingMs * setbackByUse - headStartRuns * averageMs;
    }
}

/** Creates a waiting request that has no setback and no rank yet; {@link FairOrder.add} sets them. */
export function createFairWaiter<T extends FairCandidate>(candidate: T): FairWaiter<T> {
    return { candidate, setback: 0, virtualStart: 0, rank: 0 };
}

/** Sorts waiting requests by priority, then by rank. */
export function rankWaiting<T extends FairCandidate>(waiting: FairWaiter<T>[]): void {
    waiting.sort((a, b) =>
        a.candidate.priority - b.candidate.priority || a.rank - b.rank || a.candidate.target - b.candidate.target
    );
}

/** Whether a request goes before another of its customer: by what it still needs, then by the time to its target. */
function isBeforeInShare<T extends FairCandidate>(candidate: T, setback: number, other: FairWaiter<T>): boolean {
    return setback === other.setback ? candidate.target < other.candidate.target : setback < other.setback;
}
