/**
 * Detects that the machine was suspended: the monotonic clock stood still while the time of day went on. Promises and
 * leases that were measured on the monotonic clock are then over for everybody else. A step of the time of day forward
 * looks the same.
 */
import type { Clock } from "../base/clock.js";

/** Advance of the time of day before the monotonic clock that counts as a suspension, in milliseconds. */
const minAdvanceMs = 120;

/** Compares the two clocks. */
export class SuspensionDetector {
    private offsetMs: number;

    constructor(private readonly clock: Clock) {
        this.offsetMs = this.computeOffsetMs();
    }

    /** Whether the machine may have been suspended since the last call. */
    checkSuspended(): boolean {
        const before = this.offsetMs;
        this.offsetMs = this.computeOffsetMs();
        return this.offsetMs - before > minAdvanceMs;
    }

    private computeOffsetMs(): number {
        return this.clock.readDate().getTime() - this.clock.readMonotonic();
    }
}
