/**
 * Tells refused callers when to come back, and knows them when they do. One schedule for each entry node: callers come
 * back to the node that refused them, so no message is needed. The decisions are separate from input and output.
 *
 * Load patterns handled:
 *
 * - A peak above the room of a service. Callers that are told random times come back into the same peak, among new requests.
 *   Here return times are reserved one after the other, at a part of the rate at which requests from here are served,
 *   the most urgent first; who comes back at the reserved time goes before new requests of the same priority.
 * - Callers that repeat at once and often. A repetition before the reserved time goes with new requests and gets the
 *   same time again, so it gains nothing.
 * - A service that has just refused a request wherever it was offered. For a moment its new requests of the same customer and of no higher priority
 *   are refused here, without a message to other nodes.
 *
 * A request that came back has a new id. It is known by what it asks for and by its end: the moment at which its caller gives
 * up is the same for all attempts of one request. A caller that states another end only misses the precedence.
 */
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";

/** A request that was refused for lack of room. Times are on the monotonic clock, in milliseconds. */
export interface RefusedRequest {
    /** What it asks for: equal for all attempts of a request. */
    readonly subject: string;
    readonly service: string;
    readonly route: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** When its caller gives up. */
    readonly deadline: number;
    /** When its answer loses value, counted from the first attempt. */
    readonly target: number;
}

/** A time at which a refused request was told to come back. */
export interface ReturnPromise {
    readonly deadline: number;
    readonly target: number;
    /** Reserved time; `undefined` if there was no room that is early enough for the request. */
    readonly returnAt: number | undefined;
}

/** What became of promises, since the start. */
export interface ReturnCounts {
    promised: number;
    unpromised: number;
    kept: number;
    early: number;
}

/** Share of the served rate that is reserved for requests that come back. */
const returnShare = 0.5;
/** Half-life of the served rate, in milliseconds. */
const rateHalfLifeMs = 1000;
/** Lowest rate at which return times are reserved, in requests per millisecond. */
const minRate = 0.001;
/** Shortest time after which a caller is told to come back, in milliseconds. */
const minReturnMs = 150;
/** Longest time after which callers come back, as a share of the time that they have left. */
const maxReturnShare = 1 / 3;
/** Difference up to which the ends of two attempts count as the same, in milliseconds. */
const deadlineToleranceMs = 120;
/** Time by which a request may come before its reserved time, in milliseconds. */
const earlyToleranceMs = 25;
/** Time for which a refusal everywhere stands for the next requests, in milliseconds. */
const noRoomMs = 20;
/** Weight of a new sample in the average time in which a route's requests are answered. */
const answerMsWeight = 0.1;
/** Promises beyond which the oldest are forgotten. */
const maxPromises = 5000;

/** Served rate of a service, and the reserved times. */
interface ServiceState {
    /** Served requests per millisecond. */
    rate: number;
    rateAt: number;
    /** Last reserved time by priority. */
    readonly lastReturnByPriority: Map<number, number>;
}

/** Reserves return times and recognises the requests that come back. */
export class ReturnSchedule {
    readonly counts: ReturnCounts = { promised: 0, unpromised: 0, kept: 0, early: 0 };
    private readonly services = new Map<string, ServiceState>();
    private readonly answerMsByRoute = new Map<string, number>();
    private readonly promisesBySubject = new Map<string, ReturnPromise>();
    private readonly noRoom = new Map<string, { readonly until: number; readonly priority: number; }>();

    constructor(private readonly clock: Clock, private readonly random: Random) {}

    /** Records that a request was served `elapsedMs` milliseconds after it arrived. */
    recordServed(service: string, route: string, elapsedMs: number): void {
        const state = this.getState(service);
        const now = this.clock.readMonotonic();
        state.rate = this.computeRate(state, now) + Math.LN2 / rateHalfLifeMs;
        state.rateAt = now;
        const before = this.answerMsByRoute.get(route) ?? elapsedMs;
        this.answerMsByRoute.set(route, before + (elapsedMs - before) * answerMsWeight);
    }

    /**
     * Finds the promise of a request that comes. A promise whose time has come is used up; one that is early stays, and
     * its request has no precedence.
     */
    take(subject: string, deadline: number): { readonly target: number; readonly isDue: boolean; } | undefined {
        const promise = this.findPromise(subject, deadline);
        if (promise === undefined) {
            return undefined;
        }
        const { target, returnAt } = promise;
        const isDue = returnAt !== undefined && this.clock.readMonotonic() >= returnAt - earlyToleranceMs;
        if (isDue) {
            this.promisesBySubject.delete(subject);
            this.counts.kept += 1;
        }
        else if (returnAt !== undefined) {
            this.counts.early += 1;
        }
        return { target, isDue };
    }

