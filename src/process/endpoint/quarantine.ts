/**
 * Quarantine of requests that crash the endpoints that run them.
 *
 * Each request that was in progress when an endpoint crashed becomes a suspect. A request whose fingerprint is
 * among the last {@link maxCompleted} completed ones is no suspect, because a request that crashes one endpoint is
 * assumed to crash all. A suspect request may run once more, but never at the same time as another one, so that an
 * unrelated request is cleared by its next run. A request that was in progress at two crashes is under quarantine: it
 * is refused on all nodes.
 */
import type { Clock } from "../base/clock.js";

/** Number of crashes at which a request was in progress before it is refused. */
export const crashThreshold = 2;
/** Time for which a request is suspect or refused, in milliseconds. */
export const quarantineMs = 600_000;
/** Maximum number of suspect or refused requests that are remembered; the oldest are removed first. */
const maxRecords = 10_000;
/** Maximum number of completed requests that are remembered; the oldest are removed first. */
const maxCompleted = 20_000;

/** Crashes at which one request was in progress, and the monotonic time in milliseconds at which the record expires. */
interface CrashRecord {
    readonly incidents: Set<string>;
    until: number;
}

/** A suspect or refused request, as nodes of a service tell each other. */
export interface Suspect {
    readonly fingerprint: string;
    /** Time for which it stays suspect, in milliseconds. */
    readonly leftMs: number;
    /** Crashes at which it was in progress, as many as the threshold at most. */
    readonly incidents: readonly string[];
}

/** Suspect and refused requests, by their fingerprints. */
export class Quarantine {
    private readonly records = new Map<string, CrashRecord>();
    private readonly completed = new Set<string>();
    private readonly runningSuspects = new Set<string>();

    constructor(private readonly clock: Clock) {}

    /** Records that a request was in progress at the crash `incident`. Returns whether this put it under quarantine. */
    recordCrash(fingerprint: string, incident: string): boolean {
        if (this.completed.has(fingerprint)) {
            return false;
        }
        const record = this.records.get(fingerprint) ?? { incidents: new Set<string>(), until: 0 };
        const wasRefused = record.incidents.size >= crashThreshold;
        record.incidents.add(incident);
        record.until = this.clock.readMonotonic() + quarantineMs;
        this.records.delete(fingerprint);
        this.records.set(fingerprint, record);
        forgetOldest(this.records, maxRecords);
        return !wasRefused && record.incidents.size >= crashThreshold;
    }

    /** Lists at most `maxCount` suspects, refused ones first, then the newest. */
    listSuspects(maxCount: number): Suspect[] {
        const now = this.clock.readMonotonic();
        const newest = [...this.records].filter(([, { until }]) => now <= until).reverse();
        const refused = newest.filter(([, { incidents }]) => incidents.size >= crashThreshold);
        const others = newest.filter(([, { incidents }]) => incidents.size < crashThreshold);
        return [...refused, ...others].slice(0, maxCount).map(([fingerprint, { incidents, until }]) => ({
            fingerprint,
            leftMs: until - now,
            incidents: [...incidents].slice(-crashThreshold),
        }));
    }

    /** Adds what another node knows of a suspect. It takes back nothing that is known here. */
    learnSuspect({ fingerprint, leftMs, incidents }: Suspect): void {
        if (this.completed.has(fingerprint)) {
            return;
        }
        const record = this.records.get(fingerprint) ?? { incidents: new Set<string>(), until: 0 };
        incidents.forEach(incident => record.incidents.add(incident));
        record.until = Math.max(record.until, this.clock.readMonotonic() + Math.min(leftMs, quarantineMs));
        this.records.set(fingerprint, record);
        forgetOldest(this.records, maxRecords);
    }

    /**
     * Puts a request that the shared log lists under quarantine, for `durationMs` milliseconds from now, unless it is
     * among the remembered completed ones. The incidents `log-0` and so on are placeholders that reach the threshold.
     */
    impose(fingerprint: string, durationMs: number): void {
        if (this.completed.has(fingerprint)) {
            return;
        }
        const incidents = new Set(Array.from({ length: crashThreshold }, (_, index) => `log-${index}`));
        this.records.set(fingerprint, { incidents, until: this.clock.readMonotonic() + durationMs });
        forgetOldest(this.records, maxRecords);
    }

    /** Records that a run of a request completed, which clears it of suspicion. */
    recordCompleted(fingerprint: string): void {
        this.records.delete(fingerprint);
        this.completed.delete(fingerprint);
        this.completed.add(fingerprint);
        forgetOldest(this.completed, maxCompleted);
    }

    /** Releases a request from quarantine that the shared log no longer lists, as after a release by an operator. */
    release(fingerprint: string): void {
        this.records.delete(fingerprint);
    }

    /** Whether no request is suspect or refused. */
    isEmpty(): boolean {
        return this.records.size === 0;
    }

    /** Whether a request is under quarantine and must not run. */
    isRefused(fingerprint: string): boolean {
        return this.countCrashes(fingerprint) >= crashThreshold;
    }

    /** Whether a request is suspect, which one under quarantine is too. */
    isSuspect(fingerprint: string): boolean {
        return this.countCrashes(fingerprint) > 0;
    }

    /** Registers the start of a suspect's run; false while another suspect is running. */
    startSuspectRun(fingerprint: string): boolean {
        if (this.runningSuspects.size > 0) {
            return false;
        }
        this.runningSuspects.add(fingerprint);
        return true;
    }

    /** Registers the end of a suspect's run. */
    endSuspectRun(fingerprint: string): void {
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

/** Removes the oldest entries until no more than `maxSize` are left. */
function forgetOldest(collection: Map<string, unknown> | Set<string>, maxSize: number): void {
    for (const oldest of collection.keys()) {
        if (collection.size <= maxSize) {
            return;
        }
        collection.delete(oldest);
    }
}
