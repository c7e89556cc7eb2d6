/**
 * Times in which this process ran nothing, as on a machine whose processors are taken. What it sees of others is late by
 * them: a connection that closed meanwhile seems to close at their end.
 */

/** Interval at which the process is seen to run, in milliseconds. */
const tickMs = 10;

/** A time in which the process ran nothing. Times are monotonic, in milliseconds. */
interface Stall {
    readonly from: number;
    readonly to: number;
}

/** Records the stalls of this process. */
export class Stalls {
    private readonly stalls: Stall[] = [];
    private timer: NodeJS.Timeout | undefined;
    private lastTickAt = 0;

    start(): void {
        this.lastTickAt = performance.now();
        this.timer = setInterval(() => this.recordTick(), tickMs);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Time of a span in which the process ran nothing, in milliseconds. */
    measureMs(from: number, to: number): number {
        return this.stalls.reduce(
            (sum, stall) => sum + Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from)),
            0,
        );
    }

    /** Longest stall, in milliseconds. */
    getLongestMs(): number {
        return this.stalls.reduce((longest, { from, to }) => Math.max(longest, to - from), 0);
    }

    private recordTick(): void {
        const now = performance.now();
        if (now - this.lastTickAt > 2 * tickMs) {
            this.stalls.push({ from: this.lastTickAt + tickMs, to: now });
        }
        this.lastTickAt = now;
    }
}
