/**
 * Follows one topic of the keyed log: first the newest record of each key, then each record as it is appended.
 *
 * While the log fails, calls back off with jitter, so that many nodes don't return in step. Lost and regained contact are
 * logged once each.
 */
import type { Random } from "../process/balancer.js";
import type { Clock } from "../process/clock.js";
import type { Logger } from "../process/logger.js";
import type { KeyedLog, KeyedLogError, KeyedPage } from "./keyedLog.js";
import { describeKeyedLogError } from "./keyedLog.js";

/** Shortest time between calls after a failure, in milliseconds. */
const minBackoffMs = 200;
/** Longest time between calls after failures, in milliseconds. */
const maxBackoffMs = 2500;
/** Shortest time that a read waits for a record, in milliseconds. */
const minWaitMs = 8000;
/** Random part of the time that a read waits, in milliseconds; it keeps the reads of many nodes apart. */
const waitSpreadMs = 8000;

/** What a follower needs. */
export interface KeyedFollowerDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly log: KeyedLog;
    readonly topic: string;
    /** Time to let more records come in after a read, in milliseconds. */
    readonly batchDelayMs: number;
    /** Takes the records of each read in their order. */
    readonly applyPage: (page: KeyedPage) => void;
}

/** Reads one topic for as long as the process runs. */
export class KeyedLogFollower {
    private next: number | undefined;
    private failures = 0;

    constructor(private readonly dependencies: KeyedFollowerDependencies) {}

    /** Follows the topic until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, log, topic, random, batchDelayMs: restMs } = this.dependencies;
        while (!signal.aborted) {
            const from = this.next;
            const result = from === undefined
                ? await log.readNewest(topic)
                : await log.follow(topic, from, minWaitMs + random() * waitSpreadMs, signal);
            if (signal.aborted) {
                return;
            }
            if (!result.ok) {
                await this.waitAfterFailure(result.error, signal);
                continue;
            }
            this.recordSuccess();
            this.next = result.value.next;
            this.dependencies.applyPage(result.value);
            if (result.value.records.length > 0 && restMs > 0) {
                await clock.sleep(restMs * (0.5 + random()), signal);
            }
        }
    }

    private recordSuccess(): void {
        const { logger, topic } = this.dependencies;
        if (this.failures > 0) {
            logger.info("logRegained", { topic, failures: this.failures });
        }
        this.failures = 0;
    }

    private async waitAfterFailure(error: KeyedLogError, signal: AbortSignal): Promise<void> {
        const { clock, logger, topic, random } = this.dependencies;
        if (error.kind === "expired") {
            logger.info("logRestarted", { topic, from: this.next });
            this.next = undefined;
            return;
        }
        this.failures += 1;
        if (this.failures === 1) {
            logger.warn("logLost", { topic, ...describeKeyedLogError(error), from: this.next });
        }
        const limitMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** this.failures);
        await clock.sleep(limitMs * (0.5 + random() / 2), signal);
    }
}
