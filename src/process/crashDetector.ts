/**
 * Notices that the endpoint beside this node has crashed, and which requests it was running.
 *
 * A connection that is lost may be one lost answer. The endpoint has crashed if it takes no new connection either; what was
 * lost just before is then suspect, here and at all other nodes.
 */
import type { Clock } from "./clock.js";
import type { Logger } from "./logger.js";
import type { Quarantine } from "./quarantine.js";

/** Time between losses of one crash, in milliseconds. */
const crashSpreadMs = 800;
/** Most suspects of one crash. */
const maxSuspects = 200;

/** What the watch needs from the rest of the node. */
export interface CrashDetectorDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly quarantine: Quarantine;
    /** Name of this instance, to tell crashes apart. */
    readonly address: string;
    /** Whether the endpoint takes a new connection and holds it. */
    readonly isEndpointRunning: () => Promise<boolean>;
    /** Tells the other nodes. */
    readonly reportToPeers: (fingerprints: readonly string[], incident: string) => void;
}

/** Watches for crashes of the endpoint. */
export class CrashDetector {
    private lost: { readonly fingerprint: string; readonly at: number; }[] = [];
    private isChecking = false;
    private crashes = 0;

    constructor(private readonly dependencies: CrashDetectorDependencies) {}

    /** Notes that the connection of a run was lost. */
    recordLost(fingerprint: string): void {
        const at = this.dependencies.clock.readMonotonic();
        this.lost = this.lost.filter(each => at - each.at < crashSpreadMs).slice(-maxSuspects);
        this.lost.push({ fingerprint, at });
        if (!this.isChecking) {
            this.isChecking = true;
            void this.check().finally(() => this.isChecking = false);
        }
    }

    private async check(): Promise<void> {
        const { isEndpointRunning: isRunning, quarantine, logger, reportToPeers: spread, address } = this.dependencies;
        if (await isRunning()) {
            return;
        }
        this.crashes += 1;
        const incident = `${address}/${this.crashes}`;
        const fingerprints = this.lost.splice(0).map(each => each.fingerprint);
        const refused = fingerprints.filter(each => quarantine.recordCrash(each, incident));
        logger.warn("endpointCrashed", { incident, suspects: fingerprints.length, quarantined: refused.length });
        spread(fingerprints, incident);
    }
}
