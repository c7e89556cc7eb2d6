/**
 * Remembers the sends that reached this node, so that one that arrives twice runs once.
 *
 * The node where a request entered sends it again when the link between them is lost. If the first one arrived, the second is
 * given its outcome; if it did not, the second runs. The memory lasts as long as the process: a sender compares incarnations.
 */
import type { Clock } from "./clock.js";
import type { RunOutcome } from "./runOutcome.js";

/** Time for which an outcome is kept for a sender that lost its link, in milliseconds. */
const outcomeKeptMs = 2500;
/** Time for which it is known that a send arrived, in milliseconds. */
const arrivalKeptMs = 20_000;

/** What is known of one send. */
interface Entry {
    finishedAt: number | undefined;
    outcome: Promise<RunOutcome> | undefined;
}

/** Sends by attempt and number. */
export class SendDeduplicator {
    private readonly entries = new Map<string, Entry>();

    constructor(private readonly clock: Clock) {}

    /** Runs a send, or returns the outcome of the one that arrived before. */
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

    /** Forgets what is old. Entries lie in the order of their arrival. */
    prune(): void {
        const now = this.clock.readMonotonic();
        for (const [key, entry] of this.entries) {
            if (entry.finishedAt === undefined) {
                continue;
            }
            if (now - entry.finishedAt > outcomeKeptMs) {
                entry.outcome = undefined;
            }
            if (now - entry.finishedAt > arrivalKeptMs) {
                this.entries.delete(key);
            }
        }
    }
}
