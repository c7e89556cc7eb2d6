/**
 * Cancellation of a request once nobody waits for its answer any more.
 *
 * Replaces `AbortController` on the path of a request: that one creates an exception with its stack trace at each
 * abort, and its signals and their listeners took a sixth of the processor time of a routed node,
 * which routes requests by host and path (docs/MEASUREMENTS.md).
 */

/** Cancellation signal of one request. */
export class Cancellation {
    private listeners: (() => void)[] = [];
    private wasCancelled = false;

    /** Whether the request was cancelled. */
    isCancelled(): boolean {
        return this.wasCancelled;
    }

    /** Cancels the request and calls each listener once. Later calls have no effect. */
    cancel(): void {
        if (this.wasCancelled) {
            return;
        }
        this.wasCancelled = true;
        const { listeners } = this;
        this.listeners = [];
        for (const listener of listeners) {
            listener();
        }
    }

    /** Calls `listener` on cancellation, or at once if the request is already cancelled. */
    listen(listener: () => void): void {
        if (this.wasCancelled) {
            listener();
            return;
        }
        this.listeners.push(listener);
    }

    /** Removes a listener; one that isn't registered is ignored. */
    removeListener(listener: () => void): void {
        const index = this.listeners.indexOf(listener);
        if (index !== -1) {
            this.listeners.splice(index, 1);
        }
    }
}
