/**
 * Retry budget of one run: the number of retries that are still allowed downstream of it.
 *
 * Each call to another service takes a part of the budget along, and its answer returns the unused rest. The part taken
 * by a lost call counts as used, so the retries over the whole call chain never exceed the budget that the action
 * started with. `ServiceRetryBudget` limits a node's retries for each service, and `RetryLimiter` limits its retries to
 * a share of its calls.
 */
export class RetryBudget {
    constructor(private remaining: number) {}

    getRemaining(): number {
        return this.remaining;
    }

    /** Takes one retry. Returns false if none is left. */
    takeRetry(): boolean {
        if (this.remaining < 1) {
            return false;
        }
        this.remaining -= 1;
        return true;
    }

    /** Takes the part for one call: half of the rest, rounded up, so that concurrent calls each receive a part. */
    takeHalf(): number {
        const taken = Math.ceil(this.remaining / 2);
        this.remaining -= taken;
        return taken;
    }

    /** Takes the whole rest, for a call whose callee manages the budget of the action. */
    takeAll(): number {
        const taken = this.remaining;
        this.remaining = 0;
        return taken;
    }

    /** Restores the retries that a call did not use, at most as many as it was given. */
    restoreUnspent(taken: number, unspent: number): void {
        this.remaining += Math.max(0, Math.min(taken, Math.floor(unspent)));
    }
}
