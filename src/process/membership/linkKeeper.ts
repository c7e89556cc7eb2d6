/**
 * Decides which links a node keeps open: those to its subset of its own service and of the services that it sends to,
 * the readers of the log, and a few others, so that all nodes are connected. The number doesn't grow with the number of nodes.
 */
import type { Clock } from "../base/clock.js";
import type { InstanceRegistry } from "./instanceRegistry.js";
import type { InstanceSubsets } from "./instanceSubset.js";

/** Time after the last request to a service for which the links to it are kept, in milliseconds. */
const serviceInUseMs = 30_000;
/** Instances of any service to which links are kept. */
const otherInstances = 6;

/** Chooses the links that are kept. */
export class LinkKeeper {
    /** Times of the last request to each service, on the monotonic clock. */
    private readonly usedAt = new Map<string, number>();

    constructor(
        private readonly clock: Clock,
        private readonly service: string,
        private readonly registry: InstanceRegistry,
        private readonly subsets: InstanceSubsets,
        /** Addresses of the readers of the log with which this node keeps in contact. */
        private readonly listReaders: () => readonly string[],
    ) {}

    /** Records a request to a service. Returns whether the links to it were not kept before. */
    recordUse(service: string): boolean {
        const isNew = !this.usedAt.has(service);
        this.usedAt.set(service, this.clock.readMonotonic());
        return isNew;
    }

    /** Addresses to which links are to be open. */
    chooseAddresses(): ReadonlySet<string> {
        const now = this.clock.readMonotonic();
        for (const [service, usedAt] of this.usedAt) {
            if (now - usedAt > serviceInUseMs) {
                this.usedAt.delete(service);
            }
        }
        const services = new Set([this.service, ...this.usedAt.keys()]);
        const records = [...services].flatMap(each => this.subsets.choose(this.registry.listForService(each)));
        const others = this.subsets.chooseAny(this.registry.list(), otherInstances);
        return new Set([...[...records, ...others].map(record => record.address), ...this.listReaders()]);
    }
}
