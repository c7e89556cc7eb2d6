/** Replay of customers that compete for a service and, through it, for a deeper one, in virtual time. */
import type { Candidate } from "../../src/process/load/runQueue.js";
import { RunQueue } from "../../src/process/load/runQueue.js";
import type { Random } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

/** A customer and what it asks for in a replay. */
export interface ReplayCustomer {
    readonly name: string;
    /** Requests a second. */
    readonly perSecond: number;
    /** Weight among the customers. */
    readonly weight: number;
}

/** Two services, one endpoint each. A request runs at the first and then makes calls to the second. */
export interface CustomerPlan {
    readonly frontLimit: number;
    readonly deepLimit: number;
    readonly callsEach: number;
    /** Share of the requests that go to the deep service directly, as new work. */
    readonly directShare: number;
    /** Whether requests name their customers. */
    readonly isNamed: boolean;
    /** Time of a direct run at the deep service, if it differs from that of a call, and target of a direct request; in milliseconds. */
    readonly directMs?: number;
    readonly directTargetMs?: number;
}

/** What became of the requests of one kind. */
export interface KindTally {
    asked: number;
    served: number;
    /** Served by their target. */
    inTime: number;
}

/** Average time of a run without its calls, in milliseconds. */
const runMs = 50;
const timeoutMs = 5000;
const targetMs = 1500;
/** Longest time of one call, and its target, in milliseconds. */
const callTimeoutMs = 700;
const callTargetMs = 300;
/** Length of a replay, and its part that is not counted, in milliseconds. */
const lengthMs = 8000;
const warmUpMs = 1500;

interface Waiting extends Candidate {
    readonly finish: (isServed: boolean) => void;
}

export function createTally(): KindTally {
    return { asked: 0, served: 0, inTime: 0 };
}

/** Plays the requests of the customers; returns the served share of each, 1 for one that asked for nothing. */
export function playCustomers(
    customers: readonly ReplayCustomer[],
    plan: CustomerPlan,
    random: Random,
    kinds: { readonly chain: KindTally; readonly direct: KindTally; } = { chain: createTally(), direct: createTally() },
): Map<string, number> {
    const clock = new FakeClock();
    const startedAt = clock.readMonotonic();
    const weights = new Map(customers.map(customer => [customer.name, customer.weight]));
    const findWeight = (name: string): number => weights.get(name)!;
    const front = new RunQueue<Waiting>(undefined, findWeight);
    const deep = new RunQueue<Waiting>(undefined, findWeight);
    front.setLimit(plan.frontLimit);
    deep.setLimit(plan.deepLimit);
    const tallies = new Map(customers.map(({ name }) => [name, { asked: 0, served: 0 }]));

    const refuseLate = (queue: RunQueue<Waiting>): void =>
        queue.removeLate(clock.readMonotonic()).forEach(late => late.finish(false));
    const run = (queue: RunQueue<Waiting>, waiting: Waiting): void => {
        const ranMs = (waiting.originRoute === "deep" ? plan.directMs ?? runMs : runMs) * (0.5 + random());
        clock.startTimer(ranMs, () => {
            queue.release(waiting.route, ranMs);
            waiting.finish(true);
            refuseLate(queue);
            for (let next = queue.takeNext(); next !== undefined; next = queue.takeNext()) {
                run(queue, next);
            }
        });
    };
    const offer = (queue: RunQueue<Waiting>, waiting: Waiting): void => {
        const decision = queue.offer(waiting, clock.readMonotonic());
        if (decision.kind === "run") {
            run(queue, waiting);
        }
        else if (decision.kind === "wait") {
            refuseLate(queue);
        }
        else {
            waiting.finish(false);
        }
    };
    const send = (customer: ReplayCustomer, isCounted: boolean): void => {
        const tally = tallies.get(customer.name)!;
        tally.asked += isCounted ? 1 : 0;
        const now = clock.readMonotonic();
        const shared = {
            priority: 1,
            customer: plan.isNamed ? customer.name : undefined,
            deadline: now + timeoutMs,
            target: now + targetMs,
        };
        const isDirect = random() < plan.directShare;
        const kind = isDirect ? kinds.direct : kinds.chain;
        const directTarget = now + (plan.directTargetMs ?? targetMs);
        kind.asked += isCounted ? 1 : 0;
        const end = (isServed: boolean): void => {
            const isInTime = isServed && clock.readMonotonic() <= (isDirect ? directTarget : shared.target);
            tally.served += isCounted && isServed ? 1 : 0;
            kind.served += isCounted && isServed ? 1 : 0;
            kind.inTime += isCounted && isInTime ? 1 : 0;
        };
        const call = (servedBefore: number): void => {
            if (servedBefore === plan.callsEach) {
                end(true);
                return;
            }
            const finish = (isServed: boolean): void => isServed ? call(servedBefore + 1) : end(false);
            const calledAt = clock.readMonotonic();
            const deadline = Math.min(shared.deadline, calledAt + callTimeoutMs);
            const target = calledAt + callTargetMs;
            offer(deep, {
                ...shared,
                deadline,
                target,
                depth: 1,
                servedBefore,
                originRoute: "chain",
                route: "deep",
                finish,
            });
        };
        if (isDirect) {
            const target = directTarget;
            offer(deep, {
                ...shared,
                target,
                depth: 0,
                servedBefore: 0,
                originRoute: "deep",
                route: "direct",
                finish: end,
            });
            return;
        }
        const finish = (isServed: boolean): void => isServed ? call(0) : end(false);
        offer(front, { ...shared, depth: 0, servedBefore: 0, originRoute: "chain", route: "front", finish });
    };
    const startNext = (customer: ReplayCustomer): void => {
        const at = clock.readMonotonic() - startedAt;
        if (at < lengthMs) {
            send(customer, at >= warmUpMs);
            clock.startTimer(-Math.log(1 - random() * 0.999) * 1000 / customer.perSecond, () => startNext(customer));
        }
    };
    customers.forEach(customer => startNext(customer));
    clock.addTime(lengthMs + 2 * timeoutMs);
    return new Map([...tallies].map(([name, { asked, served }]) => [name, asked === 0 ? 1 : served / asked]));
}

/** Creates customers whose usual rates follow a Zipf distribution; `hot` are their ranks (from 0) and factors. */
export function createCustomers(
    count: number,
    perSecond: number,
    skew: number,
    hot: ReadonlyMap<number, number>,
    isWeighted: boolean,
): ReplayCustomer[] {
    const sizes = Array.from({ length: count }, (_, rank) => (rank + 1) ** -skew);
    const total = sizes.reduce((sum, size) => sum + size, 0);
    return sizes.map((size, rank) => {
        const usual = perSecond * size / total;
        const weight = isWeighted ? Math.max(1, usual * count / perSecond) : 1;
        return { name: `c${rank}`, perSecond: usual * (hot.get(rank) ?? 1), weight };
    });
}
