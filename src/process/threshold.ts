/**
 * Priority threshold of one endpoint: while it is overloaded, requests below the threshold are refused on arrival, so that
 * the most valuable ones get the capacity. The scheme follows DAGOR (SoCC 2018): the priorities of each window are counted
 * and the threshold is set to admit somewhat less than before during overload, and is lowered step by step after it.
 */
import { maxPriority } from "../request/leg.js";

/** Length of a window, in milliseconds. */
export const windowMs = 100;
/** Share of the admitted requests that the next window admits during overload. */
const overloadShare = 0.95;
/** Part of the priority scale by which the threshold falls in each window without overload. */
const recoveryStep = Math.ceil(maxPriority / 20);
/** Priorities that share a counter. */
const bucketWidth = 16;
const bucketCount = Math.ceil((maxPriority + 1) / bucketWidth);

/** Threshold that follows the load of one endpoint. */
export class PriorityThreshold {
    private readonly arrivals = new Uint32Array(bucketCount);
    private completed = 0;
    private isOverloaded = false;
    private level = 0;

    /** Priority below which requests are refused; 0 refuses nothing. */
    getLevel(): number {
        return this.level;
    }

    /** Counts an arrival and tells whether it may enter. */
    isAdmitted(priority: number): boolean {
        const bucket = Math.min(bucketCount - 1, Math.floor(priority / bucketWidth));
        this.arrivals[bucket] = (this.arrivals[bucket] ?? 0) + 1;
        return priority >= this.level;
    }

    /** Counts a completed run. */
    recordCompleted(): void {
        this.completed += 1;
    }

    /** Notes that a request had to be refused or waited too long in this window. */
    recordOverload(): void {
        this.isOverloaded = true;
    }

    /** Ends a window and sets the threshold for the next one. */
    closeWindow(): void {
        if (this.isOverloaded) {
            this.level = Math.max(this.level, this.findLevel(Math.max(1, this.completed * overloadShare)));
        }
        else {
            this.level = Math.max(0, this.level - recoveryStep);
        }
        this.arrivals.fill(0);
        this.completed = 0;
        this.isOverloaded = false;
    }

    /** Finds the lowest level at which at most `target` of the window's arrivals would have entered. */
    private findLevel(target: number): number {
        let admitted = 0;
        for (let bucket = bucketCount - 1; bucket >= 0; bucket -= 1) {
            admitted += this.arrivals[bucket] ?? 0;
            if (admitted > target) {
                return (bucket + 1) * bucketWidth;
            }
        }
        return 0;
    }
}
