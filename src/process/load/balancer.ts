/**
 * Load balancing of calls over the instances of a service by the power of two choices.
 *
 * Two instances are picked at random, and the one with the lower cost gets the call: the calls in flight from this node
 * (counting this one) times 1 ms plus the average answer time. One instance of the local data centre and one of the
 * others are chosen in this way; the call leaves the data centre when the cost of the local one is much higher.
 */
import type { Member, SlotName } from "../../version/member.js";
import { formatSlot } from "../../version/member.js";
import { updateAverage } from "../base/average.js";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";

/** Weight of a new sample in the average answer time. */
const sampleWeight = 0.2;
/** Time for which an instance is avoided after a failed call, in milliseconds. */
const failureAvoidanceMs = 250;
/** Half-life of an instance's average answer time, in milliseconds, so that a slow instance is tried again. */
const averageHalfLifeMs = 5000;
/** Cost of the local instance above which a call leaves the data centre, as a multiple of the remote one's cost. */
const maxLocalCostFactor = 2;

/** What this node has measured of one instance. Times are on the monotonic clock, in milliseconds. */
interface InstanceStats {
    inFlight: number;
    averageAnswerMs: number;
    /** Time of the last sample of the answer time. */
    sampledAt: number;
    avoidedUntil: number;
}

/**
 * Outcome of a call. An instance is avoided for a while after a call `failed`, but not after it `refused` one for
 * overload: its threshold sheds the right amount of work, and avoiding it would send all of its load to the others.
 */
export type CallOutcome = "completed" | "refused" | "failed";

/** Chooses instances by the calls in flight and the answer times that this node has measured. */
export class Balancer {
    /** Measurements by the name of the node's slot, `address:controlPort`. */
    private readonly statsBySlot = new Map<SlotName, InstanceStats>();

    constructor(private readonly clock: Clock, private readonly random: Random, private readonly dataCentre: string) {}

    /** Chooses among the candidates that were not tried yet; `undefined` if there are none. */
    choose(candidates: readonly Member[], tried: ReadonlySet<SlotName>): Member | undefined {
        const now = this.clock.readMonotonic();
        const untried = candidates.filter(member => !tried.has(formatSlot(member)));
        const notAvoided = untried.filter(member => this.getStats(formatSlot(member)).avoidedUntil <= now);
        const eligible = notAvoided.length > 0 ? notAvoided : untried;
        const local = this.chooseOfTwo(eligible.filter(member => member.dataCentre === this.dataCentre), now);
        const remote = this.chooseOfTwo(eligible.filter(member => member.dataCentre !== this.dataCentre), now);
        if (local === undefined || remote === undefined) {
            return local ?? remote;
        }
        return this.computeCost(local, now) <= maxLocalCostFactor * this.computeCost(remote, now) ? local : remote;
    }

    /** Picks two different members at random and returns the one with the lower cost. */
    private chooseOfTwo(eligible: readonly Member[], now: number): Member | undefined {
        const firstIndex = Math.floor(this.random() * eligible.length);
        const first = eligible[firstIndex];
        if (first === undefined || eligible.length === 1) {
            return first;
        }
        const distance = 1 + Math.floor(this.random() * (eligible.length - 1));
        const second = eligible[(firstIndex + distance) % eligible.length]!;
        return this.computeCost(first, now) <= this.computeCost(second, now) ? first : second;
    }

    /** Records the start of a call. */
    startCall(slot: SlotName): void {
        this.getStats(slot).inFlight += 1;
    }

    /** Records the end of a call and, if it completed, its answer time. */
    endCall(slot: SlotName, answerMs: number, outcome: CallOutcome): void {
        const stats = this.getStats(slot);
        const now = this.clock.readMonotonic();
        stats.inFlight -= 1;
        if (outcome === "failed") {
            stats.avoidedUntil = now + failureAvoidanceMs;
        }
        if (outcome !== "completed") {
            return;
        }
        stats.averageAnswerMs = updateAverage(this.computeAverageAnswerMs(stats, now), answerMs, sampleWeight);
        stats.sampledAt = now;
    }

    /**
     * Cost of one more call to an instance: calls in flight (counting this one) times 1 ms plus the average answer
     * time. So the calls in flight count also while the average is 0.
     */
    private computeCost(member: Member, now: number): number {
        const stats = this.getStats(formatSlot(member));
        return (stats.inFlight + 1) * (1 + this.computeAverageAnswerMs(stats, now));
    }

    private computeAverageAnswerMs(stats: InstanceStats, now: number): number {
        return stats.averageAnswerMs * 2 ** (-(now - stats.sampledAt) / averageHalfLifeMs);
    }

    private getStats(slot: SlotName): InstanceStats {
        let stats = this.statsBySlot.get(slot);
        if (stats === undefined) {
            stats = { inFlight: 0, averageAnswerMs: 0, sampledAt: this.clock.readMonotonic(), avoidedUntil: 0 };
            this.statsBySlot.set(slot, stats);
        }
        return stats;
    }
}
