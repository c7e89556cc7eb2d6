/**
 * Leases on shares of customers' rate limits.
 *
 * Each rate limit is divided into a floor, which every node has without asking, and quota pools of equal size. Each
 * pool has one coordinator, and the coordinators are in different data centres where possible. A coordinator leases
 * shares of its pool, so the sum of all shares stays within the rate limit whichever nodes fail or are separated by a
 * network partition: the share of a lost coordinator or holder stays unused, and is never granted twice.
 */
import type { Member, SlotName } from "../../version/member.js";
import { formatSlot } from "../../version/member.js";
import { hashText } from "../../version/memberStream.js";
import type { Clock } from "../base/clock.js";

/** Quota pools of each rate limit. */
export const poolCount = 3;
/** Part of each rate limit that is spread evenly over all nodes. */
export const floorShare = 0.2;
/** Part of each rate limit in each pool. */
export const poolShare = (1 - floorShare) / poolCount;
/** Duration of a lease, in milliseconds. */
export const leaseDurationMs = 6000;

/** Lease of one node on a share of a pool, as the pool's coordinator knows it. */
interface GrantedLease {
    /** Requests per second that the holder wants from this pool. */
    demand: number;
    /** Requests per second that the lease admits. */
    perSecond: number;
    expiresAt: number;
}

/** A pool that this node coordinates. */
interface Pool {
    readonly customer: string;
    /** Index of the pool among the customer's pools. */
    readonly rank: number;
    /** Time until which leases of another coordinator may still be held, on the monotonic clock, in milliseconds. */
    readonly formerLeasesUntil: number;
    readonly leases: Map<SlotName, GrantedLease>;
}

/** Grants leases on the pools that this node coordinates. */
export class ShareCoordinator {
    private readonly pools = new Map<string, Pool>();
    private membersChangedAt: number;
    /** Names of the announced members' node slots (`address:controlPort`), joined. */
    private memberSlots = "";

    constructor(private readonly clock: Clock) {
        this.membersChangedAt = clock.readMonotonic();
    }

    /** Handles a change of the announced members: pools that now belong to another coordinator are removed. */
    updateMembers(members: readonly Member[], self: Member): void {
        const slots = members.map(formatSlot).sort().join(" ");
        if (slots === this.memberSlots) {
            return;
        }
        this.memberSlots = slots;
        this.membersChangedAt = this.clock.readMonotonic();
        for (const [key, pool] of this.pools) {
            const coordinator = chooseCoordinators(members, pool.customer)[pool.rank];
            if (coordinator === undefined || formatSlot(coordinator) !== formatSlot(self)) {
                this.pools.delete(key);
            }
        }
    }

    /**
     * Grants a lease on a share of the pool of this rank, in requests per second. `poolPerSecond` is the rate of the
     * whole pool, `slot` the node slot of the holder, and `held` the share that it holds now. A new coordinator does
     * not know the leases that its predecessor granted, so for the duration of a lease it grants no more than `held`.
     */
    grant(customer: string, rank: number, poolPerSecond: number, slot: SlotName, demand: number, held: number): number {
        const now = this.clock.readMonotonic();
        const pool = this.getPool(customer, rank);
        removeExpiredLeases(pool, now);
        const otherLeases = [...pool.leases].filter(([leasedSlot]) => leasedSlot !== slot).map(([, lease]) => lease);
        const unleased = Math.max(0, poolPerSecond - otherLeases.reduce((sum, lease) => sum + lease.perSecond, 0));
        const fairShare = computeFairShare(demand, otherLeases.map(lease => lease.demand), poolPerSecond);
        const granted = Math.min(fairShare, unleased, now < pool.formerLeasesUntil ? held : Infinity);
        pool.leases.set(slot, { demand, perSecond: granted, expiresAt: now + leaseDurationMs });
        return granted;
    }

    /** Removes expired leases, and pools without holders. */
    prune(): void {
        const now = this.clock.readMonotonic();
        for (const [key, pool] of this.pools) {
            removeExpiredLeases(pool, now);
            if (pool.leases.size === 0) {
                this.pools.delete(key);
            }
        }
    }

    private getPool(customer: string, rank: number): Pool {
        const key = `${rank}|${customer}`;
        let pool = this.pools.get(key);
        if (pool === undefined) {
            pool = { customer, rank, formerLeasesUntil: this.membersChangedAt + leaseDurationMs, leases: new Map() };
            this.pools.set(key, pool);
        }
        return pool;
    }
}

function removeExpiredLeases(pool: Pool, now: number): void {
    for (const [slot, lease] of pool.leases) {
        if (lease.expiresAt <= now) {
            pool.leases.delete(slot);
        }
    }
}

/** Max-min fair share of one holder; what nobody wants is spread evenly, so that demand may grow within a lease. */
export function computeFairShare(demand: number, others: readonly number[], total: number): number {
    const sorted = [...others, demand].sort((a, b) => a - b);
    let remaining = total;
    for (const [index, each] of sorted.entries()) {
        const evenShare = remaining / (sorted.length - index);
        if (each >= evenShare) {
            return Math.min(demand, evenShare);
        }
        remaining -= each;
    }
    return demand + remaining / sorted.length;
}

/**
 * Chooses the coordinators of a customer's pools by rendezvous hashing, in different data centres where possible. The
 * index of a coordinator is the rank of its pool; `ranked` holds the members by descending hash score.
 */
export function chooseCoordinators(members: readonly Member[], customer: string): Member[] {
    const ranked = members
        .map(member => ({ member, score: hashText(`allowance|${customer}|${formatSlot(member)}`) }))
        .sort((a, b) => b.score - a.score)
        .map(entry => entry.member);
    const chosen: Member[] = [];
    for (const member of ranked) {
        if (chosen.length < poolCount && !chosen.some(other => other.dataCentre === member.dataCentre)) {
            chosen.push(member);
        }
    }
    for (const member of ranked) {
        if (chosen.length < poolCount && !chosen.includes(member)) {
            chosen.push(member);
        }
    }
    return chosen;
}
