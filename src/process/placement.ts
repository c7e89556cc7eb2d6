/**
 * Chooses the instance for a request: decisions apart from input and output.
 *
 * Load patterns that it answers: calm (the own data centre serves, since bytes between data centres cost); a data centre with
 * too few instances for its callers (what does not fit goes to others before it waits); an instance that slows or fails part
 * of its requests while it says that it is well (own observations lower its rank); a fresh instance (its slots fill slowly
 * while its run times are long); nodes that are stopped and started in turn (instances whose nodes stay go first).
 */
import type { LoadReport } from "../connection/linkMessage.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import type { Random } from "./balancer.js";
import type { Clock } from "./clock.js";

/** Weight of a new sample in the average slowness of an instance. */
const slownessWeight = 0.1;
/** Weight of a new sample in the average run time of a route. */
const routeWeight = 0.05;
/** Time after which what an instance said of its load is no longer believed, in milliseconds. */
const loadValidMs = 1500;
/** Time after which the word of an instance that it takes no work is no longer believed, in milliseconds. */
const closedValidMs = 5000;
/** Time for which an instance that took no work is passed over, in milliseconds. */
const avoidedMs = 500;
/** Cost of another data centre, in parts of an instance's capacity. */
const farCost = 0.6;
/** Cost of an instance that there is no link to, in parts of an instance's capacity. */
const unlinkedCost = 5;
/** Cost of a failing instance, in parts of an instance's capacity for each part of its runs that fails. */
const failureCost = 2;
/**
 * Cost of an instance whose node has just been started again or is stopping, in parts of an instance's capacity: what such an
 * instance runs is lost more often than elsewhere.
 */
const unsettledCost = 0.7;
/** Half-life of a bad experience with an instance, in milliseconds. */
const forgetMs = 3000;

/** What this node has seen of an instance. */
interface Experience {
    load: LoadReport | undefined;
    loadAt: number;
    /** Requests sent by this node that have no answer yet. */
    inFlight: number;
    /** Requests in flight that were sent since the load was reported. */
    sentSince: number;
    /** Run time relative to other instances: 1 is usual. */
    slowness: number;
    slownessAt: number;
    avoidedUntil: number;
}

/** Ranks instances by load, distance and own experience. */
export class Placement {
    private readonly experiences = new Map<string, Experience>();
    private readonly routeMs = new Map<string, number>();

    constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly dataCentre: string,
        /** Whether requests can be sent to an address at once. */
        private readonly isLinked: (address: string) => boolean,
    ) {}

    /** Chooses an instance that takes work; `undefined` when there is none besides the tried ones. */
    choose(records: readonly InstanceRecord[], tried: ReadonlySet<string>): InstanceRecord | undefined {
        const now = this.clock.readMonotonic();
        let best: InstanceRecord | undefined;
        let bestCost = Infinity;
        for (const record of records) {
            if (!tried.has(record.address) && this.isTaking(record, now)) {
                const cost = this.computeCost(record, now) + this.random() * 0.02;
                if (cost < bestCost) {
                    best = record;
                    bestCost = cost;
                }
            }
        }
        return best;
    }

    /** Notes that a request was sent. */
    startRun(address: string): void {
        const experience = this.getExperience(address);
        experience.inFlight += 1;
        experience.sentSince += 1;
    }

    /** Notes that a request has ended. */
    endRun(address: string): void {
        this.getExperience(address).inFlight -= 1;
    }

    /** Takes what an instance says of its load into account. */
    recordLoad(address: string, load: LoadReport): void {
        const experience = this.getExperience(address);
        experience.load = load;
        experience.loadAt = this.clock.readMonotonic();
        experience.sentSince = 0;
        if (load.limit > 0) {
            experience.avoidedUntil = 0;
        }
    }

    /** Notes a run's time at an instance, in milliseconds. A run that was given up counts with the time that it took. */
    recordRun(address: string, route: string, ranMs: number): void {
        const usual = this.routeMs.get(route) ?? ranMs;
        this.routeMs.set(route, usual + (ranMs - usual) * routeWeight);
        const experience = this.getExperience(address);
        const now = this.clock.readMonotonic();
        const before = this.computeSlowness(experience, now);
        const sample = Math.min(20, ranMs / Math.max(1, usual));
        experience.slowness = before + (sample - before) * slownessWeight;
        experience.slownessAt = now;
    }

    /** Passes an instance over for a while, unless it says that it takes work. */
    avoid(address: string): void {
        this.getExperience(address).avoidedUntil = this.clock.readMonotonic() + avoidedMs;
    }

    /** Notes that the link to an instance is lost: what it said of its load is worth nothing now. */
    recordLostLink(address: string): void {
        this.getExperience(address).load = undefined;
        this.avoid(address);
    }

    /** Part of the places of these instances that is taken, by what they say of their load; 0 when nothing is known. */
    computeUtilisation(records: readonly InstanceRecord[]): number {
        const now = this.clock.readMonotonic();
        let taken = 0;
        let places = 0;
        for (const { address } of records) {
            const experience = this.experiences.get(address);
            if (experience?.load !== undefined && now - experience.loadAt < loadValidMs) {
                taken += experience.load.running + experience.load.waiting;
                places += experience.load.limit;
            }
        }
        return places === 0 ? 0 : taken / places;
    }

    /** Average run time of a route over all instances, in milliseconds; `undefined` before the first run. */
    getAverageRunMs(route: string): number | undefined {
        return this.routeMs.get(route);
    }

    private isTaking(record: InstanceRecord, now: number): boolean {
        const experience = this.experiences.get(record.address);
        if (experience === undefined) {
            return record.isTaking;
        }
        if (experience.avoidedUntil > now) {
            return false;
        }
        const { load, loadAt } = experience;
        if (load === undefined || now - loadAt > (load.limit === 0 ? closedValidMs : loadValidMs)) {
            return record.isTaking;
        }
        return load.limit > 0;
    }

    private computeCost(record: InstanceRecord, now: number): number {
        const experience = this.experiences.get(record.address);
        const isNear = record.dataCentre === this.dataCentre;
        const distance = (isNear ? 0 : farCost) + (this.isLinked(record.address) ? 0 : unlinkedCost);
        if (experience === undefined) {
            return distance;
        }
        const isLoadKnown = experience.load !== undefined && now - experience.loadAt < loadValidMs;
        const reported = isLoadKnown ? experience.load!.running + experience.load!.waiting + experience.sentSince : 0;
        const limit = isLoadKnown ? experience.load!.limit : record.slots;
        const occupied = Math.max(reported, experience.inFlight) + 1;
        const use = occupied / Math.max(1, limit);
        const slowness = this.computeSlowness(experience, now);
        const failureShare = isLoadKnown ? experience.load!.failureShare : 0;
        const settling = isLoadKnown && !experience.load!.isSettled ? unsettledCost : 0;
        return use * slowness + Math.max(0, slowness - 1.5) * 0.5 + failureShare * failureCost + settling + distance;
    }

    private computeSlowness(experience: Experience, now: number): number {
        const share = 0.5 ** ((now - experience.slownessAt) / forgetMs);
        return 1 + (experience.slowness - 1) * share;
    }

    private getExperience(address: string): Experience {
        const known = this.experiences.get(address);
        if (known !== undefined) {
            return known;
        }
        const created: Experience = {
            load: undefined,
            loadAt: 0,
            inFlight: 0,
            sentSince: 0,
            slowness: 1,
            slownessAt: this.clock.readMonotonic(),
            avoidedUntil: 0,
        };
        this.experiences.set(address, created);
        return created;
    }
}
