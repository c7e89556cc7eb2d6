/**
 * Chooses the service of a request on a route that is split by weights.
 *
 * Smooth weighted round robin keeps each service, over any sequence of requests, within as many requests of its share
 * as the route has services. Each node starts at a random position of the round, so that many nodes with few requests
 * each keep the shares too. The choice ignores load, so a service that is overloaded keeps its share.
 */
import type { RouteContract } from "../../version/configuration.js";
import type { Random } from "../base/random.js";

/** Most requests of a round that are skipped at the start. */
const maxSkippedTurns = 1000;
/** Most routes whose position in the round is kept; beyond that, all rounds start again. */
const maxTrackedRoutes = 1000;

/** Smooth weighted round robin over the services of each route. */
export class WeightedRoundRobin {
    /** Credits of the services by route; the service with the most credit is chosen next. */
    private readonly credits = new Map<string, number[]>();

    constructor(private readonly random: Random) {}

    /** Chooses the service of the next request on a route. */
    chooseService(route: RouteContract): string {
        const { shares } = route;
        if (shares.length === 1) {
            return shares[0]!.service;
        }
        // Changed weights start a new round; any other change of the configuration leaves the round as it is.
        const key = createRouteKey(route);
        const credits = this.credits.get(key) ?? this.createCredits(route);
        if (this.credits.size >= maxTrackedRoutes && !this.credits.has(key)) {
            this.credits.clear();
        }
        this.credits.set(key, credits);
        return shares[takeTurn(route, credits)]!.service;
    }

    private createCredits(route: RouteContract): number[] {
        const credits = route.shares.map(() => 0);
        const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
        for (let skipped = Math.floor(this.random() * Math.min(total, maxSkippedTurns)); skipped > 0; skipped -= 1) {
            takeTurn(route, credits);
        }
        return credits;
    }
}

/** Takes one turn of the round and returns the index of the chosen service. */
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

function createRouteKey(route: RouteContract): string {
    return route.name + JSON.stringify(route.shares);
}
