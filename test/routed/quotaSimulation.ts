/** Nodes with quotas in virtual time, on a network with delays, losses, cuts, deaths and clock steps. */
import type { Clock } from "../../src/process/base/clock.js";
import { CustomerQuotas } from "../../src/process/customers/customerQuotas.js";
import type { QuotaBounds } from "../../src/process/customers/quotaBound.js";
import { computeMaxRequests } from "../../src/process/customers/quotaBound.js";
import type { AskUnitsMessage } from "../../src/process/customers/unitMessages.js";
import type { Customer, Quota } from "../../src/version/customer.js";
import type { InstanceRecord } from "../../src/version/instanceRecord.js";
import type { Random } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

export const bounds: QuotaBounds = { windowMs: 5000, overage: 0.1, slack: 20 };
const updateIntervalMs = 100;
const linkLossSeenAfterMs = 500;

/** One place for a process. */
export interface Place {
    readonly address: string;
    quotas: CustomerQuotas;
    life: number;
    isAlive: boolean;
    /** Places with different sides don't reach each other. */
    side: number;
    sideSince: number;
    dateOffsetMs: number;
    /** Time that the monotonic clock did not count, since the machine was suspended. */
    lagMs: number;
    suspendedUntil: number;
    limits: Map<string, Quota>;
    /** Records that the node knows; it is replaced when they change. */
    records: readonly InstanceRecord[];
    changes: number;
}

/** A customer's quota at one place for a time. */
interface QuotaPeriod {
    readonly customer: string;
    readonly quota: Quota;
    readonly from: number;
    until: number;
}

/** Nodes that admit requests of customers with a quota. */
export class QuotaSimulation {
    readonly clock = new FakeClock();
    readonly places: Place[] = [];
    /** Times at which requests were admitted, by customer. */
    readonly admitted = new Map<string, number[]>();
    readonly refused = new Map<string, number>();
    /** Quotas that any node had, and when. */
    private readonly periods: QuotaPeriod[] = [];
    messages = 0;
    lossShare = 0;
    maxDelayMs = 3;
    maxWaitMs = 600;
    /** Part of the admitted requests that run nowhere and give their unit back. */
    unrunShare = 0;

    constructor(readonly random: Random, nodes: number, limits: Map<string, Quota>, isFirstStart = true) {
        for (let index = 0; index < nodes; index += 1) {
            this.places.push(this.createPlace(index, limits));
        }
        const records = this.places.map(({ address }) => ({ address }) as InstanceRecord);
        for (const place of this.places) {
            place.records = records;
            this.start(place, isFirstStart);
            this.recordPeriods(place);
        }
    }

    /** Adds a node that knows the others; they hear of it within a second. */
    addPlace(): void {
        const place = this.createPlace(this.places.length, this.places[0]!.limits);
        this.places.push(place);
        place.records = this.places.map(({ address }) => ({ address }) as InstanceRecord);
        for (const other of this.places) {
            this.clock.startTimer(this.random() * 1000, () => {
                other.records = place.records;
                other.changes += 1;
            });
        }
        this.start(place, false);
        this.recordPeriods(place);
    }

