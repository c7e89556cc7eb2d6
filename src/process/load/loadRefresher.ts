/**
 * Refreshes the loads by which instances are chosen: pings instances whose load is old, at most in proportion to the
 * requests. The decisions are separate from input and output, which are the two callbacks.
 *
 * Load patterns handled:
 *
 * - Hundreds of nodes with a few requests a second each: a node seldom has a recent load of the instances that it could
 *   choose. Before it sends, it pings a few of them and waits for the first answers, which takes one round trip.
 * - Steady traffic: loads arrive with answers, and nothing is pinged.
 * - Instances that were lost without a sign: they don't answer the ping, so that a request that must not run twice is not
 *   sent there.
 */
import type { InstanceRecord } from "../../version/instanceRecord.js";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";

/** Age of a load from which on it is refreshed, in milliseconds. */
const refreshAgeMs = 1000;
/** Number of instances with a recent load with which a request is not held up. */
const enoughRecentLoads = 2;
/** Longest time that a request waits for recent loads, in milliseconds. */
const maxWaitMs = 30;
/** Time after a ping in which its instance isn't pinged again, in milliseconds. */
const pingIntervalMs = 150;

/** Dependencies of the refresher. */
export interface LoadRefresherDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly dataCentre: string;
    /** Returns the age of the load of an instance in milliseconds; infinite if none is known. */
    readonly getLoadAgeMs: (address: string) => number;
    /** Asks an instance for its load; false if there is no link to it. */
    readonly ping: (address: string) => boolean;
}

/** Keeps the loads of the instances that requests may be sent to recent. */
export class LoadRefresher {
    private readonly pingedAt = new Map<string, number>();
    /** Callbacks of requests that wait for a load. */
    private readonly waiters = new Set<(address: string) => void>();

    constructor(private readonly dependencies: LoadRefresherDependencies) {}

    /** Resolves as soon as enough of these instances have a recent load, or the wait for that is over. */
    async refresh(records: readonly InstanceRecord[]): Promise<void> {
        const { getLoadAgeMs } = this.dependencies;
        const old = records.filter(record => getLoadAgeMs(record.address) > refreshAgeMs);
        const recent = records.length - old.length;
        if (recent >= enoughRecentLoads || old.length === 0) {
            return;
        }
        const pinged = this.pingFirst(this.shuffleLocalFirst(old), enoughRecentLoads - recent);
        if (pinged.length > 0) {
            await this.waitForLoads(new Set(pinged), pinged.length);
        }
    }

    /** Called when the load of an instance has arrived. */
    recordLoad(address: string): void {
        for (const notify of this.waiters) {
            notify(address);
        }
    }

    /** Pings up to `count` of these instances and returns the addresses whose loads are on their way. */
    private pingFirst(records: readonly InstanceRecord[], count: number): string[] {
        const now = this.dependencies.clock.readMonotonic();
        const awaited: string[] = [];
        for (const { address } of records) {
            if (awaited.length >= count) {
                break;
            }
            const sinceLastMs = now - (this.pingedAt.get(address) ?? -Infinity);
            if (sinceLastMs < pingIntervalMs) {
                // A ping that was not answered within the wait says that the instance can't be relied on.
                if (sinceLastMs < maxWaitMs) {
                    awaited.push(address);
                }
                continue;
            }
            if (this.dependencies.ping(address)) {
                this.pingedAt.set(address, now);
                awaited.push(address);
            }
        }
        return awaited;
    }

    private waitForLoads(addresses: ReadonlySet<string>, count: number): Promise<void> {
        return new Promise(resolve => {
            let missing = count;
            const end = (): void => {
                timer.stop();
                this.waiters.delete(notify);
                resolve();
            };
            const notify = (address: string): void => {
                missing -= addresses.has(address) ? 1 : 0;
                if (missing <= 0) {
                    end();
                }
            };
            const timer = this.dependencies.clock.startTimer(maxWaitMs, end);
            this.waiters.add(notify);
        });
    }

    /** Random order, with the instances of the own data centre first. */
    private shuffleLocalFirst(records: readonly InstanceRecord[]): InstanceRecord[] {
        const { random, dataCentre } = this.dependencies;
        return records
            .map(record => ({ record, order: random() + (record.dataCentre === dataCentre ? 0 : 1) }))
            .sort((a, b) => a.order - b.order)
            .map(({ record }) => record);
    }
}
