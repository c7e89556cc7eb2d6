/**
 * Notices that the process was paused, and holds requests until the state that may have changed meanwhile is confirmed.
 *
 * A paused node may have missed a contract that is in force everywhere else. After a pause it serves nothing until the log,
 * or a peer while the log can't be read, has told it what is in force.
 */
import type { Clock } from "./clock.js";
import type { Logger } from "./logger.js";

/** Time between ticks, in milliseconds. */
const tickMs = 200;
/** Gap between ticks that counts as a pause, in milliseconds. */
const pauseMs = 1500;
/** Time between tries to confirm the state after a pause, in milliseconds. */
const retryMs = 200;

/** Guards against serving with state from before a pause. */
export class PauseGuard {
    private lastTick: number;
    private confirmation: Promise<void> | undefined;

    constructor(
        private readonly clock: Clock,
        private readonly logger: Logger,
        /** Refreshes the state once; false when nobody could confirm it. */
        private readonly refresh: () => Promise<boolean>,
    ) {
        this.lastTick = clock.readMonotonic();
    }

    /** Ticks until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleep(tickMs, signal);
            this.check();
        }
    }

    /** Resolves once the state is confirmed; at once unless the process was paused. */
    async waitUntilConfirmed(): Promise<void> {
        this.check();
        await this.confirmation;
    }

    /** Whether a pause has left the state unconfirmed. */
    isStateConfirmed(): boolean {
        this.check();
        return this.confirmation === undefined;
    }

    private check(): void {
        const now = this.clock.readMonotonic();
        const gap = now - this.lastTick;
        this.lastTick = now;
        if (gap > pauseMs && this.confirmation === undefined) {
            this.logger.warn("pauseNoticed", { milliseconds: Math.round(gap) });
            this.confirmation = this.confirm();
        }
    }

    private async confirm(): Promise<void> {
        while (!await this.refresh()) {
            await this.clock.sleep(retryMs);
        }
        this.confirmation = undefined;
    }
}