    /** Reserves a time for a refused request; returns after how many milliseconds its caller shall come back. */
    offerReturn(request: RefusedRequest, estimatedWaitMs: number): number {
        const now = this.clock.readMonotonic();
        const { subject, deadline, target } = request;
        const known = this.findPromise(subject, deadline)?.returnAt;
        if (known !== undefined && known > now) {
            return known - now;
        }
        const longestMs = (deadline - now) * maxReturnShare;
        const returnAt = this.findReturnTime(request, now + Math.max(minReturnMs, estimatedWaitMs));
        const endAt = returnAt + (this.answerMsByRoute.get(request.route) ?? 0);
        const isPossible = returnAt <= now + longestMs && endAt <= target;
        this.savePromise(subject, { deadline, target, returnAt: isPossible ? returnAt : undefined });
        if (!isPossible) {
            this.counts.unpromised += 1;
            return Math.max(0, longestMs * (0.6 + this.random() * 0.4));
        }
        this.counts.promised += 1;
        this.takeReturnTime(request, returnAt);
        return returnAt - now;
    }

    /** Records that a service had no room for a customer's new request of this priority. */
    recordNoRoom(service: string, customer: string | undefined, priority: number): void {
        const until = this.clock.readMonotonic() + noRoomMs;
        this.noRoom.set(createRoomKey(service, customer), { until, priority });
    }

    /** Whether a service has just had no room for a customer's request of this priority or a higher one. */
    hasNoRoom(service: string, customer: string | undefined, priority: number): boolean {
        const refusal = this.noRoom.get(createRoomKey(service, customer));
        return refusal !== undefined && refusal.until > this.clock.readMonotonic() && priority >= refusal.priority;
    }

    /** Earliest time after those reserved for requests that are as urgent or more so. */
    private findReturnTime({ service, priority }: RefusedRequest, earliest: number): number {
        const state = this.getState(service);
        const gapMs = this.computeGapMs(state);
        let returnAt = earliest;
        for (const [other, last] of state.lastReturnByPriority) {
            if (other <= priority) {
                returnAt = Math.max(returnAt, last + gapMs);
            }
        }
        return returnAt;
    }

    private takeReturnTime({ service, priority }: RefusedRequest, returnAt: number): void {
        const state = this.getState(service);
        const gapMs = this.computeGapMs(state);
        state.lastReturnByPriority.set(priority, returnAt);
        for (const [other, last] of state.lastReturnByPriority) {
            if (other > priority && last >= returnAt) {
                state.lastReturnByPriority.set(other, last + gapMs);
            }
        }
    }

    private findPromise(subject: string, deadline: number): ReturnPromise | undefined {
        const promise = this.promisesBySubject.get(subject);
        return promise !== undefined && Math.abs(promise.deadline - deadline) <= deadlineToleranceMs
            ? promise
            : undefined;
    }

    private savePromise(subject: string, promise: ReturnPromise): void {
        this.promisesBySubject.delete(subject);
        this.promisesBySubject.set(subject, promise);
        const [oldest] = this.promisesBySubject.keys();
        const now = this.clock.readMonotonic();
        if (this.promisesBySubject.size > maxPromises || this.promisesBySubject.get(oldest!)!.deadline < now) {
            this.promisesBySubject.delete(oldest!);
        }
    }

    /** Time between two reserved times, in milliseconds. */
    private computeGapMs(state: ServiceState): number {
        const rate = this.computeRate(state, this.clock.readMonotonic());
        return 1 / Math.max(minRate, rate * returnShare);
    }

    private computeRate({ rate, rateAt }: ServiceState, now: number): number {
        return rate * 0.5 ** ((now - rateAt) / rateHalfLifeMs);
    }

    private getState(service: string): ServiceState {
        const known = this.services.get(service);
        if (known !== undefined) {
            return known;
        }
        const created = {
            rate: 0,
            rateAt: this.clock.readMonotonic(),
            lastReturnByPriority: new Map<number, number>(),
        };
        this.services.set(service, created);
        return created;
    }
}

function createRoomKey(service: string, customer: string | undefined): string {
    return `${service}/${customer ?? ""}`;
}
