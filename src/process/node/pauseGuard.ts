/**
 * Detects that the process was paused, and holds requests until the node's state is confirmed to be current.
 *
 * A paused node may have missed a contract that is in force everywhere else. After a pause it serves no request until
 * it has caught up with the shared log, or with a peer while the log can't be read.
 */
import type { Clock } from "../base/clock.js";
import type { Logger } from "../telemetry/logger.js";

/** Interval of the checks for pauses, in milliseconds. */
const tickIntervalMs = 200;
/** A longer gap between two checks counts as a pause, in milliseconds. */
const minPauseMs = 1500;
/** Delay between attempts to confirm the state after a pause, in milliseconds. */
const retryDelayMs = 200;

/** Keeps the node from serving requests with state from before a pause. */
export class PauseGuard {
    private lastCheckAt: number;
    private confirmation: Promise<void> | undefined;

    constructor(
        private readonly clock: Clock,
        private readonly logger: Logger,
        /** Refreshes the state once; false when neither the log nor a peer could be read. */
        private readonly refresh: () => Promise<boolean>,
    ) {
        this.lastCheckAt = clock.readMonotonic();
    }

    /** Checks for pauses at each interval until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleep(tickIntervalMs, signal);
            this.checkForPause();
        }
    }

    /** Resolves once the state is confirmed; at once unless there was a pause since the last confirmation. */
    async waitUntilConfirmed(): Promise<void> {
        this.checkForPause();
        await this.confirmation;
    }

    /** Whether the state is current: there was no pause, or the state was confirmed since. */
    isStateConfirmed(): boolean {
        this.checkForPause();
        return this.confirmation === undefined;
    }

    private checkForPause(): void {
        const now = this.clock.readMonotonic();
        const gap = now - this.lastCheckAt;
        this.lastCheckAt = now;
        if (gap > minPauseMs && this.confirmation === undefined) {
            this.logger.warn("pauseNoticed", { milliseconds: Math.round(gap) });
            this.confirmation = this.confirmState();
        }
    }

    private async confirmState(): Promise<void> {
        while (!await this.refresh()) {
            await this.clock.sleep(retryDelayMs);
        }
        this.confirmation = undefined;
    }
}
