/**
 * Tells those who work for one request that nobody waits for it any more.
 *
 * Stands in for `AbortController` on the way of a request: that one builds an exception with its stack at each abort, and its
 * signals and their listeners took a sixth of a routed node's processor time (docs/MEASUREMENTS.md).
 */

/** Listens for the end of the interest in a request. */
export class Cancellation {
    private listeners: (() => void)[] = [];
    private isOver = false;

    /** Whether nobody waits any more. */
    isCancelled(): boolean {
        return this.isOver;
    }

    /** Says that nobody waits any more, and calls each listener once. */
    cancel(): void {
        if (this.isOver) {
            return;
        }
        this.isOver = true;
        const { listeners } = this;
        this.listeners = [];
        for (const listener of listeners) {
            listener();
        }
    }

    /** Calls `listener` once nobody waits any more; at once if that is so already. */
    listen(listener: () => void): void {
        if (this.isOver) {
            listener();
            return;
        }
        this.listeners.push(listener);
    }

    /** Stops calling a listener. */
    removeListener(listener: () => void): void {
        const index = this.listeners.indexOf(listener);
        if (index !== -1) {
            this.listeners.splice(index, 1);
        }
    }
}
