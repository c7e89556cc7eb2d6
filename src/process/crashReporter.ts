/** Spreads the word on requests that crash endpoints, and follows the log's word on them. */
import type { ControlCaller } from "../connection/control.js";
import type { LogService } from "../connection/logService.js";
import type { Member } from "../version/member.js";
import { formatSlot } from "../version/member.js";
import type { QuarantineState } from "../version/quarantineStream.js";
import { formatQuarantineRecord, quarantineStreamName } from "../version/quarantineStream.js";
import type { Clock } from "./clock.js";
import type { Directory } from "./directory.js";
import type { Logger } from "./logger.js";
import type { Quarantine } from "./quarantine.js";
import { quarantineMs } from "./quarantine.js";

/** Time for a report to a peer, in milliseconds. */
const reportTimeoutMs = 500;

/** What the reporter needs from the rest of the node. */
export interface CrashReporterDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly self: Member;
    readonly log: LogService;
    readonly control: ControlCaller;
    readonly directory: Directory;
    readonly quarantine: Quarantine;
}

/** Reports crashes and applies the `quarantine` stream. */
export class CrashReporter {
    private imposed: ReadonlySet<string> = new Set();

    constructor(private readonly dependencies: CrashReporterDependencies) {}

    /**
     * Tells the other instances of the service at once, and the log when the request is refused from now on. Settles when
     * the instances that answer have noted it, so that a later send of the request finds it noted.
     */
    async report(fingerprint: string, incident: string): Promise<void> {
        const { clock, logger, self, log, control, directory, quarantine } = this.dependencies;
        const isNowRefused = quarantine.recordCrash(fingerprint, incident);
        const request = { from: self, fingerprint, incident };
        const instances = directory.listPeers().filter(update => update.member.service === self.service);
        const reports = instances.map(async ({ member, health }) => {
            const told = control.call(formatSlot(member), "reportCrash", request, reportTimeoutMs);
            // An instance that is down gets the report when it can, but nobody waits for it.
            return health === "faulty" ? undefined : told;
        });
        if (isNowRefused) {
            logger.warn("quarantined", { fingerprint });
            const until = clock.readDate().getTime() + quarantineMs;
            const record = formatQuarantineRecord({ kind: "quarantine", fingerprint, service: self.service, until });
            void log.append(quarantineStreamName, record);
        }
        await Promise.all(reports);
    }

    /** Refuses what the log lists, and lets go what it no longer lists. */
    applyQuarantineStream(state: QuarantineState): void {
        const { clock, quarantine } = this.dependencies;
        const listed = new Set(state.entries.map(entry => entry.fingerprint));
        for (const fingerprint of this.imposed) {
            if (!listed.has(fingerprint)) {
                quarantine.release(fingerprint);
            }
        }
        this.imposed = listed;
        const now = clock.readDate().getTime();
        for (const entry of state.entries) {
            if (entry.until > now) {
                quarantine.impose(entry.fingerprint, entry.until - now);
            }
        }
    }
}
