/**
 * Measures how long runs take at the local endpoint. The node beside an endpoint sees all of its runs, so it notices a
 * slow endpoint long before any of its many callers could.
 */
import type { Clock } from "../base/clock.js";

/** Weight of a new run in the average. */
const runWeight = 0.1;
/** Time after the last end of a run in which the average counts, in milliseconds. An avoided endpoint is tried again. */
const averageValidMs = 2000;
/** Number of runs in progress from which on their ages count. */
const minRunsInProgress = 3;

/** Average run time, which also reflects runs in progress. */
export class RunTimeMonitor {
    private averageMs = 0;
    private lastEndAt = -Infinity;
    private inProgress = 0;
    /** Sum of the start times of the runs in progress, on the monotonic clock in milliseconds. */
    private startSum = 0;

    constructor(private readonly clock: Clock) {}

    /** Records the start of a run and returns the function that records its end. */
    start(): () => void {
        const startedAt = this.clock.readMonotonic();
        this.inProgress += 1;
        this.startSum += startedAt;
        return () => {
            this.inProgress -= 1;
            this.startSum -= startedAt;
            const averageMs = this.getRecentAverageMs();
            this.lastEndAt = this.clock.readMonotonic();
            const ranMs = this.lastEndAt - startedAt;
            this.averageMs = averageMs === 0 ? ranMs : averageMs + (ranMs - averageMs) * runWeight;
        };
    }

    /**
     * Average time of a run in milliseconds; 0 when none ended lately. When an endpoint turns slow, its runs don't end for a
     * while; they are on average in the middle of their time, so twice their age stands for it.
     */
    getAverageMs(): number {
        if (this.inProgress < minRunsInProgress) {
            return this.getRecentAverageMs();
        }
        const averageAgeMs = this.clock.readMonotonic() - this.startSum / this.inProgress;
        return Math.max(this.getRecentAverageMs(), 2 * averageAgeMs);
    }

    private getRecentAverageMs(): number {
        return this.clock.readMonotonic() - this.lastEndAt < averageValidMs ? this.averageMs : 0;
    }
}
