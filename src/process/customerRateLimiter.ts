/**
 * Load that customers may bring to the whole system, as far as this node lets it in: a small floor that needs no agreement,
 * and leased shares of the pools that {@link ShareCoordinator} describes. Shares follow the demand that each node sees.
 */
import type { ControlCaller } from "../connection/control.js";
import type { Contract } from "../version/contract.js";
import type { Member } from "../version/member.js";
import { formatSlot } from "../version/member.js";
import type { Clock } from "./clock.js";
import { TokenBucket } from "./rateLimit.js";
import { chooseCoordinators, floorShare, leaseMs, poolCount } from "./shareCoordinator.js";

/** Time between looks at the shares, in milliseconds. */
const intervalMs = 500;
/** Time left of a lease at which it is renewed, in milliseconds. */
const renewMs = 2500;
/** Weight of the last interval in the average demand. */
const demandWeight = 0.5;
/** Room above the demand that is asked for. */
const headroom = 1.5;
/** Change of the demand that is asked for before a lease needs renewal. */
const changeShare = 0.3;
/** Time for a request for a share, in milliseconds. */
const requestTimeoutMs = 500;
/** Time without requests after which a customer is forgotten, in milliseconds. */
const forgetMs = 60_000;
/** Longest time that a caller is told to wait, in milliseconds. */
const maxWaitMs = 5000;

/** A leased share of one pool. */
interface Lease {
    readonly perSecond: number;
    readonly expiresAt: number;
    /** Demand that the lease was asked for with. */
    readonly demand: number;
}

/** One customer as this node sees it. */
interface Account {
    contract: Contract;
    readonly bucket: TokenBucket;
    /** Leases by rank of their pool. */
    readonly leases: (Lease | undefined)[];
    readonly pending: Set<number>;
    /** Coordinators of the pools, and the members that they were chosen from. */
    choice: { readonly members: readonly Member[]; readonly coordinators: readonly Member[]; } | undefined;
    arrivals: number;
    demand: number;
    usedAt: number;
}

/** What the allowances need from the rest of the node. */
export interface CustomerRateLimiterDependencies {
    readonly clock: Clock;
    readonly self: Member;
    readonly control: ControlCaller;
    /** Members announced on the log; all nodes choose the same coordinators from them. The same array until they change. */
    readonly listAnnounced: () => readonly Member[];
}

/** Allowances by customer. */
export class CustomerRateLimiter {
    private readonly accounts = new Map<string, Account>();

    constructor(private readonly dependencies: CustomerRateLimiterDependencies) {}

    /** Takes one request from a customer's allowance. Returns 0, or the time until there is room in milliseconds. */
    take(contract: Contract): number {
        const account = this.getAccount(contract);
        account.arrivals += 1;
        account.usedAt = this.dependencies.clock.readMonotonic();
        if (account.bucket.take()) {
            return 0;
        }
        return Math.min(maxWaitMs, account.bucket.computeWaitMs());
    }

    /** Requests a second that this node now lets in for a customer. */
    computeRate(customer: string): number {
        const account = this.accounts.get(customer);
        return account === undefined ? 0 : this.computeAccountRate(account);
    }

    /** Renews shares until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.dependencies.clock.sleep(intervalMs, signal);
            this.renewLeases();
        }
    }

    /** Takes the demand of the last interval into account and asks for the shares that are due. */
    renewLeases(): void {
        const now = this.dependencies.clock.readMonotonic();
        for (const [customer, account] of this.accounts) {
            const current = account.arrivals * 1000 / intervalMs;
            account.arrivals = 0;
            account.demand = Math.max(current, account.demand + (current - account.demand) * demandWeight);
            if (now - account.usedAt > forgetMs) {
                this.accounts.delete(customer);
                continue;
            }
            this.askForShares(account);
            this.applyRate(account);
        }
    }

