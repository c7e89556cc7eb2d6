/**
 * Decides which nodes follow the keyed log. Calls to it are limited and cost, so a few nodes of each data centre read
 * it, the readers, and pass on what they read. A node that hears of no reader reads by itself.
 *
 * The readers of a data centre are its reachable instances of the lowest ranks, by rendezvous hashing. Each node decides
 * for itself, so two nodes may disagree for a while; then there is a reader more or, until the others miss it, one less.
 */
import type { InstanceRecord } from "../../version/instanceRecord.js";
import type { Clock } from "../base/clock.js";
import type { InstanceRegistry } from "./instanceRegistry.js";
import { computeRank } from "./instanceSubset.js";

/** Readers of each data centre. One is enough, since each node hears of several data centres' readers. */
const readersPerDataCentre = 1;
/** Readers of other data centres that a node keeps in contact with. */
const otherReaders = 2;
/** Time without word of a reader after which a node follows the log by itself, in milliseconds. */
const contactTimeoutMs = 1400;
/** Time for which a node that followed the log for want of contact goes on with that, in milliseconds. */
const minFollowMs = 5000;

/** Readers as one node sees them. */
export class LogReaders {
    private lastContactAt: number;
    private lastOutOfContactAt = -Infinity;
    private ranked: readonly InstanceRecord[] = [];
    private rankedChanges = -1;

    constructor(
        private readonly clock: Clock,
        private readonly registry: InstanceRegistry,
        private readonly address: string,
        private readonly dataCentre: string,
        private readonly isReachable: (address: string) => boolean,
        /** Time after the start in which no contact is expected, in milliseconds. */
        contactDelayMs: number,
    ) {
        this.lastContactAt = clock.readMonotonic() + contactDelayMs;
    }

    /** Addresses of the readers with which this node keeps in contact, itself excluded. */
    listContacts(): string[] {
        const byDataCentre = this.listByDataCentre();
        const own = byDataCentre.get(this.dataCentre) ?? [];
        byDataCentre.delete(this.dataCentre);
        const others = [...byDataCentre.values()].map(readers => readers[0]!);
        const ranked = others.sort((a, b) =>
            computeRank(this.address, a.address) - computeRank(this.address, b.address)
        );
        return [...own, ...ranked.slice(0, otherReaders)]
            .map(reader => reader.address)
            .filter(address => address !== this.address);
    }

    /** Records that a node has said whether it follows the log. */
    recordContact(isFollowing: boolean): void {
        if (isFollowing) {
            this.lastContactAt = this.clock.readMonotonic();
        }
    }

    /** Whether this node is to follow the log. */
    isFollowerNeeded(): boolean {
        const now = this.clock.readMonotonic();
        if (now - this.lastContactAt > contactTimeoutMs) {
            this.lastOutOfContactAt = now;
        }
        return now - this.lastOutOfContactAt < minFollowMs || this.isReader();
    }

    private isReader(): boolean {
        const own = this.listByDataCentre().get(this.dataCentre) ?? [];
        return own.some(reader => reader.address === this.address);
    }

    /** Readers of each data centre, the lowest rank first. */
    private listByDataCentre(): Map<string, InstanceRecord[]> {
        const readers = new Map<string, InstanceRecord[]>();
        for (const record of this.listRanked()) {
            const known = readers.get(record.dataCentre) ?? [];
            if (
                known.length < readersPerDataCentre
                && (record.address === this.address || this.isReachable(record.address))
            ) {
                readers.set(record.dataCentre, [...known, record]);
            }
        }
        return readers;
    }

    private listRanked(): readonly InstanceRecord[] {
        const changes = this.registry.countChanges();
        if (changes !== this.rankedChanges) {
            this.rankedChanges = changes;
            this.ranked = this.registry.list()
                .filter(record => record.isTaking)
                .map(record => ({ record, rank: computeRank("reader", record.address) }))
                .sort((a, b) => a.rank - b.rank)
                .map(({ record }) => record);
        }
        return this.ranked;
    }
}
