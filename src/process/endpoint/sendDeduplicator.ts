/**
 * Deduplicates the sends that reach this node, so that one that arrives twice runs once.
 *
 * The sending node sends a request again when its link to this node is lost. If the first one arrived, the second gets
 * its outcome; otherwise the second runs. The records last only as long as the process, so before it sends again, a
 * sender compares the incarnation (start time of the process) of this node with the one it sent to.
 */
import type { Clock } from "../base/clock.js";
import type { RunOutcome } from "../load/runOutcome.js";

/** Time for which an outcome is kept for a sender that lost its link, in milliseconds. */
const outcomeRetentionMs = 2500;
/** Time after the end of a run in which a duplicate of its send is recognised, in milliseconds. */
const arrivalRetentionMs = 20_000;

/** Record of one send; its outcome is `undefined` once it has expired. */
interface SendRecord {
    finishedAt: number | undefined;
    outcome: Promise<RunOutcome> | undefined;
}

/** Runs sends, by a key of attempt and send number, and records their outcomes. */
export class SendDeduplicator {
    private readonly records = new Map<string, SendRecord>();

    constructor(private readonly clock: Clock) {}

    /**
     * Runs a send, or returns the outcome of the one that arrived before. If that outcome has expired, returns a
     * failure with the cause `linkLost`.
     */
    run(key: string, start: () => Promise<RunOutcome>): Promise<RunOutcome> {
        const known = this.records.get(key);
        if (known !== undefined) {
            return known.outcome ?? Promise.resolve({ kind: "failed", cause: "linkLost", ranMs: 0 });
        }
        const outcome = start();
        const record: SendRecord = { finishedAt: undefined, outcome };
        this.records.set(key, record);
        void outcome.then(() => {
            record.finishedAt = this.clock.readMonotonic();
        });
        return outcome;
    }

    /** Removes expired outcomes and records. */
    prune(): void {
        const now = this.clock.readMonotonic();
        for (const [key, record] of this.records) {
            if (record.finishedAt === undefined) {
                continue;
            }
            if (now - record.finishedAt > outcomeRetentionMs) {
                record.outcome = undefined;
            }
            if (now - record.finishedAt > arrivalRetentionMs) {
                this.records.delete(key);
            }
        }
    }
}
