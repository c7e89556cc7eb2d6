/**
 * Decides at the entry node, once for each request, from which of its calls on their repeats are paid for.
 *
 * Load pattern handled: a service behind many others turns away a share q of its arrivals though it has room. A request
 * with n calls in a row to it succeeds without repeats with (1 - q)^n; a call that is carried to its end needs q / (1 - q)
 * repeats. The bound on repeats pays for a part of that only, and repeats that are spread evenly carry no request through.
 *
 * If the first j calls go without repeats and the rest are paid for, a request succeeds with (1 - q)^j and needs
 * (1 - q)^j (n - j) q / (1 - q) repeats: the later they begin, the more successes they bring, and the more requests end
 * before. So each route, the most urgent first, gets the smallest j that the budget pays for, and a part of its requests, by a
 * draw, one less. A request whose calls are made by several runs at a time needs all of them: it is paid for from its
 * first call or not at all. What then has next to no chance is refused at once and costs nothing.
 *
 * All that is needed is known here: the calls of a route's requests, the rate of requests by route, the level of the service and the
 * ratio of the bound. What the estimate lacks is learned from how many requests end well, against what was expected.
 */
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { DownstreamCalls, SheddingLevels } from "./sheddingLevels.js";

/** Part of the budget that each route leaves to those after it, so that none starves. */
const leftShare = 0.2;
/** Chance of success below which a request is refused at once: its work is nearly always wasted. */
const minChance = 0.05;
/** Half-life of the counted requests of a route, in milliseconds. */
const rateHalfLifeMs = 4000;
/** Weight of a served request in the average calls of its route. */
const callsWeight = 0.2;
/** Average calls of a request below which a service no longer counts as one behind its route. */
const minKnownCalls = 0.5;
/** Recent requests below which a route takes no part of the budget. */
const minRecentRequests = 0.1;
/** Successes that must have been expected before the estimate of the budget is corrected. */
const expectedForCorrection = 3;
/** Share of the expected successes above which the estimate rises; below the smaller one it falls. */
const goodShare = 0.95;
const poorShare = 0.8;
/** Factor on the estimate until something is learned: chains that end early earn less than the estimate says. */
const firstCorrection = 0.8;
/** Factors of a correction, and its bounds. */
const increaseFactor = 1.1;
const decreaseFactor = 0.85;
const minCorrection = 0.1;
const maxCorrection = 1.5;
/**
 * Repeats that a call needs, as a multiple of those that the bound allows for it, from which requests are planned; below it,
 * enough calls are repeated without a plan.
 */
const minNeededRepeats = 4;
/** Largest share of rejections that is counted with; above it, hardly any call can be paid for. */
export const maxShedShare = 0.95;

/** What is decided for a request through a shedding service. */
export interface ChainPlan {
    /** Calls of one run that must be served before its repeats are paid for; 0 pays for all of them. */
    readonly paidAfter: number;
    /** Expected chance of success, from 0 to 1. */
    readonly chance: number;
}

/** Whether a request is begun; without a plan if no service behind its route is known to shed. */
export type ChainDecision =
    | { readonly kind: "begin"; readonly plan: ChainPlan | undefined; }
    | { readonly kind: "refuse"; readonly service: string; readonly shedShare: number; };

/** Calls of one request to a service. */
interface RouteCalls {
    /** Calls of all its runs. */
    total: number;
    /** Calls of the run that makes the most, one after the other. */
    inRow: number;
}

/** What is known of a route. */
interface RouteState {
    priority: number;
    /** Recent requests, decayed. */
    requests: number;
    requestsAt: number;
    readonly calls: Map<string, RouteCalls>;
}

/** A shedding service behind a route. */
interface Shedding {
    readonly service: string;
    readonly shedShare: number;
    readonly calls: RouteCalls;
}

/** A plan and the share of a route's requests that gets it. */
interface SharedPlan extends ChainPlan {
    readonly share: number;
}

