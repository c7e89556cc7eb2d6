/**
 * Customers of a routed node: their keys, priorities and quotas, as a version of the configuration states them.
 *
 * Keys are kept as digests, so that they are found in constant time and no dump of the table shows one.
 */
import { hash } from "node:crypto";

/** Rate at which all nodes together admit a customer's requests. */
export interface Quota {
    readonly requestsPerSecond: number;
    /** Requests that may come at once in addition to that rate. */
    readonly burst: number;
}

/** One customer. */
export interface Customer {
    readonly name: string;
    /** Priority of its requests, which replaces that of their routes; 0 is the most urgent. */
    readonly priority: number | undefined;
    /** `undefined` if its rate is not limited. */
    readonly quota: Quota | undefined;
}

/** A customer and its keys, as the configuration lists them. */
export interface CustomerEntry extends Customer {
    readonly keys: readonly string[];
}

/** Finds customers by key. */
export class CustomerTable {
    private readonly customersByDigest = new Map<string, Customer>();
    private readonly customersByName = new Map<string, Customer>();
    private readonly averageQuotaPerSecond: number;

    constructor(entries: readonly CustomerEntry[]) {
        for (const { keys, ...customer } of entries) {
            this.customersByName.set(customer.name, customer);
            for (const key of keys) {
                this.customersByDigest.set(computeKeyDigest(key), customer);
            }
        }
        const quotas = entries.flatMap(({ quota }) => quota === undefined ? [] : [quota.requestsPerSecond]);
        this.averageQuotaPerSecond = quotas.reduce((sum, quota) => sum + quota, 0) / Math.max(1, quotas.length);
    }

    /** Finds the customer that holds a key; `undefined` if none does. */
    findByKey(key: string): Customer | undefined {
        return this.customersByDigest.get(computeKeyDigest(key));
    }

    /** Lists the customers with a quota. */
    listLimited(): readonly Customer[] {
        return [...this.customersByName.values()].filter(customer => customer.quota !== undefined);
    }

    /** Finds a customer by its name; `undefined` if the configuration does not list it. */
    findByName(name: string): Customer | undefined {
        return this.customersByName.get(name);
    }

    /**
     * Weight of a customer where customers compete. The operator's quota says how much is usual for one: a customer with
     * a larger quota than the average has a weight in proportion, every other one has 1, so that no small one waits long.
     */
    getWeight(name: string): number {
        const perSecond = this.customersByName.get(name)?.quota?.requestsPerSecond ?? 0;
        return this.averageQuotaPerSecond === 0 ? 1 : Math.max(1, perSecond / this.averageQuotaPerSecond);
    }
}

function computeKeyDigest(key: string): string {
    return hash("sha256", key, "base64");
}
