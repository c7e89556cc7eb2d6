/** The gate at the entry, alone and with the line of a deep service that is full, in virtual time. */
import { expect } from "chai";
import { EntryThrottle } from "../../src/process/entryThrottle.js";
import type { Candidate } from "../../src/process/runQueue.js";
import { RunQueue } from "../../src/process/runQueue.js";
import type { Random } from "../../standin/random.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

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
            throttle.recordAnswer("page", overloadedSample, clock.readMonotonic());
            throttle.recordAnswer("advance", { isOverloaded: false, utilisation: 0.5 }, clock.readMonotonic());
        }
        expect(throttle.getAdmittedFraction("page")).below(0.2);
        expect(throttle.getAdmittedFraction("advance")).equals(1);
    });

    it("closes once for one peak, whatever its requests met before", () => {
        const clock = new FakeClock();
        const throttle = new EntryThrottle(clock, createRandom(5));
        const admittedAt = clock.readMonotonic();
        for (let index = 0; index < 40; index += 1) {
            clock.addTime(50);
            throttle.recordAnswer("page", overloadedSample, admittedAt);
        }
        expect(throttle.getAdmittedFraction("page")).closeTo(0.4, 0.01);
    });
});

/** Nodes at which requests enter. */
const nodes = 16;
/** Instances of the deep service, and requests that each runs at once. */
const instances = 3;
const limit = 37;
/** Average time of a run at the deep service and of the run that makes the calls, in milliseconds. */
const deepMs = 56;
const ownMs = 150;
/** Calls that each request makes to the deep service, one after the other. */
const callsEach = 4;
/** Time after which a request is given up, and longest time of one call, in milliseconds. */
const timeoutMs = 1000;
const callTimeoutMs = 700;
/** Length of a replay, and its part that is not counted, in milliseconds. */
const lengthMs = 20_000;
const warmUpMs = 3000;

/** A kind of request. */
interface RequestKind {
    readonly name: string;
    readonly priority: number;
    readonly perSecond: number;
}

/** A call that waits at the deep service. */
interface Call extends Candidate {
    readonly finish: (isServed: boolean) => void;
}

/** What became of the requests of one kind. */
interface Tally {
    asked: number;
    served: number;
}

/** Requests that run, and then make calls to a deep service that has too little room for all. */
class Replay {
    readonly tallies = new Map<string, Tally>();
    /** Runs at the deep service for requests that were served in the end. */
    usefulRuns = 0;
    private readonly clock = new FakeClock();
    private readonly startedAt = this.clock.readMonotonic();
    private readonly throttles: readonly EntryThrottle[];
    private readonly queues: readonly RunQueue<Call>[];

    constructor(
        private readonly random: Random,
        /** Factor on the rate of arrivals at a time, in milliseconds from the start. */
        private readonly getRateFactor: (at: number) => number,
    ) {
        this.throttles = Array.from({ length: nodes }, () => new EntryThrottle(this.clock, random));
        this.queues = Array.from({ length: instances }, () => new RunQueue<Call>());
        this.queues.forEach(queue => queue.setLimit(limit));
    }

    /** Plays the whole length. Returns the part of the deep service's time that went into requests that were served. */
    play(kinds: readonly RequestKind[]): number {
        for (const kind of kinds) {
            this.tallies.set(kind.name, { asked: 0, served: 0 });
            this.startNext(kind);
        }
        this.clock.addTime(lengthMs + 2 * timeoutMs);
        const possible = instances * limit * (lengthMs - warmUpMs) / deepMs;
        return this.usefulRuns / possible;
    }

    private startNext(kind: RequestKind): void {
        const at = this.clock.readMonotonic() - this.startedAt;
        if (at < lengthMs) {
            this.send(kind, at >= warmUpMs);
            const gapMs = -Math.log(1 - this.random() * 0.999) * 1000 / (kind.perSecond * this.getRateFactor(at));
            this.clock.startTimer(gapMs, () => this.startNext(kind));
        }
    }

    private send(kind: RequestKind, isCounted: boolean): void {
        const tally = this.tallies.get(kind.name)!;
        tally.asked += isCounted ? 1 : 0;
        const throttle = this.throttles[Math.floor(this.random() * nodes)]!;
        const enteredAt = this.clock.readMonotonic();
        if (!throttle.admit(kind.name)) {
            return;
        }
        let utilisation = 0;
        const finish = (isServed: boolean): void => {
            throttle.recordAnswer(kind.name, { isOverloaded: !isServed, utilisation }, enteredAt);
            tally.served += isCounted && isServed ? 1 : 0;
            this.usefulRuns += isCounted && isServed ? callsEach : 0;
        };
        const call = (served: number): void => {
            const now = this.clock.readMonotonic();
            if (served === callsEach || now > enteredAt + timeoutMs) {
                finish(served === callsEach);
                return;
            }
            this.offer({
                depth: 2,
                servedBefore: served,
                priority: kind.priority,
                route: "deep",
                deadline: Math.min(enteredAt + timeoutMs, now + callTimeoutMs),
                target: now + 300,
                finish: isServed => {
                    utilisation = Math.max(utilisation, this.computeUtilisation());
                    if (!isServed) {
                        finish(false);
                        return;
                    }
                    call(served + 1);
                },
            });
        };
        this.clock.startTimer(ownMs * (0.5 + this.random()), () => call(0));
    }

    private computeUtilisation(): number {
        const load = this.queues.reduce((sum, queue) => sum + queue.getRunning() + queue.getWaiting(), 0);
        return load / (instances * limit);
    }

    /** Offers a call to the least loaded instances in turn. */
    private offer(call: Call): void {
        const load = (queue: RunQueue<Call>): number => queue.getRunning() + queue.getWaiting();
        for (const queue of [...this.queues].sort((a, b) => load(a) - load(b))) {
            const decision = queue.offer(call, this.clock.readMonotonic());
            if (decision.kind === "run") {
                this.run(queue, call);
                return;
            }
            if (decision.kind === "wait") {
                this.refuseLate(queue);
                return;
            }
        }
        call.finish(false);
    }

    private run(queue: RunQueue<Call>, call: Call): void {
        this.clock.startTimer(deepMs * (0.6 + 0.8 * this.random()), () => {
            queue.release(call.route, deepMs);
            this.refuseLate(queue);
            for (let next = queue.takeNext(); next !== undefined; next = queue.takeNext()) {
                this.run(queue, next);
            }
            call.finish(true);
        });
    }

    private refuseLate(queue: RunQueue<Call>): void {
        queue.removeLate(this.clock.readMonotonic()).forEach(each => each.finish(false));
    }
}

describe("a full service behind several others", () => {
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
            const replay = new Replay(createRandom(1), getRate);
            expect(replay.play([urgent, { name: "page", priority: 2, perSecond }])).at.least(share);
            const { asked, served } = replay.tallies.get("advance")!;
            expect(served / asked).at.least(0.99);
        });
    }
});
