/**
 * Which request runs next at one endpoint, and which is turned away: decisions apart from input and output.
 *
 * Load patterns that it answers: a peak above the endpoint's slots (requests wait in order of urgency, and what can't be
 * served in time is turned away at once, not after a wait); a deep service whose callers already run (their calls go before
 * new work of the same rank, since a call turned away wastes the run that made it); runs that make several calls to a full service
 * one after the other (who has been served most goes first, or many runs get on a little and all fail); an endpoint that slows (the estimated wait grows with the
 * measured run time, so the line gets shorter in requests).
 */

/** A request that asks for a place at the endpoint. Times are on a monotonic scale, in milliseconds. */
export interface Candidate {
    /** Calls between the caller's request and this one; 0 for the request itself. */
    readonly depth: number;
    /** Calls of the same run that were served before this one. */
    readonly servedBefore: number;
    /** Rank of the caller's request; 0 is the most urgent. */
    readonly priority: number;
    /** Route, by whose run times the wait is estimated. */
    readonly route: string;
    /** Time by which its answer has lost its worth to the caller. */
    readonly deadline: number;
    /** Time by which its answer has its full worth. */
    readonly target: number;
}

/** Outcome of asking for a place. */
export type QueueDecision =
    | { readonly kind: "run"; }
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; readonly waitMs: number; };

/** Weight of a new sample in the average run time of a route. */
const runWeight = 0.1;
/** Run time assumed before the first sample, in milliseconds. */
const assumedRunMs = 50;
/** Part of the time up to the target that a request may spend waiting. */
const maxWaitShare = 0.5;

interface Waiter<T extends Candidate> {
    readonly candidate: T;
    readonly arrival: number;
}

/** Waiting requests of one endpoint in the order in which they will run. */
export class RunQueue<T extends Candidate> {
    private readonly waiting: Waiter<T>[] = [];
    private readonly runMs = new Map<string, number>();
    private running = 0;
    private limit = 1;

    getRunning(): number {
        return this.running;
    }

    getWaiting(): number {
        return this.waiting.length;
    }

    getLimit(): number {
        return this.limit;
    }

    /** Sets how many requests may run at once. */
    setLimit(limit: number): void {
        this.limit = Math.max(1, limit);
    }

    /** Average run time of a route, in milliseconds. */
    getRunMs(route: string): number {
        return this.runMs.get(route) ?? assumedRunMs;
    }

    /** Asks for a place. A request that waits is handed out by {@link takeNext}. */
    offer(candidate: T, now: number): QueueDecision {
        if (this.running < this.limit && this.waiting.length === 0) {
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

    /** Takes the next waiting request if a place is free. Its place counts as taken from now on. */
    takeNext(): T | undefined {
        if (this.running >= this.limit) {
            return undefined;
        }
        const next = this.waiting.shift();
        if (next !== undefined) {
            this.running += 1;
        }
        return next?.candidate;
    }

    /** Takes out waiting requests that more urgent ones have pushed too far back, the least urgent first. */
    removeLate(now: number): T[] {
        const hopeless: T[] = [];
        for (let index = this.waiting.length - 1; index >= 0; index -= 1) {
            const { candidate } = this.waiting[index]!;
            const leftMs = candidate.deadline - now - this.getRunMs(candidate.route);
            if (this.estimateWaitMs(index) > Math.max(leftMs, 0) || leftMs <= 0) {
                this.waiting.splice(index, 1);
                hopeless.push(candidate);
            }
        }
        return hopeless;
    }

    /** Takes a request out of the line; `false` when it isn't there. */
    remove(candidate: T): boolean {
        const index = this.waiting.findIndex(waiter => waiter.candidate === candidate);
        if (index !== -1) {
            this.waiting.splice(index, 1);
        }
        return index !== -1;
    }

    /** Empties the line. */
    removeAll(): T[] {
        return this.waiting.splice(0).map(waiter => waiter.candidate);
    }

    /** Gives back the place of a run. `ranMs` is `undefined` when the run says nothing of the endpoint's speed. */
    release(route: string, ranMs: number | undefined): void {
        this.running -= 1;
        if (ranMs !== undefined) {
            const before = this.runMs.get(route) ?? ranMs;
            this.runMs.set(route, before + (ranMs - before) * runWeight);
        }
    }

    /** Estimates the wait of a request with so many others ahead of it, in milliseconds. */
    estimateWaitMs(ahead: number): number {
        if (this.running < this.limit && ahead === 0) {
            return 0;
        }
        let total = 0;
        for (let index = 0; index < ahead; index += 1) {
            total += this.getRunMs(this.waiting[index]!.candidate.route);
        }
        const averageMs = ahead === 0 ? this.computeAverageRunMs() : total / ahead;
        return (ahead + 1) * averageMs / this.limit;
    }

    private computeAverageRunMs(): number {
        let total = 0;
        for (const each of this.runMs.values()) {
            total += each;
        }
        return this.runMs.size === 0 ? assumedRunMs : total / this.runMs.size;
    }

    private computeMaxWaitMs(candidate: T, now: number): number {
        const runMs = this.getRunMs(candidate.route);
        const untilDeadline = candidate.deadline - now - runMs;
        if (candidate.depth > 0) {
            return untilDeadline;
        }
        const untilTarget = candidate.target - now - runMs;
        const wanted = candidate.priority === 0 ? untilTarget : untilTarget * maxWaitShare;
        return Math.min(untilDeadline, Math.max(wanted, 0));
    }

    /** Waiting requests that would run before this one. */
    private countAhead(candidate: T): number {
        const index = this.waiting.findIndex(waiter => isMoreUrgent(candidate, waiter.candidate));
        return index === -1 ? this.waiting.length : index;
    }
}

/** The rank of the caller's request decides, then the work that was spent on it already. */
function isMoreUrgent(a: Candidate, b: Candidate): boolean {
    if (a.priority !== b.priority) {
        return a.priority < b.priority;
    }
    return a.depth === b.depth ? a.servedBefore > b.servedBefore : a.depth > b.depth;
}
