/**
 * Quotas of customers over all nodes: which nodes grant units, and this node's part in it.
 *
 * Customers are divided into groups by a hash of their names. Each group has one grantor, the first node by rendezvous
 * hashing that the nodes can reach. So a node has few others to ask, and a lost grantor concerns few customers. Nothing is
 * sent or kept while no customer has a quota.
 */
import type { Customer, Quota } from "../../version/customer.js";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { InstanceRegistry } from "../membership/instanceRegistry.js";
import { computeRank } from "../membership/instanceSubset.js";
import type { QuotaBounds } from "./quotaBound.js";
import { SuspensionDetector } from "./suspensionDetector.js";
import { UnitGrantor } from "./unitGrantor.js";
import type { SpentUnit, TakeResult } from "./unitHolder.js";
import { UnitHolder } from "./unitHolder.js";
import type { AskUnitsMessage, GrantUnitsMessage } from "./unitMessages.js";

/** Groups of customers. */
export const groupCount = 4;
/** Interval at which what is due is done, in milliseconds. */
const updateIntervalMs = 100;
/** Customers that are shown in the metrics of a node; the counts of the others are summed. */
const maxShownCustomers = 20;

/** Requests of one customer at this node. */
export interface CustomerCount {
    readonly customer: string;
    /** Requests a second of all nodes together; 0 for the sum of the customers that aren't shown. */
    readonly limit: number;
    readonly used: number;
    readonly refused: number;
    /** Units that this node granted to others and to itself. */
    readonly granted: number;
}

/** Dependencies of the quotas. */
export interface CustomerQuotasDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly address: string;
    /** Names this process among all that run at the address one after the other. */
    readonly processId: string;
    readonly isFirstStart: boolean;
    readonly registry: Pick<InstanceRegistry, "list" | "count" | "countChanges">;
    /** Lists the customers with a quota of the configuration in force. */
    readonly listLimited: () => readonly Customer[];
    readonly findQuota: (customer: string) => Quota | undefined;
    readonly isLinked: (address: string) => boolean;
    readonly post: (address: string, message: AskUnitsMessage) => void;
}

/** Admits requests of customers with a quota. */
export class CustomerQuotas {
    private readonly holders: readonly UnitHolder[];
    private readonly grantors: readonly UnitGrantor[];
    private readonly candidates = new Map<number, readonly string[]>();
    private candidatesOf = -1;
    private readonly suspension: SuspensionDetector;
    /** Quotas of the version before, by customer. */
    private quotas = new Map<string, Quota>();
    private usedGroups: ReadonlySet<number> = new Set();
    private readonly counts = new Map<string, { used: number; refused: number; }>();

    constructor(private readonly dependencies: CustomerQuotasDependencies, bounds: QuotaBounds) {
        const { clock, random, processId, isFirstStart, findQuota, isLinked, address } = dependencies;
        const groups = Array.from({ length: groupCount }, (_, group) => group);
        const countNodes = (): number => this.countNodes();
        this.suspension = new SuspensionDetector(clock);
        this.grantors = groups.map(() => new UnitGrantor({ clock, processId, findQuota, countNodes }, bounds));
        this.holders = groups.map(group =>
            new UnitHolder({
                clock,
                random,
                group,
                listCandidates: () => this.listCandidates(group),
                isLinked: other => other === address || isLinked(other),
                send: (grantor, message) => this.send(grantor, message),
                countNodes,
                isFirstStart,
            })
        );
    }

    /** Takes a unit for a request; waits for one for `maxWaitMs` at most. */
    async take(customer: string, maxWaitMs: number): Promise<TakeResult> {
        this.checkSuspension();
        const result = await this.holders[computeGroup(customer)]!.take(customer, maxWaitMs);
        const count = this.counts.get(customer) ?? { used: 0, refused: 0 };
        this.counts.set(customer, count);
        count[result.kind === "granted" ? "used" : "refused"] += 1;
        return result;
    }

    /** Gives back a unit whose request ran nowhere. */
    releaseUnit(unit: SpentUnit): void {
        this.holders[computeGroup(unit.customer)]!.releaseUnit(unit);
    }

    /** Answers a message of another node, or of the own holder. */
    answer(holder: string, message: AskUnitsMessage): GrantUnitsMessage | undefined {
        this.checkSuspension();
        return this.grantors[message.group]?.receive(holder, message);
    }

