/** A deep service that turns work away with room to spare: what is measured, what is decided, and what it serves. */
import { expect } from "chai";
import { ChainAdmission } from "../../src/process/load/chainAdmission.js";
import { SheddingLevels } from "../../src/process/load/sheddingLevels.js";
import { SheddingMonitor } from "../../src/process/load/sheddingMonitor.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";
import type { ChainKind, SheddingPlan } from "./sheddingReplay.js";
import { playSheddingPlan } from "./sheddingReplay.js";

describe("the share that an endpoint turns away", () => {
    const cases: readonly {
        readonly name: string;
        readonly isRejected: (index: number) => boolean;
        readonly utilisation: number;
        readonly idleMs?: number;
        readonly share: readonly [number, number];
    }[] = [
        { name: "is its share with room", isRejected: index => index % 2 === 0, utilisation: 0.3, share: [0.45, 0.55] },
        { name: "is 0 when the endpoint is full", isRejected: () => true, utilisation: 0.95, share: [0, 0] },
        { name: "ends when it takes everything", isRejected: index => index < 200, utilisation: 0.3, share: [0, 0.02] },
        {
            name: "fades when nothing is sent",
            isRejected: () => true,
            utilisation: 0.3,
            idleMs: 6000,
            share: [0.04, 0.07],
        },
    ];
    for (const { name, isRejected, utilisation, idleMs = 0, share } of cases) {
        it(name, () => {
            const clock = new FakeClock();
            const monitor = new SheddingMonitor(clock);
            for (let index = 0; index < 400; index += 1) {
                monitor.record(isRejected(index), utilisation);
            }
            clock.addTime(idleMs);
            expect(monitor.getShare()).within(...share);
        });
    }
});

describe("the level of a service", () => {
    const cases: readonly {
        readonly name: string;
        /** Share and age, in milliseconds, in the order in which they are learned. */
        readonly learned: readonly (readonly [number, number])[];
        readonly laterMs: number;
        readonly share: number;
    }[] = [
        { name: "holds while it is fresh", learned: [[0.5, 200]], laterMs: 500, share: 0.5 },
        { name: "decays when nobody confirms it", learned: [[0.5, 0]], laterMs: 2000, share: 0.25 },
        { name: "is forgotten", learned: [[0.5, 0]], laterMs: 4000, share: 0 },
        { name: "is not changed by an older one", learned: [[0.5, 100], [0, 900]], laterMs: 0, share: 0.5 },
        { name: "is changed by a newer one", learned: [[0.5, 900], [0, 100]], laterMs: 0, share: 0 },
        { name: "is not learned from what is too old", learned: [[0.5, Infinity]], laterMs: 0, share: 0 },
        { name: "is none for single failures", learned: [[0.05, 0]], laterMs: 0, share: 0 },
    ];
    for (const { name, learned, laterMs, share } of cases) {
        it(name, () => {
            const clock = new FakeClock();
            const levels = new SheddingLevels(clock);
            learned.forEach(([shedShare, ageMs]) => levels.learn({ service: "mutu", shedShare, ageMs }));
            clock.addTime(laterMs);
            expect(levels.getShedShare("mutu")).equals(share);
        });
    }
});

describe("a change of a level", () => {
    it("is noted at the beginning and the end, not in between", () => {
        const noted: number[] = [];
        const levels = new SheddingLevels(new FakeClock(), ({ shedShare }) => noted.push(shedShare));
        [0, 0.07, 0.09, 0.07, 0.09, 0.03, 0.07].forEach(shedShare =>
            levels.learn({ service: "mutu", shedShare, ageMs: 0 })
        );
        expect(noted).deep.equals([0.09, 0.03]);
    });
});

/** Part of a route's requests that is begun, by its calls, at a level of the service behind it. */
function countBegun(calls: number, inRow: number, shedShare: number, laterMs = 0): number {
    const clock = new FakeClock();
    const admission = new ChainAdmission(clock, createRandom(5), new SheddingLevels(clock), () => 0.2);
    admission.decide("r", 0);
    admission.recordAnswer("r", [{ service: "mutu", calls, inRow, shedShare, ageMs: 0 }], true, undefined);
    clock.addTime(laterMs);
    let begun = 0;
    for (let index = 0; index < 1000; index += 1) {
        begun += admission.decide("r", 0).kind === "begin" ? 1 : 0;
    }
    return begun / 1000;
}