/** Decides which requests through shedding services are begun, and which of their repeats are paid for. */
export class ChainAdmission {
    private readonly routes = new Map<string, RouteState>();
    private correction = firstCorrection;
    private expected = 0;
    private served = 0;

    constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly levels: SheddingLevels,
        /** Repeats that the bound allows for each request. */
        private readonly getRetryRatio: () => number,
    ) {}

    /** Decides on a request; counts it. */
    decide(route: string, priority: number): ChainDecision {
        const state = this.getRoute(route, priority);
        this.updateRequests(state);
        state.requests += 1;
        const shedding = this.findShedding(state);
        if (shedding === undefined) {
            return { kind: "begin", plan: undefined };
        }
        let draw = this.random();
        for (const plan of this.choosePlans(state, shedding)) {
            if (draw < plan.share) {
                return { kind: "begin", plan };
            }
            draw -= plan.share;
        }
        return { kind: "refuse", service: shedding.service, shedShare: shedding.shedShare };
    }

    /** Records how a request ended that was begun, its plan, and what its calls led to. */
    recordAnswer(
        route: string,
        downstream: readonly DownstreamCalls[],
        isServed: boolean,
        plan: ChainPlan | undefined,
    ): void {
        downstream.forEach(each => this.levels.learn(each));
        const state = this.routes.get(route);
        if (isServed && state !== undefined) {
            learnCalls(state, downstream);
        }
        if (plan !== undefined) {
            this.updateEstimate(plan.chance, isServed);
        }
    }

    /** Factor by which the estimate of the budget is corrected. */
    getCorrection(): number {
        return this.correction;
    }

    /** The shedding service behind a route that costs it most. */
    private findShedding(state: RouteState): Shedding | undefined {
        let worst: Shedding | undefined;
        for (const [service, calls] of state.calls) {
            const shedShare = Math.min(maxShedShare, this.levels.getShedShare(service));
            const isScarce = isRepeatScarce(shedShare, this.getRetryRatio());
            if (isScarce && (worst === undefined || shedShare * calls.total > worst.shedShare * worst.calls.total)) {
                worst = { service, shedShare, calls };
            }
        }
        return worst;
    }

    /** Goes through the routes from the most urgent, each of which may use all but a part of what is left. */
    private choosePlans(state: RouteState, { service, shedShare }: Shedding): readonly SharedPlan[] {
        const routes = this.listRecentRoutes(service);
        routes.sort((a, b) => a.priority - b.priority || a.calls.get(service)!.total - b.calls.get(service)!.total);
        const calls = routes.reduce((sum, each) => sum + each.requests * each.calls.get(service)!.total, 0);
        let budget = calls * this.getRetryRatio() * this.correction;
        for (const each of routes) {
            const usable = each === routes[routes.length - 1] ? budget : budget * (1 - leftShare);
            const plans = createPlans(each.calls.get(service)!, shedShare, usable / Math.max(each.requests, 1e-9));
            if (each === state) {
                return plans;
            }
            budget -= each.requests * computeRepeats(plans, each.calls.get(service)!, shedShare);
        }
        return [];
    }

    /** Routes with requests lately that lead to a service. */
    private listRecentRoutes(service: string): RouteState[] {
        const routes = [...this.routes.values()].filter(each => each.calls.has(service));
        routes.forEach(each => this.updateRequests(each));
        return routes.filter(each => each.requests >= minRecentRequests);
    }

    private updateEstimate(chance: number, isServed: boolean): void {
        this.expected += chance;
        this.served += isServed ? 1 : 0;
        if (this.expected < expectedForCorrection) {
            return;
        }
        const share = this.served / this.expected;
        const factor = share >= goodShare ? increaseFactor : share < poorShare ? decreaseFactor : 1;
        this.correction = Math.min(maxCorrection, Math.max(minCorrection, this.correction * factor));
        this.expected = 0;
        this.served = 0;
    }

    private updateRequests(state: RouteState): void {
        const now = this.clock.readMonotonic();
        state.requests *= 0.5 ** ((now - state.requestsAt) / rateHalfLifeMs);
        state.requestsAt = now;
    }

    private getRoute(route: string, priority: number): RouteState {
        const known = this.routes.get(route);
        if (known !== undefined) {
            known.priority = priority;
            return known;
        }
        const created = { priority, requests: 0, requestsAt: this.clock.readMonotonic(), calls: new Map() };
        this.routes.set(route, created);
        return created;
    }
}

