/**
 * Follows what the local endpoint states of itself, by its reports, its answers and its health check, and tells the other
 * nodes of each change. After a restart of the node, takes over what an earlier process of it published.
 */
import type { EndpointConnectionPool } from "../../connection/endpointConnectionPool.js";
import type { InstanceRecord } from "../../version/instanceRecord.js";
import type { Clock } from "../base/clock.js";
import type { ClusterState } from "../membership/clusterState.js";
import type { Logger } from "../telemetry/logger.js";
import { probeEndpoint } from "./endpointProbe.js";
import type { EndpointReport, EndpointState, ReportResult } from "./endpointState.js";
import type { SuspectExchange } from "./suspectExchange.js";

/**
 * Longest time after a restart, from when requests can first reach this node, in which the endpoint gets none for want of what
 * was known before, in milliseconds.
 */
const maxRestoreMs = 1000;
/** Interval at which the end of that wait is checked, in milliseconds. */
const restorePollMs = 20;
/** Interval at which the first configuration is waited for, in milliseconds. */
const configurationPollMs = 50;
/** Factor by which the endpoint's limit may differ from the published one before it is published again. */
const limitTolerance = 1.25;

/** Dependencies of the lifecycle. */
export interface EndpointLifecycleDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Service of the endpoint. */
    readonly service: string;
    readonly endpoint: EndpointState;
    readonly pool: EndpointConnectionPool;
    readonly clusterState: Pick<ClusterState, "configurationHolder" | "hasOwnRecord" | "publishOwnRecord">;
    /** Whether all nodes start now for the first time, so that no earlier process knew anything. */
    readonly isFirstStart: boolean;
    /** What the other nodes of the service know of requests that crash endpoints. */
    readonly suspects: Pick<SuspectExchange, "hasContact" | "isInformed">;
    /** Refuses the requests that wait for the endpoint. */
    readonly refuseWaiting: () => void;
    /** Sends the endpoint's load on every link that other nodes opened. */
    readonly announceLoad: () => void;
    /** Sends the own instance record on every link that other nodes opened. */
    readonly announceRecord: () => void;
}

/** What one node knows of its endpoint, and its announcements. */
export class EndpointLifecycle {
    private isRestoreOver: boolean;
    /** Limit that was published last, in requests per second. */
    private publishedLimit: number | undefined;

    constructor(private readonly dependencies: EndpointLifecycleDependencies) {
        this.isRestoreOver = dependencies.isFirstStart;
    }

    /** Whether it is known what earlier processes of this node knew, or the wait for that has ended. */
    isRestored(): boolean {
        return this.isRestoreOver;
    }

    /** Applies a report of the endpoint. */
    applyReport(report: EndpointReport): void {
        this.applyResult(this.dependencies.endpoint.applyReport(report), report.id, report.state);
    }

    /** Applies the message of an incarnation that it leaves for good. */
    applyLeave(id: string, born: number | undefined): void {
        this.applyResult(this.dependencies.endpoint.applyLeave(id, born), id, "left");
    }

    /** Records that an incarnation leaves, as one of its answers or another node says. */
    recordLeaving(id: string): void {
        this.applyResult(this.dependencies.endpoint.recordLeaving(id), id, "leaving");
    }

    /** Records that the endpoint's address has gone to one of another service, which gets no requests. */
    recordForeign(id: string, service: string): void {
        const { endpoint, logger, refuseWaiting, announceLoad } = this.dependencies;
        const wasRefusing = endpoint.findRefusalReason() !== undefined;
        endpoint.recordForeign(id);
        if (!wasRefusing) {
            logger.warn("endpointAddressTaken", { endpoint: id, service });
            refuseWaiting();
            announceLoad();
        }
    }

    /**
     * Records the limit that an answer of an incarnation names, if any. It is published when it differs much from the
     * published one, so that a later process of this node learns it.
     */
    recordNamedLimit(id: string, perSecond: number | undefined): void {
        const { endpoint, logger, clusterState, announceLoad } = this.dependencies;
        if (!endpoint.recordNamedLimit(id, perSecond)) {
            return;
        }
        const limit = endpoint.getNamedLimit();
        if (limit !== undefined && this.publishedLimit !== undefined && isAboutEqual(limit, this.publishedLimit)) {
            return;
        }
        this.publishedLimit = limit;
        logger.info("endpointLimited", { endpoint: id, perSecond: limit });
        clusterState.publishOwnRecord();
        announceLoad();
    }