    /** Moves the time on. */
    async run(milliseconds: number, stepMs = 1): Promise<void> {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMs) {
            this.clock.addTime(stepMs);
            await Promise.resolve();
        }
    }

    /** Sends requests of a customer to places drawn unevenly, as a Poisson process, for as long as `isOn` says. */
    sendRequests(customer: string, perSecond: () => number): void {
        const step = (): void => {
            const rate = perSecond();
            this.clock.startTimer(-Math.log(1 - this.random()) * 1000 / Math.max(rate, 1), () => {
                if (this.random() < rate) {
                    // Square: the first places get most.
                    this.request(customer, this.places[Math.floor(this.random() ** 1.5 * this.places.length)]!);
                }
                step();
            });
        };
        step();
    }

    request(customer: string, place: Place): void {
        const isSuspended = place.suspendedUntil > this.clock.readMonotonic();
        if (!place.isAlive || isSuspended || !place.limits.has(customer)) {
            return;
        }
        const { quotas, lagMs } = place;
        void quotas.take(customer, this.maxWaitMs).then(result => {
            if (result.kind === "none") {
                this.refused.set(customer, (this.refused.get(customer) ?? 0) + 1);
                return;
            }
            if (this.random() < this.unrunShare) {
                this.clock.startTimer(this.random() * 400, () => quotas.releaseUnit(result.unit));
                return;
            }
            const times = this.admitted.get(customer) ?? [];
            this.admitted.set(customer, times);
            times.push(result.unit.spentAt + lagMs);
        });
    }

    endLife(place: Place, downMs: number): void {
        place.isAlive = false;
        place.life += 1;
        const { life } = place;
        this.clock.startTimer(downMs, () => {
            if (place.life === life) {
                this.start(place, false, this.random() * downMs);
            }
        });
    }

    putOnSide(place: Place, side: number): void {
        place.side = side;
        place.sideSince = this.clock.readMonotonic();
    }

    /** Gives a place a new version of the limits. */
    setLimits(place: Place, limits: Map<string, Quota>): void {
        const now = this.clock.readMonotonic();
        const before = [...place.limits];
        place.limits = limits;
        // Periods are not kept by place: the newest of an equal quota ends, whichever place it was recorded for.
        for (const [customer, quota] of before) {
            const period = this.periods.find(each =>
                each.customer === customer && each.quota === quota && each.until === Infinity
            );
            period!.until = now;
        }
        this.recordPeriods(place);
        place.quotas.updateQuotas();
    }

    /** Stops a machine and its steady clock for a time. */
    stopMachine(place: Place, milliseconds: number): void {
        if (place.suspendedUntil <= this.clock.readMonotonic()) {
            place.suspendedUntil = this.clock.readMonotonic() + milliseconds;
            place.lagMs += milliseconds;
        }
    }

    countAdmitted(): number {
        return [...this.admitted.values()].reduce((sum, times) => sum + times.length, 0);
    }

    /** Windows of a customer in which more requests ran than its largest quota of that time allows, one a line. */
    findExcesses(customer: string): string[] {
        const times = (this.admitted.get(customer) ?? []).sort((a, b) => a - b);
        const excesses: string[] = [];
        let last = 0;
        for (const [first, from] of times.entries()) {
            while (last < times.length && times[last]! < from + bounds.windowMs) {
                last += 1;
            }
            const inForce = this.periods.filter(period =>
                period.customer === customer && period.until >= from && period.from < from + bounds.windowMs
            );
            const allowed = Math.max(0, ...inForce.map(period => computeMaxRequests(period.quota, bounds)));
            if (last - first > allowed) {
                excesses.push(`${customer}: ${last - first} from ${from}, ${allowed} allowed`);
            }
        }
        return excesses;
    }

    private createPlace(index: number, limits: Map<string, Quota>): Place {
        return {
            address: `10.0.${index >> 6}.${index & 63}`,
            quotas: undefined as unknown as CustomerQuotas,
            life: 0,
            isAlive: true,
            side: 0,
            sideSince: -1e9,
            dateOffsetMs: 0,
            lagMs: 0,
            suspendedUntil: 0,
            limits,
            records: [],
            changes: 0,
        };
    }

    private recordPeriods(place: Place): void {
        for (const [customer, quota] of place.limits) {
            this.periods.push({ customer, quota, from: this.clock.readMonotonic(), until: Infinity });
        }
    }

    /** Starts a process, whose code begins to run `startMs` milliseconds after the process. */
    private start(place: Place, isFirstStart: boolean, startMs = 0): void {
        place.isAlive = true;
        const processStart = this.clock.readMonotonic() - place.lagMs - startMs;
        const clock: Clock = {
            readMonotonic: () => this.clock.readMonotonic() - place.lagMs,
            readDate: () => new Date(this.clock.readMonotonic() + place.dateOffsetMs),
            readProcessStart: () => processStart,
            startTimer: (milliseconds, expire) => this.clock.startTimer(milliseconds, expire),
            sleep: milliseconds => this.clock.sleep(milliseconds),
            sleepToTick: milliseconds => this.clock.sleepToTick(milliseconds),
        };
        const quotas = new CustomerQuotas({
            clock,
            random: this.random,
            address: place.address,
            processId: `${place.address}/${place.life}`,
            isFirstStart,
            registry: {
                list: () => [...place.records],
                count: () => place.records.length,
                countChanges: () => place.changes,
            },
            listLimited: () => [...place.limits].map(([name, quota]): Customer => ({ name, priority: 0, quota })),
            findQuota: customer => place.limits.get(customer),
            isLinked: address => this.isLinked(place, this.find(address)),
            post: (address, message) => this.post(place, this.find(address), message),
        }, bounds);
        place.quotas = quotas;
        quotas.updateQuotas();
        const { life } = place;
        const update = (): void => {
            if (place.isAlive && place.life === life) {
                const suspendedMs = Math.max(0, place.suspendedUntil - this.clock.readMonotonic());
                if (suspendedMs === 0) {
                    quotas.update();
                }
                this.clock.startTimer(Math.max(updateIntervalMs, suspendedMs), update);
            }
        };
        this.clock.startTimer(this.random() * updateIntervalMs, update);
    }

    private post(from: Place, to: Place, message: AskUnitsMessage): void {
        const { life } = from;
        const { life: lifeThere } = to;
        this.deliver(from, to, () => {
            if (to.life !== lifeThere) {
                return;
            }
            const answer = to.quotas.answer(from.address, message);
            this.deliver(to, from, () => {
                if (from.life === life) {
                    from.quotas.receive(to.address, answer!);
                }
            });
        });
    }

    private deliver(from: Place, to: Place, arrive: () => void): void {
        this.messages += 1;
        const isLost = this.random() < this.lossShare;
        // A lost packet is sent again by the transport, or the connection breaks.
        const delayMs = (isLost ? 300 : 1) + this.random() * this.maxDelayMs;
        if (isLost && this.random() < 0.5) {
            return;
        }
        const suspendedMs = Math.max(0, to.suspendedUntil - this.clock.readMonotonic());
        this.clock.startTimer(delayMs + suspendedMs, () => {
            if (to.isAlive && to.side === from.side) {
                arrive();
            }
        });
    }

    private isLinked(from: Place, to: Place): boolean {
        const now = this.clock.readMonotonic();
        const isCutSeen = from.side !== to.side && now - Math.max(from.sideSince, to.sideSince) > linkLossSeenAfterMs;
        return to.isAlive && !isCutSeen;
    }

    private find(address: string): Place {
        return this.places.find(place => place.address === address)!;
    }
}
