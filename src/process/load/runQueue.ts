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
 */

import type { RunPacer } from "./runPacer.js";

/** A request that asks for a concurrency slot at the endpoint. Times are on the monotonic clock, in milliseconds. */
export interface Candidate {
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
/** Part of the time up to the target that a request may spend waiting; the most urgent priority may use all of it. */
const maxWaitShare = 0.5;

/** Pace at which requests may start, besides the limit of concurrency. */
export type Pace = Pick<RunPacer, "take" | "computeWaitMs">;

const noPace: Pace = { take: () => true, computeWaitMs: () => 0 };

interface Waiter<T extends Candidate> {
    readonly candidate: T;
    readonly arrival: number;
}

/** Requests that wait for one endpoint, in the order in which they will run, and the number of running ones. */
export class RunQueue<T extends Candidate> {
    private readonly waiting: Waiter<T>[] = [];
    /** Average run time of each route, in milliseconds. */
    private readonly averageRunMsByRoute = new Map<string, number>();
    private running = 0;
    private limit = 1;

    constructor(private readonly pace: Pace = noPace) {}

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

    /** Asks for a concurrency slot. A request that has to wait is returned by {@link takeNext} when its turn comes. */
    offer(candidate: T, now: number): QueueDecision {
        if (this.running < this.limit && this.waiting.length === 0 && this.pace.take()) {
            this.running += 1;
            return { kind: "run" };
        }
        const ahead = this.countAhead(candidate);
        const waitMs = this.estimateWaitMs(ahead);
        if (waitMs > this.computeMaxWaitMs(candidate, now)) {
            return { kind: "refuse", waitMs };
        }
        this.waiting.splice(ahead, 0, { candidate, arrival: now });
        return { kind: "wait" };
    }

    /** Takes the next request if a concurrency slot is free and the pace allows it. The slot counts as used from now on. */
    takeNext(): T | undefined {
        if (this.running >= this.limit || this.waiting.length === 0 || !this.pace.take()) {
            return undefined;
        }
        const next = this.waiting.shift();
        if (next !== undefined) {
            this.running += 1;
        }
        return next?.candidate;
    }

    /**
     * Removes and returns the requests that can't meet their deadlines any more, for example because more urgent ones
     * went ahead or runs became slower; the least urgent first.
     */
    removeLate(now: number): T[] {
        const late: T[] = [];
        for (let index = this.waiting.length - 1; index >= 0; index -= 1) {
            const { candidate } = this.waiting[index]!;
            const maxWaitMs = candidate.deadline - now - this.getAverageRunMs(candidate.route);
            if (this.estimateWaitMs(index) > Math.max(maxWaitMs, 0) || maxWaitMs <= 0) {
                this.waiting.splice(index, 1);
                late.push(candidate);
            }
        }
        return late;
    }

    /** Removes a request from the queue; `false` when it isn't there. */
    remove(candidate: T): boolean {
        const index = this.waiting.findIndex(waiter => waiter.candidate === candidate);
        if (index !== -1) {
            this.waiting.splice(index, 1);
        }
        return index !== -1;
    }

    /** Empties the queue and returns its requests. */
    removeAll(): T[] {
        return this.waiting.splice(0).map(waiter => waiter.candidate);
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
        return Math.max(this.estimateSlotWaitMs(ahead), this.pace.computeWaitMs(ahead));
    }

    private estimateSlotWaitMs(ahead: number): number {
        if (this.running < this.limit && ahead === 0) {
            return 0;
        }
        let total = 0;
        for (let index = 0; index < ahead; index += 1) {
            total += this.getAverageRunMs(this.waiting[index]!.candidate.route);
        }
        const averageMs = ahead === 0 ? this.computeOverallAverageRunMs() : total / ahead;
        return (ahead + 1) * averageMs / this.limit;
    }

    /** Average over the average run times of all routes, in milliseconds. */
    private computeOverallAverageRunMs(): number {
        let total = 0;
        for (const averageMs of this.averageRunMsByRoute.values()) {
            total += averageMs;
        }
        return this.averageRunMsByRoute.size === 0 ? assumedRunMs : total / this.averageRunMsByRoute.size;
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
        const maxWaitMs = candidate.priority === 0 ? untilTarget : untilTarget * maxWaitShare;
        return Math.min(untilDeadline, Math.max(maxWaitMs, 0));
    }

    /** Queued requests that would run before this one. */
    private countAhead(candidate: T): number {
        const index = this.waiting.findIndex(waiter => hasPrecedence(candidate, waiter.candidate));
        return index === -1 ? this.waiting.length : index;
    }
}

/** Whether `a` runs before `b`: by the priority of the client's request, then by the work already spent on it. */
function hasPrecedence(a: Candidate, b: Candidate): boolean {
    if (a.priority !== b.priority) {
        return a.priority < b.priority;
    }
    return a.depth === b.depth ? a.servedBefore > b.servedBefore : a.depth > b.depth;
}
