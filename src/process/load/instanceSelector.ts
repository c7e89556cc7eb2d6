/**
 * Selects the instance for a request among hundreds: usually from this node's subset of the service, after the loads
 * that decide were refreshed, and from the others when the subset has no room.
 */
import type { InstanceRecord } from "../../version/instanceRecord.js";
import { pickSome } from "../base/random.js";
import type { Random } from "../base/random.js";
import type { InstanceRegistry } from "../membership/instanceRegistry.js";
import type { InstanceSubsets } from "../membership/instanceSubset.js";
import type { LinkKeeper } from "../membership/linkKeeper.js";
import type { LoadRefresher } from "./loadRefresher.js";
import type { Placement } from "./placement.js";

/** Instances outside of the subset among which one is chosen when the subset has no room. */
const sampledOthers = 6;

/** Dependencies of the selector. */
export interface InstanceSelectorDependencies {
    readonly random: Random;
    readonly registry: InstanceRegistry;
    readonly subsets: InstanceSubsets;
    readonly placement: Placement;
    readonly loadRefresher: Pick<LoadRefresher, "refresh">;
    readonly linkKeeper: Pick<LinkKeeper, "recordUse">;
    /** Called when a service is used whose links were not kept. */
    readonly keepLinks: () => void;
    /** Records the load of the local endpoint, if it belongs to the service. */
    readonly refreshOwnLoad: (service: string) => void;
}

/** Selects instances. */
export class InstanceSelector {
    constructor(private readonly dependencies: InstanceSelectorDependencies) {}

    /** Selects an instance that was not tried, after a short wait for loads if too few are known; never rejects. */
    async select(service: string, tried: ReadonlySet<string>): Promise<InstanceRecord | undefined> {
        const { registry, subsets, loadRefresher, linkKeeper, keepLinks, refreshOwnLoad } = this.dependencies;
        if (linkKeeper.recordUse(service)) {
            keepLinks();
        }
        refreshOwnLoad(service);
        const subset = subsets.choose(registry.listForService(service));
        await loadRefresher.refresh(tried.size === 0 ? subset : subset.filter(record => !tried.has(record.address)));
        return this.selectAtOnce(service, tried);
    }

    /** Selects an instance by the loads that are known now. */
    selectAtOnce(service: string, tried: ReadonlySet<string>): InstanceRecord | undefined {
        const { registry, subsets, placement } = this.dependencies;
        const all = registry.listForService(service);
        const subset = subsets.choose(all);
        const best = placement.choose(subset, tried);
        if (subset === all || (best !== undefined && placement.hasRoom(best.address))) {
            return best;
        }
        const others = this.sampleOthers(all, subset);
        return placement.choose(best === undefined ? others : [best, ...others], tried);
    }

    private sampleOthers(all: readonly InstanceRecord[], subset: readonly InstanceRecord[]): InstanceRecord[] {
        const others = all.filter(record => !subset.includes(record));
        return pickSome(others, sampledOthers, this.dependencies.random);
    }
}
