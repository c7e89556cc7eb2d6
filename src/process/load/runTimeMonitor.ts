/**
 * Measures how long runs take at the local endpoint. The node beside an endpoint sees all of its runs, so it notices a
 * slow endpoint long before any of its many callers could.
 *
 * Load pattern handled: an endpoint shares its machine with others and becomes slower and faster several times a second,
 * faster than an average of its runs can follow. Its answers say how long work takes there at the moment, so runs are
 * averaged as if the machine were as usual, and the average is multiplied by what was stated last.
 */
import type { Clock } from "../base/clock.js";

/** Weight of a new run in the average. */
const runWeight = 0.1;
/** Time after the last end of a run in which the average counts, in milliseconds. An avoided endpoint is tried again. */
const averageValidMs = 2000;
/** Time after which a stated slowness no longer counts, in milliseconds. */
const slownessValidMs = 500;
/** Number of runs in progress from which on their ages count. */
const minRunsInProgress = 3;

/** Average run time, which also reflects runs in progress. */
export class RunTimeMonitor {
    private averageMs = 0;
    private lastEndAt = -Infinity;
    private inProgress = 0;
    /** Sum of the start times of the runs in progress, on the monotonic clock in milliseconds. */
    private startSum = 0;
    /** Slowness of the machine that the endpoint stated last; 1 is as usual. */
    private statedSlowness = 1;
    private slownessStatedAt = -Infinity;

    constructor(private readonly clock: Clock) {}

    /** Records how long work takes on the endpoint's machine, as one of its answers states it; 1 is as usual. */
    recordSlowness(slowness: number): void {
        this.statedSlowness = slowness;
        this.slownessStatedAt = this.clock.readMonotonic();
    }

    /** Records the start of a run and returns the function that records its end. */
    start(): () => void {
        const startedAt = this.clock.readMonotonic();
        const slownessAtStart = this.getSlowness();
        this.inProgress += 1;
        this.startSum += startedAt;
        return () => {
            this.inProgress -= 1;
            this.startSum -= startedAt;
            const averageMs = this.getRecentAverageMs();
            this.lastEndAt = this.clock.readMonotonic();
            const usualMs = (this.lastEndAt - startedAt) * 2 / (slownessAtStart + this.getSlowness());
            this.averageMs = averageMs === 0 ? usualMs : averageMs + (usualMs - averageMs) * runWeight;
        };
    }

    /**
     * Average time of a run in milliseconds; 0 when none ended lately. When an endpoint turns slow, its runs don't end for a
     * while; they are on average in the middle of their time, so twice their age stands for it.
     */
    getAverageMs(): number {
        if (this.inProgress < minRunsInProgress) {
            return this.getRecentAverageMs() * this.getSlowness();
        }
        const averageAgeMs = this.clock.readMonotonic() - this.startSum / this.inProgress;
        return Math.max(this.getRecentAverageMs() * this.getSlowness(), 2 * averageAgeMs);
    }

    private getSlowness(): number {
        return this.clock.readMonotonic() - this.slownessStatedAt < slownessValidMs ? this.statedSlowness : 1;
    }

    /** Average time of a run if the machine is as usual. */
    private getRecentAverageMs(): number {
        return this.clock.readMonotonic() - this.lastEndAt < averageValidMs ? this.averageMs : 0;
    }
}
