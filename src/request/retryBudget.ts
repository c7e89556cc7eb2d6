/**
 * Retry budget of one run: how many repeated runs may still happen behind it.
 *
 * A call to another service is lent a part of the budget, and returns what it did not use with its answer. What was lent to
 * a call that is lost counts as used, so the sum over the whole chain never exceeds what the action started with.
 */
export class RetryBudget {
    constructor(private remaining: number) {}

    getRemaining(): number {
        return this.remaining;
    }

    /** Takes one retry; false when none is left. */
    takeRetry(): boolean {
        if (this.remaining < 1) {
            return false;
        }
        this.remaining -= 1;
        return true;
    }

    /** Lends a part to a call: half of what is left, rounded up, so that calls made side by side each get some. */
    lend(): number {
        const lent = Math.ceil(this.remaining / 2);
        this.remaining -= lent;
        return lent;
    }

    /** Lends everything, to a call whose callee keeps the account. */
    takeAll(): number {
        const lent = this.remaining;
        this.remaining = 0;
        return lent;
    }

    /** Takes back what a call did not use. A callee can't return more than it was lent. */
    takeBack(lent: number, unspent: number): void {
        this.remaining += Math.max(0, Math.min(lent, Math.floor(unspent)));
    }
}
