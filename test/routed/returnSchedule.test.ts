/** Refused callers that come back: when they are told to, and who goes first. */
import { expect } from "chai";
import type { RefusedRequest } from "../../src/process/load/returnSchedule.js";
import { ReturnSchedule } from "../../src/process/load/returnSchedule.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";
import { playReturns, returnRoutes } from "./returnReplay.js";

describe("callers that are refused", () => {
    let clock: FakeClock;
    let schedule: ReturnSchedule;
    const refuse = (subject: string, change: Partial<RefusedRequest> = {}, waitMs = 0): number => {
        const now = clock.readMonotonic();
        const request = { subject, service: "s", route: "r", priority: 1, deadline: now + 5000, target: now + 2000 };
        return Math.round(schedule.offerReturn({ ...request, ...change }, waitMs));
    };
    beforeEach(() => {
        clock = new FakeClock();
        schedule = new ReturnSchedule(clock, () => 0);
        // About 20 requests a second are served.
        for (let index = 0; index < 100; index += 1) {
            clock.addTime(50);
            schedule.recordServed("s", "r", 100);
        }
    });

    it("are told times one after the other, at half of the served rate", () => {
        const times = ["a", "b", "c"].map(subject => refuse(subject));
        expect(times[0]).equals(150);
        expect(times[1]! - times[0]!).within(90, 110);
        expect(times[2]! - times[1]!).within(90, 110);
    });

    it("are told earlier times if they are more urgent", () => {
        ["a", "b", "c"].forEach(subject => refuse(subject, { priority: 2 }));
        expect(refuse("urgent", { priority: 0 })).equals(150);
    });

    it("are told no time before the expected room", () => expect(refuse("a", {}, 700)).equals(700));

    it("are told to come within a third of their time where nothing is free before", () => {
        const times = Array.from({ length: 40 }, (_, index) => refuse(`r${index}`));
        expect(Math.max(...times)).at.most(1667);
        expect(schedule.counts.unpromised).above(0);
    });

    const arrivals: readonly {
        readonly name: string;
        readonly afterMs: number;
        readonly deadlineOffsetMs: number;
        readonly isDue: boolean | undefined;
    }[] = [
        { name: "in their time", afterMs: 155, deadlineOffsetMs: 3, isDue: true },
        { name: "too early", afterMs: 5, deadlineOffsetMs: 3, isDue: false },
        { name: "with another end", afterMs: 155, deadlineOffsetMs: 500, isDue: undefined },
    ];
    for (const { name, afterMs, deadlineOffsetMs, isDue } of arrivals) {
        it(`are ${isDue === undefined ? "not " : ""}known when they come ${name}`, () => {
            const deadline = clock.readMonotonic() + 5000;
            const target = clock.readMonotonic() + 2000;
            refuse("a");
            clock.addTime(afterMs);
            expect(schedule.take("a", deadline + deadlineOffsetMs))
                .deep.equals(isDue === undefined ? undefined : { target, isDue });
        });
    }

    it("gain nothing by coming early: they keep the time that they have", () => {
        const change = { deadline: clock.readMonotonic() + 5000 };
        const first = refuse("a", change);
        clock.addTime(5);
        schedule.take("a", change.deadline);
        expect(refuse("a", change)).equals(first - 5);
    });

    it("have the precedence once only", () => {
        const deadline = clock.readMonotonic() + 5000;
        refuse("a");
        clock.addTime(155);
        schedule.take("a", deadline);
        expect(schedule.take("a", deadline)).equals(undefined);
    });

    it("make the entry refuse the same customer's new requests for a moment", () => {
        schedule.recordNoRoom("s", "weavers", 1);
        const ask = (customer: string, priority: number): boolean => schedule.hasNoRoom("s", customer, priority);
        expect([ask("weavers", 1), ask("weavers", 0), ask("dyers", 1)]).deep.equals([true, false, false]);
        clock.addTime(25);
        expect(ask("weavers", 1)).equals(false);
    });
});

describe("a peak over a wave", () => {
    const play = (isScheduled: boolean) => playReturns(returnRoutes, isScheduled, createRandom(11));
    const before = play(false);
    const after = play(true);

    it("earns more with reserved times of return", () => expect(after.worth).at.least(before.worth + 0.015));

    it("keeps the urgent routes whole", () => {
        for (const name of ["submit", "upload"]) {
            const { asked, inTarget } = after.tallies.get(name)!;
            expect(inTarget / asked, name).at.least(0.99);
        }
    });

    it("is served in time sooner after the peak", () => {
        const countLow = (shares: readonly number[]): number => shares.slice(23).filter(share => share < 0.9).length;
        expect(countLow(after.servedBySecond)).below(countLow(before.servedBySecond));
    });

    it("refuses a second time no more than two in a hundred beyond before", () => {
        const sum = ({ tallies }: typeof after): number =>
            [...tallies.values()].reduce((total, { refusedTwice, asked }) => total + refusedTwice / asked, 0);
        expect(sum(after)).at.most(sum(before) + 0.02);
    });
});
