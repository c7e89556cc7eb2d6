/**
 * Deduplicates the sends that reach this node, so that one that arrives twice runs once.
 *
 * The entry node of a request sends it again when the link between them is lost. If the first one arrived, the second
 * gets its outcome; otherwise the second runs. The records last only as long as the process, so a sender compares
 * incarnations before it sends again.
 */
import type { Clock } from "./clock.js";
import type { RunOutcome } from "./runOutcome.js";

/** Time for which an outcome is kept for a sender that lost its link, in milliseconds. */
const outcomeRetentionMs = 2500;
/** Time for which a send is known to have arrived, from the end of its run, in milliseconds. */
const arrivalRetentionMs = 20_000;

/** Record of one send; its outcome is `undefined` once it has expired. */
interface Entry {
    finishedAt: number | undefined;
    outcome: Promise<RunOutcome> | undefined;
}

/** Runs sends, by a key of attempt and send number, and records their outcomes. */
export class SendDeduplicator {
    private readonly entries = new Map<string, Entry>();

    constructor(private readonly clock: Clock) {}

    /** Runs a send, or returns the outcome of the one that arrived before. A lost outcome is reported as `linkLost`. */
    run(key: string, start: () => Promise<RunOutcome>): Promise<RunOutcome> {
        const known = this.entries.get(key);
        if (known !== undefined) {
            return known.outcome ?? Promise.resolve({ kind: "failed", cause: "linkLost", ranMs: 0 });
        }
        const outcome = start();
        const entry: Entry = { finishedAt: undefined, outcome };
        this.entries.set(key, entry);
        void outcome.then(() => {
            entry.finishedAt = this.clock.readMonotonic();
        });
        return outcome;
    }

    /** Removes expired outcomes and records. */
    prune(): void {
        const now = this.clock.readMonotonic();
        for (const [key, entry] of this.entries) {
            if (entry.finishedAt === undefined) {
                continue;
            }
            if (now - entry.finishedAt > outcomeRetentionMs) {
                entry.outcome = undefined;
            }
            if (now - entry.finishedAt > arrivalRetentionMs) {
                this.entries.delete(key);
            }
        }
    }
}
