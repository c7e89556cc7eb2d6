/**
 * Chooses the service of a request on a route that is split by weights.
 *
 * Smooth weighted round robin keeps each share within one request of its weight over any run of requests. Each node starts at a
 * random place of the round, so that many nodes with few requests each keep the shares too. A load peak that fills one service
 * does not move its share to the others.
 */
import type { RouteContract } from "../version/configuration.js";
import type { Random } from "./balancer.js";

/** Longest part of a round that is skipped at the start, in requests. */
const maxSkipped = 1000;
/** Routes whose place in their round is remembered. */
const maxRoutes = 1000;

/** Draws services by weight. */
export class WeightedRoundRobin {
    private readonly credits = new Map<string, number[]>();

    constructor(private readonly random: Random) {}

    /** Chooses the service of the next request of a route. */
    chooseService(route: RouteContract): string {
        const { shares } = route;
        if (shares.length === 1) {
            return shares[0]!.service;
        }
        // Changed weights begin a round of their own; any other change of the configuration leaves the round alone.
        const key = createKey(route);
        const credits = this.credits.get(key) ?? this.createCredits(route);
        if (this.credits.size >= maxRoutes && !this.credits.has(key)) {
            this.credits.clear();
        }
        this.credits.set(key, credits);
        return shares[takeTurn(route, credits)]!.service;
    }

    private createCredits(route: RouteContract): number[] {
        const credits = route.shares.map(() => 0);
        const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
        for (let skipped = Math.floor(this.random() * Math.min(total, maxSkipped)); skipped > 0; skipped -= 1) {
            takeTurn(route, credits);
        }
        return credits;
    }
}

/** Takes one turn of the round and returns whose it was. */
function takeTurn(route: RouteContract, credits: number[]): number {
    let total = 0;
    let best = 0;
    route.shares.forEach((share, index) => {
        total += share.weight;
        credits[index]! += share.weight;
        if (credits[index]! > credits[best]!) {
            best = index;
        }
    });
    credits[best]! -= total;
    return best;
}

function createKey(route: RouteContract): string {
    return route.name + JSON.stringify(route.shares);
}
