/**
 * Retry budget of a node for each service.
 *
 * In any window, a node retries at most a ratio of its own requests to the service, plus its part of a slack that all
 * nodes share. The parts are fixed by the number of nodes, so the sum holds whichever nodes fail, and no coordination
 * is needed. The calls of a run that was itself a retry count as retries, and less urgent requests leave a part of the
 * budget to the urgent ones.
 *
 * Requests are counted in the current window, in the one that ended half a window ago and in the one that ended a
 * window ago; the largest count applies. Older windows count because, when a service refuses much, call chains end
 * early and fewer requests reach it, just when retries are worth most.
 */
import type { Clock } from "../base/clock.js";
import type { Origin } from "./runsInProgress.js";

/** Slices of a window, which expire one by one. */
const slicesPerWindow = 10;
/** Ages of the windows whose requests count, in slices. */
const requestWindowAges = [0, slicesPerWindow / 2, slicesPerWindow];
/** Slices that are kept for each service. */
const keptSlices = 2 * slicesPerWindow;
/**
 * Part of the budget in the first window after a restart: the retries of the previous process count in the same window,
 * but are no longer known.
 */
const restartBudgetShare = 0.25;

/** Part of the budget that requests other than the most urgent may use before any work was spent on them. */
const lessUrgentShare = 0.3;
/** Additional part for each call that was served before: its work is wasted if the request fails now. */
const servedCallShare = 0.2;
/** Largest part of the budget that requests other than the most urgent may use. */
const maxLessUrgentShare = 0.8;

/** Part of the budget that a request may use, by its priority and the work that was spent on it. */
function computeUsableShare(origin: Pick<Origin, "priority" | "servedBefore">): number {
    return origin.priority === 0
        ? 1
        : Math.min(maxLessUrgentShare, lessUrgentShare + servedCallShare * origin.servedBefore);
}

/** Requests and retries to one service in one slice of time. */
interface Slice {
    readonly index: number;
    requests: number;
    retries: number;
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
    private readonly services = new Map<string, Slice[]>();
    private readonly startedAt: number;

    /** `isFirstStart`: no process ran here before, so no earlier retries have to be allowed for. */
    constructor(
        private readonly clock: Clock,
        private limits: RetryLimits,
        private readonly countNodes: () => number,
        private readonly isFirstStart: boolean,
    ) {
        this.startedAt = clock.readMonotonic();
    }

    /** Replaces the limits; the counts are kept. */
    setLimits(limits: RetryLimits): void {
        this.limits = limits;
    }

    /** Records the first send of a request to a service. */
    recordRequest(service: string): void {
        this.getCurrentSlice(service).requests += 1;
    }

    /** Records a first send that counts as a retry, since the run that makes it is one. */
    recordInheritedRetry(service: string): void {
        this.getCurrentSlice(service).retries += 1;
    }

    /** Takes one retry; `false` when the part of the budget that the request may use is used up. */
    takeRetry(service: string, origin: Pick<Origin, "priority" | "servedBefore">): boolean {
        const current = this.getCurrentSlice(service);
        const slack = this.limits.slack / Math.max(1, this.countNodes());
        const maxRetries = (this.countRequests(service) * this.limits.ratio + slack) * this.getAvailableShare();
        if (this.countRetries(service) + 1 > maxRetries * computeUsableShare(origin)) {
            return false;
        }
        current.retries += 1;
        return true;
    }

    /** Part of the budget that is available; less than 1 only in the first window after a restart. */
    private getAvailableShare(): number {
        const isHistoryComplete = this.isFirstStart
            || this.clock.readMonotonic() - this.startedAt > this.limits.windowMs;
        return isHistoryComplete ? 1 : restartBudgetShare;
    }

    /** Retries of the current window, with all those of its oldest slice, which lies only partly in it. */
    private countRetries(service: string): number {
        const oldest = this.getSliceIndex() - slicesPerWindow;
        return this.sumSlices(service, slice => slice.index >= oldest ? slice.retries : 0);
    }

    /**
     * Requests of the current window, or of an earlier one if that has more. Slices that lie only partly in a window
     * don't count.
     */
    private countRequests(service: string): number {
        const index = this.getSliceIndex();
        const counts = requestWindowAges.map(age => {
            const newest = age === 0 ? index : index - age - 1;
            const oldest = index - age - slicesPerWindow + 1;
            return this.sumSlices(
                service,
                slice => slice.index >= oldest && slice.index <= newest ? slice.requests : 0,
            );
        });
        return Math.max(...counts);
    }

    private sumSlices(service: string, count: (slice: Slice) => number): number {
        return (this.services.get(service) ?? []).reduce((total, slice) => total + count(slice), 0);
    }

    private getCurrentSlice(service: string): Slice {
        const index = this.getSliceIndex();
        const slices = this.services.get(service) ?? [];
        let current = slices[slices.length - 1];
        if (current === undefined || current.index !== index) {
            current = { index, requests: 0, retries: 0 };
            this.services.set(service, [...slices.filter(slice => slice.index > index - keptSlices), current]);
        }
        return current;
    }

    private getSliceIndex(): number {
        return Math.floor(this.clock.readMonotonic() * slicesPerWindow / this.limits.windowMs);
    }
}
