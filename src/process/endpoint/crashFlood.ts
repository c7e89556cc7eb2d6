/**
 * Passes reports of crashed endpoints through the nodes of a service: each node that receives a report for the first
 * time forwards it to its own links, so it reaches all of them although each has links to a few only.
 */
import type { Quarantine } from "./quarantine.js";

/** Reports that are remembered, so that each is forwarded once; the oldest are forgotten first. */
const maxRememberedIncidents = 2000;

/** A crash of an endpoint: its identifier, and the fingerprints of the requests that were in progress. */
export interface CrashReport {
    readonly incident: string;
    readonly fingerprints: readonly string[];
}

/** Receives and forwards reports of crashes. */
export class CrashFlood {
    private readonly incidents = new Set<string>();

    constructor(
        private readonly quarantine: Pick<Quarantine, "recordCrash">,
        /** Sends a report to other nodes of the service. */
        private readonly forward: (report: CrashReport) => void,
    ) {}

    /** Reports a crash of the local endpoint, which the local quarantine has recorded. */
    report(report: CrashReport): void {
        this.recordIncident(report.incident);
        this.forward(report);
    }

    /** Records a report of another node, and forwards it if it is new. */
    receive({ incident, fingerprints }: CrashReport): void {
        if (this.incidents.has(incident)) {
            return;
        }
        this.recordIncident(incident);
        fingerprints.forEach(fingerprint => this.quarantine.recordCrash(fingerprint, incident));
        this.forward({ incident, fingerprints });
    }

    private recordIncident(incident: string): void {
        this.incidents.add(incident);
        if (this.incidents.size > maxRememberedIncidents) {
            const [oldest] = this.incidents;
            this.incidents.delete(oldest!);
        }
    }
}
