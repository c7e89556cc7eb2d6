/** Replay of an overloaded service several calls deep, in virtual time, with the product's own decisions. */
import { EntryThrottle } from "../../src/process/load/entryThrottle.js";
import type { Candidate } from "../../src/process/load/runQueue.js";
import { RunQueue } from "../../src/process/load/runQueue.js";
import type { Random } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

/** A deployment with a deep service. Times are in milliseconds. */
export interface ReplayPlan {
    /** Nodes at which requests enter. */
    readonly nodes: number;
    /** Instances of the deep service, and requests that each runs at once. */
    readonly instances: number;
    readonly limit: number;
    /** Average time of a run at the deep service and of the run that makes the calls. */
    readonly deepMs: number;
    readonly ownMs: number;
    /** Time after which a request is given up, and longest time of one call. */
    readonly timeoutMs: number;
    readonly callTimeoutMs: number;
}

/** Calls that each request makes to the deep service, one after the other. */
const callsEach = 4;
/** Length of a replay, and its part that is not counted, in milliseconds. */
const lengthMs = 20_000;
const warmUpMs = 3000;

/** A kind of request. */
export interface RequestKind {
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
export class Replay {
    readonly tallies = new Map<string, Tally>();
    /** Runs at the deep service for requests that were served in the end. */
    usefulRuns = 0;
    private readonly clock = new FakeClock();
    private readonly startedAt = this.clock.readMonotonic();
    private readonly throttles: readonly EntryThrottle[];
    private readonly queues: readonly RunQueue<Call>[];

    constructor(
        private readonly plan: ReplayPlan,
        private readonly random: Random,
        /** Factor on the rate of arrivals at a time, in milliseconds from the start. */
        private readonly getRateFactor: (at: number) => number,
    ) {
        this.throttles = Array.from({ length: plan.nodes }, () => new EntryThrottle(this.clock, random));
        this.queues = Array.from({ length: plan.instances }, () => new RunQueue<Call>());
        this.queues.forEach(queue => queue.setLimit(plan.limit));
    }

    /** Plays the whole length. Returns the part of the deep service's time that went into requests that were served. */
    play(kinds: readonly RequestKind[]): number {
        for (const kind of kinds) {
            this.tallies.set(kind.name, { asked: 0, served: 0 });
            this.startNext(kind);
        }
        const { instances, limit, deepMs, timeoutMs } = this.plan;
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
        const { nodes, ownMs, timeoutMs, callTimeoutMs } = this.plan;
        const tally = this.tallies.get(kind.name)!;
        tally.asked += isCounted ? 1 : 0;
        const throttle = this.throttles[Math.floor(this.random() * nodes)]!;
        const enteredAt = this.clock.readMonotonic();
        if (!throttle.admit(kind.name)) {
            return;
        }
        let utilisation = 0;
        const finish = (isServed: boolean): void => {
            throttle.recordAnswer(kind.name, kind.priority, { isOverloaded: !isServed, utilisation }, enteredAt);
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
                originRoute: kind.name,
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
        return load / (this.plan.instances * this.plan.limit);
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
        const { deepMs } = this.plan;
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
