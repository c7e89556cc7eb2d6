/** Load that each customer may bring to the whole system, as far as this node lets it in. */
import type { Contract } from "../version/contract.js";
import type { Clock } from "./clock.js";
import { TokenBucket } from "./rateLimit.js";

/** Allowances by customer. */
export class Allowances {
    private readonly buckets = new Map<string, TokenBucket>();

    constructor(private readonly clock: Clock) {}

    /** Takes one request from a customer's allowance. Returns 0, or the time until there is room in milliseconds. */
    take(contract: Contract): number {
        const bucket = this.getBucket(contract);
        return bucket.take() ? 0 : bucket.computeWaitMs();
    }

    private getBucket(contract: Contract): TokenBucket {
        const { requestsPerSecond, burst } = contract.allowance;
        const known = this.buckets.get(contract.customer);
        if (known !== undefined) {
            known.setRate(requestsPerSecond, burst);
            return known;
        }
        const bucket = new TokenBucket(this.clock, requestsPerSecond, burst);
        this.buckets.set(contract.customer, bucket);
        return bucket;
    }
}
