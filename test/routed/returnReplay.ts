/** Replay of a peak over a wave of load, with callers that come back after a refusal, in virtual time. */
import { ReturnSchedule } from "../../src/process/load/returnSchedule.js";
import type { Candidate } from "../../src/process/load/runQueue.js";
import { RunQueue } from "../../src/process/load/runQueue.js";
import type { Random } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

/** A kind of request. */
export interface ReturnRoute {
    readonly name: string;
    readonly priority: number;
    /** Share of all requests. */
    readonly share: number;
    readonly worth: number;
    readonly targetMs: number;
}

/** What became of the requests of a route, or of all. */
export interface ReturnTally {
    asked: number;
    inTarget: number;
    late: number;
    refusals: number;
    /** Requests whose caller came back and was refused again. */
    refusedTwice: number;
}

/** Result of a replay. */
export interface ReturnReport {
    readonly tallies: ReadonlyMap<string, ReturnTally>;
    /** Worth earned, as a share of the worth owed; a late answer earns a tenth. */
    readonly worth: number;
    /** Share of the requests, by the second in which they first came, that were served in their target. */
    readonly servedBySecond: readonly number[];
}

const nodes = 8;
const endpoints = 8;
const limit = 10;
const runMs = 100;
const deadlineMs = 5000;
const lengthMs = 34_000;
/** Usual load, as a part of the room, its swing, and the peak. */
const usualLoad = 0.75;
const swing = 0.55;
const wavePeriodMs = 11_000;
const peak = { from: 5000, to: 23_000, factor: 1.8 };
/** Share of the callers that repeat at once, and how often they do. */
const hastyShare = 0.05;
const hastyRepeats = 4;

interface Waiting extends Candidate {
    readonly finish: (isServed: boolean, waitMs: number) => void;
}

/** Plays a peak. Callers come back once after a refusal, as they are told or, without a schedule, after random times. */
export function playReturns(routes: readonly ReturnRoute[], isScheduled: boolean, random: Random): ReturnReport {
    const clock = new FakeClock();
    const startedAt = clock.readMonotonic();
    const schedules = Array.from({ length: nodes }, () => new ReturnSchedule(clock, random));
    const queues = Array.from({ length: endpoints }, () => new RunQueue<Waiting>());
    queues.forEach(queue => queue.setLimit(limit));
    const create = (): ReturnTally => ({ asked: 0, inTarget: 0, late: 0, refusals: 0, refusedTwice: 0 });
    const tallies = new Map(routes.map(({ name }) => [name, create()]));
    const seconds = Array.from({ length: lengthMs / 1000 }, () => ({ asked: 0, served: 0 }));
    let count = 0;

    const refuseLate = (queue: RunQueue<Waiting>): void =>
        queue.removeLate(clock.readMonotonic()).forEach(late => late.finish(false, 0));
    const run = (queue: RunQueue<Waiting>, waiting: Waiting): void => {
        const ranMs = runMs * (0.5 + random());
        clock.startTimer(ranMs, () => {
            queue.release(waiting.route, ranMs);
            waiting.finish(true, 0);
            refuseLate(queue);
            for (let next = queue.takeNext(); next !== undefined; next = queue.takeNext()) {
                run(queue, next);
            }
        });
    };
    /** Offers a request to the least loaded of the endpoints, to three at most. */
    const place = (waiting: Waiting): void => {
        const load = (queue: RunQueue<Waiting>): number => queue.getRunning() + queue.getWaiting();
        let waitMs = 0;
        for (const queue of [...queues].sort((a, b) => load(a) - load(b)).slice(0, 3)) {
            const decision = queue.offer(waiting, clock.readMonotonic());
            if (decision.kind === "run") {
                run(queue, waiting);
                return;
            }
            if (decision.kind === "wait") {
                refuseLate(queue);
                return;
            }
            waitMs = decision.waitMs;
        }
        waiting.finish(false, waitMs);
    };
    const send = (route: ReturnRoute): void => {
        const subject = `${count += 1}`;
        const schedule = schedules[Math.floor(random() * nodes)]!;
        const firstAt = clock.readMonotonic();
        const deadline = firstAt + deadlineMs;
        const tally = tallies.get(route.name)!;
        const second = seconds[Math.floor((firstAt - startedAt) / 1000)]!;
        const isHasty = random() < hastyShare;
        tally.asked += 1;
        second.asked += 1;
        const attempt = (number: number): void => {
            const now = clock.readMonotonic();
            const known = isScheduled ? schedule.take(subject, deadline) : undefined;
            const { name, priority } = route;
            const target = known?.target ?? now + route.targetMs;
            const hasReturned = known?.isDue === true;
            const finish = (isServed: boolean, waitMs: number): void => {
                const endedAt = clock.readMonotonic();
                if (isServed) {
                    schedule.recordServed("s", name, endedAt - now);
                    const isInTarget = endedAt <= firstAt + route.targetMs;
                    tally[isInTarget ? "inTarget" : "late"] += 1;
                    second.served += isInTarget ? 1 : 0;
                    return;
                }
                tally.refusals += 1;
                const leftMs = deadline - endedAt;
                const randomMs = Math.max(150, waitMs) * (0.75 + random() * 0.75);
                const toldMs = isScheduled
                    ? schedule.offerReturn({ subject, service: "s", route: name, priority, deadline, target }, waitMs)
                    : Math.max(50, Math.min(randomMs, leftMs / 3));
                if (isHasty ? number < hastyRepeats : number === 0) {
                    clock.startTimer(isHasty ? 5 : Math.min(toldMs, leftMs / 3), () => attempt(number + 1));
                    return;
                }
                tally.refusedTwice += 1;
            };
            if (isScheduled && !hasReturned && schedule.hasNoRoom("s", undefined, priority)) {
                finish(false, 0);
                return;
            }
            const candidate = {
                depth: 0,
                servedBefore: 0,
                priority,
                originRoute: name,
                route: name,
                deadline,
                target,
                hasReturned,
            };
            place({
                ...candidate,
                finish: (isServed, waitMs) => {
                    if (!isServed && isScheduled) {
                        schedule.recordNoRoom("s", undefined, priority);
                    }
                    finish(isServed, waitMs);
                },
            });
        };
        attempt(0);
    };
    const startNext = (route: ReturnRoute): void => {
        const at = clock.readMonotonic() - startedAt;
        if (at >= lengthMs) {
            return;
        }
        send(route);
        const factor = at >= peak.from && at < peak.to ? peak.factor : 1;
        const load = usualLoad * factor * (1 + swing * Math.sin(at / wavePeriodMs * 2 * Math.PI));
        const perMs = endpoints * limit / runMs * load * route.share;
        clock.startTimer(-Math.log(1 - random() * 0.999) / perMs, () => startNext(route));
    };
    routes.forEach(route => startNext(route));
    clock.addTime(lengthMs + 3 * deadlineMs);
    let owed = 0;
    let earned = 0;
    for (const { name, worth } of routes) {
        const { asked, inTarget, late } = tallies.get(name)!;
        owed += asked * worth;
        earned += (inTarget + late * 0.1) * worth;
    }
    return { tallies, worth: earned / owed, servedBySecond: seconds.map(({ asked, served }) => served / asked) };
}

/** Routes of the replays: the share of the least urgent is the largest. */
export const returnRoutes: readonly ReturnRoute[] = [
    { name: "submit", priority: 0, share: 0.2, worth: 3, targetMs: 2000 },
    { name: "upload", priority: 1, share: 0.15, worth: 2, targetMs: 1500 },
    { name: "browse", priority: 2, share: 0.65, worth: 1, targetMs: 2000 },
];
