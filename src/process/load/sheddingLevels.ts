/**
 * What a node knows of services that turn requests away although they have room, each with its age.
 *
 * Load pattern handled: a service rejects a share of what arrives, independent of its load. The nodes beside its endpoints
 * measure the share and publish it with their loads; the nodes that call it pass it on with their answers, so it reaches
 * the entry nodes on what is sent anyway, and each node keeps the newest. A level that nobody confirms decays, so that
 * requests find out whether it still holds.
 */
import type { Clock } from "../base/clock.js";

/** Age from which a level decays, in milliseconds. */
const freshMs = 1000;
/** Half-life of a level after that, in milliseconds. */
const halfLifeMs = 1000;
/** Share of rejections below which a service does not count as shedding: single failures are no pattern. */
const minShedShare = 0.08;
/** Age at which a level is as good as unknown, in milliseconds. */
const forgetMs = 10_000;

/** Level of a service. */
export interface ShedLevel {
    readonly service: string;
    /** Share of its arrivals that the service turns away with room to spare, from 0 to 1. */
    readonly shedShare: number;
    /** Age of that share, in milliseconds. */
    readonly ageMs: number;
}

/** What a run's calls led to: a service, its level, and the number of calls to it. */
export interface DownstreamCalls extends ShedLevel {
    /** Calls of all runs below. */
    readonly calls: number;
    /** Calls of the run that made the most. */
    readonly inRow: number;
}

/** Share of a level, and when it was measured on this node's clock. */
interface Level {
    readonly share: number;
    readonly measuredAt: number;
    /** Whether the service was noted as shedding. It is until its share is half of what made it so. */
    readonly isNoted: boolean;
}

/** Keeps the newest level of each service. */
export class SheddingLevels {
    private readonly levels = new Map<string, Level>();

    constructor(
        private readonly clock: Clock,
        /** Called when a service begins to shed or ends, as far as it is known here. */
        private readonly noteChange: (level: ShedLevel) => void = () => undefined,
    ) {}

    /** Learns a level; an older one than is known changes nothing. */
    learn(level: ShedLevel): void {
        const { service, shedShare, ageMs } = level;
        const measuredAt = this.clock.readMonotonic() - ageMs;
        const known = this.levels.get(service);
        if (ageMs >= forgetMs || (known !== undefined && known.measuredAt > measuredAt)) {
            return;
        }
        const wasNoted = known?.isNoted ?? false;
        const isNoted = shedShare >= (wasNoted ? minShedShare / 2 : minShedShare);
        this.levels.set(service, { share: shedShare, measuredAt, isNoted });
        if (isNoted !== wasNoted) {
            this.noteChange(level);
        }
    }

    /** Share that a service turns away with room to spare, as far as it is known now; 0 if it is not shedding. */
    getShedShare(service: string): number {
        const level = this.levels.get(service);
        if (level === undefined) {
            return 0;
        }
        const decayMs = Math.max(0, this.getAgeMs(service) - freshMs);
        const share = level.share * 0.5 ** (decayMs / halfLifeMs);
        return share < minShedShare ? 0 : share;
    }

    /** Age of what is known of a service, in milliseconds; infinite if nothing is. */
    private getAgeMs(service: string): number {
        const level = this.levels.get(service);
        return level === undefined ? Infinity : this.clock.readMonotonic() - level.measuredAt;
    }
}
