/**
 * Reports requests that crash endpoints to other nodes and to the shared log, and applies the `quarantine` stream.
 *
 * LocalEndpoint detects the crashes. Routed nodes use CrashDetector instead of both.
 */
import type { ControlCaller } from "../../connection/control.js";
import type { LogService } from "../../connection/logService.js";
import type { Member } from "../../version/member.js";
import { formatSlot } from "../../version/member.js";
import type { QuarantineState } from "../../version/quarantineStream.js";
import { formatQuarantineRecord, quarantineStreamName } from "../../version/quarantineStream.js";
import type { Clock } from "../base/clock.js";
import type { Directory } from "../membership/directory.js";
import type { Logger } from "../telemetry/logger.js";
import type { Quarantine } from "./quarantine.js";
import { quarantineMs } from "./quarantine.js";

/** Timeout of a crash report to a peer, in milliseconds. */
const reportTimeoutMs = 500;

/** Dependencies of the reporter. */
export interface CrashReporterDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly self: Member;
    readonly log: LogService;
    readonly control: ControlCaller;
    readonly directory: Directory;
    readonly quarantine: Quarantine;
}

/** Reports crashes of this node's endpoint, and keeps its quarantine in line with the shared log. */
export class CrashReporter {
    /** Fingerprints that the `quarantine` stream listed when it was last applied. */
    private quarantinedByLog: ReadonlySet<string> = new Set();

    constructor(private readonly dependencies: CrashReporterDependencies) {}

    /**
     * Reports a crash to the other instances of the service, and appends the fingerprint of the request to the log if
     * this crash puts the request under quarantine. `incident` identifies the crash, so that two reports of one crash
     * count once; it is the `boot` of the endpoint that crashed. Settles when each instance that isn't faulty has
     * recorded the crash or the call to it has failed, so that a resend of the request finds the crash recorded.
     */
    async report(fingerprint: string, incident: string): Promise<void> {
        const { clock, logger, self, log, control, directory, quarantine } = this.dependencies;
        const isNewlyQuarantined = quarantine.recordCrash(fingerprint, incident);
        const request = { from: self, fingerprint, incident };
        const instances = directory.listPeers().filter(update => update.member.service === self.service);
        const reports = instances.map(async ({ member, health }) => {
            const delivery = control.call(formatSlot(member), "reportCrash", request, reportTimeoutMs);
            // A faulty instance is sent the report too, but not waited for.
            return health === "faulty" ? undefined : delivery;
        });
        if (isNewlyQuarantined) {
            logger.warn("quarantined", { fingerprint });
            const until = clock.readDate().getTime() + quarantineMs;
            const record = formatQuarantineRecord({ kind: "quarantine", fingerprint, service: self.service, until });
            void log.append(quarantineStreamName, record);
        }
        await Promise.all(reports);
    }

    /** Puts requests under quarantine that the log lists, and releases those that it no longer lists. */
    applyQuarantineStream(state: QuarantineState): void {
        const { clock, quarantine } = this.dependencies;
        const listed = new Set(state.entries.map(entry => entry.fingerprint));
        for (const fingerprint of this.quarantinedByLog) {
            if (!listed.has(fingerprint)) {
                quarantine.release(fingerprint);
            }
        }
        this.quarantinedByLog = listed;
        const now = clock.readDate().getTime();
        for (const entry of state.entries) {
            if (entry.until > now) {
                quarantine.impose(entry.fingerprint, entry.until - now);
            }
        }
    }
}
