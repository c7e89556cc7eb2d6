/**
 * Deduplicates the sends that reach this node, so that one that arrives twice runs once.
 *
 * The sending node sends a request again when its link to this node is lost. If the first one arrived, the second gets
 * its outcome; otherwise the second runs. The records last only as long as the process, so before it sends again, a
 * sender compares the incarnation (start time of the process) of this node with the one it sent to.
 */
import type { Clock } from "../base/clock.js";
import type { BodyBudget, BodyShare } from "../load/bodyBudget.js";
import type { RunOutcome } from "../load/runOutcome.js";

/** Time for which an outcome is kept for a sender that lost its link, in milliseconds. */
const outcomeRetentionMs = 2500;
/** Time after the end of a run in which a duplicate of its send is recognised, in milliseconds. */
const arrivalRetentionMs = 20_000;

/** Size from which an answer counts while it is kept, in bytes; smaller ones are kept for too short a time to matter. */
const countedAnswerBytes = 4096;

/** Record of one send; its outcome is `undefined` once it has expired. */
interface SendRecord {
    finishedAt: number | undefined;
    outcome: Promise<RunOutcome> | undefined;
    /** What a large answer takes of the budget while it is kept. */
    share: BodyShare | undefined;
}

/** Runs sends, by a key of attempt and send number, and records their outcomes. */
export class SendDeduplicator {
    private readonly records = new Map<string, SendRecord>();

    constructor(private readonly clock: Clock, private readonly bodies: Pick<BodyBudget, "open">) {}

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
        const record: SendRecord = { finishedAt: undefined, outcome, share: undefined };
        this.records.set(key, record);
        void outcome.then(result => {
            record.finishedAt = this.clock.readMonotonic();
            if (result.kind === "answer" && result.body.length >= countedAnswerBytes) {
                this.countAnswer(record, result.body.length);
            }
        });
        return outcome;
    }

    /** Counts an answer while it is kept; where memory is short, it isn't. */
    private countAnswer(record: SendRecord, bytes: number): void {
        record.share = this.bodies.open(() => record.outcome = undefined);
        if (!record.share.add(bytes)) {
            record.outcome = undefined;
        }
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
                record.share?.release();
                record.share = undefined;
            }
            if (now - record.finishedAt > arrivalRetentionMs) {
                this.records.delete(key);
            }
        }
    }
}
