/**
 * Thresholds of the services behind this one, learned from the answers to this endpoint's calls.
 *
 * An entry that knows them refuses an action that a service further down would refuse, before any work is spent on it.
 */
import type { Clock } from "./clock.js";

/** Time for which a threshold counts after the last answer that carried it, in milliseconds. */
const memoryMs = 500;
/** Most classes that are remembered. */
const maxClasses = 4096;
/** One in this many actions below the threshold is let through, to notice that an overload is over. */
const probeInterval = 100;

/** Highest threshold that the calls of each class of action met lately. */
export class DownstreamThresholds {
    private readonly levels = new Map<string, { level: number; at: number; }>();
    private refusals = 0;

    constructor(private readonly clock: Clock) {}

    /** Notes the threshold that an answer carried for a class of action. */
    record(customer: string, actionClass: string, threshold: number): void {
        const key = `${customer}/${actionClass}`;
        const now = this.clock.readMonotonic();
        const known = this.levels.get(key);
        if (known !== undefined && known.level > threshold && now - known.at < memoryMs / 2) {
            return;
        }
        if (known === undefined && this.levels.size >= maxClasses) {
            return;
        }
        this.levels.set(key, { level: threshold, at: now });
    }

    /** Threshold in force for a class of action; 0 when none is known. */
    find(customer: string, actionClass: string): number {
        const known = this.levels.get(`${customer}/${actionClass}`);
        return known !== undefined && this.clock.readMonotonic() - known.at < memoryMs ? known.level : 0;
    }

    /** Whether an action may go on at its entry. */
    isAdmitted(customer: string, actionClass: string, priority: number): boolean {
        if (priority >= this.find(customer, actionClass)) {
            return true;
        }
        this.refusals += 1;
        return this.refusals % probeInterval === 0;
    }
}
