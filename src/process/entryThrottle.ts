/**
 * Turns requests away where they enter when a service behind has no room for what they lead to: decisions apart from input and
 * output.
 *
 * Load patterns that it answers: a deep service is full, and requests run through several services before they fail there. Their
 * work is wasted, and their calls crowd the deep service further. Each node learns from its answers which routes lead there and
 * lets in the share that gets through; the rest is refused at once. A short peak (what was let in before the share last changed
 * says nothing of the new share, so it does not lower it again, and the gate opens soon after the peak). Many nodes with few
 * requests each (one answer says little, but each carries how full the fullest service behind is: near full, the gate opens
 * slowly).
 */
import type { Random } from "./balancer.js";
import type { Clock } from "./clock.js";

/** Shortest time between two changes of a share, in milliseconds. */
const windowMs = 300;
/** Share of crowded answers that is no reason to turn anything away. */
const toleratedShare = 0.04;
/** Part of the crowded share by which fewer requests are let in. */
const lowerGain = 0.6;
/** Factors by which more requests are let in after a window without crowding, by the average pressure behind. */
const raiseFactors = [
    { pressureBelow: 0.6, factor: 2.5 },
    { pressureBelow: 0.9, factor: 1.5 },
    { pressureBelow: Infinity, factor: 1.05 },
] as const;
/** Smallest share that is let in, so that the end of the crowding is noticed. */
const minShare = 0.08;

/** What a request that was let in met. */
export interface EntrySample {
    /** Whether it failed for a service without room. */
    readonly isOverloaded: boolean;
    /** Part of the places that was taken at the fullest service behind. */
    readonly utilisation: number;
}

/** State of one route. */
interface Gate {
    share: number;
    changedAt: number;
    /** When the share changes next, at the earliest. */
    windowEnd: number;
    /** Answers to requests that were let in since the last change, and those of them that met a service without room. */
    answers: number;
    crowded: number;
    pressureSum: number;
}

/** Shares of the routes' requests that are let in. */
export class EntryThrottle {
    private readonly gates = new Map<string, Gate>();

    constructor(private readonly clock: Clock, private readonly random: Random) {}

    /** Whether a request of a route is let in. */
    admit(route: string): boolean {
        const gate = this.gates.get(route);
        return gate === undefined || gate.share >= 1 || this.random() < gate.share;
    }

    /** Share of a route's requests that is let in, 0 to 1. */
    getAdmittedShare(route: string): number {
        return this.gates.get(route)?.share ?? 1;
    }

    /** Notes what a request that was let in at `admittedAt` (on the clock, in milliseconds) met. */
    recordAnswer(route: string, sample: EntrySample, admittedAt: number): void {
        const now = this.clock.readMonotonic();
        const gate = this.gates.get(route) ?? createGate(now);
        this.gates.set(route, gate);
        if (admittedAt < gate.changedAt) {
            return;
        }
        gate.answers += 1;
        gate.crowded += sample.isOverloaded ? 1 : 0;
        gate.pressureSum += sample.utilisation;
        if (now >= gate.windowEnd) {
            changeShare(gate, now);
        }
    }
}

function createGate(now: number): Gate {
    return { share: 1, changedAt: -Infinity, windowEnd: now + windowMs, answers: 0, crowded: 0, pressureSum: 0 };
}

function changeShare(gate: Gate, now: number): void {
    const crowdedShare = gate.crowded / gate.answers;
    const factor = crowdedShare > toleratedShare
        ? 1 - lowerGain * crowdedShare
        : getRaiseFactor(gate.pressureSum / gate.answers);
    gate.share = Math.min(1, Math.max(minShare, gate.share * factor));
    gate.changedAt = now;
    gate.windowEnd = now + windowMs;
    gate.answers = 0;
    gate.crowded = 0;
    gate.pressureSum = 0;
}

function getRaiseFactor(pressure: number): number {
    return raiseFactors.find(each => pressure < each.pressureBelow)!.factor;
}
