/** The gate at the entry, alone and with the line of a deep service that is full, in virtual time. */
import { expect } from "chai";
import { EntryThrottle } from "../../src/process/load/entryThrottle.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";
import type { RequestKind } from "./deepServiceReplay.js";
import { Replay } from "./deepServiceReplay.js";

const overloadedSample = { isOverloaded: true, utilisation: 1.5 };

describe("gate at the entry", () => {
    it("lets in what a crowded service behind can serve, and all again once it has room", () => {
        const clock = new FakeClock();
        const throttle = new EntryThrottle(clock, createRandom(5));
        const play = (seconds: number, capacity: number): number => {
            let admitted = 0;
            for (let tenth = 0; tenth < seconds * 10; tenth += 1) {
                let inTenth = 0;
                for (let index = 0; index < 10; index += 1) {
                    clock.addTime(10);
                    if (throttle.admit("page")) {
                        inTenth += 1;
                        throttle.recordAnswer(
                            "page",
                            2,
                            { isOverloaded: inTenth > capacity, utilisation: 0.5 },
                            clock.readMonotonic(),
                        );
                    }
                }
                admitted += inTenth;
            }
            return admitted / (seconds * 100);
        };
        expect(play(5, 10)).equals(1);
        play(5, 4);
        expect(play(5, 4)).within(0.3, 0.6);
        play(6, 10);
        expect(play(2, 10)).equals(1);
    });

    it("leaves other routes alone", () => {
        const clock = new FakeClock();
        const throttle = new EntryThrottle(clock, createRandom(5));
        for (let index = 0; index < 100; index += 1) {
            clock.addTime(50);
            throttle.recordAnswer("page", 2, overloadedSample, clock.readMonotonic());
            throttle.recordAnswer("advance", 0, { isOverloaded: false, utilisation: 0.5 }, clock.readMonotonic());
        }
        expect(throttle.getAdmittedFraction("page")).below(0.2);
        expect(throttle.getAdmittedFraction("advance")).equals(1);
    });

    const cases: readonly {
        readonly name: string;
        readonly priority: number;
        readonly utilisation: number;
        readonly isAdmittedLess: boolean;
    }[] = [
        { name: "less urgent that leads to a full service", priority: 2, utilisation: 1.2, isAdmittedLess: true },
        { name: "less urgent that leads to services with room", priority: 2, utilisation: 0.6, isAdmittedLess: false },
        { name: "as urgent", priority: 1, utilisation: 1.2, isAdmittedLess: false },
        { name: "more urgent", priority: 0, utilisation: 1.2, isAdmittedLess: false },
    ];
    for (const { name, priority, utilisation, isAdmittedLess } of cases) {
        it(
            `${isAdmittedLess ? "admits" : "doesn't hold"} a route ${name} ${
                isAdmittedLess ? "no more than" : "to"
            } an urgent one that makes more calls there`,
            () => {
                const clock = new FakeClock();
                const throttle = new EntryThrottle(clock, createRandom(5));
                for (let index = 0; index < 60; index += 1) {
                    clock.addTime(50);
                    const isOverloaded = index % 3 === 0;
                    throttle.recordAnswer("advance", 1, { isOverloaded, utilisation: 1.2 }, clock.readMonotonic());
                    throttle.recordAnswer(
                        "other",
                        priority,
                        { isOverloaded: false, utilisation },
                        clock.readMonotonic(),
                    );
                }
                const admitted = throttle.getAdmittedFraction("advance");
                expect(admitted).within(0.08, 0.6);
                // A third of the admitted urgent ones met the overload.
                const other = throttle.getAdmittedFraction("other");
                expect(other).within(
                    isAdmittedLess ? Math.max(0.08, admitted * 0.6) : 1,
                    isAdmittedLess ? admitted * 0.75 : 1,
                );
            },
        );
    }

    it("holds no route to a more urgent one that brings no requests any more", () => {
        const clock = new FakeClock();
        const throttle = new EntryThrottle(clock, createRandom(5));
        const meet = (route: string, priority: number, isOverloaded: boolean): void =>
            throttle.recordAnswer(route, priority, { isOverloaded, utilisation: 1.2 }, clock.readMonotonic());
        for (let index = 0; index < 60; index += 1) {
            clock.addTime(50);
            meet("advance", 0, true);
            meet("page", 2, false);
        }
        expect(throttle.getAdmittedFraction("page")).below(0.5);
        for (let index = 0; index < 60; index += 1) {
            clock.addTime(50);
            meet("page", 2, false);
        }
        expect(throttle.getAdmittedFraction("page")).equals(1);
    });

    it("closes once for one peak, whatever its requests met before", () => {
        const clock = new FakeClock();
        const throttle = new EntryThrottle(clock, createRandom(5));
        const admittedAt = clock.readMonotonic();
        for (let index = 0; index < 40; index += 1) {
            clock.addTime(50);
            throttle.recordAnswer("page", 2, overloadedSample, admittedAt);
        }
        expect(throttle.getAdmittedFraction("page")).closeTo(0.4, 0.01);
    });
});

describe("a full service behind several others", () => {
    const small = {
        nodes: 16,
        instances: 3,
        limit: 37,
        deepMs: 56,
        ownMs: 150,
        timeoutMs: 1000,
        callTimeoutMs: 700,
    };
    const urgent: RequestKind = { name: "advance", priority: 0, perSecond: 147 };
    const cases: readonly {
        readonly name: string;
        /** Less urgent requests a second. */
        readonly perSecond: number;
        readonly getRateFactor: (at: number) => number;
        /** Least part of its time that has to go into requests that are served. */
        readonly share: number;
    }[] = [
        {
            name: "is used for requests that are served, in a slight overload",
            perSecond: 379,
            getRateFactor: () => 1,
            share: 0.93,
        },
        {
            name: "is used for requests that are served, in a heavy overload",
            perSecond: 800,
            getRateFactor: () => 1,
            share: 0.8,
        },
        {
            name: "is used again soon after a short peak",
            perSecond: 379,
            getRateFactor: at => at > 8000 && at < 10_500 ? 1.7 : 1,
            share: 0.85,
        },
    ];
    for (const { name, perSecond, getRateFactor: getRate, share } of cases) {
        it(name, () => {
            const replay = new Replay(small, createRandom(1), getRate);
            expect(replay.play([urgent, { name: "page", priority: 2, perSecond }])).at.least(share);
            const { asked, served } = replay.tallies.get("advance")!;
            expect(served / asked).at.least(0.99);
        });
    }
});