    private getAccount(contract: Contract): Account {
        const known = this.accounts.get(contract.customer);
        if (known !== undefined) {
            if (known.contract !== contract) {
                known.contract = contract;
                this.applyRate(known);
            }
            return known;
        }
        const account: Account = {
            contract,
            bucket: new TokenBucket(this.dependencies.clock, 0, 0),
            leases: Array.from({ length: poolCount }, () => undefined),
            pending: new Set(),
            choice: undefined,
            arrivals: 0,
            demand: 0,
            usedAt: this.dependencies.clock.readMonotonic(),
        };
        this.accounts.set(contract.customer, account);
        this.applyRate(account);
        account.bucket.add(this.computeFirstTokens(account));
        // The first request already shows demand; a lease is there before the floor's burst is used up.
        account.demand = this.computeFloor(account) * 2;
        this.askForShares(account);
        return account;
    }

    private askForShares(account: Account): void {
        const now = this.dependencies.clock.readMonotonic();
        const wanted = account.demand * headroom;
        if (wanted <= this.computeFloor(account)) {
            return;
        }
        const coordinators = this.findCoordinators(account);
        const perPool = wanted / Math.max(1, coordinators.length);
        for (const [rank, coordinator] of coordinators.entries()) {
            const lease = account.leases[rank];
            const isDue = lease === undefined || lease.expiresAt - now < renewMs
                || Math.abs(perPool - lease.demand) > lease.demand * changeShare;
            if (isDue && !account.pending.has(rank)) {
                void this.askCoordinator(account, rank, coordinator, perPool);
            }
        }
    }

    private async askCoordinator(account: Account, rank: number, coordinator: Member, demand: number): Promise<void> {
        const { clock, control, self } = this.dependencies;
        const askedAt = clock.readMonotonic();
        const held = this.findLease(account, rank)?.perSecond ?? 0;
        const { customer } = account.contract;
        account.pending.add(rank);
        const request = { slot: formatSlot(self), customer, rank, demand, held };
        const reply = await control.call(formatSlot(coordinator), "requestShare", request, requestTimeoutMs);
        account.pending.delete(rank);
        if (reply.ok) {
            // The lease counts from before the request, so it ends here no later than at the coordinator.
            account.leases[rank] = { perSecond: reply.value.perSecond, expiresAt: askedAt + leaseMs, demand };
            this.applyRate(account);
        }
    }

    /** Chooses anew only when the members have changed: the choice hashes every one of them. */
    private findCoordinators(account: Account): readonly Member[] {
        const members = this.dependencies.listAnnounced();
        if (account.choice?.members !== members) {
            account.choice = { members, coordinators: chooseCoordinators(members, account.contract.customer) };
        }
        return account.choice.coordinators;
    }

    private findLease(account: Account, rank: number): Lease | undefined {
        const lease = account.leases[rank];
        return lease !== undefined && lease.expiresAt > this.dependencies.clock.readMonotonic() ? lease : undefined;
    }

    private computeFloor(account: Account): number {
        const nodes = Math.max(1, this.dependencies.listAnnounced().length);
        return account.contract.allowance.requestsPerSecond * floorShare / nodes;
    }

    /** The floor's part of the burst; at least one request, so that a node's first one is not refused for nothing. */
    private computeFirstTokens(account: Account): number {
        const { requestsPerSecond, burst } = account.contract.allowance;
        return requestsPerSecond === 0 ? 0 : Math.max(1, this.computeFloor(account) / requestsPerSecond * burst);
    }

    private computeAccountRate(account: Account): number {
        const leased = account.leases.map((_lease, rank) => this.findLease(account, rank)?.perSecond ?? 0);
        return this.computeFloor(account) + leased.reduce((sum, perSecond) => sum + perSecond, 0);
    }

    /** The burst is divided like the rate. */
    private applyRate(account: Account): void {
        const rate = this.computeAccountRate(account);
        const { requestsPerSecond, burst } = account.contract.allowance;
        const share = requestsPerSecond === 0 ? 0 : rate / requestsPerSecond;
        account.bucket.setRate(rate, requestsPerSecond === 0 ? 0 : Math.max(1, burst * share));
    }
}
