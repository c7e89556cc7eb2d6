/**
 * Registry of all instances that a routed node knows, itself included, from the keyed log and from other instances.
 * Nodes that are not routed use Directory instead.
 *
 * Records of one address arrive by several ways in any order; the one with the highest revision counts.
 */
import type { InstanceRecord } from "../../version/instanceRecord.js";

/** Source of a record: the newest records of the keyed log, its later ones, or another node. */
export type RecordSource = "snapshot" | "log" | "peer";

/** Known instances, by address and by service. */
export class InstanceRegistry {
    private readonly records = new Map<string, InstanceRecord>();
    private byService = new Map<string, readonly InstanceRecord[]>();
    private changes = 0;

    /** Adds a record, or replaces the one of its address if that is older. Returns whether the registry changed. */
    put(record: InstanceRecord): boolean {
        const before = this.records.get(record.address);
        if (before !== undefined && before.revision >= record.revision) {
            return false;
        }
        // A restarted node may not know yet what its earlier process knew of its endpoint.
        const { leavingEndpoint = before?.leavingEndpoint, namedLimit = before?.namedLimit } = record;
        this.records.set(record.address, { ...record, leavingEndpoint, namedLimit });
        this.byService.clear();
        this.changes += 1;
        return true;
    }

    /** Removes an address. */
    remove(address: string): void {
        if (this.records.delete(address)) {
            this.byService.clear();
            this.changes += 1;
        }
    }

    get(address: string): InstanceRecord | undefined {
        return this.records.get(address);
    }

    /** Id of the endpoint's process at an address that was last known to leave. */
    findLeavingEndpoint(address: string): string | undefined {
        return this.records.get(address)?.leavingEndpoint;
    }

    /** Lists all records. */
    list(): InstanceRecord[] {
        return [...this.records.values()];
    }

    /** Lists the instances of a service. */
    listForService(service: string): readonly InstanceRecord[] {
        const cached = this.byService.get(service);
        if (cached !== undefined) {
            return cached;
        }
        const listed = this.list().filter(record => record.service === service);
        this.byService.set(service, listed);
        return listed;
    }

    /** Number of changes so far, by which results that follow from the records are kept. */
    countChanges(): number {
        return this.changes;
    }

    /** Number of known instances. */
    count(): number {
        return this.records.size;
    }
}
