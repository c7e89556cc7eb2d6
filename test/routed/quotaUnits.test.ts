/** What a holder and a grantor of units each do, message by message. */
import { expect } from "chai";
import type { QuotaBounds } from "../../src/process/customers/quotaBound.js";
import { computeSupply, unitLeaseMs } from "../../src/process/customers/quotaBound.js";
import { SuspensionDetector } from "../../src/process/customers/suspensionDetector.js";
import { supportMs, UnitGrantor } from "../../src/process/customers/unitGrantor.js";
import type { TakeResult } from "../../src/process/customers/unitHolder.js";
import { UnitHolder } from "../../src/process/customers/unitHolder.js";
import type { AskedUnits, AskUnitsMessage, GrantedUnits } from "../../src/process/customers/unitMessages.js";
import type { Quota } from "../../src/version/customer.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

const bounds: QuotaBounds = { windowMs: 5000, overage: 0.1, slack: 20 };
const quota: Quota = { requestsPerSecond: 10, burst: 10 };
const { capacity } = computeSupply(quota, bounds);

/** A holder whose grantors answer when a test says so. */
class HolderBench {
    readonly sent: { readonly to: string; readonly message: AskUnitsMessage; readonly at: number; }[] = [];
    readonly lost = new Set<string>();
    readonly holder: UnitHolder;

    constructor(isFirstStart = true, readonly clock = new FakeClock()) {
        this.holder = new UnitHolder({
            clock: this.clock,
            random: createRandom(3),
            group: 0,
            listCandidates: () => ["a", "b", "c"],
            isLinked: address => !this.lost.has(address),
            send: (to, message) => this.sent.push({ to, message, at: this.clock.readMonotonic() }),
            countNodes: () => 3,
            isFirstStart,
        });
    }

    /** Takes without waiting for the result. */
    take(): { result: TakeResult | undefined; } {
        const taken: { result: TakeResult | undefined; } = { result: undefined };
        void Promise.resolve(this.holder.take("weavers", 400)).then(result => taken.result = result);
        return taken;
    }

    /** Answers the last message. */
    answer(...items: GrantedUnits[]): void {
        const { to, message } = this.sent.at(-1)!;
        const { group, session, number } = message;
        this.holder.receive(to, { kind: "grantUnits", group, session, number, stamp: "s 1", items });
    }

    /** Lets time pass as a node does, which updates its holders. Grantors that are not lost answer. */
    wait(milliseconds: number): void {
        for (let passed = 0; passed < milliseconds; passed += 100) {
            this.clock.addTime(100);
            const before = this.sent.length;
            this.holder.update(true);
            if (this.sent.length > before) {
                this.answer();
            }
        }
    }
}

async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