    /** Takes over what an earlier process of this node published of its endpoint. */
    restoreFromOwnRecord({ leavingEndpoint, namedLimit }: InstanceRecord): void {
        if (leavingEndpoint !== undefined) {
            this.recordLeaving(leavingEndpoint);
        }
        if (namedLimit !== undefined) {
            this.dependencies.endpoint.restoreNamedLimit(namedLimit);
        }
    }

    /**
     * After a restart of the node, waits until its record from before is read, from the log or from another node, and until
     * the other nodes of the service have told which requests crash endpoints. The record may say that the endpoint leaves,
     * which late reports and the health check don't. If that can't be heard, the wait ends.
     */
    async restore(signal: AbortSignal): Promise<void> {
        const { clock, logger, clusterState, suspects, announceLoad } = this.dependencies;
        const startedAt = clock.readMonotonic();
        let giveUpAt = Infinity;
        while (!(clusterState.hasOwnRecord() && suspects.isInformed()) && !signal.aborted) {
            const now = clock.readMonotonic();
            if (this.canRequestsCome()) {
                giveUpAt = Math.min(giveUpAt, now + maxRestoreMs);
            }
            if (now >= giveUpAt) {
                break;
            }
            await clock.sleep(restorePollMs, signal);
        }
        this.isRestoreOver = true;
        logger.info("restored", {
            waitedMs: Math.round(clock.readMonotonic() - startedAt),
            ownRecord: clusterState.hasOwnRecord(),
            suspects: suspects.isInformed(),
        });
        announceLoad();
        await this.learnIncarnation(signal);
    }

    /** Whether requests can reach this node: of its own callers with a configuration, of others over links. */
    private canRequestsCome(): boolean {
        const { clusterState, suspects } = this.dependencies;
        return clusterState.configurationHolder.getVersion() >= 0 || suspects.hasContact();
    }

    /** Reads the id of the endpoint's incarnation from its health check instead of waiting for its next report. */
    private async learnIncarnation(signal: AbortSignal): Promise<void> {
        const { clock, logger, service, endpoint, pool, clusterState, announceLoad } = this.dependencies;
        const { configurationHolder } = clusterState;
        while (configurationHolder.getVersion() < 0 && !signal.aborted) {
            await clock.sleep(configurationPollMs, signal);
        }
        const serviceConfiguration = configurationHolder.getTable()?.configuration.services.get(service);
        if (serviceConfiguration === undefined || endpoint.getIncarnationId() !== undefined) {
            return;
        }
        const probeResult = await probeEndpoint(clock, pool, serviceConfiguration.healthPath);
        logger.info("endpointProbed", { ...probeResult });
        const { isHealthy, endpointId, slots } = probeResult;
        if (isHealthy && endpointId !== undefined && endpoint.getIncarnationId() === undefined) {
            if (!endpoint.learnIncarnation(endpointId, slots)) {
                return;
            }
            clusterState.publishOwnRecord();
            announceLoad();
        }
    }

    /** Logs a change of what the endpoint has stated, and tells the other nodes of it. */
    private applyResult(result: ReportResult, id: string, state: string): void {
        if (result === "unchanged" || result === "stale") {
            return;
        }
        const { endpoint, logger, pool, clusterState, refuseWaiting, announceLoad, announceRecord } = this.dependencies;
        logger.info("endpointChanged", { endpoint: id, state, result, slots: endpoint.getSlots() });
        if (result === "started") {
            pool.clear();
        }
        if (endpoint.findRefusalReason() !== undefined) {
            refuseWaiting();
        }
        clusterState.publishOwnRecord();
        announceLoad();
        if (endpoint.findRefusalReason() === "leaving") {
            // A node that passes on an answer of this endpoint has to know before that the endpoint leaves.
            announceRecord();
        }
    }
}

/** Whether two limits differ so little that the earlier one may stand for the later one. */
function isAboutEqual(limit: number, published: number): boolean {
    return limit <= published * limitTolerance && published <= limit * limitTolerance;
}
