/**
 * Detects crashes of the local endpoint and the requests that were running at the time.
 *
 * A single lost connection does not prove a crash. The endpoint has crashed if it accepts no new connection either. The
 * requests whose connections were lost just before then become suspects, on this node and on all others. Only routed
 * nodes use this class; on other nodes, LocalEndpoint detects crashes and CrashReporter reports them.
 */
import type { Clock } from "../base/clock.js";
import type { Logger } from "../telemetry/logger.js";
import type { Quarantine } from "./quarantine.js";

/** Connections that are lost within this time of each other count as lost in the same crash, in milliseconds. */
const sameCrashWindowMs = 800;
/** Maximum number of earlier suspects of one crash that are kept besides the latest one; the oldest are removed. */
const maxSuspects = 200;

/** Dependencies of the detector. */
export interface CrashDetectorDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly quarantine: Quarantine;
    /** Identifies this process among all nodes; first part of the identifier of each crash, `nodeId/number`. */
    readonly nodeId: string;
    /** Checks whether the endpoint accepts a new connection and keeps it open. */
    readonly isEndpointRunning: () => Promise<boolean>;
    /** Sends the suspects of a crash to the other nodes. */
    readonly reportToPeers: (fingerprints: readonly string[], incident: string) => void;
}

/** Detects crashes of the local endpoint from the lost connections of its runs. */
export class CrashDetector {
    private lostRuns: { readonly fingerprint: string; readonly at: number; }[] = [];
    private isChecking = false;
    private crashes = 0;

    constructor(private readonly dependencies: CrashDetectorDependencies) {}

    /** Records that the connection of a run was lost, and checks in the background whether the endpoint has crashed. */
    recordLost(fingerprint: string): void {
        const at = this.dependencies.clock.readMonotonic();
        this.lostRuns = this.lostRuns.filter(each => at - each.at < sameCrashWindowMs).slice(-maxSuspects);
        this.lostRuns.push({ fingerprint, at });
        if (!this.isChecking) {
            this.isChecking = true;
            void this.check().finally(() => this.isChecking = false);
        }
    }

    private async check(): Promise<void> {
        const { isEndpointRunning, quarantine, logger, reportToPeers, nodeId } = this.dependencies;
        if (await isEndpointRunning()) {
            return;
        }
        this.crashes += 1;
        const incident = `${nodeId}/${this.crashes}`;
        const fingerprints = this.lostRuns.splice(0).map(each => each.fingerprint);
        const newlyQuarantined = fingerprints.filter(each => quarantine.recordCrash(each, incident));
        logger.warn("endpointCrashed", {
            incident,
            suspects: fingerprints.length,
            quarantined: newlyQuarantined.length,
        });
        reportToPeers(fingerprints, incident);
    }
}
