/** Nodes with quotas in virtual time, on a network with delays, losses, cuts, deaths and clock steps. */
import type { Clock } from "../../src/process/base/clock.js";
import { CustomerQuotas } from "../../src/process/customers/customerQuotas.js";
import type { QuotaBounds } from "../../src/process/customers/quotaBound.js";
import type { AskUnitsMessage } from "../../src/process/customers/unitMessages.js";
import type { Customer, Quota } from "../../src/version/customer.js";
import type { InstanceRecord } from "../../src/version/instanceRecord.js";
import type { Random } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

export const bounds: QuotaBounds = { windowMs: 5000, overage: 0.1, slack: 20 };
const updateIntervalMs = 100;
const linkLossSeenAfterMs = 500;

/** One place for a process. */
interface Place {
    readonly address: string;
    quotas: CustomerQuotas;
    life: number;
    isAlive: boolean;
    /** Places with different sides don't reach each other. */
    side: number;
    sideSince: number;
    dateOffsetMs: number;
    limits: Map<string, Quota>;
}

/** Nodes that admit requests of customers with a quota. */
export class QuotaSimulation {
    readonly clock = new FakeClock();
    readonly places: Place[] = [];
    /** Times at which requests were admitted, by customer. */
    readonly admitted = new Map<string, number[]>();
    readonly refused = new Map<string, number>();
    messages = 0;
    lossShare = 0;
    maxDelayMs = 3;
    /** Part of the admitted requests that run nowhere and give their unit back. */
    unrunShare = 0;

    constructor(readonly random: Random, nodes: number, limits: Map<string, Quota>, isFirstStart = true) {
        for (let index = 0; index < nodes; index += 1) {
            const address = `10.0.${index >> 6}.${index & 63}`;
            const place = { address, life: 0, isAlive: true, side: 0, sideSince: -1e9, dateOffsetMs: 0, limits };
            this.places.push({ ...place, quotas: undefined as unknown as CustomerQuotas });
        }
        this.places.forEach(place => this.start(place, isFirstStart));
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
        if (!place.isAlive || !place.limits.has(customer)) {
            return;
        }
        const { quotas } = place;
        void quotas.take(customer, 400).then(result => {
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
            times.push(result.unit.spentAt);
        });
    }

    endLife(place: Place, downMs: number): void {
        place.isAlive = false;
        place.life += 1;
        const { life } = place;
        this.clock.startTimer(downMs, () => {
            if (place.life === life) {
                this.start(place, false);
            }
        });
    }

    putOnSide(place: Place, side: number): void {
        place.side = side;
        place.sideSince = this.clock.readMonotonic();
    }

    /** Gives a place a new version of the limits. */
    setLimits(place: Place, limits: Map<string, Quota>): void {
        place.limits = limits;
        place.quotas.updateQuotas();
    }

    private start(place: Place, isFirstStart: boolean): void {
        place.isAlive = true;
        const clock: Clock = {
            readMonotonic: () => this.clock.readMonotonic(),
            readDate: () => new Date(this.clock.readMonotonic() + place.dateOffsetMs),
            startTimer: (milliseconds, expire) => this.clock.startTimer(milliseconds, expire),
            sleep: milliseconds => this.clock.sleep(milliseconds),
        };
        const records = this.places.map(({ address }) => ({ address }) as InstanceRecord);
        const quotas = new CustomerQuotas({
            clock,
            random: this.random,
            address: place.address,
            processId: `${place.address}/${place.life}`,
            isFirstStart,
            registry: { list: () => records, count: () => records.length, countChanges: () => 1 },
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
                quotas.update();
                this.clock.startTimer(updateIntervalMs, update);
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
        this.clock.startTimer(delayMs, () => {
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

/** Most of the given times that lie in one window. */
export function findFullestWindow(times: readonly number[], windowMs: number): number {
    const sorted = [...times].sort((a, b) => a - b);
    let first = 0;
    let most = 0;
    for (const [last, time] of sorted.entries()) {
        while (time - sorted[first]! >= windowMs) {
            first += 1;
        }
        most = Math.max(most, last - first + 1);
    }
    return most;
}
