import { expect } from "chai";
import type { AdmissionResult } from "../src/process/load/admission.js";
import { Admission } from "../src/process/load/admission.js";
import { ConcurrencyLimit } from "../src/process/load/concurrencyLimit.js";
import { PriorityThreshold } from "../src/process/load/priorityThreshold.js";
import { createRandom } from "../standin/random.js";
import { FakeClock } from "./fakes.js";

const lowPriority = 20 * 128;
const highPriority = 90 * 128;

/** Plays windows in which so many requests of each priority arrive and so many of those that enter are refused. */
function playWindows(threshold: PriorityThreshold, windows: number, excess: number): void {
    for (let window = 0; window < windows; window += 1) {
        for (let index = 0; index < 100; index += 1) {
            threshold.admit(lowPriority + index);
            threshold.admit(highPriority + index);
        }
        threshold.closeWindow(excess);
    }
}

describe("priority threshold", () => {
    const cases: readonly {
        readonly name: string;
        readonly windows: number;
        readonly refused: number;
        readonly within: [number, number];
    }[] = [
        { name: "stays at 0 without overload", windows: 5, refused: 0, within: [0, 0] },
        {
            name: "rises into the less valuable class by the refused share",
            windows: 1,
            refused: 50,
            within: [lowPriority + 32, lowPriority + 96],
        },
        {
            name: "goes on rising while the overload lasts",
            windows: 6,
            refused: 90,
            within: [lowPriority + 96, highPriority + 127],
        },
    ];
    for (const { name, windows, refused, within } of cases) {
        it(name, () => {
            const threshold = new PriorityThreshold();
            playWindows(threshold, windows, refused);
            expect(threshold.getLevel()).to.be.within(...within);
        });
    }

    it("is back at 0 within two seconds of calm", () => {
        const threshold = new PriorityThreshold();
        playWindows(threshold, 6, 90);
        playWindows(threshold, 10, 0);
        expect(threshold.getLevel()).to.equal(0);
    });
});

describe("concurrency limit", () => {
    const endpoints: readonly {
        readonly name: string;
        readonly computeMs: (limit: number) => number;
        readonly within: [number, number];
    }[] = [
        { name: "stays at the slots while run times are as usual", computeMs: () => 10, within: [20, 20] },
        { name: "comes back when the endpoint is slower at any limit", computeMs: () => 60, within: [18, 20] },
        { name: "falls when runs get slower with their number", computeMs: limit => 6 * limit, within: [1, 12] },
    ];
    for (const { name, computeMs, within } of endpoints) {
        it(name, () => {
            const limit = new ConcurrencyLimit(new FakeClock(), true);
            limit.setSlots(20, false);
            for (let run = 0; run < 200; run += 1) {
                limit.recordRun(10);
            }
            for (let run = 0; run < 1000; run += 1) {
                limit.recordRun(computeMs(limit.get()));
            }
            expect(limit.get()).to.be.within(...within);
        });
    }

    it("stays low while the congestion lasts", () => {
        const limit = new ConcurrencyLimit(new FakeClock(), true);
        limit.setSlots(20, false);
        for (let run = 0; run < 200; run += 1) {
            limit.recordRun(10);
        }
        for (let run = 0; run < 20_000; run += 1) {
            limit.recordRun(6 * limit.get());
            expect(run < 1000 || limit.get() <= 12, `limit ${limit.get()} after ${run} runs`).to.equal(true);
        }
    });

    it("stays at the slots while run times vary without any trend", () => {
        const random = createRandom(20261203);
        const limit = new ConcurrencyLimit(new FakeClock(), true);
        limit.setSlots(20, false);
        for (let run = 0; run < 20_000; run += 1) {
            limit.recordRun(-10 * Math.log(1 - random()));
            expect(limit.get()).to.be.within(14, 20);
        }
        expect(limit.get()).to.be.within(18, 20);
    });

    it("starts low for a cold endpoint and is whole after a second", () => {
        const clock = new FakeClock();
        const limit = new ConcurrencyLimit(clock, true);
        limit.setSlots(20, true);
        expect(limit.get()).to.equal(5);
        clock.addTime(1000);
        expect(limit.get()).to.equal(20);
    });
});

