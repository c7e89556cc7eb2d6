/** Customers that compete for an endpoint: who waits before whom, replayed in virtual time. */
import { expect } from "chai";
import { RemainingUse } from "../../src/process/load/remainingUse.js";
import type { Candidate } from "../../src/process/load/runQueue.js";
import { RunQueue } from "../../src/process/load/runQueue.js";
import { CustomerTable } from "../../src/version/customer.js";
import { createRandom } from "../../standin/random.js";
import type { CustomerPlan } from "./customerReplay.js";
import { createCustomers, createTally, playCustomers } from "./customerReplay.js";

/** Requests a second that the narrowest service of every plan takes. */
const capacity = 400;

/** Plans with the load of one request on the narrowest service, in runs there. */
const plans: Readonly<Record<string, CustomerPlan & { readonly runsEach: number; }>> = {
    "one service": { frontLimit: 20, deepLimit: 100, callsEach: 1, directShare: 0, isNamed: true, runsEach: 1 },
    "four calls to a deep service": {
        frontLimit: 40,
        deepLimit: 20,
        callsEach: 4,
        directShare: 0,
        isNamed: true,
        runsEach: 4,
    },
    "a deep service with new work of its own": {
        frontLimit: 40,
        deepLimit: 20,
        callsEach: 2,
        directShare: 0.5,
        isNamed: true,
        runsEach: 1.5,
    },
};

const patterns: readonly {
    readonly name: string;
    readonly count: number;
    readonly skew: number;
    /** Usual load of all customers together, as a part of the capacity. */
    readonly load: number;
    readonly hotRanks: readonly number[];
    readonly isWeighted: boolean;
}[] = [
    { name: "one hot of 10", count: 10, skew: 0, load: 0.8, hotRanks: [3], isWeighted: false },
    { name: "three hot of 20", count: 20, skew: 0, load: 0.8, hotRanks: [3, 7, 11], isWeighted: false },
    { name: "the largest hot beside 83", count: 84, skew: 1.2, load: 0.8, hotRanks: [0], isWeighted: false },
    { name: "nobody hot, 1.8 times the room", count: 84, skew: 1.2, load: 1.8, hotRanks: [], isWeighted: true },
];

/** Factor by which a hot customer exceeds its usual rate. */
const hotFactor = 7;

describe("customers that compete", () => {
    for (const [planName, plan] of Object.entries(plans)) {
        for (const { name, count, skew, load, hotRanks, isWeighted } of patterns) {
            it(`have their shares: ${name}, ${planName}`, () => {
                const hot = new Map(hotRanks.map(rank => [rank, hotFactor]));
                const customers = createCustomers(count, capacity / plan.runsEach * load, skew, hot, isWeighted);
                const served = playCustomers(customers, plan, createRandom(11));
                const asked = customers.reduce((sum, { perSecond }) => sum + perSecond, 0);
                const answered = customers.reduce((sum, each) => sum + each.perSecond * served.get(each.name)!, 0);
                const worst = [...served].sort((a, b) => a[1] - b[1]).slice(0, Math.ceil(count / 10));
                const mean = answered / asked;
                const list = worst.map(([customer, share]) => `${customer} ${share.toFixed(2)}`).join(", ");
                expect(worst[0]![1], `mean ${mean.toFixed(2)}, worst tenth: ${list}`).at.least(mean / 4);
                if (hotRanks.length > 0) {
                    const usual = customers.filter((_, rank) => !hot.has(rank)).map(each => served.get(each.name)!);
                    expect(Math.min(...usual), `mean ${mean.toFixed(2)}, worst tenth: ${list}`).at.least(0.85);
                }
            });
        }
    }
});

describe("a short service that is asked directly and by runs with four calls", () => {
    const plan: CustomerPlan = {
        frontLimit: 400,
        deepLimit: 55,
        callsEach: 4,
        directShare: 0.2,
        isNamed: true,
        directMs: 160,
        directTargetMs: 450,
    };
    /** Endpoint time of a request there on average, in milliseconds: four calls of 50, or one run of 160. */
    const useMs = 0.8 * 4 * 50 + 0.2 * 160;
    const loads = [0.9, 1, 1.1, 1.3];
    for (const load of loads) {
        it(`serves both in time alike at ${load} times its room`, () => {
            const perSecond = plan.deepLimit * 1000 / useMs * load;
            const customers = createCustomers(84, perSecond, 0.8, new Map(), true);
            const kinds = { chain: createTally(), direct: createTally() };
            playCustomers(customers, plan, createRandom(5), kinds);
            const direct = kinds.direct.inTime / kinds.direct.asked;
            const chain = kinds.chain.inTime / kinds.chain.asked;
            const shares = `direct ${direct.toFixed(3)}, chain ${chain.toFixed(3)}`;
            expect(direct, shares).at.least(chain - 0.05);
            expect(0.2 * direct + 0.8 * chain, shares).at.least(0.9 / Math.max(1, load) - 0.05);
        });
    }
});

