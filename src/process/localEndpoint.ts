/** The endpoint in this node's slot: its announcements, and the requests that run there. */
import { isEndpointRunning } from "../connection/endpointLiveness.js";
import type { HttpFailure } from "../connection/httpPool.js";
import { findLowerCaseHeader, HttpPool } from "../connection/httpPool.js";
import type { Answer } from "../request/answer.js";
import { createNotRunAnswer, createUnknownAnswer } from "../request/answer.js";
import type { Call } from "../request/call.js";
import type { CallRunner } from "../request/dispatcher.js";
import { copyForwardedHeaders, headerNames } from "../request/headers.js";
import type { Admission, Release } from "./admission.js";
import type { Clock } from "./clock.js";
import type { LearnedThresholds } from "./learnedThresholds.js";
import type { Logger } from "./logger.js";
import type { Quarantine } from "./quarantine.js";
import type { RunTable } from "./runTable.js";
import { Run } from "./runTable.js";

/** Time without an announcement after which the endpoint counts as gone, in milliseconds. */
const announcementTimeoutMs = 3000;
/** Time after which a send to an endpoint that is not ready may be tried again, in milliseconds. */
const notReadyRetryMs = 500;
/** Time after which a send of a suspect that has to wait for another one may be tried again, in milliseconds. */
const suspectRetryMs = 1000;

/** What an endpoint says of itself. */
export interface EndpointAnnouncement {
    /** Changes with each start of the endpoint. */
    readonly boot: string;
    /** Requests that it can run at the same time. */
    readonly slots: number;
    readonly isDraining: boolean;
}

/** What the local endpoint needs from the rest of the node. */
export interface LocalEndpointDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly admission: Admission;
    readonly runs: RunTable;
    readonly quarantine: Quarantine;
    readonly downstream: LearnedThresholds;
    /** Told the fingerprint of each request that was in progress at a crash. Settles once the other instances know. */
    readonly reportCrash: (fingerprint: string, incident: string) => Promise<void>;
}

/** The endpoint beside this node. */
export class LocalEndpoint implements CallRunner {
    private readonly pool: HttpPool;
    private announcement: EndpointAnnouncement | undefined;
    private announcedAt = 0;
    private isGone = false;
    private inProgress = 0;
    private isLeaving = false;

    constructor(
        private readonly url: string,
        maxBodyBytes: number,
        private readonly dependencies: LocalEndpointDependencies,
    ) {
        this.pool = new HttpPool(url, maxBodyBytes);
    }

    /** Takes an announcement; the endpoint repeats it every second. */
    acceptAnnouncement(announcement: EndpointAnnouncement): void {
        const before = this.announcement;
        const isNewBoot = before?.boot !== announcement.boot;
        if (isNewBoot) {
            this.dependencies.logger.info("endpointAnnounced", { boot: announcement.boot, slots: announcement.slots });
        }
        if (announcement.isDraining && before?.isDraining !== true) {
            this.dependencies.logger.info("endpointDraining", { inProgress: this.inProgress });
        }
        // The first announcement to a node may come from an endpoint that is warm already.
        this.dependencies.admission.setSlots(announcement.slots, isNewBoot && before !== undefined);
        this.announcement = announcement;
        this.announcedAt = this.dependencies.clock.readMonotonic();
        this.isGone = false;
    }

    isReady(): boolean {
        return this.announcement !== undefined && !this.announcement.isDraining && !this.isGone && !this.isLeaving
            && this.dependencies.clock.readMonotonic() - this.announcedAt < announcementTimeoutMs;
    }

    /** Whether the endpoint or its node is on the way out. */
    isDraining(): boolean {
        return this.isLeaving || this.announcement?.isDraining === true;
    }

    /** Takes no new work from now on. */
    stopAcceptingRequests(): void {
        this.isLeaving = true;
    }

    /** Requests that run or wait for a place. */
    getInProgress(): number {
        return this.inProgress;
    }

    async run(call: Call): Promise<Answer> {
        this.inProgress += 1;
        try {
            return await this.runChecked(call);
        }
        finally {
            this.inProgress -= 1;
        }
    }

    /** Closes the connections to the endpoint. */
    stop(): Promise<void> {
        return this.pool.destroy();
    }

