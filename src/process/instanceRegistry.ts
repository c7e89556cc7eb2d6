/**
 * All instances that this node knows, itself included: from the keyed log, and from the instances themselves over links.
 *
 * The log orders the records of one address. What an instance says of itself over a link is newer than what the log says; word
 * of a third party counts only for an address that is not known at all.
 */
import type { InstanceRecord } from "../version/instanceRecord.js";

/** Where a record came from. */
export type RecordSource = "log" | "self" | "peer";

/** Known instances by address. */
export class InstanceRegistry {
    private readonly records = new Map<string, InstanceRecord>();
    private byService = new Map<string, readonly InstanceRecord[]>();

    /** Adds or replaces the record of an address. Returns whether anything changed. */
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
        const known = this.byService.get(service);
        if (known !== undefined) {
            return known;
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
