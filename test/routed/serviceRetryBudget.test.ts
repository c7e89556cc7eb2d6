/** The bound on repeats, and what a service that turns much away gets from it, in virtual time. */
import { expect } from "chai";
import type { RepeatOrigin } from "../../src/process/load/repeatOrder.js";
import { RepeatOrder } from "../../src/process/load/repeatOrder.js";
import type { RetryLimits } from "../../src/process/load/serviceRetryBudget.js";
import { ServiceRetryBudget } from "../../src/process/load/serviceRetryBudget.js";
import type { Random } from "../../standin/random.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

const urgent = { priority: 0, callsLeft: 1 };
const windowMs = 10_000;
const limits: RetryLimits = { ratio: 0.1, slack: 30, windowMs };

function createBudget(change: Partial<RetryLimits> = {}, nodes = 1, clock = new FakeClock()): ServiceRetryBudget {
    return new ServiceRetryBudget(clock, { ...limits, ...change }, () => nodes, true);
}

function recordRequests(budget: ServiceRetryBudget, service: string, count: number): void {
    for (let index = 0; index < count; index += 1) {
        budget.recordRequest(service);
    }
}

/** Takes the allowance as often as it is given. */
function takeAll(budget: ServiceRetryBudget, priority = 0, callsLeft = 1): number {
    let taken = 0;
    while (budget.takeRetry("mutu", { priority, callsLeft })) {
        taken += 1;
    }
    return taken;
}

/** Sends requests evenly over a time. */
function playCalm(budget: ServiceRetryBudget, clock: FakeClock, requests: number, forMs: number): void {
    for (let index = 0; index < requests; index += 1) {
        clock.addTime(forMs / requests);
        budget.recordRequest("mutu");
    }
}

describe("allowance for repeats", () => {
    const cases: readonly {
        readonly name: string;
        readonly change?: Partial<RetryLimits>;
        readonly nodes?: number;
        /** Requests in each of the windows before, the oldest first, and in the window that begins now. */
        readonly before: readonly number[];
        readonly priority?: number;
        readonly callsLeft?: number;
        readonly taken: number;
    }[] = [
        // A third of 0.93 of 0.95 of 0.1 of the 980 requests that lie wholly in the window before, and one of the slack.
        {
            name: "a part of the ratio of the window before, a third of it at once",
            nodes: 15,
            before: [1000, 1000],
            taken: 29,
        },
        { name: "its part of the slack without requests", nodes: 3, before: [0], taken: 4 },
        { name: "nothing for requests of earlier windows", change: { slack: 0 }, before: [1000, 0], taken: 0 },
        {
            name: "as much to less urgent requests, when no others want any",
            nodes: 15,
            before: [1000, 1000],
            priority: 2,
            callsLeft: 4,
            taken: 29,
        },
    ];
    for (const { name, change, nodes, before, priority, callsLeft, taken } of cases) {
        it(`gives ${name}`, () => {
            const clock = new FakeClock();
            const budget = createBudget(change, nodes, clock);
            before.forEach(requests => {
                playCalm(budget, clock, requests, windowMs);
                clock.addTime(requests === 0 ? windowMs : 0);
            });
            expect(takeAll(budget, priority, callsLeft)).equals(taken);
        });
    }

    it("gives the ratio for the present requests, one by one, while there was no window before", () => {
        const clock = new FakeClock();
        const budget = createBudget({ slack: 3 }, 1, clock);
        let taken = 0;
        for (let index = 0; index < 400; index += 1) {
            clock.addTime(10);
            budget.recordRequest("mutu");
            taken += takeAll(budget);
        }
        // 0.93 of 0.1 of them, less what later windows allow, which these requests precede; and of half of the slack.
        expect(taken).within(10, 30);
    });

    it("gives nearly as much at once a little more than a window after the first requests", () => {
        const clock = new FakeClock();
        const budget = createBudget({ slack: 0 }, 1, clock);
        playCalm(budget, clock, 1300, 1.3 * windowMs);
        // 0.093 of the 980 requests before, and a third of that at once. Without a weight in proportion it gave 17 here.
        expect(takeAll(budget)).within(28, 31);
    });

    it("gives the rest evenly over the window", () => {
        const clock = new FakeClock();
        const budget = createBudget({ slack: 0 }, 1, clock);
        playCalm(budget, clock, 2000, 2 * windowMs);
        const taken = [0, 1, 2, 3].map(step => {
            clock.addTime(step === 0 ? 0 : windowMs / 6);
            return takeAll(budget);
        });
        expect(taken.reduce((sum, each) => sum + each)).within(70, 88);
        expect(taken.slice(1).every(each => each > 10 && each < 20), taken.join()).equals(true);
    });

    it("gives nothing for the requests of another service", () => {
        const budget = createBudget({ slack: 0 });
        recordRequests(budget, "katalog", 100);
        expect(budget.takeRetry("mutu", urgent)).equals(false);
    });

    it("gives no slack for a window after a restart, since repeats of the life before count too", () => {
        const clock = new FakeClock();
        const budget = new ServiceRetryBudget(clock, limits, () => 1, false);
        expect(takeAll(budget)).equals(0);
        clock.addTime(windowMs + 1);
        expect(takeAll(budget)).equals(13);
    });

    const valueCases: readonly {
        readonly name: string;
        readonly wanted: RepeatOrigin;
        readonly other: RepeatOrigin;
        readonly isKept: boolean;
    }[] = [
        {
            name: "of a more urgent route where customers are equal",
            wanted: { priority: 1, routePriority: 0, callsLeft: 4 },
            other: { priority: 1, routePriority: 2, callsLeft: 4 },
            isKept: true,
        },
        {
            name: "that is further though its route is less urgent",
            wanted: { priority: 1, routePriority: 2, callsLeft: 1 },
            other: { priority: 1, routePriority: 0, callsLeft: 4 },
            isKept: true,
        },
        {
            name: "of an equal route and customer",
            wanted: { priority: 1, routePriority: 2, callsLeft: 4 },
            other: { priority: 1, routePriority: 2, callsLeft: 4 },
            isKept: false,
        },
    ];
    for (const { name, wanted, other, isKept } of valueCases) {
        it(`${isKept ? "keeps repeats for one" : "keeps none for one"} ${name}`, () => {
            const order = new RepeatOrder(new FakeClock());
            order.recordWish("mutu", wanted);
            expect(order.recordWish("mutu", other) > 0).equals(isKept);
        });
    }

    it("keeps for more valuable repeats what they need for a while, by how many were wanted lately", () => {
        const clock = new FakeClock();
        const budget = createBudget({}, 15, clock);
        playCalm(budget, clock, 2000, 2 * windowMs);
        const wanted = 5;
        for (let index = 0; index < wanted; index += 1) {
            budget.takeRetry("mutu", urgent);
        }
        // 5 wanted just now, with a half-life of 0.3 s, make 11.6 a second, for two seconds.
        const kept = Math.floor(wanted * Math.LN2 / 0.3 * 2);
        expect([takeAll(budget, 2, 4), takeAll(budget)]).deep.equals([29 - wanted - kept, kept]);
    });

    it("counts the calls of a repeated run as repeats, which may use the whole budget", () => {
        const clock = new FakeClock();
        const budget = createBudget({}, 15, clock);
        playCalm(budget, clock, 2000, 2 * windowMs);
        const ofNew = takeAll(budget);
        let inherited = 0;
        while (budget.takeInheritedRetry("mutu")) {
            inherited += 1;
        }
        expect([ofNew, inherited]).deep.equals([29, 65]);
        expect(budget.counts).deep.equals({ sent: 29, refused: 1 });
    });
});