    private async runChecked(call: Call): Promise<Answer> {
        const { quarantine } = this.dependencies;
        if (!this.isReady()) {
            return this.refuse(call, this.isDraining() ? "leaving" : "notReady", notReadyRetryMs);
        }
        if (quarantine.isRefused(call.fingerprint)) {
            return this.refuse(call, "quarantined", undefined);
        }
        if (!quarantine.isSuspect(call.fingerprint)) {
            return this.runAdmitted(call);
        }
        if (!quarantine.startSuspect(call.fingerprint)) {
            return this.refuse(call, "quarantined", suspectRetryMs);
        }
        try {
            return await this.runAdmitted(call);
        }
        finally {
            quarantine.endSuspect(call.fingerprint);
        }
    }

    private async runAdmitted(call: Call): Promise<Answer> {
        const { clock, admission } = this.dependencies;
        const timeLeftMs = call.deadline - clock.readMonotonic();
        const result = await admission.request(call.context.priority, timeLeftMs, call.signal);
        if (result.kind === "refused") {
            return this.refuse(call, result.reason, result.retryAfterMs);
        }
        return this.runNow(call, result.release);
    }

    private async runNow(call: Call, release: Release): Promise<Answer> {
        const { clock, runs } = this.dependencies;
        const timeoutMs = call.deadline - clock.readMonotonic();
        if (timeoutMs <= 0 || call.signal.aborted) {
            release(undefined);
            return this.refuse(call, call.signal.aborted ? "cancelled" : "deadline", notReadyRetryMs);
        }
        const callAttempt = call.isIdempotent ? call.context.attempt : 1;
        const run = new Run(clock, call.context, call.deadline, call.budget.getRemaining(), call.signal, callAttempt);
        runs.add(run);
        const result = await this.pool.send({
            method: call.method,
            path: call.path,
            headers: [...call.headers, ...createEndpointHeaders(call, run, timeoutMs)],
            body: call.body,
            timeoutMs,
            signal: call.signal,
        });
        runs.remove(run);
        const isCancelled = result.kind === "lost" && result.isCancelled;
        release(result.kind === "unsent" || isCancelled ? undefined : run.computeOwnMs());
        const unspent = run.budget.getRemaining();
        if (result.kind !== "answered") {
            return this.handleFailure(call, result, unspent);
        }
        if (findLowerCaseHeader(result.headers, headerNames.outcome) === "not-run") {
            const retryAfterMs = Number(
                findLowerCaseHeader(result.headers, headerNames.retryAfterMs) ?? notReadyRetryMs,
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
            this.isGone = true;
            return this.refuse(call, "notReady", notReadyRetryMs, unspent);
        }
        if (failure.isTimeout || failure.isCancelled) {
            return createUnknownAnswer(
                failure.isTimeout ? "deadline" : "cancelled",
                undefined,
                this.findThreshold(call),
            );
        }
        const boot = this.announcement?.boot ?? "";
        const { hostname, port } = new URL(this.url);
        if (!await isEndpointRunning(hostname, Number(port)) || this.announcement?.boot !== boot) {
            this.isGone = true;
            this.dependencies.logger.warn("endpointCrashed", { boot, fingerprint: call.fingerprint });
            // The caller may send again as soon as it has the answer, so the other instances are told first.
            await this.dependencies.reportCrash(call.fingerprint, boot);
        }
        return createUnknownAnswer("endpointFailed", notReadyRetryMs, this.findThreshold(call));
    }

    private refuse(
        call: Call,
        reason: "leaving" | "notReady" | "quarantined" | "overloaded" | "deadline" | "cancelled",
        retryAfterMs: number | undefined,
        unspent = call.budget.getRemaining(),
    ): Answer {
        return createNotRunAnswer(reason, retryAfterMs, unspent, this.findThreshold(call));
    }

    /** Threshold of this endpoint and of those behind it for a class of action. */
    private findThreshold(call: Call): number {
        const behind = this.dependencies.downstream.find(call.context.customer, call.context.actionClass);
        return Math.max(this.dependencies.admission.getThreshold(), behind);
    }
}

/** Headers by which the endpoint knows the request and names its run on calls to other services. */
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
