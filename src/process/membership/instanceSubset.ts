/**
 * Chooses the instances of a service that this node usually sends to, so that its links and pings don't grow with the
 * number of nodes.
 *
 * The choice is by rendezvous hashing: each node ranks the instances by a hash of both addresses. So each instance is
 * in the subsets of about equally many nodes, and a change of one instance changes only the subsets that it is in.
 *
 * Load patterns handled:
 *
 * - Hundreds of nodes with a few requests a second each: a node sends to few instances, so that it has recent loads of
 *   them and its links are in use.
 * - A data centre without enough instances: each subset holds instances of other data centres too.
 */
import type { InstanceRecord } from "../../version/instanceRecord.js";

/** Instances of the own data centre in a subset. */
const localSubsetSize = 8;
/** Instances of other data centres in a subset. */
const remoteSubsetSize = 4;
/** Services with at most this many instances are not divided. */
const maxUndividedInstances = 16;

/** Subsets of the services, as one node chooses them. */
export class InstanceSubsets {
    /** Subset of each list of records. The registry makes a new list whenever an instance of the service changes. */
    private readonly subsets = new WeakMap<readonly InstanceRecord[], readonly InstanceRecord[]>();

    constructor(private readonly address: string, private readonly dataCentre: string) {}

    /** Chooses the subset of a service's instances. An unchanged list is not ranked again. */
    choose(records: readonly InstanceRecord[]): readonly InstanceRecord[] {
        const known = this.subsets.get(records);
        if (known !== undefined) {
            return known;
        }
        const subset = this.rankAndCut(records);
        this.subsets.set(records, subset);
        return subset;
    }

    /** Chooses `count` instances of any service. */
    chooseAny(records: readonly InstanceRecord[], count: number): readonly InstanceRecord[] {
        return this.rank(records).slice(0, count);
    }

    private rank(records: readonly InstanceRecord[]): readonly InstanceRecord[] {
        return records
            .map(record => ({ record, rank: computeRank(this.address, record.address) }))
            .sort((a, b) => a.rank - b.rank)
            .map(({ record }) => record);
    }

    private rankAndCut(records: readonly InstanceRecord[]): readonly InstanceRecord[] {
        if (records.length <= maxUndividedInstances) {
            return records;
        }
        const ranked = this.rank(records.filter(record => record.isTaking));
        const local = ranked.filter(record => record.dataCentre === this.dataCentre).slice(0, localSubsetSize);
        const remote = ranked.filter(record => record.dataCentre !== this.dataCentre);
        const missing = localSubsetSize - local.length;
        return [...local, ...remote.slice(0, remoteSubsetSize + missing)];
    }
}

/** Rank of an instance for a node: FNV-1a of both addresses with a final mix, as an unsigned 32-bit integer. */
export function computeRank(nodeAddress: string, instanceAddress: string): number {
    let hash = 0x811c9dc5;
    for (const character of `${nodeAddress}>${instanceAddress}`) {
        hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
    }
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}
