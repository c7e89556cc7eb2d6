/**
 * Follows one topic of the keyed log: it reads the newest record of each key, then the records appended after them.
 * When the log was restored from an older copy, the newest record of each key is read again.
 *
 * While calls to the log fail, they are retried with exponential backoff and jitter, so that many nodes don't retry at
 * the same time. The first failure and the recovery are logged once each.
 */
import type { Clock } from "../process/base/clock.js";
import type { Random } from "../process/base/random.js";
import type { Logger } from "../process/telemetry/logger.js";
import type { KeyedLog, KeyedLogError, KeyedPage, LogEra } from "./keyedLog.js";
import { describeKeyedLogError } from "./keyedLog.js";

/** Minimum backoff after a failure, in milliseconds; it doubles with each further failure. */
const minBackoffMs = 200;
/** Maximum backoff after failures, in milliseconds. */
const maxBackoffMs = 2500;

/** Dependencies and options of a follower. */
export interface KeyedLogFollowerDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly log: KeyedLog;
    readonly topic: string;
    /**
     * Average delay after a read that returned records, so that the next one returns several at once; in milliseconds.
     */
    readonly batchDelayMs: number;
    /** Longest time that a long poll waits for a record, in milliseconds; a log that fell silent is noticed after it. */
    readonly maxWaitMs: number;
    /** Called with the newest record of each key, before the first {@link applyPage} and whenever they are read again. */
    readonly applySnapshot: (page: KeyedPage) => void;
    /** Called with the records of each later read, in the order of their offsets. */
    readonly applyPage: (page: KeyedPage) => void;
}

/** Follower of one topic. */
export class KeyedLogFollower {
    /** `undefined` until the newest records have been read. */
    private nextOffset: number | undefined;
    private era: LogEra | undefined;
    private consecutiveFailures = 0;
    /** Time of the last answer on the monotonic clock, in milliseconds. */
    private answeredAt: number;

    constructor(private readonly dependencies: KeyedLogFollowerDependencies) {
        this.answeredAt = dependencies.clock.readMonotonic();
    }

    /** Whether a read has succeeded. */
    hasRead(): boolean {
        return this.era !== undefined;
    }

    /** Whether the last read succeeded. */
    isHealthy(): boolean {
        return this.hasRead() && this.consecutiveFailures === 0;
    }

    /** Reads the newest record of each key once, with retries until that succeeds or the signal aborts. */
    async readNewest(signal: AbortSignal): Promise<void> {
        this.nextOffset = undefined;
        while (!signal.aborted && this.nextOffset === undefined) {
            await this.readNext(signal);
        }
    }

    /**
     * Follows the topic until the signal aborts, or a read finds that it is not wanted any more. A later call goes on where an
     * earlier one ended. Never rejects unless `applyPage` throws.
     */
    async run(signal: AbortSignal, isWanted: () => boolean): Promise<void> {
        const { clock, random, batchDelayMs } = this.dependencies;
        while (!signal.aborted && isWanted()) {
            const hasRecords = await this.readNext(signal);
            if (hasRecords && batchDelayMs > 0) {
                await clock.sleep(batchDelayMs * (0.5 + random()), signal);
            }
        }
    }

    /** Makes one read and applies it, or waits after a failure. Returns whether the read brought records. */
    private async readNext(signal: AbortSignal): Promise<boolean> {
        const { log, topic, random } = this.dependencies;
        const from = this.nextOffset;
        const result = from === undefined
            ? await log.readNewest(topic)
            : await log.follow(topic, from, this.chooseWaitMs(random), signal);
        if (signal.aborted) {
            return false;
        }
        if (!result.ok) {
            await this.handleFailure(result.error, signal);
            return false;
        }
        this.recordSuccess();
        return this.applyPage(from, result.value);
    }

    private applyPage(from: number | undefined, page: KeyedPage): boolean {
        const { logger, topic, applySnapshot, applyPage } = this.dependencies;
        if (from !== undefined && page.era !== this.era) {
            // The page may begin with other records than those that follow what was read before.
            logger.warn("logRestored", { topic, era: page.era, before: this.era, from });
            this.nextOffset = undefined;
            return false;
        }
        this.era = page.era;
        this.nextOffset = page.next;
        (from === undefined ? applySnapshot : applyPage)(page);
        return page.records.length > 0;
    }

    /**
     * Time that the next long poll waits, in milliseconds. After a failure it doesn't wait: the log may be back from an
     * older copy that ends just at this offset, which only an answer shows.
     */
    private chooseWaitMs(random: Random): number {
        return this.consecutiveFailures > 0 ? 0 : this.dependencies.maxWaitMs * (0.8 + random() / 5);
    }

    private recordSuccess(): void {
        const { clock, logger, topic } = this.dependencies;
        this.answeredAt = clock.readMonotonic();
        if (this.consecutiveFailures > 0) {
            logger.info("logRegained", { topic, failures: this.consecutiveFailures });
        }
        this.consecutiveFailures = 0;
    }

    private async handleFailure(error: KeyedLogError, signal: AbortSignal): Promise<void> {
        const { clock, logger, topic, random } = this.dependencies;
        if (error.kind === "expired") {
            logger.info("logRestarted", { topic, from: this.nextOffset });
            this.nextOffset = undefined;
            return;
        }
        this.consecutiveFailures += 1;
        if (this.consecutiveFailures === 1) {
            const sinceAnswerMs = Math.round(clock.readMonotonic() - this.answeredAt);
            logger.warn("logLost", { topic, ...describeKeyedLogError(error), from: this.nextOffset, sinceAnswerMs });
        }
        const maxDelayMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** this.consecutiveFailures);
        await clock.sleep(maxDelayMs * (0.5 + random() / 2), signal);
    }
}
