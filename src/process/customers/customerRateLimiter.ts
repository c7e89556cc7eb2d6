/**
 * Distributed rate limiting by customer: how many requests of each customer this node admits.
 *
 * Each node has a small floor rate that needs no coordination, and leases shares of quota pools from their coordinators
 * (see `ShareCoordinator`). The leased shares follow the demand that each node sees.
 */
import type { ControlCaller } from "../../connection/control.js";
import type { Contract } from "../../version/contract.js";
import type { Member } from "../../version/member.js";
import { formatSlot } from "../../version/member.js";
import type { Clock } from "../base/clock.js";
import { TokenBucket } from "../base/rateLimit.js";
import { chooseCoordinators, floorShare, leaseDurationMs, poolCount } from "./shareCoordinator.js";

/** Interval at which demand is measured and leases are renewed, in milliseconds. */
const renewalIntervalMs = 500;
/** Remaining time of a lease below which it is renewed, in milliseconds. */
const renewBeforeExpiryMs = 2500;
/** Weight of the last interval in the demand while it falls; a rise counts in full at once. */
const demandFallWeight = 0.5;
/** Factor on the measured demand when a lease is requested. */
const demandHeadroom = 1.5;
/** Relative change of the demand at which a lease is renewed early. */
const minDemandChange = 0.3;
/** Timeout of the call that requests a lease, in milliseconds. */
const leaseRequestTimeoutMs = 500;
/** Time without requests after which a customer's state is removed, in milliseconds. */
const idleCustomerMs = 60_000;
/** Longest retry delay advised to a refused caller, in milliseconds. */
const maxRetryAfterMs = 5000;

/** Lease on a share of one quota pool. */
interface Lease {
    /** Requests per second that the lease admits. */
    readonly perSecond: number;
    /** On the monotonic clock, in milliseconds. */
    readonly expiresAt: number;
    /** Demand that the lease was requested for, in requests per second. */
    readonly demand: number;
}

/** State of one customer at this node. */
interface CustomerState {
    contract: Contract;
    readonly bucket: TokenBucket;
    /** Leases by the rank (index) of their pool. */
    readonly leases: (Lease | undefined)[];
    /** Ranks of the pools with a lease request in progress. */
    readonly pendingRanks: Set<number>;
    /** Coordinators of the pools, valid as long as the members that they were chosen from don't change. */
    cachedCoordinators: { readonly members: readonly Member[]; readonly coordinators: readonly Member[]; } | undefined;
    /** Requests since demand was last measured. */
    arrivals: number;
    /** Demand in requests per second: follows a rise at once and a fall as a moving average. */
    demand: number;
    lastRequestAt: number;
}

/** Dependencies of the rate limiter. */
export interface CustomerRateLimiterDependencies {
    readonly clock: Clock;
    readonly self: Member;
    readonly control: ControlCaller;
    /**
     * Members announced on the shared log; all nodes choose the same coordinators from them. Returns the same array
     * until they change.
     */
    readonly listAnnounced: () => readonly Member[];
}

/** Limits the rate of each customer's requests at this node. */
export class CustomerRateLimiter {
    private readonly customers = new Map<string, CustomerState>();

    constructor(private readonly dependencies: CustomerRateLimiterDependencies) {}

    /**
     * Takes one request from a customer's rate limit. Returns 0 if it is admitted, otherwise the advised retry delay
     * in milliseconds.
     */
    take(contract: Contract): number {
        const state = this.getState(contract);
        state.arrivals += 1;
        state.lastRequestAt = this.dependencies.clock.readMonotonic();
        if (state.bucket.take()) {
            return 0;
        }
        return Math.min(maxRetryAfterMs, state.bucket.computeWaitMs());
    }

    /** Requests per second that this node currently admits for a customer. */
    computeRate(customer: string): number {
        const state = this.customers.get(customer);
        return state === undefined ? 0 : this.computeTotalRate(state);
    }

    /** Measures demand and renews leases until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.dependencies.clock.sleep(renewalIntervalMs, signal);
            this.renewLeases();
        }
    }

    /** Updates the demand of each customer and requests the leases that are due. */
    renewLeases(): void {
        const now = this.dependencies.clock.readMonotonic();
        for (const [customer, state] of this.customers) {
            const currentRate = state.arrivals * 1000 / renewalIntervalMs;
            state.arrivals = 0;
            state.demand = Math.max(currentRate, state.demand + (currentRate - state.demand) * demandFallWeight);
            if (now - state.lastRequestAt > idleCustomerMs) {
                this.customers.delete(customer);
                continue;
            }
            this.requestLeases(state);
            this.applyRate(state);
        }
    }

