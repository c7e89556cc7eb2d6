/**
 * Chooses the instance for a request by load, distance and measured run times. The decisions are separate from input
 * and output.
 *
 * Load patterns handled:
 *
 * - Normal load: the node's own instance serves, then its data centre, since traffic between them costs.
 * - A data centre with too few instances for its callers: the excess goes to other data centres before it waits.
 * - An instance that slows down or fails part of its requests while it reports that it is healthy: the run times and
 *   failures that its node measures raise its cost, and so do this node's own measurements, which show what is wrong
 *   only on the way there.
 * - Hundreds of nodes, each with few requests: instances with a recent load are preferred to those of which nothing is
 *   known.
 * - A new instance: while its run times are long, its measured slowness raises its cost, so its slots fill slowly.
 * - An instance whose endpoint turns part of its requests away though it has room, while others don't: it is avoided by its
 *   share, and gets some again when that decays. If all do so alike, nothing changes.
 * - Nodes that are stopped and started in turn: instances whose nodes stay up are preferred.
 */
import type { LoadReport } from "../../connection/linkMessage.js";
import type { InstanceRecord } from "../../version/instanceRecord.js";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";

/** Weight of a new sample in the average slowness of an instance. */
const slownessWeight = 0.1;
/** Weight of a new sample in the average run time of a route. */
const routeRunWeight = 0.05;
/** Time after which an instance's reported load is ignored, in milliseconds. */
const loadValidMs = 1500;
/** Time after which an instance's report that it takes no work is ignored, in milliseconds. */
const unavailableValidMs = 5000;
/** Time for which an instance that took no work is avoided, in milliseconds. */
const avoidanceMs = 500;
/** Cost of an instance in another data centre, as a multiple of an instance's capacity. */
const remoteCost = 0.6;
/** Cost of an instance other than the node's own, as a multiple of an instance's capacity: it takes a message each way. */
const linkCost = 0.1;
/** Cost of an instance to which a link was lost, as a multiple of an instance's capacity. */
const unreachableCost = 5;
/** Cost of an instance without a recent load, as a multiple of an instance's capacity. */
const unknownLoadCost = 0.2;
/** Factor by which this node's own measurement of slowness must exceed the instance's to count instead. */
const ownSlownessFactor = 1.5;
/** Bounds of the slowness that follows from the run times that the nodes of instances measure. */
const minReportedSlowness = 0.5;
const maxReportedSlowness = 20;
/**
 * Cost of an instance whose runs all fail, as a multiple of an instance's capacity; in proportion if only some fail.
 */
const failureCost = 2;
/**
 * Cost of an instance whose node is not stable (just restarted or stopping), as a multiple of an instance's capacity:
 * runs are lost more often there than elsewhere.
 */
const unstableCost = 0.7;
/**
 * Cost of an instance whose endpoint turns everything away though it has room, above the instance that does so least, as a
 * multiple of an instance's capacity; in proportion if it turns away a part.
 */
const shedCost = 6;
/** Half-life of an instance's measured slowness, in milliseconds. */
const slownessHalfLifeMs = 3000;

/** What this node has measured of one instance. */
interface InstanceStats {
    load: LoadReport | undefined;
    loadReceivedAt: number;
    /** Requests sent by this node that have no answer yet. */
    inFlight: number;
    /** Requests sent by this node since the last load report. */
    sentSinceLoad: number;
    /** Average run time relative to other instances; 1 is normal. */
    slowness: number;
    slownessAt: number;
    avoidedUntil: number;
}

/** Chooses the instance with the lowest cost by load, distance and measured run times. */
export class Placement {
    private readonly statsByAddress = new Map<string, InstanceStats>();
    /** Average run time of each route over all instances, in milliseconds. */
    private readonly averageRunMsByRoute = new Map<string, number>();

    constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly address: string,
        private readonly dataCentre: string,
        /** Whether requests can be expected to reach an address. */
        private readonly isReachable: (address: string) => boolean,
    ) {}

    /** Chooses an instance that takes work; `undefined` when there is none except those in `tried` (addresses). */
    choose(records: readonly InstanceRecord[], tried: ReadonlySet<string>): InstanceRecord | undefined {
        const now = this.clock.readMonotonic();
        const usualSlowness = this.computeUsualSlowness(records, now);
        const leastShedShare = this.findLeastShedShare(records, now);
        let best: InstanceRecord | undefined;
        let bestCost = Infinity;
        for (const record of records) {
            if (!tried.has(record.address) && this.isAcceptingWork(record, now)) {
                // The random part, up to 0.02, decides between instances of about the same cost.
                const cost = this.computeCost(record, now, usualSlowness, leastShedShare) + this.random() * 0.02;
                if (cost < bestCost) {
                    best = record;
                    bestCost = cost;
                }
            }
        }
        return best;
    }

    /** Age of the last load that an instance reported, in milliseconds; infinite if there is none. */
    getLoadAgeMs(address: string): number {
        const stats = this.statsByAddress.get(address);
        return stats?.load === undefined ? Infinity : this.clock.readMonotonic() - stats.loadReceivedAt;
    }

    /** Whether an instance has a concurrency slot free or nothing recent is known of it. */
    hasRoom(address: string): boolean {
        const stats = this.statsByAddress.get(address);
        const load = this.findRecentLoad(stats, this.clock.readMonotonic());
        return load === undefined || load.running + load.waiting + stats!.sentSinceLoad < load.limit;
    }

    /** Records that a request was sent to an instance, which may run or refuse it. */
    startRequest(address: string): void {
        const stats = this.getStats(address);
        stats.inFlight += 1;
        stats.sentSinceLoad += 1;
    }

    /** Records that a request to an instance has ended. */
    endRequest(address: string): void {
        this.getStats(address).inFlight -= 1;
    }

    /** Records the load that an instance has reported. */
    recordLoad(address: string, load: LoadReport): void {
        const stats = this.getStats(address);
        stats.load = load;
        stats.loadReceivedAt = this.clock.readMonotonic();
        stats.sentSinceLoad = 0;
        if (load.limit > 0) {
            stats.avoidedUntil = 0;
        }
    }

    /**
     * Records the time of a run at an instance, in milliseconds. A run that failed or that is hedged before it answered
     * counts with the time until then. A run counts as at most 20 times as slow as the route's average.
     */
    recordRun(address: string, route: string, ranMs: number): void {
        const averageMs = this.averageRunMsByRoute.get(route) ?? ranMs;
        this.averageRunMsByRoute.set(route, averageMs + (ranMs - averageMs) * routeRunWeight);
        const stats = this.getStats(address);
        const now = this.clock.readMonotonic();
        const slownessBefore = this.computeSlowness(stats, now);
        const sample = Math.min(20, ranMs / Math.max(1, averageMs));
        stats.slowness = slownessBefore + (sample - slownessBefore) * slownessWeight;
        stats.slownessAt = now;
    }

    /** Avoids an instance for a while, unless it reports that it takes work. */
    avoid(address: string): void {
        this.getStats(address).avoidedUntil = this.clock.readMonotonic() + avoidanceMs;
    }

    /** Records that the link to an instance was lost: its reported load no longer applies. */
    recordLostLink(address: string): void {
        this.getStats(address).load = undefined;
        this.avoid(address);
    }

    /** Utilisation of these instances by their reported load; above 1, requests wait. 0 when no load is known. */
    computeUtilisation(records: readonly InstanceRecord[]): number {
        const now = this.clock.readMonotonic();
        let requests = 0;
        let capacity = 0;
        for (const { address } of records) {
            const stats = this.statsByAddress.get(address);
            const load = this.findRecentLoad(stats, now);
            if (load !== undefined) {
                requests += load.running + load.waiting;
                capacity += load.limit;
            }
        }
        return capacity === 0 ? 0 : requests / capacity;
    }

    /** Average run time of a route over all instances, in milliseconds; `undefined` before the first run. */
    getAverageRunMs(route: string): number | undefined {
        return this.averageRunMsByRoute.get(route);
    }

    private isAcceptingWork(record: InstanceRecord, now: number): boolean {
        const stats = this.statsByAddress.get(record.address);
        if (stats === undefined) {
            return record.isTaking;
        }
        if (stats.avoidedUntil > now) {
            return false;
        }
        const { load, loadReceivedAt } = stats;
        if (load === undefined || now - loadReceivedAt > (load.limit === 0 ? unavailableValidMs : loadValidMs)) {
            return record.isTaking;
        }
        return load.limit > 0;
    }

    private computeCost(
        record: InstanceRecord,
        now: number,
        usualSlowness: number,
        leastShedShare: number,
    ): number {
        const stats = this.statsByAddress.get(record.address);
        const isLocal = record.dataCentre === this.dataCentre;
        const isOwn = record.address === this.address;
        const distanceCost = (isLocal ? 0 : remoteCost) + (isOwn ? 0 : linkCost)
            + (this.isReachable(record.address) ? 0 : unreachableCost);
        if (stats === undefined) {
            return distanceCost + unknownLoadCost;
        }
        const load = this.findRecentLoad(stats, now);
        const reported = load === undefined ? 0 : load.running + load.waiting + stats.sentSinceLoad;
        const requests = Math.max(reported, stats.inFlight) + 1;
        const utilisation = requests / Math.max(1, load?.limit ?? record.slots);
        const slowness = this.chooseSlowness(stats, now, load, usualSlowness);
        // Slowness above 1.5 costs half of the excess in addition, whatever the utilisation.
        const slownessCost = utilisation * slowness + Math.max(0, slowness - 1.5) * 0.5;
        const stateCost = load === undefined
            ? unknownLoadCost
            : load.failureShare * failureCost + (load.isSettled ? 0 : unstableCost)
                + Math.max(0, load.shedShare - leastShedShare) * shedCost;
        return slownessCost + stateCost + distanceCost;
    }

    /** Slowness by the run times that the instance's node measures, or by this node's own if that is much higher. */
    private chooseSlowness(
        stats: InstanceStats,
        now: number,
        load: LoadReport | undefined,
        usualSlowness: number,
    ): number {
        const own = this.computeSlowness(stats, now);
        if (load === undefined || load.slowness === 0 || usualSlowness === 0) {
            return own;
        }
        const reported = Math.min(maxReportedSlowness, Math.max(minReportedSlowness, load.slowness / usualSlowness));
        return own > reported * ownSlownessFactor ? own : reported;
    }

    /** Smallest share that an instance turns away with room to spare, by their recent loads; 1 if there are none. */
    private findLeastShedShare(records: readonly InstanceRecord[], now: number): number {
        let least = 1;
        for (const { address } of records) {
            const stats = this.statsByAddress.get(address);
            const load = this.findRecentLoad(stats, now);
            if (load !== undefined && load.limit > 0) {
                least = Math.min(least, load.shedShare);
            }
        }
        return least;
    }

    /** Median of the slowness that the nodes of these instances report; 0 if none does. */
    private computeUsualSlowness(records: readonly InstanceRecord[], now: number): number {
        const reported: number[] = [];
        for (const { address } of records) {
            const stats = this.statsByAddress.get(address);
            const slowness = this.findRecentLoad(stats, now)?.slowness ?? 0;
            if (slowness > 0) {
                reported.push(slowness);
            }
        }
        reported.sort((a, b) => a - b);
        return reported[Math.floor((reported.length - 1) / 2)] ?? 0;
    }

    private findRecentLoad(stats: InstanceStats | undefined, now: number): LoadReport | undefined {
        return stats !== undefined && now - stats.loadReceivedAt < loadValidMs ? stats.load : undefined;
    }

    private computeSlowness(stats: InstanceStats, now: number): number {
        const remainingShare = 0.5 ** ((now - stats.slownessAt) / slownessHalfLifeMs);
        return 1 + (stats.slowness - 1) * remainingShare;
    }

    private getStats(address: string): InstanceStats {
        const known = this.statsByAddress.get(address);
        if (known !== undefined) {
            return known;
        }
        const created: InstanceStats = {
            load: undefined,
            loadReceivedAt: 0,
            inFlight: 0,
            sentSinceLoad: 0,
            slowness: 1,
            slownessAt: this.clock.readMonotonic(),
            avoidedUntil: 0,
        };
        this.statsByAddress.set(address, created);
        return created;
    }
}
