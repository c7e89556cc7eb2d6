/**
 * The local endpoint: its announcements, and the requests that run at it. Routed nodes use EndpointState and
 * EndpointRunner instead.
 */
import { isEndpointRunning } from "../../connection/endpointLiveness.js";
import type { HttpFailure } from "../../connection/httpPool.js";
import { findLowerCaseHeader, HttpPool } from "../../connection/httpPool.js";
import type { Answer } from "../../request/answer.js";
import { createNotRunAnswer, createUnknownAnswer } from "../../request/answer.js";
import type { Call } from "../../request/call.js";
import type { CallRunner } from "../../request/dispatcher.js";
import type { HeaderList } from "../../request/headers.js";
import { copyForwardedHeaders, headerNames } from "../../request/headers.js";
import type { Clock } from "../base/clock.js";
import type { Admission, Release } from "../load/admission.js";
import type { LearnedThresholds } from "../load/learnedThresholds.js";
import type { Logger } from "../telemetry/logger.js";
import type { Quarantine } from "./quarantine.js";
import type { RunTable } from "./runTable.js";
import { Run } from "./runTable.js";

/** Time without an announcement after which the endpoint is not ready, in milliseconds. */
const announcementTimeoutMs = 3000;
/** Delay after which a call may be retried that found the endpoint not ready, in milliseconds. */
const notReadyRetryAfterMs = 500;
/** Retry delay for a suspect request that is refused while another suspect request is running, in milliseconds. */
const suspectRetryAfterMs = 1000;

/** State that an endpoint announces to its node. */
export interface EndpointAnnouncement {
    /** Identifies the incarnation, that is the process, of the endpoint; changes with each start. */
    readonly boot: string;
    /** Concurrency slots: requests that the endpoint can run at the same time. */
    readonly slots: number;
    readonly isDraining: boolean;
}

/** Dependencies of the local endpoint. */
export interface LocalEndpointDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly admission: Admission;
    readonly runs: RunTable;
    readonly quarantine: Quarantine;
    readonly downstreamThresholds: LearnedThresholds;
    /**
     * Reports a request in progress at a crash, by its fingerprint. `incident` is the `boot` of the endpoint that
     * crashed. Settles once the other instances have recorded the crash.
     */
    readonly reportCrash: (fingerprint: string, incident: string) => Promise<void>;
}

/** Runs calls at the local endpoint, subject to readiness, quarantine and admission control. */
export class LocalEndpoint implements CallRunner {
    private readonly pool: HttpPool;
    private announcement: EndpointAnnouncement | undefined;
    private lastAnnouncedAt = 0;
    private isUnreachable = false;
    private inProgress = 0;
    private isLeaving = false;

    constructor(
        private readonly url: string,
        maxBodyBytes: number,
        private readonly dependencies: LocalEndpointDependencies,
    ) {
        this.pool = new HttpPool(url, maxBodyBytes, isRefusal);
    }

    /** Accepts an announcement, which the endpoint repeats every second. */
    acceptAnnouncement(announcement: EndpointAnnouncement): void {
        const before = this.announcement;
        const isNewBoot = before?.boot !== announcement.boot;
        if (isNewBoot) {
            this.dependencies.logger.info("endpointAnnounced", { boot: announcement.boot, slots: announcement.slots });
        }
        if (announcement.isDraining && before?.isDraining !== true) {
            this.dependencies.logger.info("endpointDraining", { inProgress: this.inProgress });
        }
        // When this node gets its first announcement, the endpoint may be warm already. A later new boot is a cold start.
        this.dependencies.admission.setSlots(announcement.slots, isNewBoot && before !== undefined);
        this.announcement = announcement;
        this.lastAnnouncedAt = this.dependencies.clock.readMonotonic();
        this.isUnreachable = false;
    }

    /** Whether the endpoint may get requests: recently announced, reachable and not draining, on a node not leaving. */
    isReady(): boolean {
        return this.announcement !== undefined && !this.announcement.isDraining && !this.isUnreachable
            && !this.isLeaving
            && this.dependencies.clock.readMonotonic() - this.lastAnnouncedAt < announcementTimeoutMs;
    }

    /** Whether the endpoint drains or the node is leaving. */
    isDraining(): boolean {
        return this.isLeaving || this.announcement?.isDraining === true;
    }

    /** Refuses all further requests, because the node is leaving. */
    stopAcceptingRequests(): void {
        this.isLeaving = true;
    }

    /** Number of requests that run or wait for admission. */
    countRequestsInProgress(): number {
        return this.inProgress;
    }

    /** Runs a call at the endpoint or refuses it. */
    async run(call: Call): Promise<Answer> {
        this.inProgress += 1;
        try {
            return await this.checkAndRun(call);
        }
        finally {
            this.inProgress -= 1;
        }
    }

    /** Closes the connections to the endpoint. */
    stop(): Promise<void> {
        return this.pool.destroy();
    }

    private async checkAndRun(call: Call): Promise<Answer> {
        const { quarantine } = this.dependencies;
        if (!this.isReady()) {
            return this.refuse(call, this.isDraining() ? "leaving" : "notReady", notReadyRetryAfterMs);
        }
        if (quarantine.isRefused(call.fingerprint)) {
            return this.refuse(call, "quarantined", undefined);
        }
        if (!quarantine.isSuspect(call.fingerprint)) {
            return this.admitAndRun(call);
        }
        if (!quarantine.startSuspectRun(call.fingerprint)) {
            return this.refuse(call, "quarantined", suspectRetryAfterMs);
        }
        try {
            return await this.admitAndRun(call);
        }
        finally {
            quarantine.endSuspectRun(call.fingerprint);
        }
    }

