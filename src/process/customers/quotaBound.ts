/**
 * Arithmetic of the bound on a customer's requests: what all grantors of units together may give, so that in no sliding
 * window more requests run than the platform allows.
 *
 * Per window, (rate x window + burst) x (1 + overage) + slack requests may run. Units accrue at the customer's rate.
 * The units that exist at one moment, at grantors and at holders, are at most the capacity, so that a window sees at most
 * rate x window + capacity of them. Two cases add rate x lease each: a new grantor gives units while those of the one before
 * are still held, and a unit that was spent comes back within its lease. What is left of the bound is the capacity.
 */
import type { Quota } from "../../version/customer.js";

/** Time for which a holder may use a unit after it asked for it, or give a spent one back, in milliseconds. */
export const unitLeaseMs = 250;
/** Leases in which more units may come about than accrue at one grantor; see the comment on the module. */
const overlappingLeases = 2;

/** The bound that the platform sets. */
export interface QuotaBounds {
    readonly windowMs: number;
    /** Part by which a customer's limit may be exceeded in a window. */
    readonly overage: number;
    /** Requests by which it may be exceeded in addition. */
    readonly slack: number;
}

/** Rate and capacity of the units of one customer. */
export interface UnitSupply {
    readonly perMs: number;
    /** Most units that exist at one moment. */
    readonly capacity: number;
}

/** Most requests of a customer that may run in one window. */
export function computeMaxRequests(quota: Quota, bounds: QuotaBounds): number {
    const limit = quota.requestsPerSecond * bounds.windowMs / 1000 + quota.burst;
    return limit * (1 + bounds.overage) + bounds.slack;
}

/** Computes the units of a customer. Below a capacity of one unit, which could never be granted, the rate shrinks. */
export function computeSupply(quota: Quota, bounds: QuotaBounds): UnitSupply {
    const maxRequests = computeMaxRequests(quota, bounds);
    const spanMs = bounds.windowMs + overlappingLeases * unitLeaseMs;
    const perMs = quota.requestsPerSecond / 1000;
    const capacity = maxRequests - perMs * spanMs;
    return capacity >= 1 ? { perMs, capacity } : { perMs: Math.max(0, (maxRequests - 1) / spanMs), capacity: 1 };
}
