/**
 * Retry budget of a node for each service.
 *
 * The bound: in any window, all nodes together send at most a ratio of the requests to the service in retries, plus a
 * slack; the requests are those of that window or of the one before it, whichever has more. Each node keeps its part
 * without asking the others: in every window its retries are at most the ratio of the *average* of its requests in that
 * window and in the window before it, plus its part of the slack. The sum over the nodes of an average is the average of
 * two sums, and so at most the larger one, however requests move between the nodes. (A node that took the larger of its own
 * two counts would not keep it: requests that move are the larger count of two nodes.) Only a node's own retries and
 * requests count, so that a restart neither adds to the budget nor takes from it.
 *
 * So the budget has two sources:
 *
 * - The requests of the window before, known to the end whenever the retry falls into a window. They may be used at once:
 *   many requests are lost together. When a service refuses much, call chains end early and fewer requests reach it, just
 *   when retries are worth most; the window before knows how many they were.
 * - The requests of the window itself, of which only those that came before the retry are known. Each earns a part of a
 *   retry, and earned parts are kept only up to half of the node's part of the slack. The other half is earned over time.
 *
 * The calls of a run that was itself a retry count as retries. They may use the whole budget and new retries only a part
 * of it. Among new retries, `repeatOrder.ts` decides.
 */
import type { Clock } from "../base/clock.js";
import type { RepeatOrigin } from "./repeatOrder.js";
import { RepeatOrder } from "./repeatOrder.js";

/** Slices of a window. A slice that lies partly in a window counts for the retries and not for the requests. */
const slicesPerWindow = 50;
/** Slices that are kept: those of two windows, and the oldest of them which lies only partly in them. */
const keptSlices = 2 * slicesPerWindow + 1;
/** Part of the ratio that the requests of the window before pay for; those of the window itself pay for the rest. */
const earlierShare = 0.85;
/** Part of the slack that is earned over each window without requests; the rest bounds what is earned and kept. */
const refilledSlackShare = 0.5;
/**
 * Retries that a node may always keep: a retry can't be sent in parts. With more nodes than retries in the slack the sum
 * exceeds it by less than one for each node, which is less than what new retries leave of the bound.
 */
const minKept = 1;

/**
 * Part of the budget that new retries may use. The rest is left to the calls of runs that are retries already, and to
 * the requests that an endpoint gets twice without this node's doing.
 */
const newRetryShare = 0.9;
/** Retries that {@link ServiceCounts.earnedForNew} may hold, in addition to the part of the slack. */
const extraEarnedForNew = 4;

/** Requests and retries to one service. */
interface ServiceCounts {
    /** Counts by slice, at its index modulo {@link keptSlices}. */
    readonly requests: Float64Array;
    /** Retries that the window before pays for, or parts of them. */
    readonly retries: Float64Array;
    /** Index of the newest slice. */
    newest: number;
    /** Retries that the requests of the window itself have paid for and that were not sent yet. */
    earned: number;
    /** The same for new retries, which take more than one each if they may use only a part of the budget. */
    earnedForNew: number;
    /** Time up to which the slack was earned, on the monotonic clock. */
    refilledAt: number;
}

/** Limits of the retry budget. */
export interface RetryLimits {
    /** Retries for each request of the same window. */
    readonly ratio: number;
    /** Retries per window that all nodes together may send in addition. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Counts requests and retries by service, and limits the retries. */
export class ServiceRetryBudget {
    private readonly services = new Map<string, ServiceCounts>();
    private readonly order: RepeatOrder;

    /** `isFirstStart`: no process ran here before, so no earlier retries have to be allowed for. */
    constructor(
        private readonly clock: Clock,
        private limits: RetryLimits,
        private readonly countNodes: () => number,
        private readonly isFirstStart: boolean,
    ) {
        this.order = new RepeatOrder(clock);
    }

    /** Replaces the limits; the counts are kept. */
    setLimits(limits: RetryLimits): void {
        this.limits = limits;
    }

    /** Records the first send of a request to a service. */
    recordRequest(service: string): void {
        const counts = this.getCounts(service);
        counts.requests[counts.newest % keptSlices]! += 1;
        this.addEarned(counts, this.limits.ratio * (1 - earlierShare));
    }

