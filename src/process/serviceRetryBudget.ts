/**
 * Bound on second and later sends of requests to a service.
 *
 * In any window, a node sends at most a ratio of its own requests for the service again, plus its part of a slack that all
 * nodes share. The parts are fixed by the number of nodes, so the sum holds whoever ends, and no agreement is needed. The calls
 * of a run that was itself a repeat count as repeats, and less urgent requests leave a part of the allowance to the urgent ones.
 *
 * The requests are those of the window itself, of the one before it or of the one half a window before it, whichever has most:
 * when a service turns much away, chains end early and fewer requests reach it, just when repeats are worth most.
 */
import type { Clock } from "./clock.js";
import type { Origin } from "./runsInProgress.js";

/** Parts of the window that expire one by one. */
const slices = 10;
/** Ages of the windows whose requests count, in slices. */
const requestWindows = [0, slices / 2, slices];
/** Slices that are remembered. */
const keptSlices = 2 * slices;
/**
 * Part of the allowance in the first window after a restart: what the process sent in its life before counts in the same window
 * and is not known any more.
 */
const restartShare = 0.25;

/** Part of the allowance that requests other than the most urgent may use before any work was spent on them. */
const lessUrgentShare = 0.3;
/** Further part for each call that was served before: its work is wasted if the request fails now. */
const servedCallShare = 0.2;
/** Largest part of the allowance that requests other than the most urgent may use. */
const maxLessUrgentShare = 0.8;

function computeShare(origin: Pick<Origin, "priority" | "servedBefore">): number {
    return origin.priority === 0
        ? 1
        : Math.min(maxLessUrgentShare, lessUrgentShare + servedCallShare * origin.servedBefore);
}

/** Sends of one service in one slice of time. */
interface Slice {
    readonly index: number;
    requests: number;
    repeats: number;
}

/** Limits of the allowance. */
export interface RetryLimits {
    /** Repeats for each request of the same window. */
    readonly ratio: number;
    /** Repeats of a window that all nodes together may send besides. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Counts requests and repeats by service. */
export class ServiceRetryBudget {
    private readonly services = new Map<string, Slice[]>();
    private readonly startedAt: number;

    /** `isFirstStart` says that no process ran here before. */
    constructor(
        private readonly clock: Clock,
        private limits: RetryLimits,
        private readonly countNodes: () => number,
        private readonly isFirstStart: boolean,
    ) {
        this.startedAt = clock.readMonotonic();
    }

    /** Changes the limits. */
    setLimits(limits: RetryLimits): void {
        this.limits = limits;
    }

    /** Notes a first send to a service. */
    recordRequest(service: string): void {
        this.getCurrent(service).requests += 1;
    }

    /** Notes a first send that counts as a repeat, since the run that makes it is one. */
    recordInheritedRetry(service: string): void {
        this.getCurrent(service).repeats += 1;
    }

    /** Takes the allowance for one repeat; `false` when the part that the request may use is used up. */
    takeRetry(service: string, origin: Pick<Origin, "priority" | "servedBefore">): boolean {
        const current = this.getCurrent(service);
        const slack = this.limits.slack / Math.max(1, this.countNodes());
        const bound = (this.countRequests(service) * this.limits.ratio + slack) * this.getRestartShare();
        if (this.countRepeats(service) + 1 > bound * computeShare(origin)) {
            return false;
        }
        current.repeats += 1;
        return true;
    }

    private getRestartShare(): number {
        const isSettled = this.isFirstStart || this.clock.readMonotonic() - this.startedAt > this.limits.windowMs;
        return isSettled ? 1 : restartShare;
    }

    /** Repeats of the window that ends now, and of the slice that it begins in. */
    private countRepeats(service: string): number {
        const oldest = this.getIndex() - slices;
        return this.sum(service, slice => slice.index >= oldest ? slice.repeats : 0);
    }

    /** Requests of the window that ends now, or of an earlier one that counts too, in slices that lie in it whole. */
    private countRequests(service: string): number {
        const index = this.getIndex();
        const counts = requestWindows.map(age => {
            const newest = age === 0 ? index : index - age - 1;
            const oldest = index - age - slices + 1;
            return this.sum(
                service,
                slice => slice.index >= oldest && slice.index <= newest ? slice.requests : 0,
            );
        });
        return Math.max(...counts);
    }

    private sum(service: string, count: (slice: Slice) => number): number {
        return (this.services.get(service) ?? []).reduce((total, slice) => total + count(slice), 0);
    }

    private getCurrent(service: string): Slice {
        const index = this.getIndex();
        const list = this.services.get(service) ?? [];
        let current = list[list.length - 1];
        if (current === undefined || current.index !== index) {
            current = { index, requests: 0, repeats: 0 };
            this.services.set(service, [...list.filter(slice => slice.index > index - keptSlices), current]);
        }
        return current;
    }

    private getIndex(): number {
        return Math.floor(this.clock.readMonotonic() * slices / this.limits.windowMs);
    }
}
