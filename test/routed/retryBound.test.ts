/** The bound on retries over many nodes, in every window, whatever becomes of the nodes and of their requests. */
import { expect } from "chai";
import { ServiceRetryBudget } from "../../src/process/load/serviceRetryBudget.js";
import type { Random } from "../../standin/random.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

const windowMs = 10_000;
const bounds = { ratio: 0.2, slack: 20 };
const nodes = 10;
const lengthMs = 42_000;
const stepMs = 20;

/** A load on many nodes; functions of the time since the start, in milliseconds. */
interface Plan {
    readonly name: string;
    /** Requests a second of a node. */
    readonly getRate: (node: number, at: number) => number;
    /** Part of the requests that come from a run that was itself a retry. */
    readonly inheritedShare?: (at: number) => number;
    /** Time at which a node is restarted. */
    readonly restartsAt?: (node: number) => number;
}

const everyOther = (node: number): boolean => node % 2 === 0;

const plans: readonly Plan[] = [
    { name: "steady and even", getRate: () => 60 },
    {
        name: "data centres that peak at different seconds",
        getRate: (node, at) => 60 * (1 + 0.55 * Math.sin(2 * Math.PI * (at / 17_000 + (node % 4) * 0.25))),
    },
    {
        name: "requests that move from half of the nodes to the others",
        getRate: (node, at) => everyOther(node) === at < 16_000 ? 110 : 10,
    },
    {
        name: "requests that move again and again",
        getRate: (node, at) => everyOther(node) === at % 10_000 < 5000 ? 110 : 10,
    },
    {
        name: "chains that end early from one moment on, after a calm time",
        getRate: (_node, at) => at < 13_000 ? 120 : 45,
    },
    {
        name: "a first burst, and little after it",
        getRate: (_node, at) => at < 5000 ? 150 : 10,
    },
    {
        name: "chains that end early soon after the first requests",
        getRate: (_node, at) => at < 4000 ? 120 : 45,
    },
    {
        name: "calls of repeated runs, late in the window",
        getRate: () => 60,
        inheritedShare: at => at % 10_000 > 6000 ? 0.3 : 0,
    },
    {
        name: "nodes that are restarted in turn",
        getRate: () => 60,
        restartsAt: node => 12_000 + node * 900,
    },
];

/** Times of the requests and of the retries of all nodes. */
interface Record {
    readonly requests: number[];
    readonly retries: number[];
}

/** Plays a load in which every request asks for as many retries as it can get. */
function play(plan: Plan, random: Random): Record {
    const clock = new FakeClock();
    const startedAt = clock.readMonotonic();
    const createBudget = (isFirstStart: boolean): ServiceRetryBudget =>
        new ServiceRetryBudget(clock, { ...bounds, windowMs }, () => nodes, isFirstStart);
    const budgets = Array.from({ length: nodes }, () => createBudget(true));
    const record: Record = { requests: [], retries: [] };
    for (let at = 0; at < lengthMs; at += stepMs) {
        clock.addTime(startedAt + at - clock.readMonotonic());
        budgets.forEach((_, node) => {
            const restartsAt = plan.restartsAt?.(node) ?? Infinity;
            if (at >= restartsAt && at < restartsAt + stepMs) {
                budgets[node] = createBudget(false);
            }
            if (random() < plan.getRate(node, at) * stepMs / 1000) {
                sendRequest(budgets[node]!, random() < (plan.inheritedShare?.(at) ?? 0), at, record);
            }
        });
    }
    return record;
}

function sendRequest(budget: ServiceRetryBudget, isInherited: boolean, at: number, record: Record): void {
    budget.recordRequest("deep");
    record.requests.push(at);
    if (isInherited && budget.takeInheritedRetry("deep")) {
        record.retries.push(at);
    }
    while (budget.takeRetry("deep", { priority: 0, callsLeft: 1 })) {
        record.retries.push(at);
    }
}

/** Counts the times up to each step, so that `counts[k]` is their number before the step `k`. */
function countBefore(times: readonly number[]): readonly number[] {
    const counts = new Array<number>(lengthMs / stepMs + 2).fill(0);
    times.forEach(time => counts[time / stepMs + 1]! += 1);
    for (let index = 1; index < counts.length; index += 1) {
        counts[index]! += counts[index - 1]!;
    }
    return counts;
}

/** Largest excess of the retries over the bound, in any window; negative if it always holds. */
function findLargestExcess(record: Record): number {
    const requests = countBefore(record.requests);
    const retries = countBefore(record.retries);
    const windowSteps = windowMs / stepMs;
    const count = (counts: readonly number[], end: number): number =>
        (counts[Math.max(0, end)] ?? 0) - (counts[Math.max(0, end - windowSteps)] ?? 0);
    let worst = -Infinity;
    for (let end = 1; end <= lengthMs / stepMs; end += 1) {
        const most = Math.max(...[0, windowSteps / 2, windowSteps].map(age => count(requests, end - age)));
        worst = Math.max(worst, count(retries, end) - (most * bounds.ratio + bounds.slack));
    }
    return worst;
}

describe("the bound on retries over all nodes", () => {
    for (const plan of plans) {
        it(`holds in every window for ${plan.name}`, () => {
            expect(findLargestExcess(play(plan, createRandom(3)))).at.most(0);
        });
    }
});
