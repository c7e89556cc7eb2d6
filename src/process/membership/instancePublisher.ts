/** Publishes the record of this instance on the keyed log. */
import type { AppendedRecord, KeyedLog, KeyedPage } from "../../connection/keyedLog.js";
import { describeKeyedLogError } from "../../connection/keyedLog.js";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { Logger } from "../telemetry/logger.js";

/** Shortest delay of a retry after a failed append, in milliseconds. */
const minBackoffMs = 400;
/** Longest delay of a retry after failed appends, in milliseconds. */
const maxBackoffMs = 4000;

/** Where an append that was confirmed before any snapshot lies. */
const nowhere: AppendedRecord = { offset: -1, era: -1 };

/** Appends the record whenever it differs from the one on the log; retries with exponential backoff and jitter. */
export class InstancePublisher {
    private desiredRecord: string | undefined;
    private publishedRecord: string | undefined;
    /** Where the last append of this process lies. */
    private lastAppended = nowhere;
    /** Era of the last snapshot; -1 before the first. */
    private snapshotEra = -1;
    /** Resumes {@link run} when it waits for a change of either record. */
    private wake: () => void = () => undefined;

    constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly logger: Logger,
        private readonly log: KeyedLog,
        private readonly topic: string,
        private readonly key: string,
    ) {}

    /** Sets the record that the log should hold. */
    publish(record: string): void {
        this.desiredRecord = record;
        this.wake();
    }

    /** Sets the record that the log holds. A delayed append may have replaced a newer one, which is then appended again. */
    setPublishedRecord(record: string): void {
        this.publishedRecord = record;
        this.wake();
    }

    /**
     * Compares with the newest records of all keys. If the log lost this node's record, it is appended again. A snapshot
     * that was taken before the last append, in the same era, says nothing about it.
     */
    applySnapshot(snapshot: KeyedPage): void {
        this.snapshotEra = Math.max(this.snapshotEra, snapshot.era);
        const isOutdated = snapshot.era === this.lastAppended.era && snapshot.next <= this.lastAppended.offset;
        if (isOutdated || snapshot.era < this.lastAppended.era) {
            return;
        }
        this.publishedRecord = snapshot.records.find(record => record.key === this.key)?.value;
        this.wake();
    }

    /** Publishes each new record until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        let failures = 0;
        signal.addEventListener("abort", () => this.wake());
        while (!signal.aborted) {
            const { desiredRecord } = this;
            if (desiredRecord === undefined || desiredRecord === this.publishedRecord) {
                await new Promise<void>(resolve => this.wake = resolve);
                continue;
            }
            const result = await this.log.append(this.topic, this.key, desiredRecord);
            if (result.ok) {
                failures = 0;
                this.lastAppended = result.value;
                // An append of an era that is over may be lost, so it is made again.
                this.publishedRecord = result.value.era < this.snapshotEra ? undefined : desiredRecord;
                this.logger.info("instancePublished", { ...result.value, record: desiredRecord });
                continue;
            }
            failures += 1;
            this.logger.warn("publishFailed", { ...describeKeyedLogError(result.error), failures });
            const backoffMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** failures);
            await this.clock.sleep(backoffMs * (0.5 + this.random() / 2), signal);
        }
    }
}
