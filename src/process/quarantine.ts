/**
 * Requests that crash the endpoints that run them.
 *
 * Whatever was in progress when an endpoint crashed is suspect, unless an equal request has completed lately: what crashes one
 * endpoint crashes each. A suspect may run once more, never beside another suspect, so that a bystander is cleared by its
 * next run. A request that was in progress at two crashes is refused everywhere.
 */
import type { Clock } from "./clock.js";

/** Crashes after which a request is refused. */
export const maxCrashes = 2;
/** Time for which a request is suspect or refused, in milliseconds. */
export const quarantineMs = 600_000;
/** Most requests that are remembered; the oldest are forgotten first. */
const maxRemembered = 10_000;
/** Most completed requests that are remembered; the oldest are forgotten first. */
const maxCompleted = 20_000;

/** Crashes that one request was in progress at. */
interface Record {
    readonly incidents: Set<string>;
    until: number;
}

/** Memory of crashes, by the fingerprint of the request. */
export class Quarantine {
    private readonly records = new Map<string, Record>();
    private readonly completed = new Set<string>();
    private readonly runningSuspects = new Set<string>();

    constructor(private readonly clock: Clock) {}

    /** Notes that a request was in progress at a crash. Returns whether this put it under quarantine. */
    recordCrash(fingerprint: string, incident: string): boolean {
        if (this.completed.has(fingerprint)) {
            return false;
        }
        const record = this.records.get(fingerprint) ?? { incidents: new Set<string>(), until: 0 };
        const wasRefused = record.incidents.size >= maxCrashes;
        record.incidents.add(incident);
        record.until = this.clock.readMonotonic() + quarantineMs;
        this.records.delete(fingerprint);
        this.records.set(fingerprint, record);
        forgetOldest(this.records, maxRemembered);
        return !wasRefused && record.incidents.size >= maxCrashes;
    }

    /** Puts a request under quarantine by word of the log, for `milliseconds` from now. */
    impose(fingerprint: string, milliseconds: number): void {
        if (this.completed.has(fingerprint)) {
            return;
        }
        const incidents = new Set(Array.from({ length: maxCrashes }, (_, index) => `log-${index}`));
        this.records.set(fingerprint, { incidents, until: this.clock.readMonotonic() + milliseconds });
        forgetOldest(this.records, maxRemembered);
    }

    /** Notes that a run of a request completed, which clears it. */
    recordCompleted(fingerprint: string): void {
        this.records.delete(fingerprint);
        this.completed.delete(fingerprint);
        this.completed.add(fingerprint);
        forgetOldest(this.completed, maxCompleted);
    }

    /** Lets a request out of quarantine by word of an operator. */
    release(fingerprint: string): void {
        this.records.delete(fingerprint);
    }

    /** Whether no request is suspect. */
    isEmpty(): boolean {
        return this.records.size === 0;
    }

    /** Whether a request must not run. */
    isRefused(fingerprint: string): boolean {
        return this.countCrashes(fingerprint) >= maxCrashes;
    }

    /** Whether a request was in progress at a crash. */
    isSuspect(fingerprint: string): boolean {
        return this.countCrashes(fingerprint) > 0;
    }

    /** Starts a run of a suspect; false while another suspect is running. */
    startSuspect(fingerprint: string): boolean {
        if (this.runningSuspects.size > 0) {
            return false;
        }
        this.runningSuspects.add(fingerprint);
        return true;
    }

    /** Ends a run of a suspect. */
    endSuspect(fingerprint: string): void {
        this.runningSuspects.delete(fingerprint);
    }

    /** Number of requests under quarantine. */
    countRefused(): number {
        let count = 0;
        for (const fingerprint of this.records.keys()) {
            count += this.isRefused(fingerprint) ? 1 : 0;
        }
        return count;
    }

    private countCrashes(fingerprint: string): number {
        const record = this.records.get(fingerprint);
        if (record === undefined) {
            return 0;
        }
        if (this.clock.readMonotonic() > record.until) {
            this.records.delete(fingerprint);
            return 0;
        }
        return record.incidents.size;
    }
}

/** Removes what was added first until no more than `size` is left. */
function forgetOldest(memory: Map<string, unknown> | Set<string>, size: number): void {
    for (const name of memory.keys()) {
        if (memory.size <= size) {
            return;
        }
        memory.delete(name);
    }
}
