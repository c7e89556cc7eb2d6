/**
 * Chooses the service of a request on a route that is split by weights.
 *
 * Smooth weighted round robin keeps each share within one request of its weight over any run of requests; a random start
 * keeps the nodes from choosing in step. A load peak that fills one service does not move its share to the others.
 */
import type { RouteContract } from "../version/configuration.js";
import type { Random } from "./balancer.js";

/** Draws services by weight. */
export class ShareDraw {
    private readonly credits = new Map<string, number[]>();

    constructor(private readonly random: Random) {}

    /** Chooses the service of the next request of a route. */
    choose(route: RouteContract): string {
        const { shares } = route;
        if (shares.length === 1) {
            return shares[0]!.service;
        }
        const key = createKey(route);
        const credits = this.credits.get(key) ?? this.createCredits(route);
        this.credits.set(key, credits);
        let total = 0;
        let best = 0;
        shares.forEach((share, index) => {
            total += share.weight;
            credits[index]! += share.weight;
            if (credits[index]! > credits[best]!) {
                best = index;
            }
        });
        credits[best]! -= total;
        return shares[best]!.service;
    }

    /** Forgets all routes; called when the configuration changes. */
    clear(): void {
        this.credits.clear();
    }

    private createCredits(route: RouteContract): number[] {
        return route.shares.map(share => this.random() * share.weight);
    }
}

function createKey(route: RouteContract): string {
    return route.name + JSON.stringify(route.shares);
}
