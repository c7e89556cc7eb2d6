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
 * - Runs that make several calls. A call starts virtually earlier by some run times for each step that was served for
 *   it, so begun work goes before new work until its customer is far ahead of the others; the head start is bounded, so
 *   it starves nobody.
 *
 * Where no request names a customer, nothing here takes part.
 */

/** What the order needs to know of a request. Times are on the monotonic clock, in milliseconds. */
export interface FairCandidate {
    /** Customer of the client's request; `undefined` without one. Such requests share as one customer. */
    readonly customer?: string | undefined;
    readonly priority: number;
    readonly depth: number;
    readonly servedBefore: number;
    /** Whether the request was refused before and came back at the time that it was told. */
    readonly hasReturned?: boolean | undefined;
    readonly route: string;
    readonly target: number;
}

/** A waiting request with its place in the order. Virtual times are of the endpoint's time, divided by weights. */
export interface FairWaiter<T extends FairCandidate> {
    readonly candidate: T;
    /** Steps that were served for the request. */
    readonly steps: number;
    virtualStart: number;
    /** Virtual start less the head start; the lowest goes first inside a priority. */
    rank: number;
}

/** Head start for each step that was served for a request, in average run times. */
const headStartRuns = 4;
/** Steps beyond which a request gets no further head start. */
const maxHeadStartSteps = 8;
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
        const steps = countSteps(candidate);
        let virtualStart = state === undefined ? 0 : Math.max(state.now, share?.nextStart ?? 0);
        for (const other of share?.waiting ?? []) {
            if (!isBeforeInShare(candidate, steps, other)) {
                virtualStart += this.computeCost(other.candidate);
            }
        }
        return virtualStart - steps * this.computeStepMs();
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
        const index = share.waiting.findIndex(other => isBeforeInShare(waiter.candidate, waiter.steps, other));
        share.waiting.splice(index === -1 ? share.waiting.length : index, 0, waiter);
        this.updateRanks(state, share);
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
        const stepMs = this.computeStepMs();
        let virtualStart = Math.max(state.now, share.nextStart);
        for (const waiter of share.waiting) {
            waiter.virtualStart = virtualStart;
            waiter.rank = virtualStart - waiter.steps * stepMs;
            virtualStart += this.computeCost(waiter.candidate);
        }
    }

    private computeCost({ route, customer }: T): number {
        const weight = customer === undefined ? 1 : this.terms.findWeight(customer);
        return this.terms.getRunMs(route) / weight;
    }

    private computeStepMs(): number {
        return this.terms.getAverageRunMs() * headStartRuns;
    }
}

/** Creates a waiting request that has no rank yet. */
export function createFairWaiter<T extends FairCandidate>(candidate: T): FairWaiter<T> {
    return { candidate, steps: countSteps(candidate), virtualStart: 0, rank: 0 };
}

/** Sorts waiting requests by priority, then by rank. */
export function rankWaiting<T extends FairCandidate>(waiting: FairWaiter<T>[]): void {
    waiting.sort((a, b) =>
        a.candidate.priority - b.candidate.priority || a.rank - b.rank || a.candidate.target - b.candidate.target
    );
}

/** Steps that were served for a request: calls above it, calls of the same run, and the wait after a refusal. */
function countSteps({ depth, servedBefore, hasReturned }: FairCandidate): number {
    return Math.min(maxHeadStartSteps, depth + servedBefore + (hasReturned === true ? 1 : 0));
}

/** Whether a request goes before another of its customer: by the work already spent, then by the time to its target. */
function isBeforeInShare<T extends FairCandidate>(candidate: T, steps: number, other: FairWaiter<T>): boolean {
    return steps === other.steps ? candidate.target < other.candidate.target : steps > other.steps;
}
