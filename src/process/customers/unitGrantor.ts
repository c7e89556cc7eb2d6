/**
 * Grants units to the nodes that admit requests of customers with a quota; one unit admits one request. This is the ledger
 * of the grantor of one group of customers.
 *
 * Each node's part of every limit is fixed, 1 / (number of nodes), and it lends it to one grantor at a time. So whatever
 * nodes believe of each other, all grantors of a group together never have more than the limits. A grantor that has most of
 * the parts has the whole limit, and one with few has nothing; see {@link computeShare}.
 *
 * Load patterns handled:
 *
 * - Customers with less than one request a second at each node: nobody holds units for them; each request asks for one.
 * - One customer that sends many times its usual: units go to the nodes that ask, as they accrue.
 * - A grantor that dies or is cut off, or all nodes at once: who takes over starts with nothing.
 */
import type { Quota } from "../../version/customer.js";
import type { Clock } from "../base/clock.js";
import type { QuotaBounds, UnitSupply } from "./quotaBound.js";
import { computeSupply, unitLeaseMs } from "./quotaBound.js";
import type { AskedUnits, AskUnitsMessage, GrantedUnits, GrantUnitsMessage } from "./unitMessages.js";

/** Time for which a node lends its part after it has said so, in milliseconds. */
export const supportMs = 1000;
/** Time for which a computed share is used, in milliseconds. Supports end that much earlier here than at the supporters. */
const shareValidMs = 40;
/** Part of all nodes up to which a grantor has nothing, and that without which it has everything. */
const lostPart = 0.25;
/** Time for which units that could not be given to a holder count as wanted, in milliseconds. */
const wantedValidMs = 200;
/** Longest time after which a refused request is told to come back, in milliseconds. */
const maxWaitMs = 3000;

/** Units of one session of a holder, by customer. */
interface Session {
    readonly id: number;
    number: number;
    /** Time until which the units that the holder has may be used. */
    validUntil: number;
    readonly accounts: Map<string, { granted: number; gone: number; returned: number; }>;
}

/** Units of one customer. */
interface Pool {
    quota: Quota;
    supply: UnitSupply;
    free: number;
    filledAt: number;
    /** Units at holders, and until when they may be used there. */
    readonly held: Map<string, { units: number; until: number; }>;
    granted: number;
    /** Units that holders wanted and could not be given, and until when they count. */
    readonly wanted: Map<string, { units: number; until: number; }>;
}

/** Count of one customer's units, for the metrics. */
export interface PoolCount {
    readonly customer: string;
    readonly granted: number;
    readonly free: number;
}

/** Dependencies of a grantor. */
export interface UnitGrantorDependencies {
    readonly clock: Clock;
    /** Names this process; no other process at this address has the same. */
    readonly processId: string;
    readonly findQuota: (customer: string) => Quota | undefined;
    readonly countNodes: () => number;
}

/** Grants the units of one group of customers. */
export class UnitGrantor {
    private readonly sessions = new Map<string, Session>();
    private readonly pools = new Map<string, Pool>();
    /** Nodes that lend their parts, until when, and how large a part. */
    private readonly supporters = new Map<string, { until: number; part: number; }>();
    private share = 0;
    private shareComputedAt = -Infinity;
    /** Time at which the share last rose; since then it was never smaller than now. */
    private shareRoseAt = 0;

    constructor(private readonly dependencies: UnitGrantorDependencies, private bounds: QuotaBounds) {}

    /** Handles a message of a holder and answers it. Its fields are those of a node of ours; they are not checked. */
    receive(holder: string, message: AskUnitsMessage): GrantUnitsMessage {
        const now = this.dependencies.clock.readMonotonic();
        this.updateShare(now);
        if (message.isSupporting) {
            this.recordSupport(holder, message, now);
        }
        const session = this.findSession(holder, message, now);
        const items = session === undefined
            ? []
            : message.items.map(item => this.answerItem(holder, session, item, now));
        if (session !== undefined) {
            session.validUntil = now + unitLeaseMs;
        }
        const { group, session: id, number } = message;
        return { kind: "grantUnits", group, session: id, number, stamp: this.createStamp(now), items };
    }

    /** Applies changed limits at once, to what accrued and to what accrues. */
    updateQuotas(): void {
        const now = this.dependencies.clock.readMonotonic();
        for (const [customer, pool] of this.pools) {
            this.fill(pool, now);
            const quota = this.dependencies.findQuota(customer);
            // A removed customer keeps its pool, so that it does not get a full one if it comes back.
            if (quota !== undefined) {
                pool.quota = quota;
                pool.supply = computeSupply(quota, this.bounds);
                this.fill(pool, now);
            }
        }
    }

    /** Replaces the bound. */
    setBounds(bounds: QuotaBounds): void {
        this.bounds = bounds;
        this.updateQuotas();
    }

    /** Forgets all support and all units, after a time that this process did not see pass. */
    forgetAll(): void {
        this.supporters.clear();
        this.sessions.clear();
        this.pools.clear();
        this.share = 0;
        this.shareComputedAt = -Infinity;
    }

    /** Part of the limits that this grantor has now. */
    getShare(): number {
        this.updateShare(this.dependencies.clock.readMonotonic());
        return this.share;
    }

    /** Counts of the customers that units were asked for. */
    listCounts(): readonly PoolCount[] {
        return [...this.pools].map(([customer, { granted, free }]) => ({ customer, granted, free }));
    }

