/**
 * Grants of shares in customers' allowances.
 *
 * Each allowance is divided into a floor, which every node has without asking, and pools of equal size. Each pool has one
 * coordinator, and the coordinators lie in different data centres where possible. A coordinator grants shares of its pool as
 * leases, so the sum of all shares stays within the allowance whatever dies or is cut off: what a lost coordinator or a lost
 * holder had lies idle, and is never granted twice.
 */
import type { Member, SlotName } from "../version/member.js";
import { formatSlot } from "../version/member.js";
import { hashText } from "../version/memberStream.js";
import type { Clock } from "./clock.js";

/** Pools of each allowance. */
export const poolCount = 3;
/** Part of each allowance that is spread evenly over all nodes. */
export const floorShare = 0.2;
/** Part of each allowance in each pool. */
export const poolShare = (1 - floorShare) / poolCount;
/** Length of a lease, in milliseconds. */
export const leaseMs = 6000;

/** What a coordinator knows of one holder. */
interface Holder {
    /** Requests a second that the holder wants from this pool. */
    demand: number;
    granted: number;
    expiresAt: number;
}

/** One pool that this node coordinates. */
interface Pool {
    readonly customer: string;
    readonly rank: number;
    /** Until when another coordinator's leases may still be held, on the monotonic scale. */
    readonly cautiousUntil: number;
    readonly holders: Map<SlotName, Holder>;
}

/** Coordinates the pools that fall to this node. */
export class ShareCoordinator {
    private readonly pools = new Map<string, Pool>();
    private membersChangedAt: number;
    private knownSlots = "";

    constructor(private readonly clock: Clock) {
        this.membersChangedAt = clock.readMonotonic();
    }

    /** Takes a change of the announced members: pools that fall to another coordinator are forgotten. */
    updateMembers(members: readonly Member[], self: Member): void {
        const slots = members.map(formatSlot).sort().join(" ");
        if (slots === this.knownSlots) {
            return;
        }
        this.knownSlots = slots;
        this.membersChangedAt = this.clock.readMonotonic();
        for (const [name, pool] of this.pools) {
            const coordinator = chooseCoordinators(members, pool.customer)[pool.rank];
            if (coordinator === undefined || formatSlot(coordinator) !== formatSlot(self)) {
                this.pools.delete(name);
            }
        }
    }

    /**
     * Grants a share in requests a second. A coordinator that has just become one does not know the leases that its
     * predecessor granted, so for the length of a lease it grants no more than the holder has already.
     */
    grant(customer: string, rank: number, poolPerSecond: number, slot: SlotName, demand: number, held: number): number {
        const now = this.clock.readMonotonic();
        const pool = this.getPool(customer, rank);
        removeExpired(pool, now);
        const others = [...pool.holders].filter(([name]) => name !== slot).map(([, holder]) => holder);
        const free = Math.max(0, poolPerSecond - others.reduce((sum, holder) => sum + holder.granted, 0));
        const fair = computeFairShare(demand, others.map(holder => holder.demand), poolPerSecond);
        const granted = Math.min(fair, free, now < pool.cautiousUntil ? held : Infinity);
        pool.holders.set(slot, { demand, granted, expiresAt: now + leaseMs });
        return granted;
    }

    /** Forgets pools without holders. */
    prune(): void {
        const now = this.clock.readMonotonic();
        for (const [name, pool] of this.pools) {
            removeExpired(pool, now);
            if (pool.holders.size === 0) {
                this.pools.delete(name);
            }
        }
    }

    private getPool(customer: string, rank: number): Pool {
        const name = `${rank}|${customer}`;
        let pool = this.pools.get(name);
        if (pool === undefined) {
            pool = { customer, rank, cautiousUntil: this.membersChangedAt + leaseMs, holders: new Map() };
            this.pools.set(name, pool);
        }
        return pool;
    }
}

function removeExpired(pool: Pool, now: number): void {
    for (const [slot, holder] of pool.holders) {
        if (holder.expiresAt <= now) {
            pool.holders.delete(slot);
        }
    }
}

/** Max-min fair share of one holder; what nobody wants is spread evenly, so that demand may grow within a lease. */
export function computeFairShare(demand: number, others: readonly number[], total: number): number {
    const sorted = [...others, demand].sort((a, b) => a - b);
    let left = total;
    for (const [index, each] of sorted.entries()) {
        const even = left / (sorted.length - index);
        if (each >= even) {
            return Math.min(demand, even);
        }
        left -= each;
    }
    return demand + left / sorted.length;
}

/** Chooses the coordinators of a customer's pools by hash, in different data centres where possible. */
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
