/**
 * Decides which request runs next at one endpoint and which is refused. The decisions are separate from input and
 * output.
 *
 * Load patterns handled:
 *
 * - A peak above the endpoint's slots: requests wait in order of priority, and one that can't be served in time is
 *   refused at once, not after a wait.
 * - An overloaded service deep in the call graph: calls of requests that already run go before new work of the same
 *   priority, since refusing a call wastes the run that made it.
 * - Runs that make several calls in sequence to an overloaded service: the run with the most served calls goes first;
 *   otherwise many runs make a little progress and all fail.
 * - An endpoint that names how many requests a second it takes: see `runPacer.ts`.
 * - An endpoint that slows down: the estimated wait grows with the measured run time, so the queue holds fewer
 *   requests.
 * - Customers that compete: see `fairOrder.ts`. Only where requests name customers.
 */

import { createFairWaiter, FairOrder, rankWaiting } from "./fairOrder.js";
import type { FairCandidate, FairWaiter } from "./fairOrder.js";
import { RemainingUse } from "./remainingUse.js";
import type { RunPacer } from "./runPacer.js";

/** A request that asks for a concurrency slot at the endpoint. Times are on the monotonic clock, in milliseconds. */
export interface Candidate extends FairCandidate {
    /** Calls from the client's request to this one, counting this one; 0 for the client's request itself. */
    readonly depth: number;
    /** Calls of the same run that were served before this one. */
    readonly servedBefore: number;
    /** Priority of the route of the client's request; 0 is the most urgent. */
    readonly priority: number;
    /** Route by whose average run time the wait is estimated. */
    readonly route: string;
    /** Time after which the answer is of no use to the caller. */
    readonly deadline: number;
    /** Time by which the answer meets its route's target latency; until then it has its full value to the caller. */
    readonly target: number;
}

/** Result of {@link RunQueue.offer}; `waitMs` is the estimated wait in milliseconds. */
export type QueueDecision =
    | { readonly kind: "run"; }
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; readonly waitMs: number; };

/** Weight of a new sample in the average run time of a route. */
const runMsWeight = 0.1;
/** Run time assumed before the first sample, in milliseconds. */
const assumedRunMs = 50;
/** Part of the time up to the target that a request may spend waiting; the most urgent priority and who came back may use all of it. */
const maxWaitShare = 0.5;

/** Pace at which requests may start, besides the limit of concurrency. */
export type Pace = Pick<RunPacer, "take" | "computeWaitMs">;

const noPace: Pace = { take: () => true, computeWaitMs: () => 0 };

/** Weight of every customer where none is given. */
const findEqualWeight = (): number => 1;

/** Requests that wait for one endpoint, in the order in which they will run, and the number of running ones. */
export class RunQueue<T extends Candidate> {
    private readonly waiting: FairWaiter<T>[] = [];
    private readonly order: FairOrder<T>;
    /** Average run time of each route, in milliseconds. */
    private readonly averageRunMsByRoute = new Map<string, number>();
    private readonly remainingUse = new RemainingUse(route => this.getAverageRunMs(route));
    private running = 0;
    private limit = 1;

    /** `findWeight` returns the weight of a customer among those that compete; 1 is usual. */
    constructor(private readonly pace: Pace = noPace, findWeight: (customer: string) => number = findEqualWeight) {
        this.order = new FairOrder<T>({
            getRunMs: route => this.getAverageRunMs(route),
            getAverageRunMs: () => this.getOverallAverageRunMs(),
            estimateRemainingMs: candidate => this.remainingUse.estimateMs(candidate),
            findWeight,
        });
    }

    getRunning(): number {
        return this.running;
    }

    getWaiting(): number {
        return this.waiting.length;
    }

    getLimit(): number {
        return this.limit;
    }

    /** Sets how many requests may run at once; at least 1. */
    setLimit(limit: number): void {
        this.limit = Math.max(1, limit);
    }

    /** Average run time of a route, in milliseconds. */
    getAverageRunMs(route: string): number {
        return this.averageRunMsByRoute.get(route) ?? assumedRunMs;
    }

    /** Average over the average run times of all routes, in milliseconds. */
    getOverallAverageRunMs(): number {
        let total = 0;
        for (const averageMs of this.averageRunMsByRoute.values()) {
            total += averageMs;
        }
        return this.averageRunMsByRoute.size === 0 ? assumedRunMs : total / this.averageRunMsByRoute.size;
    }

    /** Asks for a concurrency slot. A request that has to wait is returned by {@link takeNext} when its turn comes. */
    offer(candidate: T, now: number): QueueDecision {
        if (candidate.customer !== undefined && !this.order.isActive()) {
            this.order.start(this.waiting);
        }
        if (this.order.isActive() && this.remainingUse.recordArrival(candidate)) {
            this.order.refresh(this.waiting);
        }
        if (this.running < this.limit && this.waiting.length === 0 && this.pace.take()) {
            this.running += 1;
            return { kind: "run" };
        }
        const ahead = this.countAhead(candidate);
        const waitMs = this.estimateWaitMs(ahead);
        if (waitMs > this.computeMaxWaitMs(candidate, now)) {
            return { kind: "refuse", waitMs };
        }
        const waiter = createFairWaiter(candidate);
        this.waiting.splice(ahead, 0, waiter);
        if (this.order.isActive()) {
            this.order.add(waiter);
            rankWaiting(this.waiting);
        }
        return { kind: "wait" };
    }

    /** Takes the next request if a concurrency slot is free and the pace allows it. The slot counts as used from now on. */
    takeNext(): T | undefined {
        if (this.running >= this.limit || this.waiting.length === 0 || !this.pace.take()) {
            return undefined;
        }
        const next = this.waiting.shift()!;
        this.running += 1;
        if (this.order.isActive()) {
            this.order.recordStart(next, this.waiting);
        }
        return next.candidate;
    }