    /**
     * Records that a node lends its part. The time counts from the own stamp that the message repeats, which is earlier
     * than the message.
     */
    private recordSupport(holder: string, message: AskUnitsMessage, now: number): void {
        const [processId, time] = message.stamp.split(" ");
        if (processId !== this.dependencies.processId) {
            return;
        }
        const until = Math.min(now, Number(time)) + supportMs - shareValidMs;
        this.supporters.set(holder, { until, part: 1 / Math.max(1, message.nodes, this.dependencies.countNodes()) });
    }

    /** Called before a support is recorded, so that time for which the support had lapsed counts for nothing. */
    private updateShare(now: number): void {
        if (now - this.shareComputedAt < shareValidMs) {
            return;
        }
        this.shareComputedAt = now;
        const share = computeShare(this.sumParts(now));
        if (share === 0) {
            this.pools.clear();
        }
        if (share > this.share) {
            this.pools.forEach(pool => this.fill(pool, now));
            this.shareRoseAt = now;
        }
        this.share = share;
        this.pools.forEach(pool => this.fill(pool, now));
    }

    private sumParts(now: number): number {
        let sum = 0;
        for (const [holder, { until, part }] of this.supporters) {
            if (until <= now) {
                this.supporters.delete(holder);
            }
            else {
                sum += part;
            }
        }
        return sum;
    }

    /** Finds or starts the session of a message; `undefined` if the message is older than one before. */
    private findSession(holder: string, message: AskUnitsMessage, now: number): Session | undefined {
        const known = this.sessions.get(holder);
        if (known?.id === message.session) {
            const isNewer = message.number > known.number;
            known.number = Math.max(known.number, message.number);
            return isNewer ? known : undefined;
        }
        // The holder has dropped the units of its session before.
        this.pools.forEach(pool => pool.held.delete(holder));
        const { session: id, number } = message;
        const session: Session = { id, number, validUntil: now, accounts: new Map() };
        this.sessions.set(holder, session);
        return session;
    }

    private answerItem(holder: string, session: Session, item: AskedUnits, now: number): GrantedUnits {
        const [customer, gone, returned, wanted] = item;
        const known = session.accounts.get(customer);
        const account = known ?? { granted: gone, gone, returned };
        session.accounts.set(customer, account);
        const pool = this.findPool(customer, now);
        if (pool === undefined) {
            account.granted = gone;
            return [customer, gone, -1];
        }
        this.fill(pool, now);
        // Units come back within their lease only; later they count as used.
        const givenBack = session.validUntil > now ? Math.max(0, returned - account.returned) : 0;
        account.gone = gone;
        account.returned = returned;
        const held = Math.max(0, account.granted - gone);
        pool.held.set(holder, { units: held, until: now + unitLeaseMs });
        pool.free += givenBack;
        this.fill(pool, now);
        const missing = Math.max(0, Math.floor(wanted - held));
        const units = Math.min(missing, Math.floor(pool.free));
        pool.free -= units;
        pool.granted += units;
        pool.wanted.set(holder, { units: missing - units, until: now + wantedValidMs });
        account.granted = gone + held + units;
        pool.held.set(holder, { units: held + units, until: now + unitLeaseMs });
        return [customer, account.granted, units < missing ? this.computeWaitMs(pool, now) : 0];
    }

    private findPool(customer: string, now: number): Pool | undefined {
        const quota = this.dependencies.findQuota(customer);
        if (this.share === 0 || quota === undefined) {
            return undefined;
        }
        const known = this.pools.get(customer);
        if (known !== undefined) {
            return known;
        }
        const supply = computeSupply(quota, this.bounds);
        const pool: Pool = {
            quota,
            supply,
            free: 0,
            filledAt: this.shareRoseAt,
            held: new Map(),
            granted: 0,
            wanted: new Map(),
        };
        this.pools.set(customer, pool);
        this.fill(pool, now);
        return pool;
    }

    /** Lets units accrue up to the capacity, of which those at holders are a part. */
    private fill(pool: Pool, now: number): void {
        const elapsedMs = Math.max(0, now - pool.filledAt);
        pool.filledAt = now;
        const held = sumUnits(pool.held, now);
        const { perMs, capacity } = pool.supply;
        const room = Math.max(0, capacity * this.share - held);
        pool.free = Math.min(room, pool.free + elapsedMs * perMs * this.share);
    }

    /** Time in which all units that are wanted now accrue, in milliseconds. */
    private computeWaitMs(pool: Pool, now: number): number {
        const ratePerMs = pool.supply.perMs * this.share;
        const waitMs = (sumUnits(pool.wanted, now) - pool.free) / Math.max(ratePerMs, 1e-6);
        return Math.ceil(Math.min(maxWaitMs, Math.max(1, waitMs)));
    }

    private createStamp(now: number): string {
        return `${this.dependencies.processId} ${Math.floor(now)}`;
    }
}

/** Sums the units of all holders for which they count, and removes the others. */
function sumUnits(counts: Map<string, { units: number; until: number; }>, now: number): number {
    let sum = 0;
    for (const [holder, { units, until }] of counts) {
        if (units === 0 || until <= now) {
            counts.delete(holder);
        }
        else {
            sum += units;
        }
    }
    return sum;
}

/**
 * Share of the limits that a grantor has by the part of the nodes that support it, both from 0 to 1. For parts that add up
 * to 1 at most the shares do too. A quarter of the nodes can be lost without any loss of the limits.
 */
export function computeShare(part: number): number {
    return Math.min(1, Math.max(0, (part - lostPart) / (1 - 2 * lostPart)));
}