describe("a holder of units", () => {
    it("has a request wait for its unit", async () => {
        const bench = new HolderBench();
        const taken = bench.take();
        await settle();
        expect(taken.result).equals(undefined);
        bench.answer(["weavers", 1, 0]);
        await settle();
        expect(taken.result?.kind).equals("granted");
    });

    it("asks once for requests that come while a message is under way", () => {
        const bench = new HolderBench();
        [1, 2, 3].forEach(() => bench.take());
        bench.answer(["weavers", 1, 0]);
        expect(bench.sent.map(({ message }) => message.items)).deep.equals([
            [["weavers", 0, 0, 1]],
            [["weavers", 1, 0, 2]],
        ]);
    });

    it("refuses without a message while none is to be had, and says when one is expected", async () => {
        const bench = new HolderBench();
        bench.take();
        bench.answer(["weavers", 0, 300]);
        const taken = bench.take();
        await settle();
        expect(taken.result).deep.equals({ kind: "none", cause: "quota", retryAfterMs: 300 });
        expect(bench.sent.length).equals(1);
    });

    it("asks ahead for as many as were refused", () => {
        const bench = new HolderBench();
        bench.take();
        bench.answer(["weavers", 0, 300]);
        [1, 2, 3].forEach(() => bench.take());
        bench.clock.addTime(150);
        bench.holder.update(true);
        expect(bench.sent[1]!.message.items).deep.equals([["weavers", 0, 0, 4]]);
    });

    const answeredLate = [
        { title: "uses no unit that arrives after its lease", lateMs: unitLeaseMs, kind: undefined },
        { title: "uses one that arrives within it", lateMs: unitLeaseMs - 1, kind: "granted" },
    ];
    for (const { title, lateMs, kind } of answeredLate) {
        it(title, async () => {
            const bench = new HolderBench();
            const taken = bench.take();
            bench.clock.addTime(lateMs);
            bench.answer(["weavers", 1, 0]);
            await settle();
            expect(taken.result?.kind).equals(kind);
        });
    }

    it("uses a unit again whose request ran nowhere", async () => {
        const bench = new HolderBench();
        const first = bench.take();
        bench.answer(["weavers", 1, 0]);
        await settle();
        bench.holder.releaseUnit((first.result as TakeResult & { kind: "granted"; }).unit);
        const second = bench.take();
        await settle();
        expect([second.result?.kind, bench.sent.length]).deep.equals(["granted", 1]);
    });

    it("gives back late what it may not use again: nothing", async () => {
        const bench = new HolderBench();
        const first = bench.take();
        bench.answer(["weavers", 1, 0]);
        await settle();
        bench.clock.addTime(unitLeaseMs);
        bench.holder.releaseUnit((first.result as TakeResult & { kind: "granted"; }).unit);
        bench.take();
        expect(bench.sent.at(-1)!.message.items).deep.equals([["weavers", 1, 0, 1]]);
    });

    it("drops its units when the limits change", async () => {
        const bench = new HolderBench();
        bench.take();
        bench.answer(["weavers", 5, 0]);
        bench.holder.forgetSession();
        const taken = bench.take();
        await settle();
        expect(taken.result).equals(undefined);
    });

    it("supports no other grantor before its promise is over", () => {
        const bench = new HolderBench();
        bench.take();
        bench.answer(["weavers", 1, 0]);
        bench.lost.add("a");
        bench.wait(supportMs + 500);
        const toNext = bench.sent.filter(({ to }) => to === "b");
        const supports = toNext.filter(({ message }) => message.isSupporting);
        expect(toNext.length - supports.length).above(0);
        expect(supports[0]!.at - bench.sent[0]!.at).at.least(supportMs);
    });

    it("supports nobody in the first second after a restart, since the process before may have", () => {
        const bench = new HolderBench(false);
        bench.wait(supportMs - 100);
        expect(bench.sent.map(({ message }) => message.isSupporting)).not.include(true);
    });

    it("counts the time that a process took to run its first code to that second", () => {
        const clock = new FakeClock();
        clock.addTime(supportMs - 300);
        const bench = new HolderBench(false, clock);
        bench.wait(200);
        expect(bench.sent.map(({ message }) => message.isSupporting)).not.include(true);
        bench.wait(600);
        const [first] = bench.sent.filter(({ message }) => message.isSupporting);
        expect(first!.at - clock.readProcessStart()).within(supportMs, supportMs + 400);
    });

    it("tells a request that it refuses before it may support anybody to come back soon after", async () => {
        const bench = new HolderBench(false);
        const taken = bench.take();
        bench.clock.addTime(400);
        await settle();
        const retryAfterMs = supportMs - 400 + 200;
        expect(taken.result).deep.equals({ kind: "none", cause: "noGrantor", retryAfterMs });
    });

    it("asks the next grantor when one does not answer", () => {
        const bench = new HolderBench();
        bench.take();
        bench.clock.addTime(401);
        bench.holder.update(true);
        expect(bench.sent.map(({ to }) => to)).deep.equals(["a", "b"]);
    });

    it("refuses what waited in vain", async () => {
        const bench = new HolderBench();
        const taken = bench.take();
        bench.clock.addTime(400);
        await settle();
        expect(taken.result).deep.equals({ kind: "none", cause: "noGrantor", retryAfterMs: 700 });
    });
});

/** A grantor that three nodes ask. */
class GrantorBench {
    readonly clock = new FakeClock();
    quota: Quota | undefined = quota;
    readonly grantor = new UnitGrantor({
        clock: this.clock,
        processId: "p",
        findQuota: () => this.quota,
        countNodes: () => 3,
    }, bounds);
    private readonly stamps = new Map<string, string>();
    private number = 0;

    /** Has a holder ask; returns the items of the answer. */
    ask(
        holder: string,
        items: readonly AskedUnits[] = [],
        change: Partial<AskUnitsMessage> = {},
    ): readonly GrantedUnits[] {
        this.number += 1;
        const answer = this.grantor.receive(holder, {
            kind: "askUnits",
            group: 0,
            session: 1,
            number: this.number,
            stamp: this.stamps.get(holder) ?? "",
            isSupporting: true,
            nodes: 3,
            items,
            ...change,
        });
        this.stamps.set(holder, answer.stamp);
        return answer.items;
    }

    /** Has holders support the grantor for a time. */
    keepSupport(holders: readonly string[], milliseconds: number): void {
        for (let passed = 0; passed < milliseconds; passed += 100) {
            holders.forEach(holder => this.ask(holder));
            this.clock.addTime(100);
        }
    }
}