    /**
     * Removes and returns the requests that can't meet their deadlines any more, for example because more urgent ones
     * went ahead or runs became slower; the least urgent first.
     */
    removeLate(now: number): T[] {
        const late: T[] = [];
        // One pass over the queue: run times of those ahead are summed up once, since queues are long in overload.
        let aheadMs = this.waiting.reduce((sum, { candidate }) => sum + this.getAverageRunMs(candidate.route), 0);
        for (let index = this.waiting.length - 1; index >= 0; index -= 1) {
            const { candidate } = this.waiting[index]!;
            const runMs = this.getAverageRunMs(candidate.route);
            aheadMs -= runMs;
            const maxWaitMs = candidate.deadline - now - runMs;
            if (this.computeWaitMs(index, aheadMs) > Math.max(maxWaitMs, 0) || maxWaitMs <= 0) {
                late.push(candidate);
            }
        }
        this.withdraw(late);
        return late;
    }

    /** Removes a request from the queue; `false` when it isn't there. */
    remove(candidate: T): boolean {
        const isWaiting = this.waiting.some(waiter => waiter.candidate === candidate);
        if (isWaiting) {
            this.withdraw([candidate]);
        }
        return isWaiting;
    }

    /** Empties the queue and returns its requests. */
    removeAll(): T[] {
        const removed = this.waiting.map(waiter => waiter.candidate);
        this.withdraw(removed);
        return removed;
    }

    /**
     * Frees the concurrency slot of a run. `ranMs` is its run time in milliseconds; `undefined` when the run says
     * nothing about the endpoint's speed.
     */
    release(route: string, ranMs: number | undefined): void {
        this.running -= 1;
        if (ranMs !== undefined) {
            const before = this.averageRunMsByRoute.get(route) ?? ranMs;
            this.averageRunMsByRoute.set(route, before + (ranMs - before) * runMsWeight);
        }
    }

    /** Time until the pace allows the next waiting request, in milliseconds; `undefined` if the pace holds up none. */
    computePaceWaitMs(): number | undefined {
        return this.running < this.limit && this.waiting.length > 0 ? this.pace.computeWaitMs(0) : undefined;
    }

    /** Estimates the wait of a request with `ahead` others before it, in milliseconds. */
    estimateWaitMs(ahead: number): number {
        let aheadMs = 0;
        for (let index = 0; index < ahead; index += 1) {
            aheadMs += this.getAverageRunMs(this.waiting[index]!.candidate.route);
        }
        return this.computeWaitMs(ahead, aheadMs);
    }

    /** Wait of a request with `ahead` others before it, whose run times sum up to `aheadMs`; in milliseconds. */
    private computeWaitMs(ahead: number, aheadMs: number): number {
        return Math.max(this.computeSlotWaitMs(ahead, aheadMs), this.pace.computeWaitMs(ahead));
    }

    private computeSlotWaitMs(ahead: number, aheadMs: number): number {
        if (this.running < this.limit && ahead === 0) {
            return 0;
        }
        const averageMs = ahead === 0 ? this.getOverallAverageRunMs() : aheadMs / ahead;
        return (ahead + 1) * averageMs / this.limit;
    }

    /**
     * Longest wait that leaves time for the run, in milliseconds. The deadline limits every wait, the target only that
     * of a client's request, not of a call.
     */
    private computeMaxWaitMs(candidate: T, now: number): number {
        const runMs = this.getAverageRunMs(candidate.route);
        const untilDeadline = candidate.deadline - now - runMs;
        if (candidate.depth > 0) {
            return untilDeadline;
        }
        const untilTarget = candidate.target - now - runMs;
        const mayWaitLong = candidate.priority === 0 || candidate.hasReturned === true;
        const maxWaitMs = mayWaitLong ? untilTarget : untilTarget * maxWaitShare;
        return Math.min(untilDeadline, Math.max(maxWaitMs, 0));
    }

    /** Takes requests out of the queue that will not run; where customers compete, that moves those behind them up. */
    private withdraw(candidates: readonly T[]): void {
        for (const candidate of candidates) {
            const [waiter] = this.waiting.splice(this.waiting.findIndex(each => each.candidate === candidate), 1);
            if (this.order.isActive()) {
                this.order.remove(waiter!);
            }
        }
        if (candidates.length > 0 && this.order.isActive()) {
            rankWaiting(this.waiting);
        }
    }

    /** Queued requests that would run before this one. */
    private countAhead(candidate: T): number {
        if (this.order.isActive()) {
            return this.countAheadByRank(candidate);
        }
        const index = this.waiting.findIndex(waiter => hasPrecedence(candidate, waiter.candidate));
        return index === -1 ? this.waiting.length : index;
    }

    private countAheadByRank(candidate: T): number {
        const rank = this.order.computeRank(candidate);
        const { priority } = candidate;
        const index = this.waiting.findIndex(({ candidate: other, rank: otherRank }) =>
            priority === other.priority ? rank < otherRank : priority < other.priority
        );
        return index === -1 ? this.waiting.length : index;
    }
}

/** Whether `a` runs before `b`: by the priority of the client's request, then by the work already spent on it. */
function hasPrecedence(a: Candidate, b: Candidate): boolean {
    if (a.priority !== b.priority) {
        return a.priority < b.priority;
    }
    if (a.depth !== b.depth) {
        return a.depth > b.depth;
    }
    return a.servedBefore === b.servedBefore
        ? a.hasReturned === true && b.hasReturned !== true
        : a.servedBefore > b.servedBefore;
}
