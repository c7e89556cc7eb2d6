/** Load patterns at one endpoint, replayed in virtual time. */
import { expect } from "chai";
import type { Candidate } from "../../src/process/load/runQueue.js";
import { RunQueue } from "../../src/process/load/runQueue.js";

/** A request of a replay. */
interface Arrival extends Candidate {
    readonly at: number;
    readonly name: string;
}

/** How each request of a replay ended. */
interface Ending {
    readonly name: string;
    readonly outcome: "run" | "refused";
    /** Time from arrival to the start of the run or the refusal, in milliseconds. */
    readonly afterMs: number;
}

/** Replays arrivals at an endpoint whose runs take a fixed time. */
function runReplay(arrivals: readonly Arrival[], limit: number, runMs: number): Ending[] {
    const queue = new RunQueue<Arrival>();
    queue.setLimit(limit);
    const endings: Ending[] = [];
    const runEnds: { at: number; route: string; }[] = [];
    const end = (arrival: Arrival, outcome: Ending["outcome"], now: number): void => {
        endings.push({ name: arrival.name, outcome, afterMs: now - arrival.at });
        if (outcome === "run") {
            runEnds.push({ at: now + runMs, route: arrival.route });
        }
    };
    const refuseLate = (now: number): void => queue.removeLate(now).forEach(each => end(each, "refused", now));
    const finishUntil = (time: number): void => {
        for (;;) {
            runEnds.sort((a, b) => a.at - b.at);
            if (runEnds.length === 0 || runEnds[0]!.at > time) {
                return;
            }
            const { at, route } = runEnds.shift()!;
            queue.release(route, runMs);
            refuseLate(at);
            for (let next = queue.takeNext(); next !== undefined; next = queue.takeNext()) {
                end(next, "run", at);
            }
        }
    };
    for (const arrival of arrivals) {
        finishUntil(arrival.at);
        const decision = queue.offer(arrival, arrival.at);
        if (decision.kind === "wait") {
            refuseLate(arrival.at);
        }
        else {
            end(arrival, decision.kind === "run" ? "run" : "refused", arrival.at);
        }
    }
    finishUntil(Infinity);
    return endings;
}

/** Arrivals at a steady rate for five seconds. */
function createArrivals(
    name: string,
    everyMs: number,
    change: { priority?: number; depth?: number; timeoutMs?: number; targetMs?: number; },
): Arrival[] {
    const { priority = 0, depth = 0, timeoutMs = 1000, targetMs = 500 } = change;
    return Array.from({ length: Math.floor(5000 / everyMs) }, (_, index) => {
        const at = index * everyMs;
        return {
            at,
            name,
            originRoute: name,
            route: name,
            priority,
            depth,
            servedBefore: 0,
            deadline: at + timeoutMs,
            target: at + targetMs,
        };
    });
}

function merge(...lists: readonly Arrival[][]): Arrival[] {
    return lists.flat().sort((a, b) => a.at - b.at);
}

/** Share of the requests of a name that ran. */
function computeServedShare(endings: readonly Ending[], name: string): number {
    const own = endings.filter(ending => ending.name === name);
    return own.filter(ending => ending.outcome === "run").length / own.length;
}

describe("waiting at an endpoint", () => {
    it("runs all at once below the limit", () => {
        const endings = runReplay(createArrivals("page", 20, {}), 10, 100);
        expect(endings.every(ending => ending.outcome === "run" && ending.afterMs === 0)).equals(true);
    });

    it("serves the urgent route whole while a less urgent one brings three times the capacity", () => {
        const pages = createArrivals("page", 3.3, { priority: 2 });
        const endings = runReplay(merge(pages, createArrivals("advance", 25, { priority: 0 })), 10, 100);
        expect(computeServedShare(endings, "advance")).equals(1);
        expect(computeServedShare(endings, "page")).within(0.15, 0.35);
    });

    it("turns nothing away late: who is refused is refused within an eighth of the target", () => {
        const endings = runReplay(createArrivals("page", 3.3, { priority: 2 }), 10, 100);
        const refused = endings.filter(ending => ending.outcome === "refused").map(ending => ending.afterMs);
        expect(refused.length).above(100);
        expect(Math.max(...refused)).at.most(63);
    });

    it("lets calls of running work go before new work of the same rank", () => {
        const calls = createArrivals("call", 14, { depth: 1, priority: 2 });
        const endings = runReplay(merge(calls, createArrivals("grade", 10, { priority: 2 })), 10, 100);
        expect(computeServedShare(endings, "call")).equals(1);
        expect(computeServedShare(endings, "grade")).within(0.2, 0.6);
    });

    it("lets calls of an urgent request go before those of a less urgent one", () => {
        const urgent = createArrivals("advance", 14, { depth: 2, priority: 0 });
        const endings = runReplay(merge(createArrivals("page", 10, { depth: 3, priority: 2 }), urgent), 10, 100);
        expect(computeServedShare(endings, "advance")).equals(1);
        expect(computeServedShare(endings, "page")).within(0.2, 0.6);
    });

    it("keeps the endpoint busy in overload", () => {
        const endings = runReplay(createArrivals("page", 3.3, { priority: 2 }), 10, 100);
        const runs = endings.filter(ending => ending.outcome === "run").length;
        expect(runs).at.least(480);
    });

    it("refuses what can't end before its deadline though a place will be free", () => {
        const queue = new RunQueue<Arrival>();
        queue.setLimit(1);
        const [first, second] = createArrivals("page", 2000, { timeoutMs: 40, targetMs: 40 });
        expect(queue.offer(first!, 0).kind).equals("run");
        expect(queue.offer({ ...second!, at: 0, deadline: 40 }, 0).kind).equals("refuse");
    });
});
