/**
 * Turns requests away where they enter when a service behind has no room for what they lead to: decisions apart from input and
 * output.
 *
 * Load pattern that it answers: a deep service is full, and requests run through several services before they fail there. Their
 * work is wasted, and their calls crowd the deep service further. Each node learns from its answers which routes lead there and
 * lets in the share that gets through; the rest is refused at once.
 */
import type { Random } from "./balancer.js";
import type { Clock } from "./clock.js";

/** Time over which answers are counted, in milliseconds; about the time of a whole request. */
const windowMs = 400;
/** Share of crowded answers that is no reason to turn anything away. */
const toleratedShare = 0.04;
/** Part of the crowded share by which fewer requests are let in. */
const lowerGain = 0.5;
/** Factor by which more requests are let in after a window without crowding. */
const raiseFactor = 1.25;
/** Smallest share that is let in, so that the end of the crowding is noticed. */
const minShare = 0.05;

/** State of one route. */
interface Gate {
    share: number;
    windowEnd: number;
    answers: number;
    crowded: number;
}

/** Shares of the routes' requests that are let in. */
export class EntryGate {
    private readonly gates = new Map<string, Gate>();

    constructor(private readonly clock: Clock, private readonly random: Random) {}

    /** Whether a request of a route is let in. */
    isAdmitted(route: string): boolean {
        const gate = this.gates.get(route);
        return gate === undefined || gate.share >= 1 || this.random() < gate.share;
    }

    /** Share of a route's requests that is let in, 0 to 1. */
    getShare(route: string): number {
        return this.gates.get(route)?.share ?? 1;
    }

    /** Notes whether a request that was let in met a service without room. */
    recordAnswer(route: string, isCrowded: boolean): void {
        const now = this.clock.readMonotonic();
        const gate = this.gates.get(route) ?? { share: 1, windowEnd: now + windowMs, answers: 0, crowded: 0 };
        this.gates.set(route, gate);
        gate.answers += 1;
        gate.crowded += isCrowded ? 1 : 0;
        if (now >= gate.windowEnd) {
            this.closeWindow(gate, now);
        }
    }

    private closeWindow(gate: Gate, now: number): void {
        const crowdedShare = gate.crowded / gate.answers;
        const next = crowdedShare > toleratedShare
            ? gate.share * (1 - lowerGain * crowdedShare)
            : gate.share * raiseFactor;
        gate.share = Math.min(1, Math.max(minShare, next));
        gate.windowEnd = now + windowMs;
        gate.answers = 0;
        gate.crowded = 0;
    }
}
