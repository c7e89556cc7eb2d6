/**
 * Registry of all instances that a routed node knows, itself included, from the keyed log and from other instances.
 * Nodes that are not routed use Directory instead.
 *
 * The log orders the records of one address. A record that an instance sends of itself over a link is newer than the
 * one that the log holds at that time. A record that a peer passes on is used only for an address that is not known at all.
 */
import type { InstanceRecord } from "../version/instanceRecord.js";

/**
 * Source of a record: the keyed log, the instance that the record describes (`self`, which need not be this node), or a
 * peer that passes on another instance's record.
 */
export type RecordSource = "log" | "self" | "peer";

/** Known instances, by address and by service. */
export class InstanceRegistry {
    private readonly records = new Map<string, InstanceRecord>();
    private byService = new Map<string, readonly InstanceRecord[]>();

    /** Adds or replaces the record of an address; one from a peer replaces nothing. Returns whether the registry changed. */
    put(record: InstanceRecord, source: RecordSource): boolean {
        const before = this.records.get(record.address);
        if (before !== undefined && (source === "peer" || isSameRecord(before, record))) {
            return false;
        }
        this.records.set(record.address, record);
        this.byService.clear();
        return true;
    }

    /** Removes an address. */
    remove(address: string): void {
        if (this.records.delete(address)) {
            this.byService.clear();
        }
    }

    get(address: string): InstanceRecord | undefined {
        return this.records.get(address);
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

    /** Number of known instances. */
    count(): number {
        return this.records.size;
    }
}

function isSameRecord(a: InstanceRecord, b: InstanceRecord): boolean {
    return a.address === b.address && a.port === b.port && a.service === b.service && a.dataCentre === b.dataCentre
        && a.slots === b.slots && a.isTaking === b.isTaking;
}
