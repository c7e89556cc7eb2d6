/** Token buckets: the share of retries in a node's traffic, and a customer's allowance. */
import type { Clock } from "./clock.js";

/** A bucket that fills at a steady rate. */
export class TokenBucket {
    private tokens: number;
    private filledAt: number;

    constructor(private readonly clock: Clock, private perSecond: number, private capacity: number) {
        this.tokens = capacity;
        this.filledAt = clock.readMonotonic();
    }

    /** Changes rate and capacity; tokens at hand are kept as far as they fit. */
    setRate(perSecond: number, capacity: number): void {
        this.fill();
        this.perSecond = perSecond;
        this.capacity = capacity;
        this.tokens = Math.min(this.tokens, capacity);
    }

    /** Takes one token; false when there is none. */
    take(): boolean {
        this.fill();
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    /** Adds tokens by other means than time. */
    add(tokens: number): void {
        this.tokens = Math.min(this.capacity, this.tokens + tokens);
    }

    /** Time until the next token, in milliseconds. */
    computeWaitMs(): number {
        this.fill();
        return this.tokens >= 1 ? 0 : Math.ceil((1 - this.tokens) * 1000 / Math.max(this.perSecond, 0.001));
    }

    private fill(): void {
        const now = this.clock.readMonotonic();
        this.tokens = Math.min(this.capacity, this.tokens + (now - this.filledAt) * this.perSecond / 1000);
        this.filledAt = now;
    }
}

/** Retries that each call earns. */
const retriesPerCall = 0.1;
/** Retries that a node may send without calls, a second. */
const minRetriesPerSecond = 2;
/** Retries that a node may save up. */
const maxSavedRetries = 20;

/** Keeps repeated calls to a small share of a node's calls, whatever fails. */
export class RetryLimiter {
    private readonly bucket: TokenBucket;

    constructor(clock: Clock) {
        this.bucket = new TokenBucket(clock, minRetriesPerSecond, maxSavedRetries);
    }

    /** Counts a first call. */
    recordCall(): void {
        this.bucket.add(retriesPerCall);
    }

    /** Takes a retry; false when the share is used up. */
    takeRetry(): boolean {
        return this.bucket.take();
    }
}
