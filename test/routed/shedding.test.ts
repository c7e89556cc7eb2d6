/** A deep service that turns work away with room to spare: what is measured, what is decided, and what it serves. */
import { expect } from "chai";
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

/** Kinds of requests: the urgent ones with as many calls as the others, or with two runs that make as many each. */
const kindsByShape: Readonly<Record<"one run" | "two runs", readonly ChainKind[]>> = {
    "one run": [
        { name: "transfer", priority: 0, worth: 3, perSecond: 140, branches: 1 },
        { name: "browse", priority: 2, worth: 1, perSecond: 330, branches: 1 },
    ],
    "two runs": [
        { name: "transfer", priority: 0, worth: 3, perSecond: 40, branches: 2 },
        { name: "browse", priority: 2, worth: 1, perSecond: 120, branches: 1 },
    ],
};

/** Averages of four replays. */
interface Averages {
    readonly worth: number;
    readonly urgent: number;
}

function playFour(plan: Omit<SheddingPlan, "random">): Averages {
    const results = [1, 2, 3, 4].map(seed => playSheddingPlan({ ...plan, random: createRandom(seed) }));
    const average = (read: (result: typeof results[number]) => number): number =>
        results.reduce((sum, result) => sum + read(result), 0) / results.length;
    return {
        worth: average(result => result.servedWorth),
        urgent: average(result => result.byKind.get("transfer")!.served / result.byKind.get("transfer")!.asked),
    };
}

describe("chains through a service that turns away part of its work, replayed", () => {
    const cases: readonly {
        readonly shape: keyof typeof kindsByShape;
        readonly shedShare: number;
        readonly forMs: number;
        /** Least multiples of what is served where repeats go to whoever comes first: the worth, and the urgent requests. */
        readonly worth: number;
        readonly urgent: number;
    }[] = [
        { shape: "one run", shedShare: 0.3, forMs: 3000, worth: 0.94, urgent: 0.99 },
        { shape: "one run", shedShare: 0.3, forMs: 8000, worth: 1.1, urgent: 1.3 },
        { shape: "one run", shedShare: 0.55, forMs: 8000, worth: 1.5, urgent: 2.2 },
        { shape: "one run", shedShare: 0.55, forMs: Infinity, worth: 1.5, urgent: 2.2 },
        { shape: "one run", shedShare: 0.8, forMs: 8000, worth: 2, urgent: 3 },
        { shape: "two runs", shedShare: 0.3, forMs: 8000, worth: 1, urgent: 1.2 },
        { shape: "two runs", shedShare: 0.55, forMs: 8000, worth: 1, urgent: 1.6 },
        { shape: "two runs", shedShare: 0.55, forMs: Infinity, worth: 1, urgent: 1.8 },
    ];
    for (const { shape, shedShare, forMs, worth, urgent } of cases) {
        const length = forMs === Infinity ? "for good" : `for ${forMs / 1000} s`;
        it(`serve more where repeats go by value: ${shedShare} ${length}, ${shape}`, () => {
            const kinds = kindsByShape[shape];
            const firstCome = playFour({ kinds, shedShare, forMs, policy: "firstCome" });
            const byValue = playFour({ kinds, shedShare, forMs, policy: "byValue" });
            const text = JSON.stringify([firstCome, byValue]);
            expect(byValue.worth, text).at.least(firstCome.worth * worth);
            expect(byValue.urgent, text).at.least(firstCome.urgent * urgent);
        });
    }
});
