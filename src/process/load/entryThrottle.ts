/**
 * Adaptive throttling at the entry node: refuses a fraction of a route's requests while a service downstream of it is
 * overloaded. The decisions are separate from input and output.
 *
 * Load patterns handled:
 *
 * - A service deep in the call graph is overloaded. Requests run through several services before they fail there; their
 *   work is wasted, and their calls add to the overload. Each node learns from its answers which routes lead there and
 *   admits the fraction that gets through; the rest is refused at once.
 * - A short peak. Answers to requests that were admitted before the last change of the fraction say nothing about the
 *   new one, so they don't lower it again, and the fraction recovers soon after the peak.
 * - Routes of different priority that lead to the same overloaded service. The one that makes more calls there meets the overload more
 *   often, however urgent it is. So of a less urgent route that leads to a full service no more is admitted than of the more
 *   urgent ones gets through: it makes room for them until they get through as often, and doesn't starve.
 * - Many nodes with few requests each. One answer says little, but each carries the utilisation of the fullest
 *   downstream service; near full utilisation the fraction rises slowly.
 */
import { updateAverage } from "../base/average.js";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";

/** Shortest time between two changes of a route's admitted fraction, in milliseconds. */
const minWindowMs = 300;
/** Fraction of overloaded answers up to which the admitted fraction is not lowered. */
const toleratedOverloadFraction = 0.04;
/** The admitted fraction is lowered by this proportion of the fraction of overloaded answers. */
const decreaseGain = 0.6;
/**
 * Factors by which the admitted fraction rises after a window without overload, by the average downstream utilisation.
 */
const increaseFactors = [
    { utilisationBelow: 0.6, factor: 2.5 },
    { utilisationBelow: 0.9, factor: 1.5 },
    { utilisationBelow: Infinity, factor: 1.05 },
] as const;
/** Downstream utilisation from which on a route counts as leading to a full service. */
const fullUtilisation = 0.9;
/** Time after the last window of a route in which it bounds less urgent ones, in milliseconds. */
const boundValidMs = 2000;
/** Weight of a window in the average utilisation and the average overload of a route. */
const windowWeight = 0.15;
/** Smallest admitted fraction, so that the end of the overload is noticed. */
const minAdmittedFraction = 0.08;

/** What an admitted request met downstream. */
export interface DownstreamSample {
    /** Whether it failed because a downstream service was overloaded. */
    readonly isOverloaded: boolean;
    /** Utilisation of the fullest downstream service; above 1, requests wait there. */
    readonly utilisation: number;
}

/** Throttling state of one route. */
interface RouteState {
    /** Priority of the route; 0 is the most urgent. */
    priority: number;
    admittedFraction: number;
    /** Average utilisation of the fullest downstream service over the last windows. */
    utilisation: number;
    /** Average fraction of the admitted requests that met an overloaded service, over the last windows. */
    overloadedFraction: number;
    changedAt: number;
    /** Earliest time of the next change of the admitted fraction. */
    windowEnd: number;
    /** Answers to requests admitted since the last change, and how many of them met an overloaded service. */
    answers: number;
    overloadedAnswers: number;
    utilisationSum: number;
}

/** Admits a fraction of each route's requests. */
export class EntryThrottle {
    private readonly states = new Map<string, RouteState>();

    constructor(private readonly clock: Clock, private readonly random: Random) {}

    /** Decides at random, by the admitted fraction, whether a request of a route is admitted. */
    admit(route: string): boolean {
        const fraction = this.getAdmittedFraction(route);
        return fraction >= 1 || this.random() < fraction;
    }

    /** Fraction of a route's requests that is admitted, 0 to 1. */
    getAdmittedFraction(route: string): number {
        const state = this.states.get(route);
        if (state === undefined || state.utilisation < fullUtilisation) {
            return state?.admittedFraction ?? 1;
        }
        const boundSince = this.clock.readMonotonic() - boundValidMs;
        let fraction = state.admittedFraction;
        for (const other of this.states.values()) {
            if (other.priority < state.priority && other.changedAt > boundSince) {
                fraction = Math.min(fraction, computeServedFraction(other));
            }
        }
        return Math.max(minAdmittedFraction, fraction);
    }

    /**
     * Records what a request met that was admitted at `admittedAt` (on the monotonic clock, in milliseconds); `priority` is that of
     * its route.
     */
    recordAnswer(route: string, priority: number, sample: DownstreamSample, admittedAt: number): void {
        const now = this.clock.readMonotonic();
        const state = this.states.get(route) ?? createRouteState(now);
        this.states.set(route, state);
        state.priority = priority;
        if (admittedAt < state.changedAt) {
            return;
        }
        state.answers += 1;
        state.overloadedAnswers += sample.isOverloaded ? 1 : 0;
        state.utilisationSum += sample.utilisation;
        if (now >= state.windowEnd) {
            updateAdmittedFraction(state, now);
        }
    }
}

function createRouteState(now: number): RouteState {
    return {
        priority: 0,
        admittedFraction: 1,
        utilisation: 0,
        overloadedFraction: 0,
        changedAt: -Infinity,
        windowEnd: now + minWindowMs,
        answers: 0,
        overloadedAnswers: 0,
        utilisationSum: 0,
    };
}

/** Fraction of a route's requests that is admitted and meets no overloaded service. */
function computeServedFraction({ admittedFraction, overloadedFraction }: RouteState): number {
    return admittedFraction * (1 - overloadedFraction);
}

function updateAdmittedFraction(state: RouteState, now: number): void {
    const overloadedFraction = state.overloadedAnswers / state.answers;
    const utilisation = state.utilisationSum / state.answers;
    const factor = overloadedFraction > toleratedOverloadFraction
        ? 1 - decreaseGain * overloadedFraction
        : getIncreaseFactor(utilisation);
    state.utilisation = updateAverage(state.utilisation, utilisation, windowWeight);
    // Not by the shared average, to which 0 says that there is no sample yet.
    state.overloadedFraction += (overloadedFraction - state.overloadedFraction) * windowWeight;
    state.admittedFraction = Math.min(1, Math.max(minAdmittedFraction, state.admittedFraction * factor));
    state.changedAt = now;
    state.windowEnd = now + minWindowMs;
    state.answers = 0;
    state.overloadedAnswers = 0;
    state.utilisationSum = 0;
}

function getIncreaseFactor(utilisation: number): number {
    return increaseFactors.find(step => utilisation < step.utilisationBelow)!.factor;
}
