/** Quotas of customers over all nodes, in virtual time: the bound holds in every window, and the limit can be used. */
import { expect } from "chai";
import fc from "fast-check";
import { groupCount } from "../../src/process/customers/customerQuotas.js";
import { computeMaxRequests, computeSupply, unitLeaseMs } from "../../src/process/customers/quotaBound.js";
import { computeShare } from "../../src/process/customers/unitGrantor.js";
import type { Quota } from "../../src/version/customer.js";
import type { Random } from "../../standin/random.js";
import { createRandom } from "../../standin/random.js";
import { readPropertyOptions } from "../fakes.js";
import type { Place } from "./quotaSimulation.js";
import { bounds, QuotaSimulation } from "./quotaSimulation.js";

const nodes = 84;
const usualUse = 0.62;

function createQuota(requestsPerSecond: number): Quota {
    return { requestsPerSecond, burst: Math.ceil(requestsPerSecond / 2) };
}

/** Limits of 84 customers: a few large, most with a few requests a second. */
function createLimits(): Map<string, Quota> {
    return new Map(Array.from({ length: nodes }, (_, index): [string, Quota] => {
        const requestsPerSecond = Math.max(3, Math.round(380 / (index + 1)));
        return [`customer${index}`, createQuota(requestsPerSecond)];
    }));
}

describe("quotas: arithmetic", () => {
    it("leaves every window within the bound, with two leases more than accrue", () => {
        fc.assert(fc.property(fc.double({ min: 0.1, max: 5000, noNaN: true }), fc.nat(1000), (rate, burst) => {
            const quota = { requestsPerSecond: rate, burst };
            const { perMs, capacity } = computeSupply(quota, bounds);
            expect(capacity).at.least(1);
            const most = perMs * (bounds.windowMs + 2 * unitLeaseMs) + capacity;
            expect(most).at.most(computeMaxRequests(quota, bounds) + 1e-6);
        }));
    });

    it("gives all grantors together no more than the whole, however the nodes are parted", () => {
        fc.assert(fc.property(fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 6 }), parts => {
            const sum = Math.max(1, parts.reduce((total, part) => total + part, 0));
            expect(parts.reduce((total, part) => total + computeShare(part / sum), 0)).at.most(1 + 1e-9);
        }));
    });
});

describe("quotas: one customer at seven times its usual beside 83 quiet ones", () => {
    const limits = createLimits();
    const hot = "customer3";
    const durationMs = 20_000;
    const warmUpMs = 2500;
    let simulation: QuotaSimulation;

    before(async () => {
        simulation = new QuotaSimulation(createRandom(5), nodes, limits);
        await simulation.run(warmUpMs);
        for (const [customer, { requestsPerSecond }] of limits) {
            const usual = requestsPerSecond * usualUse;
            simulation.sendRequests(customer, () => customer === hot ? usual * 7 : usual);
        }
        simulation.messages = 0;
        await simulation.run(durationMs);
    });

    it("admits nobody over the bound", () => {
        const excesses = [...limits.keys()].flatMap(customer => simulation.findExcesses(customer));
        expect(excesses).deep.equals([]);
    });

    it("lets the hot one use its limit", () => {
        const used = simulation.admitted.get(hot)!.length;
        expect(used / durationMs * 1000).at.least(0.95 * limits.get(hot)!.requestsPerSecond);
    });

    it("refuses the quiet ones nothing", () => {
        const refused = [...simulation.refused].filter(([customer]) => customer !== hot);
        expect(refused).deep.equals([]);
    });

    it("sends at most a message and its answer for each request that is admitted, and the heartbeats", () => {
        const admitted = simulation.countAdmitted();
        const heartbeats = nodes * groupCount * durationMs / 400;
        expect(simulation.messages).at.most(2 * (admitted + heartbeats));
    });
});

describe("quotas: a process that has just started", () => {
    const cases = [
        { title: "beside others that run", ended: 1, withinMs: 1000 },
        { title: "when all nodes end at once", ended: 84, withinMs: 2000 },
    ];
    for (const { title, ended, withinMs } of cases) {
        it(`admits requests ${title} within ${withinMs} ms`, async () => {
            const simulation = new QuotaSimulation(createRandom(9), nodes, new Map([["weavers", createQuota(50)]]));
            await simulation.run(3000);
            const restarted = simulation.places.slice(0, ended);
            restarted.forEach(place => simulation.endLife(place, 1));
            await simulation.run(2);
            simulation.maxWaitMs = withinMs;
            restarted.slice(0, 5).forEach(place => simulation.request("weavers", place));
            await simulation.run(withinMs);
            expect(simulation.admitted.get("weavers")?.length).equals(Math.min(5, ended));
        });
    }
});

describe("quotas: the loss of grantors", () => {
    const limits = createLimits();
    const cases = [
        { title: "one of them ends", share: 0, maxRefusedSeconds: 0.4 },
        { title: "a sixth of the nodes ends for good", share: 1 / 6, maxRefusedSeconds: 1 },
    ];
    for (const { title, share, maxRefusedSeconds } of cases) {
        it(`costs less than ${maxRefusedSeconds} s of the requests when ${title}`, async () => {
            const simulation = new QuotaSimulation(createRandom(4), nodes, limits);
            await simulation.run(2500);
            for (const [customer, { requestsPerSecond }] of limits) {
                simulation.sendRequests(customer, () => requestsPerSecond * usualUse);
            }
            await simulation.run(2000);
            const grantors = findGrantors(simulation);
            const ended = share === 0
                ? grantors.slice(0, 1)
                : simulation.places.filter(() => simulation.random() < share);
            const admittedBefore = simulation.countAdmitted();
            ended.forEach(place => simulation.endLife(place, 60_000));
            await simulation.run(5000);
            const perSecond = (simulation.countAdmitted() - admittedBefore) / 5;
            const refused = [...simulation.refused.values()].reduce((sum, count) => sum + count, 0);
            expect(refused / perSecond).below(maxRefusedSeconds);
        });
    }
});

