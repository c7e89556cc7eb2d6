/**
 * Choice of an instance for a call: two are drawn at random, and the one with less of this node's own work and shorter recent
 * answers gets the call. This is done among the instances of the own data centre and among the others; a call leaves the data
 * centre when the choice there costs much more.
 */
import type { Member, SlotName } from "../version/member.js";
import { formatSlot } from "../version/member.js";
import { updateAverage } from "./average.js";
import type { Clock } from "./clock.js";

/** Weight of a new sample in the average answer time. */
const sampleWeight = 0.2;
/** Time for which an instance that failed is avoided, in milliseconds. */
const avoidanceMs = 250;
/** Time in which the memory of a slow instance halves, so that it is tried again, in milliseconds. */
const forgettingMs = 5000;
/** Factor by which the own data centre may cost more than another one before calls leave it. */
const localPreference = 2;

/** This node's own experience with one instance. */
interface Experience {
    inFlight: number;
    averageMs: number;
    sampledAt: number;
    avoidUntil: number;
}

/**
 * How a call ended for its instance. A `failed` one is avoided for a while. An overloaded one that `refused` is not: its
 * threshold keeps work away in the right amount, and avoiding it would send all of its load to the others.
 */
export type CallOutcome = "completed" | "refused" | "failed";

/** Source of random numbers in [0, 1). */
export type Random = () => number;

/** Chooses instances by this node's own experience with them. */
export class Balancer {
    private readonly experiences = new Map<SlotName, Experience>();

    constructor(private readonly clock: Clock, private readonly random: Random, private readonly dataCentre: string) {}

    /** Chooses among candidates; `undefined` if there are none. */
    choose(candidates: readonly Member[], tried: ReadonlySet<SlotName>): Member | undefined {
        const now = this.clock.readMonotonic();
        const untried = candidates.filter(member => !tried.has(formatSlot(member)));
        const willing = untried.filter(member => this.getExperience(formatSlot(member)).avoidUntil <= now);
        const pool = willing.length > 0 ? willing : untried;
        const local = this.chooseOfTwo(pool.filter(member => member.dataCentre === this.dataCentre), now);
        const remote = this.chooseOfTwo(pool.filter(member => member.dataCentre !== this.dataCentre), now);
        if (local === undefined || remote === undefined) {
            return local ?? remote;
        }
        return this.computeCost(local, now) <= localPreference * this.computeCost(remote, now) ? local : remote;
    }

    /** Draws two members that differ and returns the one that costs less. */
    private chooseOfTwo(pool: readonly Member[], now: number): Member | undefined {
        const firstIndex = Math.floor(this.random() * pool.length);
        const first = pool[firstIndex];
        if (first === undefined || pool.length === 1) {
            return first;
        }
        const distance = 1 + Math.floor(this.random() * (pool.length - 1));
        const second = pool[(firstIndex + distance) % pool.length]!;
        return this.computeCost(first, now) <= this.computeCost(second, now) ? first : second;
    }

    /** Notes the start of a call. */
    startCall(slot: SlotName): void {
        this.getExperience(slot).inFlight += 1;
    }

    /** Notes the end of a call. */
    endCall(slot: SlotName, milliseconds: number, ending: CallOutcome): void {
        const experience = this.getExperience(slot);
        const now = this.clock.readMonotonic();
        experience.inFlight -= 1;
        if (ending === "failed") {
            experience.avoidUntil = now + avoidanceMs;
        }
        if (ending !== "completed") {
            return;
        }
        experience.averageMs = updateAverage(this.computeAverage(experience, now), milliseconds, sampleWeight);
        experience.sampledAt = now;
    }

    private computeCost(member: Member, now: number): number {
        const experience = this.getExperience(formatSlot(member));
        return (experience.inFlight + 1) * (1 + this.computeAverage(experience, now));
    }

    private computeAverage(experience: Experience, now: number): number {
        return experience.averageMs * 2 ** (-(now - experience.sampledAt) / forgettingMs);
    }

    private getExperience(slot: SlotName): Experience {
        let experience = this.experiences.get(slot);
        if (experience === undefined) {
            experience = { inFlight: 0, averageMs: 0, sampledAt: this.clock.readMonotonic(), avoidUntil: 0 };
            this.experiences.set(slot, experience);
        }
        return experience;
    }
}