    /**
     * Takes one retry for a first send that counts as a retry, since the run that makes it is one; `false` when the budget
     * is used up.
     */
    takeInheritedRetry(service: string): boolean {
        const counts = this.getCounts(service);
        const earned = Math.min(1, counts.earned);
        if (earned + this.computeAvailable(counts, 1) < 1) {
            return false;
        }
        takeFrom(counts, earned);
        return true;
    }

    /** Takes one retry; `false` when the budget is used up, or kept for more valuable ones. */
    takeRetry(service: string, origin: RepeatOrigin): boolean {
        const counts = this.getCounts(service);
        const kept = this.order.recordWish(service, origin);
        const earned = Math.min(1, counts.earned, counts.earnedForNew * newRetryShare);
        if (earned + this.computeAvailable(counts, newRetryShare) - kept < 1) {
            return false;
        }
        counts.earnedForNew -= earned / newRetryShare;
        takeFrom(counts, earned);
        return true;
    }

    /**
     * Retries that a share of what the window before pays for still allows now, in each window that the present moment
     * lies in; 0 if others have used more than that share.
     */
    private computeAvailable({ requests, retries, newest }: ServiceCounts, share: number): number {
        const perRequest = this.limits.ratio * earlierShare * share;
        const getCount = (counts: Float64Array, slice: number): number => slice < 0 ? 0 : counts[slice % keptSlices]!;
        // The windows begin in slice `first`, the oldest of them so that it ends now.
        let first = newest - slicesPerWindow;
        let requestsBefore = 0;
        for (let slice = first - slicesPerWindow + 1; slice < first; slice += 1) {
            requestsBefore += getCount(requests, slice);
        }
        let retriesSince = 0;
        for (let slice = first; slice <= newest; slice += 1) {
            retriesSince += getCount(retries, slice);
        }
        let available = Infinity;
        for (; first <= newest; first += 1) {
            available = Math.min(available, requestsBefore * perRequest - retriesSince);
            requestsBefore += getCount(requests, first) - getCount(requests, first - slicesPerWindow + 1);
            retriesSince -= getCount(retries, first);
        }
        return Math.max(0, available);
    }

    /** After a restart nothing is earned yet: the earlier process may have used the slack in the same window. */
    private createCounts(newest: number, refilledAt: number): ServiceCounts {
        const earned = this.isFirstStart ? this.computeMaxEarned() : 0;
        return {
            requests: new Float64Array(keptSlices),
            retries: new Float64Array(keptSlices),
            newest,
            earned,
            earnedForNew: earned,
            refilledAt,
        };
    }

    private addEarned(counts: ServiceCounts, retries: number): void {
        const maxEarned = this.computeMaxEarned();
        counts.earned = Math.min(maxEarned, counts.earned + retries);
        counts.earnedForNew = Math.min(maxEarned + extraEarnedForNew, counts.earnedForNew + retries);
    }

    private computeMaxEarned(): number {
        return this.limits.slack === 0 ? 0 : Math.max(minKept, this.computeSlack() * (1 - refilledSlackShare));
    }

    private computeSlack(): number {
        return this.limits.slack / Math.max(1, this.countNodes());
    }

    private getCounts(service: string): ServiceCounts {
        const now = this.clock.readMonotonic();
        const index = Math.floor(now * slicesPerWindow / this.limits.windowMs);
        const counts = this.services.get(service) ?? this.createCounts(index, now);
        this.services.set(service, counts);
        const refilled = this.computeSlack() * refilledSlackShare * (now - counts.refilledAt) / this.limits.windowMs;
        this.addEarned(counts, refilled);
        counts.refilledAt = now;
        for (; counts.newest < index; counts.newest += 1) {
            if (index - counts.newest > keptSlices) {
                counts.newest = index - keptSlices;
            }
            const position = (counts.newest + 1) % keptSlices;
            counts.requests[position] = 0;
            counts.retries[position] = 0;
        }
        return counts;
    }
}

/** Takes one retry, a part of it from what was earned and the rest from what the window before pays for. */
function takeFrom(counts: ServiceCounts, earned: number): void {
    counts.earned -= earned;
    counts.retries[counts.newest % keptSlices]! += 1 - earned;
}
