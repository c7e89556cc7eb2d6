/**
 * Bound on second and later sends of requests to a service.
 *
 * Over a window, a node sends at most a ratio of its own requests for the service again, plus its part of a slack that all
 * nodes share. The parts are fixed by the number of nodes, so the sum holds whoever ends, and no agreement is needed. The calls
 * of a run that was itself a repeat count as repeats, and less urgent requests leave a part of the allowance to the urgent ones.
 */
import type { Clock } from "./clock.js";
import type { Origin } from "./runsInProgress.js";

/** Parts of the window that expire one by one. */
const slices = 10;

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

/** Sends of one service in one slice of the window. */
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
export class RetryAllowance {
    private readonly services = new Map<string, Slice[]>();

    constructor(
        private readonly clock: Clock,
        private limits: RetryLimits,
        private readonly countNodes: () => number,
    ) {}

    /** Changes the limits. */
    setLimits(limits: RetryLimits): void {
        this.limits = limits;
    }

    /** Notes a first send to a service. */
    recordRequest(service: string): void {
        this.getCurrent(service).requests += 1;
    }

    /** Notes a first send that counts as a repeat, since the run that makes it is one. */
    recordInherited(service: string): void {
        this.getCurrent(service).repeats += 1;
    }

    /** Takes the allowance for one repeat; `false` when the part that the request may use is used up. */
    take(service: string, origin: Pick<Origin, "priority" | "servedBefore">): boolean {
        const current = this.getCurrent(service);
        const slack = this.limits.slack / Math.max(1, this.countNodes());
        const { requests, repeats } = this.sum(service);
        const share = computeShare(origin);
        if (repeats + 1 > (requests * this.limits.ratio + slack) * share) {
            return false;
        }
        current.repeats += 1;
        return true;
    }

    private sum(service: string): { requests: number; repeats: number; } {
        const oldest = this.getIndex() - slices;
        const list = (this.services.get(service) ?? []).filter(slice => slice.index > oldest);
        return {
            requests: list.reduce((total, slice) => total + slice.requests, 0),
            repeats: list.reduce((total, slice) => total + slice.repeats, 0),
        };
    }

    private getCurrent(service: string): Slice {
        const index = this.getIndex();
        const list = this.services.get(service) ?? [];
        let current = list[list.length - 1];
        if (current === undefined || current.index !== index) {
            current = { index, requests: 0, repeats: 0 };
            this.services.set(service, [...list.filter(slice => slice.index > index - slices), current]);
        }
        return current;
    }

    private getIndex(): number {
        return Math.floor(this.clock.readMonotonic() * slices / this.limits.windowMs);
    }
}