/** What happens in one drawn sequence, at drawn times. */
type Event =
    | "endOne"
    | "endMany"
    | "endAll"
    | "endGrantor"
    | "cutGrantor"
    | "cut"
    | "heal"
    | "lossy"
    | "clean"
    | "slow"
    | "stepClock"
    | "suspend"
    | "changeLimits"
    | "removeCustomers"
    | "addPlace";

const events: readonly Event[] = [
    "endOne",
    "endMany",
    "endAll",
    "endGrantor",
    "cutGrantor",
    "cut",
    "heal",
    "lossy",
    "clean",
    "slow",
    "stepClock",
    "suspend",
    "changeLimits",
    "removeCustomers",
    "addPlace",
];

function createDrawnLimits(random: Random): Map<string, Quota> {
    const createDrawnQuota = (most: number): Quota => ({
        requestsPerSecond: Math.ceil(random() * most),
        burst: Math.floor(random() * most),
    });
    return new Map([["small", createDrawnQuota(6)], ["middle", createDrawnQuota(60)], [
        "large",
        createDrawnQuota(400),
    ]]);
}

/** Gives each node a new version within a second. */
function publishLimits(simulation: QuotaSimulation, limits: Map<string, Quota>): void {
    for (const place of simulation.places) {
        simulation.clock.startTimer(simulation.random() * 1000, () => simulation.setLimits(place, limits));
    }
}

/** Nodes that have most of the limits of a group. */
function findGrantors(simulation: QuotaSimulation): Place[] {
    return simulation.places.filter(place => place.isAlive && place.quotas.listShares().some(share => share > 0.5));
}

function applyEvent(simulation: QuotaSimulation, event: Event): void {
    const { random, places } = simulation;
    const pick = () => places[Math.floor(random() * places.length)]!;
    const pickSome = (share: number) => places.filter(() => random() < share);
    switch (event) {
        case "endOne":
            return simulation.endLife(pick(), 100 + random() * 2000);
        case "endMany":
            return pickSome(0.5).forEach(place => simulation.endLife(place, 100 + random() * 2000));
        case "endAll":
            return places.forEach(place => simulation.endLife(place, 100 + random() * 500));
        case "endGrantor":
            return findGrantors(simulation).forEach(place => simulation.endLife(place, 100 + random() * 2000));
        case "cutGrantor":
            return [...findGrantors(simulation).slice(0, 1), ...pickSome(random() / 2)]
                .forEach(place => simulation.putOnSide(place, 1));
        case "cut":
            return pickSome(random()).forEach(place => simulation.putOnSide(place, 1 + Math.floor(random() * 2)));
        case "heal":
            return places.forEach(place => simulation.putOnSide(place, 0));
        case "lossy":
            simulation.lossShare = 0.1;
            return;
        case "clean":
            simulation.lossShare = 0;
            simulation.maxDelayMs = 3;
            return;
        case "slow":
            simulation.maxDelayMs = 300;
            return;
        case "stepClock":
            pick().dateOffsetMs += (random() - 0.5) * 8000;
            return;
        case "suspend":
            return simulation.stopMachine(pick(), 300 + random() * 4000);
        case "changeLimits":
            return publishLimits(simulation, createDrawnLimits(random));
        case "removeCustomers":
            return publishLimits(simulation, new Map());
        case "addPlace":
            return simulation.addPlace();
    }
}

describe("quotas: whatever is lost, late, cut, ended or changed", () => {
    it("no window of a customer is over the bound, summed over all nodes", async () => {
        const drawnEvents = fc.array(fc.tuple(fc.constantFrom(...events), fc.integer({ min: 0, max: 1500 })), {
            minLength: 4,
            maxLength: 24,
        });
        const property = fc.asyncProperty(fc.integer(), drawnEvents, async (seed, sequence) => {
            const random = createRandom(seed);
            const simulation = new QuotaSimulation(random, 3 + Math.floor(random() * 9), createDrawnLimits(random));
            simulation.unrunShare = random() * 0.5;
            for (const customer of ["small", "middle", "large"]) {
                const { requestsPerSecond } = simulation.places[0]!.limits.get(customer)!;
                const perSecond = requestsPerSecond * 4 + 5;
                // By turns silent, so that units add up, and far over the limit.
                const isSilent = (): boolean => Math.floor(simulation.clock.readMonotonic() / 2500) % 3 === 0;
                simulation.sendRequests(customer, () => isSilent() ? 0 : perSecond);
            }
            for (const [event, pauseMs] of sequence) {
                applyEvent(simulation, event);
                await simulation.run(pauseMs);
            }
            await simulation.run(6000);
            expect(["small", "middle", "large"].flatMap(each => simulation.findExcesses(each)).slice(0, 3))
                .deep.equals([]);
        });
        await fc.assert(property, readPropertyOptions(40));
    });
});
