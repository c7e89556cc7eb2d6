/** Token buckets, for the rate limits of customers and the limit on a node's retries. */
import type { Clock } from "./clock.js";

/** A token bucket that fills at a steady rate up to its capacity. */
export class TokenBucket {
    private tokens: number;
    private filledAt: number;

    constructor(private readonly clock: Clock, private tokensPerSecond: number, private capacity: number) {
        this.tokens = capacity;
        this.filledAt = clock.readMonotonic();
    }

    /** Changes the rate (tokens per second) and the capacity. Tokens beyond the new capacity are dropped. */
    setRate(tokensPerSecond: number, capacity: number): void {
        this.fill();
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.tokens = Math.min(this.tokens, capacity);
    }

    /** Takes one token; `false` when there is none. */
    take(): boolean {
        this.fill();
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    /** Adds tokens besides those that accrue with time, up to the capacity. */
    add(tokens: number): void {
        this.tokens = Math.min(this.capacity, this.tokens + tokens);
    }

    /** Time until the next token, in milliseconds. */
    computeWaitMs(): number {
        this.fill();
        return this.tokens >= 1 ? 0 : Math.ceil((1 - this.tokens) * 1000 / Math.max(this.tokensPerSecond, 0.001));
    }

    private fill(): void {
        const now = this.clock.readMonotonic();
        this.tokens = Math.min(this.capacity, this.tokens + (now - this.filledAt) * this.tokensPerSecond / 1000);
        this.filledAt = now;
    }
}

/** Retries that each first call earns. */
const retriesPerCall = 0.1;
/** Retries per second that a node may send even without first calls. */
const minRetriesPerSecond = 2;
/** Most unused retries that a node may accumulate. */
const maxSavedRetries = 20;

/**
 * Limits a node's retries to a small share of its calls, even when every call fails. The `Dispatcher` uses it; a routed
 * node uses `ServiceRetryBudget` instead.
 */
export class RetryLimiter {
    private readonly bucket: TokenBucket;

    constructor(clock: Clock) {
        this.bucket = new TokenBucket(clock, minRetriesPerSecond, maxSavedRetries);
    }

    /** Counts a call that isn't a retry, which earns a fraction of a retry. */
    recordCall(): void {
        this.bucket.add(retriesPerCall);
    }

    /** Takes a retry; `false` when the limit is reached. */
    takeRetry(): boolean {
        return this.bucket.take();
    }
}
