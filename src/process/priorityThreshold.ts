/**
 * Priority threshold of one endpoint: while it is overloaded, requests below the threshold are refused on arrival here and at
 * the entries that learn of it, so that no work is spent on what the queue would refuse in the end.
 *
 * The idea is that of DAGOR (SoCC 2018). The threshold is raised by as many requests as were too many in a window, and lowered
 * by as many as there was room for. With each calm window it falls faster, so that it does not linger when the load it kept
 * away has gone.
 */
import { maxPriority } from "../request/callMetadata.js";

/** Length of a window, in milliseconds. */
export const windowMs = 200;
/** Largest share of the admitted requests that is shed in one window. */
const maxShare = 0.9;
/** Share of the load that is let in again after the first calm window; it doubles with each further one. */
const calmShare = 0.01;
/** Priorities that share a counter. */
const bucketWidth = 4;
const bucketCount = Math.ceil((maxPriority + 1) / bucketWidth);
/** Weight of a window in the remembered load. */
const memoryWeight = 0.1;

/** Threshold that follows the load of one endpoint. */
export class PriorityThreshold {
    /** Arrivals of this window at or above the threshold, by bucket. */
    private readonly passing = new Uint32Array(bucketCount);
    /** Average arrivals in a window, by bucket; below the threshold those from before it was raised. */
    private readonly remembered = new Float64Array(bucketCount);
    private passed = 0;
    private calmWindows = 0;
    private level = 0;

    /** Priority below which requests are refused; 0 refuses nothing. */
    getLevel(): number {
        return this.level;
    }

    /** Counts an arrival and tells whether it may enter. */
    admit(priority: number): boolean {
        if (priority < this.level) {
            return false;
        }
        this.passing[Math.min(bucketCount - 1, Math.floor(priority / bucketWidth))]! += 1;
        this.passed += 1;
        return true;
    }

    /** Requests that entered in this window. */
    getAdmitted(): number {
        return this.passed;
    }

    /**
     * Ends a window and sets the threshold for the next one. `excess` is how many of the requests that entered were too many;
     * when it is negative, so many more would have found room.
     */
    closeWindow(excess: number): void {
        this.updateRemembered();
        if (excess > 0) {
            this.calmWindows = 0;
            this.raise(Math.min(excess, this.passed * maxShare));
        }
        else if (this.level > 0) {
            this.calmWindows += 1;
            this.lower(Math.max(-excess, Math.max(1, this.passed) * calmShare * 2 ** (this.calmWindows - 1)));
        }
        this.passing.fill(0);
        this.passed = 0;
    }

    private updateRemembered(): void {
        for (let bucket = this.level / bucketWidth; bucket < bucketCount; bucket += 1) {
            this.remembered[bucket]! += (this.passing[bucket]! - this.remembered[bucket]!) * memoryWeight;
        }
    }

    /** Raises the level until it would have refused so many of the window's arrivals. */
    private raise(target: number): void {
        let shed = 0;
        for (let bucket = this.level / bucketWidth; bucket < bucketCount; bucket += 1) {
            shed += this.passing[bucket]!;
            if (shed > target) {
                this.level = bucket * bucketWidth;
                return;
            }
        }
    }

    /** Lowers the level until so many more requests are expected in a window. */
    private lower(target: number): void {
        let added = 0;
        for (let bucket = this.level / bucketWidth - 1; bucket >= 0; bucket -= 1) {
            added += this.remembered[bucket]!;
            if (added > target) {
                this.level = bucket * bucketWidth;
                return;
            }
        }
        this.level = 0;
    }
}
