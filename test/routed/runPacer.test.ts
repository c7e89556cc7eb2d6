/** Endpoints that name how many requests a second they take, replayed in virtual time. */
import { expect } from "chai";
import { EndpointState } from "../../src/process/endpoint/endpointState.js";
import { NamedLimit } from "../../src/process/load/namedLimit.js";
import { RunPacer } from "../../src/process/load/runPacer.js";
import type { Candidate } from "../../src/process/load/runQueue.js";
import { RunQueue } from "../../src/process/load/runQueue.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

/** Window of the rule, in milliseconds. */
const windowMs = 4000;
const stepMs = 10;

interface PaceCase {
    readonly name: string;
    readonly perSecond: number;
    /** Requests a second that arrive. */
    readonly arriving: number;
    readonly runMs: number;
    /** Time at which the process stands still, and for how long, in milliseconds. */
    readonly pause?: { readonly at: number; readonly forMs: number; };
}

/** Replays 20 s of arrivals and returns the start time and priority of each run. */
function runReplay({ perSecond, arriving, runMs, pause }: PaceCase): { at: number; priority: number; }[] {
    const clock = new FakeClock();
    const random = createRandom(7);
    const pacer = new RunPacer(clock);
    const queue = new RunQueue<Candidate>(pacer);
    queue.setLimit(60);
    pacer.setRate(perSecond);
    const startedAt = clock.readMonotonic();
    const starts: { at: number; priority: number; }[] = [];
    const start = ({ priority, route }: Candidate): void => {
        starts.push({ at: clock.readMonotonic() - startedAt, priority });
        clock.startTimer(runMs, () => queue.release(route, runMs));
    };
    for (let at = 0; at < 20_000; at += stepMs) {
        clock.addTime(pause !== undefined && at === pause.at ? pause.forMs : stepMs);
        const now = clock.readMonotonic();
        queue.removeLate(now);
        for (let next = queue.takeNext(); next !== undefined; next = queue.takeNext()) {
            start(next);
        }
        if (random() < arriving * stepMs / 1000) {
            const priority = random() < 0.2 ? 0 : 1;
            const candidate = {
                depth: 0,
                servedBefore: 0,
                priority,
                originRoute: "r",
                route: "r",
                deadline: now + 2000,
                target: now + 1000,
            };
            if (queue.offer(candidate, now).kind === "run") {
                start(candidate);
            }
        }
    }
    return starts;
}

/** Largest number of starts in any span of the rule's length. */
function countMostInWindow(starts: readonly { at: number; }[]): number {
    return Math.max(
        0,
        ...starts.map(({ at }) => starts.filter(other => other.at >= at && other.at < at + windowMs).length),
    );
}

describe("an endpoint that names a limit", () => {
    const cases: readonly PaceCase[] = [
        { name: "gets no more than that, however much arrives", perSecond: 9, arriving: 40, runMs: 160 },
        { name: "gets no more than that when its runs are short", perSecond: 5, arriving: 90, runMs: 5 },
        { name: "gets no more than that when it is below one a second", perSecond: 0.5, arriving: 20, runMs: 50 },
        { name: "gets next to nothing when it takes nothing", perSecond: 0, arriving: 20, runMs: 50 },
        {
            name: "gets no more than that after its node stood still",
            perSecond: 9,
            arriving: 40,
            runMs: 160,
            pause: { at: 8000, forMs: 6000 },
        },
    ];
    for (const paceCase of cases) {
        it(paceCase.name, () => {
            const starts = runReplay(paceCase);
            expect(countMostInWindow(starts)).at.most(paceCase.perSecond * windowMs / 1000 * 1.5 + 5);
            expect(starts.length).at.least(paceCase.perSecond * 20 * 0.9);
        });
    }

    it("gets the more urgent requests first", () => {
        const starts = runReplay({ name: "", perSecond: 9, arriving: 40, runMs: 100 });
        const urgent = starts.filter(({ priority }) => priority === 0).length;
        expect(urgent / starts.length).above(0.8);
    });

    const answerCases: readonly {
        readonly name: string;
        /** Limits that its answers name, 300 ms apart. */
        readonly named: readonly (number | undefined)[];
        readonly limit: number | undefined;
    }[] = [
        { name: "is held to what it named last", named: [9, 7.5], limit: 7.5 },
        {
            name: "is held to it though some answers don't name it",
            named: [9, undefined, undefined, 9, undefined],
            limit: 9,
        },
        {
            name: "is free again once its answers no longer name one",
            named: [9, undefined, undefined, undefined, undefined],
            limit: undefined,
        },
        { name: "is free as long as no answer names one", named: [undefined, undefined], limit: undefined },
    ];
    for (const { name, named, limit } of answerCases) {
        it(name, () => {
            const namedLimit = new NamedLimit();
            named.forEach((perSecond, index) => namedLimit.record(perSecond, index * 300));
            expect(namedLimit.get()).equals(limit);
        });
    }

    it("is held to it after its node was restarted, but its successor isn't", () => {
        const state = new EndpointState(new FakeClock());
        state.restoreNamedLimit({ endpoint: "a", perSecond: 9 });
        state.applyReport({ id: "a", slots: 10, state: "ready", reportNumber: 4 });
        expect(state.getNamedLimit()).equals(9);
        state.recordNamedLimit("a", 6);
        state.restoreNamedLimit({ endpoint: "a", perSecond: 9 });
        expect(state.getNamedLimit()).equals(6);
        state.applyReport({ id: "b", slots: 10, state: "ready", reportNumber: 1 });
        expect(state.getNamedLimit()).equals(undefined);
    });
});