    private getState(contract: Contract): CustomerState {
        const known = this.customers.get(contract.customer);
        if (known !== undefined) {
            if (known.contract !== contract) {
                known.contract = contract;
                this.applyRate(known);
            }
            return known;
        }
        const state: CustomerState = {
            contract,
            bucket: new TokenBucket(this.dependencies.clock, 0, 0),
            leases: Array.from({ length: poolCount }, () => undefined),
            pendingRanks: new Set(),
            cachedCoordinators: undefined,
            arrivals: 0,
            demand: 0,
            lastRequestAt: this.dependencies.clock.readMonotonic(),
        };
        this.customers.set(contract.customer, state);
        this.applyRate(state);
        state.bucket.add(this.computeInitialTokens(state));
        // The first request already counts as demand, so that a lease arrives before the floor's burst is used up.
        state.demand = this.computeFloorRate(state) * 2;
        this.requestLeases(state);
        return state;
    }

    /** Requests the leases that are due. Demand within the floor rate needs none. */
    private requestLeases(state: CustomerState): void {
        const now = this.dependencies.clock.readMonotonic();
        const wantedRate = state.demand * demandHeadroom;
        if (wantedRate <= this.computeFloorRate(state)) {
            return;
        }
        const coordinators = this.findCoordinators(state);
        const demandPerPool = wantedRate / Math.max(1, coordinators.length);
        for (const [rank, coordinator] of coordinators.entries()) {
            const lease = state.leases[rank];
            const isDue = lease === undefined || lease.expiresAt - now < renewBeforeExpiryMs
                || Math.abs(demandPerPool - lease.demand) > lease.demand * minDemandChange;
            if (isDue && !state.pendingRanks.has(rank)) {
                void this.requestLease(state, rank, coordinator, demandPerPool);
            }
        }
    }

    private async requestLease(state: CustomerState, rank: number, coordinator: Member, demand: number): Promise<void> {
        const { clock, control, self } = this.dependencies;
        const requestedAt = clock.readMonotonic();
        const held = this.findValidLease(state, rank)?.perSecond ?? 0;
        const { customer } = state.contract;
        state.pendingRanks.add(rank);
        const request = { slot: formatSlot(self), customer, rank, demand, held };
        const reply = await control.call(formatSlot(coordinator), "requestShare", request, leaseRequestTimeoutMs);
        state.pendingRanks.delete(rank);
        if (reply.ok) {
            // The lease counts from before the request, so it expires here no later than at the coordinator.
            state.leases[rank] = { perSecond: reply.value.perSecond, expiresAt: requestedAt + leaseDurationMs, demand };
            this.applyRate(state);
        }
    }

    /** Chooses again only when the members have changed, since the choice hashes every one of them. */
    private findCoordinators(state: CustomerState): readonly Member[] {
        const members = this.dependencies.listAnnounced();
        if (state.cachedCoordinators?.members !== members) {
            state.cachedCoordinators = { members, coordinators: chooseCoordinators(members, state.contract.customer) };
        }
        return state.cachedCoordinators.coordinators;
    }

    private findValidLease(state: CustomerState, rank: number): Lease | undefined {
        const lease = state.leases[rank];
        return lease !== undefined && lease.expiresAt > this.dependencies.clock.readMonotonic() ? lease : undefined;
    }

    private computeFloorRate(state: CustomerState): number {
        const nodes = Math.max(1, this.dependencies.listAnnounced().length);
        return state.contract.allowance.requestsPerSecond * floorShare / nodes;
    }

    /**
     * The floor's part of the burst; at least one request, so that a node's first request is not refused without need.
     */
    private computeInitialTokens(state: CustomerState): number {
        const { requestsPerSecond, burst } = state.contract.allowance;
        return requestsPerSecond === 0 ? 0 : Math.max(1, this.computeFloorRate(state) / requestsPerSecond * burst);
    }

    private computeTotalRate(state: CustomerState): number {
        const leased = state.leases.map((_lease, rank) => this.findValidLease(state, rank)?.perSecond ?? 0);
        return this.computeFloorRate(state) + leased.reduce((sum, perSecond) => sum + perSecond, 0);
    }

    /** Applies the current rate to the token bucket. The burst is divided between the nodes like the rate. */
    private applyRate(state: CustomerState): void {
        const rate = this.computeTotalRate(state);
        const { requestsPerSecond, burst } = state.contract.allowance;
        const share = requestsPerSecond === 0 ? 0 : rate / requestsPerSecond;
        state.bucket.setRate(rate, requestsPerSecond === 0 ? 0 : Math.max(1, burst * share));
    }
}