/** A kind of caller's request whose run makes calls to the deep service, one after the other. */
interface Kind {
    readonly priority: number;
    readonly perSecond: number;
    readonly worth: number;
}

/** Calls that each request makes to the deep service. */
const callsEach = 4;
/** Time of one call, in milliseconds. */
const callMs = 60;
/** Runs that one call may use. */
const maxRuns = 2;
/** Part of what arrives that the deep service turns away. */
const shedShare = 0.55;
/** Share that is served if every call may use its runs. */
const unlimitedRetriesShare = (1 - shedShare ** maxRuns) ** callsEach;

/**
 * Replays the load pattern of a deep service all of whose instances turn part of what arrives away, after a calm time. Returns the
 * share of the worth that is served while they do.
 */
function playShedding(kinds: readonly Kind[], random: Random): number {
    const clock = new FakeClock();
    const budget = createBudget({ ratio: 0.2, slack: 49 }, 1, clock);
    const shedsFrom = clock.readMonotonic() + 12_000;
    const endsAt = shedsFrom + 8500;
    let totalWorth = 0;
    let servedWorth = 0;
    const call = (kind: Kind, served: number, isCounted: boolean, runs: number): void => {
        if (served === callsEach) {
            servedWorth += isCounted ? kind.worth : 0;
            return;
        }
        if (runs === 0) {
            budget.recordRequest("mutu");
        }
        if (clock.readMonotonic() < shedsFrom || random() >= shedShare) {
            clock.startTimer(callMs, () => call(kind, served + 1, isCounted, 0));
        }
        else if (
            runs + 1 < maxRuns && budget.takeRetry("mutu", { priority: kind.priority, callsLeft: callsEach - served })
        ) {
            call(kind, served, isCounted, runs + 1);
        }
    };
    const arrive = (kind: Kind): void => {
        const now = clock.readMonotonic();
        if (now >= endsAt) {
            return;
        }
        const isCounted = now >= shedsFrom;
        totalWorth += isCounted ? kind.worth : 0;
        call(kind, 0, isCounted, 0);
        clock.startTimer(1000 / kind.perSecond * (0.5 + random()), () => arrive(kind));
    };
    kinds.forEach(arrive);
    clock.addTime(endsAt - clock.readMonotonic() + 2000);
    return servedWorth / totalWorth;
}

describe("a deep service that turns more than half away", () => {
    it("serves what its bound on repeats allows, with the requests of the calm time before", () => {
        const kinds = [{ priority: 0, perSecond: 147, worth: 3 }, { priority: 2, perSecond: 379, worth: 1 }];
        const share = playShedding(kinds, createRandom(1));
        // Two runs for each call without a bound give 0.24; the requests of the present window alone give 0.15.
        expect(share).at.least(unlimitedRetriesShare * 0.7).and.at.most(unlimitedRetriesShare);
    });
});
