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
 * The window before weighs most in the average: it is known to its end, and so may be used at once, when many requests are
 * lost together. When a service refuses much, call chains end early and fewer requests reach it, just when retries are worth
 * most; the window before knows how many they were. Of the window itself only the requests that came before the retry are
 * known. While the first requests came less than a window before the window, they were few, and it weighs less in
 * proportion. All nodes weigh a window alike, as far as their first requests to the service came at the same time.
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
/** Weight of the window before in the average, once requests came during all of it. */
const earlierWeight = 0.95;
/** Part of the slack that is refilled over each window; the rest bounds what is kept. */
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
const newRetryShare = 0.93;
/**
 * Part of a window's budget that new retries may use at once; the rest follows evenly over the window. So a burst of rejections
 * finds repeats in all of its seconds, and they go to the most valuable ones.
 */
const burstShare = 1 / 3;
/** Retries that may always be used at once, as far as the window's budget goes. */
const minBurst = 5;

/** Part of the budget of each window that a kind of retry may use, in all and at once. */
interface UsableShare {
    readonly total: number;
    readonly atOnce: number;
}

const inheritedRetryShare: UsableShare = { total: 1, atOnce: 1 };
const usableNewRetryShare: UsableShare = { total: newRetryShare, atOnce: burstShare };

/** Requests and retries to one service. */
interface ServiceCounts {
    /** Counts by slice, at its index modulo {@link keptSlices}. */
    readonly requests: Float64Array;
    /** Retries that requests pay for, or parts of them; the others are paid from the slack. */
    readonly retries: Float64Array;
    /** Index of the newest slice. */
    newest: number;
    /** Retries that the slack pays for now. */
    slack: number;
    /** Time up to which the slack was refilled, on the monotonic clock. */
    refilledAt: number;
    /** Index of the slice of the first request. */
    readonly first: number;
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
    /** New retries that were sent and that the budget had no room for, since the start. */
    readonly counts = { sent: 0, refused: 0 };
    private readonly services = new Map<string, ServiceCounts>();

    /** `isFirstStart`: no process ran here before, so no earlier retries have to be allowed for. */
    constructor(
        private readonly clock: Clock,
        private limits: RetryLimits,
        private readonly countNodes: () => number,
        private readonly isFirstStart: boolean,
        /** Decides on new retries; keeps some of the budget for the more valuable ones. */
        private readonly order: Pick<RepeatOrder, "recordWish"> = new RepeatOrder(clock),
    ) {}

    /** Replaces the limits; the counts are kept. */
    setLimits(limits: RetryLimits): void {
        this.limits = limits;
    }

    /** Records the first send of a request to a service. */
    recordRequest(service: string): void {
        const counts = this.getCounts(service);
        counts.requests[counts.newest % keptSlices]! += 1;
    }

    /**
     * Takes one retry for a first send that counts as a retry, since the run that makes it is one; `false` when the budget
     * is used up.
     */
    takeInheritedRetry(service: string): boolean {
        return this.take(this.getCounts(service), inheritedRetryShare, 0);
    }

    /** Takes one retry; `false` when the budget is used up, or kept for more valuable ones. */
    takeRetry(service: string, origin: RepeatOrigin): boolean {
        const kept = this.order.recordWish(service, origin);
        const isTaken = this.take(this.getCounts(service), usableNewRetryShare, kept);
        this.counts[isTaken ? "sent" : "refused"] += 1;
        return isTaken;
    }

    /** Takes one retry from a share of the budget if it leaves `kept` others; a part of it from the slack, if there is some. */
    private take(counts: ServiceCounts, share: UsableShare, kept: number): boolean {
        const fromSlack = Math.min(1, counts.slack);
        if (fromSlack + this.computeAvailable(counts, share) - kept < 1) {
            return false;
        }
        counts.slack -= fromSlack;
        counts.retries[counts.newest % keptSlices]! += 1 - fromSlack;
        return true;
    }

    /**
     * Retries that a share of what requests pay for still allows now, in each window that the present moment lies in; 0 if
     * others have used more than that share.
     */
    private computeAvailable({ requests, retries, newest, first }: ServiceCounts, share: UsableShare): number {
        const getCount = (counts: Float64Array, slice: number): number => slice < 0 ? 0 : counts[slice % keptSlices]!;
        // The windows begin in slice `start`, the oldest of them so that it ends now.
        let start = newest - slicesPerWindow;
        let requestsBefore = 0;
        for (let slice = start - slicesPerWindow + 1; slice < start; slice += 1) {
            requestsBefore += getCount(requests, slice);
        }
        let requestsSince = 0;
        let retriesSince = 0;
        for (let slice = start; slice <= newest; slice += 1) {
            requestsSince += slice === start ? 0 : getCount(requests, slice);
            retriesSince += getCount(retries, slice);
        }
        let available = Infinity;
        for (; start <= newest; start += 1) {
            const weight = earlierWeight * Math.min(1, Math.max(0, (start - first) / slicesPerWindow));
            const average = weight * requestsBefore + (1 - weight) * requestsSince;
            const budget = average * this.limits.ratio * share.total;
            const usableShare = Math.min(1, share.atOnce + (newest - start) / slicesPerWindow);
            const usable = Math.min(budget, Math.max(minBurst, budget * usableShare));
            available = Math.min(available, usable - retriesSince);
            requestsBefore += getCount(requests, start) - getCount(requests, start - slicesPerWindow + 1);
            requestsSince -= getCount(requests, start + 1);
            retriesSince -= getCount(retries, start);
        }
        return Math.max(0, available);
    }

    /** After a restart there is no slack yet: the earlier process may have used the slack in the same window. */
    private createCounts(newest: number, refilledAt: number): ServiceCounts {
        return {
            requests: new Float64Array(keptSlices),
            retries: new Float64Array(keptSlices),
            newest,
            slack: this.isFirstStart ? this.computeMaxSlack() : 0,
            refilledAt,
            first: newest,
        };
    }

    private computeMaxSlack(): number {
        return this.limits.slack === 0 ? 0 : Math.max(minKept, this.computeSlack() * (1 - refilledSlackShare));
    }

    /** This node's part of the slack, without what new retries leave. */
    private computeSlack(): number {
        return this.limits.slack * newRetryShare / Math.max(1, this.countNodes());
    }

    private getCounts(service: string): ServiceCounts {
        const now = this.clock.readMonotonic();
        const index = Math.floor(now * slicesPerWindow / this.limits.windowMs);
        const counts = this.services.get(service) ?? this.createCounts(index, now);
        this.services.set(service, counts);
        const refilled = this.computeSlack() * refilledSlackShare * (now - counts.refilledAt) / this.limits.windowMs;
        counts.slack = Math.min(this.computeMaxSlack(), counts.slack + refilled);
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
