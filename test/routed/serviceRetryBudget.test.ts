/** The bound on repeats, and what a service that turns much away gets from it, in virtual time. */
import { expect } from "chai";
import type { RetryLimits } from "../../src/process/load/serviceRetryBudget.js";
import { ServiceRetryBudget } from "../../src/process/load/serviceRetryBudget.js";
import type { Random } from "../../standin/random.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

const urgent = { priority: 0, servedBefore: 0 };
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
function takeAll(budget: ServiceRetryBudget, priority = 0, servedBefore = 0): number {
    let taken = 0;
    while (budget.takeRetry("mutu", { priority, servedBefore })) {
        taken += 1;
    }
    return taken;
}

describe("allowance for repeats", () => {
    it("gives a ratio of the requests of the window and a part of the slack", () => {
        const budget = createBudget({}, 15);
        recordRequests(budget, "mutu", 100);
        expect(takeAll(budget)).equals(12);
    });

    it("gives nothing for the requests of another service", () => {
        const budget = createBudget({ slack: 0 });
        recordRequests(budget, "katalog", 1);
        expect(budget.takeRetry("mutu", urgent)).equals(false);
    });

    it("counts the requests of the window before, when fewer come now", () => {
        const clock = new FakeClock();
        const budget = createBudget({ slack: 0 }, 1, clock);
        recordRequests(budget, "mutu", 200);
        clock.addTime(windowMs);
        recordRequests(budget, "mutu", 10);
        expect(takeAll(budget)).equals(20);
    });

    it("holds in every sliding window, whatever is asked when", () => {
        const clock = new FakeClock();
        const random = createRandom(7);
        const budget = createBudget({}, 1, clock);
        const requests: number[] = [];
        const retries: number[] = [];
        for (let step = 0; step < 8000; step += 1) {
            clock.addTime(random() * 20);
            const isPeak = step % 1000 < 300;
            if (random() < (isPeak ? 0.9 : 0.2)) {
                budget.recordRequest("mutu");
                requests.push(clock.readMonotonic());
            }
            else if (budget.takeRetry("mutu", urgent)) {
                retries.push(clock.readMonotonic());
            }
        }
        const count = (times: readonly number[], end: number): number =>
            times.filter(time => time > end - windowMs && time <= end).length;
        for (const end of retries) {
            const most = Math.max(...[0, windowMs / 2, windowMs].map(age => count(requests, end - age)));
            expect(count(retries, end)).at.most(most * limits.ratio + limits.slack);
        }
        expect(retries.length).above(300);
    });

    it("gives a quarter for a window after a restart, since repeats of the life before count too", () => {
        const clock = new FakeClock();
        const budget = new ServiceRetryBudget(clock, { ...limits, slack: 0 }, () => 1, false);
        recordRequests(budget, "mutu", 400);
        expect(takeAll(budget)).equals(10);
        clock.addTime(windowMs + 1);
        expect(takeAll(budget)).equals(30);
    });

    it("leaves parts to urgent requests, and to those that work was spent on", () => {
        const budget = createBudget({ slack: 0 });
        recordRequests(budget, "mutu", 100);
        const taken = [takeAll(budget, 2), takeAll(budget, 2, 2), takeAll(budget, 2, 9), takeAll(budget)];
        expect(taken).deep.equals([3, 4, 1, 2]);
    });

    it("counts the calls of a repeated run as repeats", () => {
        const budget = createBudget({ slack: 0 });
        recordRequests(budget, "mutu", 100);
        for (let index = 0; index < 8; index += 1) {
            budget.recordInheritedRetry("mutu");
        }
        expect(takeAll(budget)).equals(2);
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
    const budget = createBudget({ ratio: 0.18, slack: 44 }, 1, clock);
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
        else if (runs + 1 < maxRuns && budget.takeRetry("mutu", { priority: kind.priority, servedBefore: served })) {
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
