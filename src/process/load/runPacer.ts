/**
 * Paces the runs of an endpoint that names how many requests a second it takes. Only the node beside the endpoint
 * reaches it, so this one place keeps the limit for all nodes. The decisions are separate from input and output.
 *
 * Load pattern handled: an endpoint in need takes a fraction of what it has slots for. Requests wait for their turn as
 * long as that is worth it, and the rest is refused at once, so that their entry nodes send them elsewhere.
 */
import type { Clock } from "../base/clock.js";
import { TokenBucket } from "../base/rateLimit.js";

/** Requests that may start together after a pause. */
const burst = 2;
/** Lowest pace, in requests per second: only an answer can tell that the limit is over. */
const minPerSecond = 0.2;

/** Pace of the runs; none until a rate is set. */
export class RunPacer {
    private bucket: TokenBucket | undefined;
    private perSecond = Infinity;

    constructor(private readonly clock: Clock) {}

    /** Sets the pace in requests per second; `undefined` ends it. */
    setRate(perSecond: number | undefined): void {
        if (perSecond === undefined) {
            this.bucket = undefined;
            this.perSecond = Infinity;
            return;
        }
        this.perSecond = Math.max(minPerSecond, perSecond);
        this.bucket ??= new TokenBucket(this.clock, this.perSecond, burst);
        this.bucket.setRate(this.perSecond, burst);
    }

    /** Takes the right to start one run now; `false` if its turn has not come. */
    take(): boolean {
        return this.bucket?.take() ?? true;
    }

    /** Time until a request with `ahead` others before it may start, in milliseconds; 0 without a pace. */
    computeWaitMs(ahead: number): number {
        return this.bucket === undefined ? 0 : this.bucket.computeWaitMs() + ahead * 1000 / this.perSecond;
    }
}