describe("a grantor of units", () => {
    it("grants nothing at first, and what accrued later", () => {
        const bench = new GrantorBench();
        const first = bench.ask("x", [["weavers", 0, 0, 1000]]);
        bench.keepSupport(["x", "y", "z"], 1000);
        const [[, granted]] = bench.ask("x", [["weavers", 0, 0, 1000]]) as [GrantedUnits];
        expect(first).deep.equals([["weavers", 0, -1]]);
        expect(granted).within(8, 10);
    });

    it("has no more units than the capacity, those at holders included", () => {
        const bench = new GrantorBench();
        bench.keepSupport(["x", "y", "z"], 60_000);
        const [[, atX]] = bench.ask("x", [["weavers", 0, 0, 20]]) as [GrantedUnits];
        const [[, atY]] = bench.ask("y", [["weavers", 0, 0, 1000]]) as [GrantedUnits];
        expect(atX + atY).equals(Math.floor(capacity));
    });

    it("grants nothing once most nodes have left it", () => {
        const bench = new GrantorBench();
        bench.keepSupport(["x", "y", "z"], 10_000);
        bench.clock.addTime(supportMs);
        bench.keepSupport(["x"], 1000);
        expect(bench.ask("x", [["weavers", 0, 0, 1]])[0]![2]).below(0.5 * 1000);
        expect(bench.grantor.getShare()).below(0.2);
    });

    it("counts a support from its own stamp, however late the message is", () => {
        const bench = new GrantorBench();
        bench.keepSupport(["x", "y", "z"], 500);
        bench.clock.addTime(supportMs);
        // Each repeats the stamp of its last answer.
        ["x", "y", "z"].forEach(holder => bench.ask(holder, [], { stamp: "p 1000400" }));
        bench.clock.addTime(100);
        expect(bench.grantor.getShare()).equals(0);
    });

    it("takes no support for a process that was here before", () => {
        const bench = new GrantorBench();
        ["x", "y", "z"].forEach(holder => bench.ask(holder, [], { stamp: "q 99999999999" }));
        bench.clock.addTime(100);
        expect(bench.grantor.getShare()).equals(0);
    });

    it("grants units again that come back within their lease", () => {
        const bench = new GrantorBench();
        bench.keepSupport(["x", "y", "z"], 60_000);
        bench.ask("x", [["weavers", 0, 0, 1000]]);
        const all = Math.floor(capacity);
        bench.ask("x", [["weavers", all, all, 0]]);
        expect(bench.ask("y", [["weavers", 0, 0, 1000]])[0]![1]).equals(all);
    });

    it("counts units as used that come back later", () => {
        const bench = new GrantorBench();
        bench.keepSupport(["x", "y", "z"], 60_000);
        bench.ask("x", [["weavers", 0, 0, 1000]]);
        bench.clock.addTime(unitLeaseMs);
        const all = Math.floor(capacity);
        bench.ask("x", [["weavers", all, all, 0]]);
        expect(bench.ask("y", [["weavers", 0, 0, 1000]])[0]![1]).at.most(3);
    });

    it("cuts what accrued when the limit is lowered", () => {
        const bench = new GrantorBench();
        bench.keepSupport(["x", "y", "z"], 60_000);
        bench.ask("x", [["weavers", 0, 0, 1]]);
        bench.quota = { requestsPerSecond: 1, burst: 0 };
        bench.grantor.updateQuotas();
        const lowered = computeSupply(bench.quota, bounds);
        expect(bench.ask("y", [["weavers", 0, 0, 1000]])[0]![1]).equals(Math.floor(lowered.capacity - 1));
    });

    it("grants nothing for a customer without a quota", () => {
        const bench = new GrantorBench();
        bench.keepSupport(["x", "y", "z"], 1000);
        bench.quota = undefined;
        expect(bench.ask("x", [["weavers", 0, 0, 1]])).deep.equals([["weavers", 0, -1]]);
    });
});

describe("a suspension of the machine", () => {
    const cases = [
        { title: "shows when the time of day went on alone", monotonicMs: 10, dateMs: 2000, isSuspended: true },
        { title: "is not seen when both went on", monotonicMs: 2000, dateMs: 2000, isSuspended: false },
        { title: "is not seen when the time of day steps back", monotonicMs: 10, dateMs: -3000, isSuspended: false },
    ];
    for (const { title, monotonicMs, dateMs, isSuspended } of cases) {
        it(title, () => {
            const time = { monotonic: 0, date: 1_000_000 };
            const clock = Object.assign(new FakeClock(), {
                readMonotonic: () => time.monotonic,
                readDate: () => new Date(time.date),
            });
            const detector = new SuspensionDetector(clock);
            time.monotonic += monotonicMs;
            time.date += dateMs;
            expect(detector.checkSuspended()).equals(isSuspended);
        });
    }
});