describe("requests through a shedding service", () => {
    const cases: readonly {
        readonly name: string;
        readonly calls: number;
        readonly inRow: number;
        readonly shedShare: number;
        readonly laterMs?: number;
        readonly begun: readonly [number, number];
    }[] = [
        { name: "are begun where it turns little away", calls: 8, inRow: 4, shedShare: 0.2, begun: [1, 1] },
        { name: "are begun where luck and the budget carry some", calls: 4, inRow: 4, shedShare: 0.55, begun: [1, 1] },
        // 0.8 x 8 x 0.2 repeats for 8 x 1.22 needed.
        {
            name: "of several runs are begun as they can be paid",
            calls: 8,
            inRow: 4,
            shedShare: 0.55,
            begun: [0.1, 0.17],
        },
        { name: "are refused where hardly any can be paid", calls: 4, inRow: 4, shedShare: 0.9, begun: [0, 0.3] },
        { name: "are begun when the level is stale", calls: 8, inRow: 4, shedShare: 0.9, laterMs: 6000, begun: [1, 1] },
        { name: "are begun without calls there", calls: 0, inRow: 0, shedShare: 0.9, begun: [1, 1] },
    ];
    for (const { name, calls, inRow, shedShare, laterMs, begun } of cases) {
        it(name, () => {
            expect(countBegun(calls, inRow, shedShare, laterMs)).within(...begun);
        });
    }
});

const kinds: readonly ChainKind[] = [
    { name: "submit", priority: 0, worth: 3, perSecond: 40, branches: 2 },
    { name: "browse", priority: 2, worth: 1, perSecond: 120, branches: 1 },
];

/** Averages of four replays. */
interface Averages {
    readonly worth: number;
    readonly urgent: number;
    readonly wastedRuns: number;
}

function playFour(plan: Pick<SheddingPlan, "shedShare" | "forMs" | "policy">, burst: number): Averages {
    const results = [1, 2, 3, 4].map(seed =>
        playSheddingPlan({
            ...plan,
            kinds,
            random: createRandom(seed),
            getRateFactor: at => at > 20_000 ? burst : 1,
        })
    );
    const average = (read: (result: typeof results[number]) => number): number =>
        results.reduce((sum, result) => sum + read(result), 0) / results.length;
    return {
        worth: average(result => result.servedWorth),
        urgent: average(result => result.byKind.get("submit")!.served / result.byKind.get("submit")!.asked),
        wastedRuns: average(result => result.wastedRuns),
    };
}

describe("chains through a service that turns away part of its work, replayed", () => {
    const cases: readonly {
        readonly shedShare: number;
        readonly forMs: number;
        readonly burst: number;
        /** Least multiples of what is served without plans: the worth, and the most urgent requests. */
        readonly worth: number;
        readonly urgent: number;
        /** Largest multiple of the runs in vain. */
        readonly wasted: number;
    }[] = [
        { shedShare: 0.3, forMs: 8000, burst: 1, worth: 0.97, urgent: 0.97, wasted: 1.03 },
        { shedShare: 0.55, forMs: 8000, burst: 1, worth: 1.15, urgent: 1.25, wasted: 0.6 },
        { shedShare: 0.55, forMs: 8000, burst: 1.6, worth: 1.1, urgent: 1.3, wasted: 0.65 },
        { shedShare: 0.55, forMs: Infinity, burst: 1, worth: 1, urgent: 1, wasted: 0.7 },
        { shedShare: 0.8, forMs: 8000, burst: 1, worth: 1.2, urgent: 2, wasted: 0.4 },
        { shedShare: 0.8, forMs: Infinity, burst: 1, worth: 1.5, urgent: 2, wasted: 0.5 },
    ];
    for (const { shedShare, forMs, burst, worth, urgent, wasted } of cases) {
        const length = forMs === Infinity ? "for good" : `for ${forMs / 1000} s`;
        it(`serve more and run less in vain: ${shedShare} ${length}, load times ${burst}`, () => {
            const before = playFour({ shedShare, forMs, policy: "firstCome" }, burst);
            const planned = playFour({ shedShare, forMs, policy: "planned" }, burst);
            const text = JSON.stringify([before, planned]);
            expect(planned.worth, text).at.least(before.worth * worth);
            expect(planned.urgent, text).at.least(before.urgent * urgent);
            expect(planned.wastedRuns, text).at.most(before.wastedRuns * wasted);
        });
    }
});
