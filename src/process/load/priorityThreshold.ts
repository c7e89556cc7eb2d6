/**
 * Priority threshold of one endpoint: while it is overloaded, requests below the threshold are refused on arrival, here
 * and at the entry nodes that learn of it, so that no work is spent on requests that the queue would refuse in the end.
 *
 * Based on DAGOR (SoCC 2018). After a window with requests beyond the capacity, the threshold is raised so far that it
 * would have refused about as many of the window's requests. After a window with room, it is lowered so far that about
 * as many more are expected. It falls faster with each further window without excess, so that it ends soon after the
 * overload.
 */
import { maxPriority } from "../../request/callMetadata.js";

/** Interval (window) at which the threshold is adjusted, in milliseconds. */
export const thresholdWindowMs = 200;
/** Largest share of the admitted requests that is shed in one window. */
const maxShedShare = 0.9;
/** Share of the load that is admitted again after the first window without excess; it doubles with each further one. */
const minReadmitShare = 0.01;
/** Priorities that share a counter. */
const bucketWidth = 4;
const bucketCount = Math.ceil((maxPriority + 1) / bucketWidth);
/** Weight of a window in the average arrivals. */
const arrivalsWeight = 0.1;

/** Priority threshold that follows the load of one endpoint. */
export class PriorityThreshold {
    /** Arrivals of this window at or above the threshold, by bucket. */
    private readonly admittedByBucket = new Uint32Array(bucketCount);
    /** Average arrivals per window, by bucket; below the threshold those from before it was raised. */
    private readonly averageArrivals = new Float64Array(bucketCount);
    private admittedInWindow = 0;
    private windowsWithoutExcess = 0;
    /** The threshold in force, a priority. */
    private level = 0;

    /** Priority below which requests are refused; 0 refuses nothing. */
    getLevel(): number {
        return this.level;
    }

    /** Decides whether a request passes the threshold, and counts it if so. */
    admit(priority: number): boolean {
        if (priority < this.level) {
            return false;
        }
        this.admittedByBucket[Math.min(bucketCount - 1, Math.floor(priority / bucketWidth))]! += 1;
        this.admittedInWindow += 1;
        return true;
    }

    /** Requests that passed the threshold in this window. */
    getAdmittedInWindow(): number {
        return this.admittedInWindow;
    }

    /**
     * Closes a window and sets the threshold for the next one. `excess` is how many of the admitted requests exceeded
     * the capacity; when it is negative, there was room for as many more.
     */
    closeWindow(excess: number): void {
        this.updateAverages();
        if (excess > 0) {
            this.windowsWithoutExcess = 0;
            this.raise(Math.min(excess, this.admittedInWindow * maxShedShare));
        }
        else if (this.level > 0) {
            this.windowsWithoutExcess += 1;
            this.lower(
                Math.max(
                    -excess,
                    Math.max(1, this.admittedInWindow) * minReadmitShare * 2 ** (this.windowsWithoutExcess - 1),
                ),
            );
        }
        this.admittedByBucket.fill(0);
        this.admittedInWindow = 0;
    }

    private updateAverages(): void {
        for (let bucket = this.level / bucketWidth; bucket < bucketCount; bucket += 1) {
            this.averageArrivals[bucket]! += (this.admittedByBucket[bucket]! - this.averageArrivals[bucket]!)
                * arrivalsWeight;
        }
    }

    /** Raises the threshold so that it would have refused up to `maxShed` of the window's admitted requests. */
    private raise(maxShed: number): void {
        let shed = 0;
        for (let bucket = this.level / bucketWidth; bucket < bucketCount; bucket += 1) {
            shed += this.admittedByBucket[bucket]!;
            if (shed > maxShed) {
                this.level = bucket * bucketWidth;
                return;
            }
        }
    }

    /** Lowers the threshold so that up to `maxAdded` more requests are expected in a window. */
    private lower(maxAdded: number): void {
        let added = 0;
        for (let bucket = this.level / bucketWidth - 1; bucket >= 0; bucket -= 1) {
            added += this.averageArrivals[bucket]!;
            if (added > maxAdded) {
                this.level = bucket * bucketWidth;
                return;
            }
        }
        this.level = 0;
    }
}
