/**
 * Priority threshold of one endpoint: while it is overloaded, requests below the threshold are refused on arrival here and at
 * the entries that learn of it, so that no work is spent on what the queue would refuse in the end.
 *
 * The idea is that of DAGOR (SoCC 2018). The threshold is raised by the share that had to be refused in a window, and lowered
 * bucket by bucket, faster with each calm window, so that it neither cuts off what there is room for nor lingers.
 */
import { maxPriority } from "../request/leg.js";

/** Length of a window, in milliseconds. */
export const windowMs = 200;
/** Share of the admitted requests that is shed in each window of overload beside what was refused. */
const extraShare = 0.05;
/** Largest share that is shed in one window. */
const maxShare = 0.9;
/** Share of refusals that counts as overload although the queue was empty at times. */
const refusedShare = 0.1;
/** Priorities that share a counter. */
const bucketWidth = 16;
const bucketCount = Math.ceil((maxPriority + 1) / bucketWidth);
/** Part of the memory of arrivals that is left after each window. */
const memoryShare = 0.9;
/** Remembered arrivals below which a bucket counts as empty. */
const emptyWeight = 0.05;

/** Threshold that follows the load of one endpoint. */
export class PriorityThreshold {
    /** Arrivals of this window at or above the threshold, by bucket. */
    private readonly passing = new Uint32Array(bucketCount);
    /** Decaying memory of all arrivals, by bucket. */
    private readonly remembered = new Float64Array(bucketCount);
    private refused = 0;
    private calmWindows = 0;
    private level = 0;

    /** Priority below which requests are refused; 0 refuses nothing. */
    getLevel(): number {
        return this.level;
    }

    /** Counts an arrival and tells whether it may enter. */
    isAdmitted(priority: number): boolean {
        const bucket = Math.min(bucketCount - 1, Math.floor(priority / bucketWidth));
        this.remembered[bucket]! += 1;
        if (priority < this.level) {
            return false;
        }
        this.passing[bucket]! += 1;
        return true;
    }

    /** Counts a request that had entered and was refused in the end. */
    recordRefused(): void {
        this.refused += 1;
    }

    /** Ends a window and sets the threshold for the next one. `hasStandingQueue` tells that the queue was never empty. */
    closeWindow(hasStandingQueue: boolean): void {
        const passed = this.passing.reduce((sum, count) => sum + count, 0);
        const share = passed === 0 ? 0 : this.refused / passed;
        if (hasStandingQueue || share > refusedShare) {
            this.calmWindows = 0;
            this.raise(passed * Math.min(maxShare, share + extraShare));
        }
        else if (this.level > 0) {
            this.calmWindows += 1;
            this.lower(2 ** (this.calmWindows - 1));
        }
        this.passing.fill(0);
        this.refused = 0;
        for (let bucket = 0; bucket < bucketCount; bucket += 1) {
            this.remembered[bucket]! *= memoryShare;
        }
    }

    /** Raises the level until it would have refused so many of the window's arrivals. */
    private raise(target: number): void {
        let shed = 0;
        for (let bucket = 0; bucket < bucketCount; bucket += 1) {
            shed += this.passing[bucket]!;
            if (shed > target) {
                this.level = Math.max(this.level, bucket * bucketWidth);
                return;
            }
        }
    }

    /** Lowers the level by a number of buckets in which requests have arrived lately. */
    private lower(buckets: number): void {
        let left = buckets;
        for (let bucket = Math.ceil(this.level / bucketWidth) - 1; bucket >= 0; bucket -= 1) {
            left -= this.remembered[bucket]! > emptyWeight ? 1 : 0;
            if (left === 0) {
                this.level = bucket * bucketWidth;
                return;
            }
        }
        this.level = 0;
    }
}
