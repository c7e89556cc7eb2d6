/**
 * Measures how slow the local endpoint is. The node beside an endpoint sees all of its runs, so it notices a slow endpoint
 * long before any of its many callers could.
 *
 * Load patterns handled:
 *
 * - A service with routes of very different run times. One run of a long route says nothing about the endpoint, so each run counts
 *   by its time over the usual one of its route, as the node that sent it has seen it at all instances.
 * - An endpoint that shares its machine with others and becomes slower and faster several times a second, faster than an average of
 *   its runs can follow. Its answers say how long work takes there at the moment, so runs are averaged as if the machine
 *   were as usual, and the average is multiplied by what was stated last.
 */
import { updateAverage } from "../base/average.js";
import type { Clock } from "../base/clock.js";

/** Weight of a new run in the average. */
const runWeight = 0.1;
/** Time after the last end of a run in which the average counts, in milliseconds. An avoided endpoint is tried again. */
const averageValidMs = 2000;
/** Time after which a stated slowness no longer counts, in milliseconds. */
const slownessValidMs = 500;
/** Number of runs in progress from which on their ages count. */
const minRunsInProgress = 3;

/** Average slowness of runs, which also reflects runs in progress; 1 is as usual. */
export class RunTimeMonitor {
    private average = 0;
    private lastEndAt = -Infinity;
    private inProgress = 0;
    /** Sums over the runs in progress: 1 over the usual time, and the start on the monotonic clock over the usual time. */
    private inverseSum = 0;
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

    /**
     * Records the start of a run whose route usually takes `usualMs` milliseconds, and returns the function that records its
     * end. A run whose usual time isn't known (0) is not counted.
     */
    start(usualMs: number): () => void {
        if (usualMs <= 0) {
            return () => undefined;
        }
        const startedAt = this.clock.readMonotonic();
        const slownessAtStart = this.getSlowness();
        this.inProgress += 1;
        this.inverseSum += 1 / usualMs;
        this.startSum += startedAt / usualMs;
        return () => {
            this.inProgress -= 1;
            this.inverseSum -= 1 / usualMs;
            this.startSum -= startedAt / usualMs;
            const average = this.getRecentAverage();
            this.lastEndAt = this.clock.readMonotonic();
            const sample = (this.lastEndAt - startedAt) / usualMs * 2 / (slownessAtStart + this.getSlowness());
            this.average = updateAverage(average, sample, runWeight);
        };
    }

    /**
     * Average time of a run over the usual one; 0 when none ended lately. When an endpoint turns slow, its runs don't end for
     * a while; they are on average in the middle of their time, so twice their age stands for it.
     */
    getAverage(): number {
        const ended = this.getRecentAverage() * this.getSlowness();
        if (this.inProgress < minRunsInProgress) {
            return ended;
        }
        const averageAge = (this.clock.readMonotonic() * this.inverseSum - this.startSum) / this.inProgress;
        return Math.max(ended, 2 * averageAge);
    }

    private getSlowness(): number {
        return this.clock.readMonotonic() - this.slownessStatedAt < slownessValidMs ? this.statedSlowness : 1;
    }

    /** Average slowness of a run if the machine is as usual. */
    private getRecentAverage(): number {
        return this.clock.readMonotonic() - this.lastEndAt < averageValidMs ? this.average : 0;
    }
}