describe("admission queue", () => {
    it("serves the most valuable first and gives up the least valuable when it is full", async () => {
        const admission = new Admission(new FakeClock(), "adaptive");
        admission.setSlots(1, false);
        const running = await admission.request(lowPriority, 1000);
        const results: [string, Promise<AdmissionResult>][] = ["low", "low", "low", "low", "high"].map(
            name => [name, admission.request(name === "high" ? highPriority : lowPriority, 1000)],
        );
        if (running.kind === "admitted") {
            running.release(10);
        }
        expect((await results[4]![1]).kind).to.equal("admitted");
        expect((await results[3]![1]).kind).to.equal("refused");
    });
});

describe("admission by deadline", () => {
    const cases: readonly {
        readonly name: string;
        readonly priority: number;
        readonly kind: AdmissionResult["kind"];
    }[] = [
        { name: "refuses what would wait too long behind its equals", priority: lowPriority, kind: "refused" },
        {
            name: "does not count those that wait behind a more valuable request",
            priority: highPriority,
            kind: "admitted",
        },
    ];
    for (const { name, priority, kind } of cases) {
        it(name, async () => {
            const admission = new Admission(new FakeClock(), "adaptive");
            admission.setSlots(1, false);
            const first = await admission.request(lowPriority, 10_000);
            if (first.kind === "admitted") {
                first.release(100);
            }
            const running = await admission.request(lowPriority, 10_000);
            const waiting = [1, 2, 3].map(() => admission.request(lowPriority, 10_000));
            const result = admission.request(priority, 300);
            if (running.kind === "admitted") {
                running.release(100);
            }
            expect((await result).kind).to.equal(kind);
            expect(waiting).to.have.length(3);
        });
    }
});

/** An endpoint of 5 slots and 50 ms in virtual time, with entries that learn of the threshold a while later. */
class EndpointModel {
    readonly clock = new FakeClock();
    readonly admission = new Admission(this.clock, "adaptive");
    readonly completed = { low: 0, high: 0 };
    refused = 0;
    private readonly random = createRandom(20261203);
    /** Thresholds as the entries learn of them, one for each millisecond. */
    private readonly thresholdHistory: number[] = [];
    private readonly running: { readonly endsAt: number; readonly end: () => void; }[] = [];

    constructor() {
        this.admission.setSlots(5, false);
    }

    /** Plays a time with Poisson arrivals of each class. */
    async play(milliseconds: number, lowPerSecond: number, highPerSecond: number): Promise<void> {
        for (let tick = 0; tick < milliseconds; tick += 1) {
            this.clock.addTime(1);
            this.endRuns();
            this.addArrival("low", lowPerSecond);
            this.addArrival("high", highPerSecond);
            this.thresholdHistory.push(this.admission.getThreshold());
            if (this.clock.readMonotonic() % 200 === 0) {
                this.admission.closeWindow();
            }
            // Lets what was admitted in this millisecond start.
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    private endRuns(): void {
        while (this.running.length > 0 && this.running[0]!.endsAt <= this.clock.readMonotonic()) {
            this.running.shift()!.end();
        }
    }

    private addArrival(name: "low" | "high", perSecond: number): void {
        const priority = (name === "low" ? lowPriority : highPriority) + Math.floor(this.random() * 128);
        if (this.random() >= perSecond / 1000) {
            return;
        }
        if (priority < (this.thresholdHistory.at(-100) ?? 0)) {
            this.refused += 1;
            return;
        }
        void this.run(name, priority);
    }

    private async run(name: "low" | "high", priority: number): Promise<void> {
        const result = await this.admission.request(priority, 1000);
        if (result.kind === "refused") {
            this.refused += 1;
            return;
        }
        const end = (): void => {
            result.release(50);
            this.completed[name] += 1;
        };
        this.running.push({ endsAt: this.clock.readMonotonic() + 50, end });
    }
}

describe("admission over time", () => {
    const seconds = 20;

    it("keeps an endpoint busy and serves the most valuable while three times its capacity arrives", async () => {
        const endpoint = new EndpointModel();
        await endpoint.play(seconds * 1000, 250, 50);
        expect(endpoint.completed.high).to.be.greaterThan(50 * seconds * 0.95);
        expect(endpoint.completed.high + endpoint.completed.low).to.be.greaterThan(100 * seconds * 0.9);
    });

    it("refuses nothing at four fifths of the capacity", async () => {
        const endpoint = new EndpointModel();
        await endpoint.play(seconds * 1000, 40, 40);
        expect(endpoint.refused).to.equal(0);
    });

    it("lets everything in again within two seconds after a surge", async () => {
        const endpoint = new EndpointModel();
        await endpoint.play(seconds * 1000, 250, 50);
        await endpoint.play(2000, 30, 30);
        expect(endpoint.admission.getThreshold()).to.equal(0);
    });
});