    /** Handles the answer of a grantor. */
    receive(grantor: string, message: GrantUnitsMessage): void {
        this.holders[message.group]?.receive(grantor, message);
    }

    /** Applies the quotas of a new version of the configuration. */
    updateQuotas(): void {
        const limited = this.dependencies.listLimited();
        const quotas = new Map(limited.map(({ name, quota }) => [name, quota!]));
        for (const [customer, before] of this.quotas) {
            const quota = quotas.get(customer);
            if (
                quota === undefined || quota.requestsPerSecond < before.requestsPerSecond || quota.burst < before.burst
            ) {
                this.holders[computeGroup(customer)]!.forgetSession();
            }
        }
        this.quotas = quotas;
        this.usedGroups = new Set(limited.map(({ name }) => computeGroup(name)));
        this.grantors.forEach(grantor => grantor.updateQuotas());
        this.counts.forEach((_, customer) => quotas.has(customer) || this.counts.delete(customer));
    }

    /** Replaces the bound. */
    setBounds(bounds: QuotaBounds): void {
        this.grantors.forEach(grantor => grantor.setBounds(bounds));
    }

    /** Addresses to which links are needed. */
    listLinkedAddresses(): readonly string[] {
        return this.holders.flatMap((holder, group) => this.usedGroups.has(group) ? holder.listLinkedCandidates() : []);
    }

    /** Does what is due at intervals until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.dependencies.clock.sleepToTick(updateIntervalMs, signal);
            if (this.usedGroups.size > 0) {
                this.update();
            }
        }
    }

    /** Does what is due. */
    update(): void {
        this.checkSuspension();
        this.holders.forEach((holder, group) => holder.update(this.usedGroups.has(group)));
    }

    /** Counts of the customers with most requests here, the others summed under the name "other". */
    listCounts(): readonly CustomerCount[] {
        const granted = new Map(
            this.grantors.flatMap(grantor => grantor.listCounts()).map(pool => [pool.customer, pool.granted]),
        );
        const counts = [...this.quotas].map(([customer, { requestsPerSecond }]): CustomerCount => ({
            customer,
            limit: requestsPerSecond,
            ...this.counts.get(customer) ?? { used: 0, refused: 0 },
            granted: granted.get(customer) ?? 0,
        }));
        const busiest = counts.sort((a, b) => b.used + b.refused - a.used - a.refused);
        const rest = busiest.slice(maxShownCustomers);
        const sum = (read: (count: CustomerCount) => number): number =>
            rest.reduce((total, count) => total + read(count), 0);
        const other: CustomerCount = {
            customer: "other",
            limit: 0,
            used: sum(count => count.used),
            refused: sum(count => count.refused),
            granted: sum(count => count.granted),
        };
        return rest.length === 0 ? busiest : [...busiest.slice(0, maxShownCustomers), other];
    }

    /** Part of the limits that this node has to grant, by group. */
    listShares(): readonly number[] {
        return this.grantors.map(grantor => grantor.getShare());
    }

    private send(grantor: string, message: AskUnitsMessage): void {
        if (grantor !== this.dependencies.address) {
            this.dependencies.post(grantor, message);
            return;
        }
        this.receive(grantor, this.answer(grantor, message)!);
    }

    private checkSuspension(): void {
        if (this.suspension.checkSuspended()) {
            this.grantors.forEach(grantor => grantor.forgetAll());
            this.holders.forEach(holder => holder.forgetAll());
        }
    }

    private countNodes(): number {
        return Math.max(1, this.dependencies.registry.count());
    }

    /** Addresses by their rank for a group; an unchanged registry is not ranked again. */
    private listCandidates(group: number): readonly string[] {
        const { registry, address } = this.dependencies;
        if (this.candidatesOf !== registry.countChanges()) {
            this.candidatesOf = registry.countChanges();
            this.candidates.clear();
        }
        let ranked = this.candidates.get(group);
        if (ranked === undefined) {
            const addresses = new Set([address, ...registry.list().map(record => record.address)]);
            ranked = [...addresses]
                .map(each => ({ each, rank: computeRank(`quotas/${group}`, each) }))
                .sort((a, b) => a.rank - b.rank)
                .map(({ each }) => each);
            this.candidates.set(group, ranked);
        }
        return ranked;
    }
}

function computeGroup(customer: string): number {
    return computeRank("quotas", customer) % groupCount;
}