/** Whether a service turns away so much that the bound pays for too few repeats to spend them on whoever comes first. */
export function isRepeatScarce(shedShare: number, retryRatio: number): boolean {
    const share = Math.min(maxShedShare, shedShare);
    return share / (1 - share) >= minNeededRepeats * retryRatio;
}

/** Expected repeats of one request with a plan. */
function computePlanRepeats({ paidAfter, chance }: ChainPlan, calls: RouteCalls, shedShare: number): number {
    const paidCalls = paidAfter === 0 ? calls.total : Math.max(0, calls.inRow - paidAfter);
    return chance * paidCalls * shedShare / (1 - shedShare);
}

/** Expected repeats of a route's requests, for each of them. */
function computeRepeats(plans: readonly SharedPlan[], calls: RouteCalls, shedShare: number): number {
    return plans.reduce((sum, plan) => sum + plan.share * computePlanRepeats(plan, calls, shedShare), 0);
}

/**
 * Chooses the plans of a route's requests: with a budget of repeats for each of them, the largest part that pays for one
 * more call, and the rest as many as can be paid for. What the plans leave out has next to no chance.
 */
function createPlans(calls: RouteCalls, shedShare: number, budget: number): readonly SharedPlan[] {
    const candidates = listCandidates(calls, shedShare);
    let cheaper: ChainPlan | undefined;
    let cheaperRepeats = 0;
    for (const plan of candidates) {
        const repeats = computePlanRepeats(plan, calls, shedShare);
        if (repeats > budget) {
            const share = (budget - cheaperRepeats) / (repeats - cheaperRepeats);
            return [{ ...plan, share }, ...(cheaper === undefined ? [] : [{ ...cheaper, share: 1 - share }])];
        }
        cheaper = plan;
        cheaperRepeats = repeats;
    }
    return cheaper === undefined ? [] : [{ ...cheaper, share: 1 }];
}

/** Plans of a route from the cheapest, without those whose chance is too small. */
function listCandidates({ total, inRow }: RouteCalls, shedShare: number): ChainPlan[] {
    const row = Math.round(inRow);
    // Runs that call at the same time can't wait for each other's luck.
    const isOneRun = total < inRow + 0.5;
    const plans: ChainPlan[] = [{ paidAfter: row, chance: (1 - shedShare) ** total }];
    for (let paidAfter = isOneRun ? row - 1 : 0; paidAfter >= 0; paidAfter -= 1) {
        plans.push({ paidAfter, chance: (1 - shedShare) ** paidAfter });
    }
    return plans.filter(plan => plan.chance >= minChance);
}

function learnCalls(state: RouteState, downstream: readonly DownstreamCalls[]): void {
    forgetUncalled(state, downstream);
    for (const { service, calls, inRow } of downstream) {
        const known = state.calls.get(service);
        if (known === undefined) {
            state.calls.set(service, { total: calls, inRow });
            continue;
        }
        known.total += (calls - known.total) * callsWeight;
        known.inRow += (inRow - known.inRow) * callsWeight;
    }
}

/** Lowers the calls to services that a served request did not call, until they are forgotten. */
function forgetUncalled(state: RouteState, downstream: readonly DownstreamCalls[]): void {
    for (const [service, known] of state.calls) {
        if (downstream.some(each => each.service === service)) {
            continue;
        }
        known.total *= 1 - callsWeight;
        known.inRow *= 1 - callsWeight;
        if (known.total < minKnownCalls) {
            state.calls.delete(service);
        }
    }
}