describe("the order of customers' requests", () => {
    const create = (name: string, change: Partial<Candidate>): Candidate & { readonly name: string; } => ({
        name,
        priority: 1,
        customer: "weavers",
        originRoute: "page",
        depth: 0,
        servedBefore: 0,
        route: "page",
        deadline: 60_000,
        target: 30_000,
        ...change,
    });
    const hot = Array.from({ length: 30 }, (_, index) => create(`hot${index}`, { customer: "hot", target: 20_000 }));
    const cases: readonly {
        readonly name: string;
        readonly offered: readonly ReturnType<typeof create>[];
        readonly first: readonly string[];
    }[] = [
        {
            name: "alternates between customers, whoever came first",
            offered: [...hot, create("a", {}), create("b", {})],
            first: ["hot0", "a", "hot1", "b"],
        },
        {
            name: "goes by the time to the target within a customer",
            offered: [create("late", { target: 900 }), create("soon", { target: 500 })],
            first: ["soon", "late"],
        },
        {
            name: "lets a call of begun work go before new work of all customers",
            offered: [...hot, create("new", {}), create("call", { customer: "dyers", depth: 1 })],
            first: ["call", "hot0", "new"],
        },
        {
            name: "lets the call with the most served calls before it go first",
            offered: [
                create("second", { depth: 1, servedBefore: 1 }),
                create("fourth", { depth: 1, servedBefore: 3, customer: "dyers" }),
            ],
            first: ["fourth", "second"],
        },
        {
            name: "lets who came back go before who comes first",
            offered: [create("new", { target: 400 }), create("back", { hasReturned: true })],
            first: ["back", "new"],
        },
        {
            name: "goes by priority before anything else",
            offered: [create("call", { depth: 2, priority: 2 }), create("urgent", { priority: 0 })],
            first: ["urgent", "call"],
        },
    ];
    const fill = (offered: readonly ReturnType<typeof create>[]): RunQueue<ReturnType<typeof create>> => {
        const queue = new RunQueue<ReturnType<typeof create>>();
        queue.setLimit(1);
        queue.offer(create("running", { customer: undefined }), 0);
        offered.forEach(each => expect(queue.offer(each, 0).kind, each.name).equals("wait"));
        return queue;
    };
    const take = (queue: RunQueue<ReturnType<typeof create>>, count: number): string[] =>
        Array.from({ length: count }, () => {
            queue.release("page", 50);
            return queue.takeNext()?.name ?? "";
        });
    for (const { name, offered, first } of cases) {
        it(name, () => expect(take(fill(offered), first.length)).deep.equals(first));
    }

    it("learns how many calls a run makes, and ranks anew only when it learns of another number", () => {
        const use = new RemainingUse(() => 50);
        const arrive = (servedBefore: number): boolean =>
            use.recordArrival({ originRoute: "page", route: "deep", depth: 1, servedBefore });
        expect([0, 1, 2, 3, 0, 3, 2, 3].map(arrive)).deep.equals([false, true, true, true, false, false, false, false]);
        const estimate = (depth: number, servedBefore: number): number =>
            Math.round(use.estimateMs({ originRoute: "page", route: "deep", depth, servedBefore }));
        expect([estimate(0, 0), estimate(1, 0), estimate(1, 3)]).deep.equals([50, 200, 50]);
    });

    it("does not let calls of a customer that is far ahead push out new work of others", () => {
        const calls = Array.from({ length: 40 }, (_, index) => create(`call${index}`, { customer: "hot", depth: 1 }));
        expect(take(fill([...calls, create("new", {})]), 12)).contains("new");
    });

    it("gives the place of a cancelled request back at once", () => {
        const queue = fill([...hot, create("a", {})]);
        hot.slice(0, 29).forEach(each => queue.remove(each));
        expect(take(queue, 2)).deep.equals(["hot29", "a"]);
    });

    it("gives all places back at once when the endpoint leaves", () => {
        const queue = fill([...hot, create("a", {})]);
        expect(queue.removeAll().length).equals(31);
        expect(queue.getWaiting()).equals(0);
        expect(queue.offer(create("next", {}), 0).kind).equals("wait");
        expect(take(queue, 1)).deep.equals(["next"]);
    });

    it("is the one of before without customers, in drawn sequences", () => {
        const random = createRandom(5);
        const offered = Array.from({ length: 60 }, (_, index) =>
            create(`r${index}`, {
                customer: undefined,
                priority: Math.floor(random() * 3),
                depth: Math.floor(random() * 3),
                servedBefore: Math.floor(random() * 3),
                target: 1000 + random() * 20_000,
            }));
        const expected = offered
            .map((each, index) => ({ each, index }))
            .sort((a, b) =>
                a.each.priority - b.each.priority || b.each.depth - a.each.depth
                || b.each.servedBefore - a.each.servedBefore || a.index - b.index
            )
            .map(({ each }) => each.name);
        const long = offered.map(each => ({ ...each, target: 1_000_000, deadline: 2_000_000 }));
        expect(take(fill(long), long.length)).deep.equals(expected);
    });
});

describe("the weight of a customer", () => {
    const quota = (requestsPerSecond: number) => ({ requestsPerSecond, burst: 1 });
    const table = new CustomerTable([
        { name: "large", keys: [], priority: undefined, quota: quota(50) },
        { name: "small", keys: [], priority: undefined, quota: quota(10) },
        { name: "free", keys: [], priority: undefined, quota: undefined },
    ]);
    const weights = [["large", 50 / 30], ["small", 1], ["free", 1], ["unknown", 1]] as const;
    for (const [name, weight] of weights) {
        it(`is ${weight.toFixed(2)} for the ${name} one`, () => expect(table.getWeight(name)).equals(weight));
    }
});