    private async admitAndRun(call: Call): Promise<Answer> {
        const { clock, admission } = this.dependencies;
        const timeLeftMs = call.deadline - clock.readMonotonic();
        const result = await admission.request(call.context.priority, timeLeftMs, call.signal);
        if (result.kind === "refused") {
            return this.refuse(call, result.reason, result.retryAfterMs);
        }
        return this.runAtEndpoint(call, result.release);
    }

    private async runAtEndpoint(call: Call, release: Release): Promise<Answer> {
        const { clock, runs } = this.dependencies;
        const timeoutMs = call.deadline - clock.readMonotonic();
        if (timeoutMs <= 0 || call.signal.aborted) {
            release(undefined);
            return this.refuse(call, call.signal.aborted ? "cancelled" : "deadline", notReadyRetryAfterMs);
        }
        // An idempotent action may have run and made its calls before; any other runs once, so its calls are first sends.
        const firstCallAttempt = call.isIdempotent ? call.context.attempt : 1;
        const run = new Run(
            clock,
            call.context,
            call.deadline,
            call.budget.getRemaining(),
            call.signal,
            firstCallAttempt,
        );
        runs.add(run);
        const result = await this.pool.send({
            method: call.method,
            path: call.path,
            headers: [...call.headers, ...createEndpointHeaders(call, run, timeoutMs)],
            body: call.body,
            echo: { name: headerNames.run, value: run.token },
            timeoutMs,
            signal: call.signal,
        });
        runs.remove(run);
        const isCancelled = result.kind === "lost" && result.isCancelled;
        release(result.kind === "unsent" || isCancelled ? undefined : run.computeSelfTimeMs());
        const unspent = run.budget.getRemaining();
        if (result.kind !== "answered") {
            return this.handleFailure(call, result, unspent);
        }
        if (isRefusal(result.headers)) {
            const retryAfterMs = Number(
                findLowerCaseHeader(result.headers, headerNames.retryAfterMs) ?? notReadyRetryAfterMs,
            );
            return createNotRunAnswer("overloaded", retryAfterMs, unspent, this.findThreshold(call));
        }
        this.dependencies.quarantine.recordCompleted(call.fingerprint);
        return {
            outcome: "completed",
            status: result.status,
            headers: copyForwardedHeaders(result.headers),
            body: result.body,
            isReplayed: false,
            unspent,
            threshold: this.findThreshold(call),
        };
    }

    private async handleFailure(call: Call, failure: HttpFailure, unspent: number): Promise<Answer> {
        if (failure.kind === "unsent") {
            this.isUnreachable = true;
            return this.refuse(call, "notReady", notReadyRetryAfterMs, unspent);
        }
        if (failure.isTimeout || failure.isCancelled) {
            return createUnknownAnswer(
                failure.isTimeout ? "deadline" : "cancelled",
                undefined,
                this.findThreshold(call),
            );
        }
        // An endpoint that crashed may already run again, under a new boot.
        const boot = this.announcement?.boot ?? "";
        const { hostname, port } = new URL(this.url);
        if (!await isEndpointRunning(hostname, Number(port)) || this.announcement?.boot !== boot) {
            this.isUnreachable = true;
            this.dependencies.logger.warn("endpointCrashed", { boot, fingerprint: call.fingerprint });
            // The caller may resend as soon as it has the answer, so the other instances are notified first.
            await this.dependencies.reportCrash(call.fingerprint, boot);
        }
        return createUnknownAnswer("endpointFailed", notReadyRetryAfterMs, this.findThreshold(call));
    }

    private refuse(
        call: Call,
        reason: "leaving" | "notReady" | "quarantined" | "overloaded" | "deadline" | "cancelled",
        retryAfterMs: number | undefined,
        unspent = call.budget.getRemaining(),
    ): Answer {
        return createNotRunAnswer(reason, retryAfterMs, unspent, this.findThreshold(call));
    }

    /** Priority threshold for a class of action: the higher of this endpoint's and of its downstream services'. */
    private findThreshold(call: Call): number {
        const downstreamThreshold = this.dependencies.downstreamThresholds.find(
            call.context.customer,
            call.context.actionClass,
        );
        return Math.max(this.dependencies.admission.getThreshold(), downstreamThreshold);
    }
}

/** Whether the endpoint states that it did not run the request. */
function isRefusal(headers: HeaderList): boolean {
    return findLowerCaseHeader(headers, headerNames.outcome) === "not-run";
}

/**
 * Creates the headers of a run's request. The endpoint sends the run token with its calls to other services. The class
 * header has the class of this call, which the run that made the call may set to another one than the action's class.
 */
function createEndpointHeaders(call: Call, run: Run, timeoutMs: number): string[] {
    const { context } = call;
    return [
        headerNames.key,
        context.key,
        headerNames.customer,
        context.customer,
        headerNames.class,
        call.callClass,
        headerNames.attempt,
        String(context.attempt),
        headerNames.deadline,
        String(Math.max(1, Math.floor(timeoutMs))),
        headerNames.run,
        run.token,
    ];
}
