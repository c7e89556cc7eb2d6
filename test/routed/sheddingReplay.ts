/** Replay of chains of calls through a service that turns work away with room to spare, in virtual time. */
import { ServiceRetryBudget } from "../../src/process/load/serviceRetryBudget.js";
import type { Random } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";

/** A kind of request: each makes calls to the deep service, four after the other in each branch. */
export interface ChainKind {
    readonly name: string;
    readonly priority: number;
    readonly worth: number;
    readonly perSecond: number;
    readonly branches: number;
}

/** When and how much the deep service sheds, and what the nodes do about it. Times are in milliseconds. */
export interface SheddingPlan {
    readonly shedShare: number;
    readonly forMs: number;
    readonly kinds: readonly ChainKind[];
    /** `firstCome`: repeats go to whoever asks while the budget lasts; `byValue`: to those that bring most. */
    readonly policy: "firstCome" | "byValue";
    readonly random: Random;
}

const callsEach = 4;
const callMs = 86;
const repeatMs = 3;
const ownMs = 150;
const callers = 4;
const shedsFromMs = 21_000;
const windowMs = 10_000;
const bounds = { ratio: 0.2, slack: 20, windowMs };
/** Offers of one call. */
const maxOffers = 20;

/** What became of the requests of a kind that were sent while the service shed. */
export interface ChainTally {
    asked: number;
    served: number;
}

/** Result of a replay. */
export interface SheddingResult {
    readonly byKind: ReadonlyMap<string, ChainTally>;
    /** Worth that was served, as a share of all, while the service shed. */
    readonly servedWorth: number;
}

/** Plays a plan. */
export function playSheddingPlan(plan: SheddingPlan): SheddingResult {
    const { kinds, policy, random } = plan;
    const clock = new FakeClock();
    const startedAt = clock.readMonotonic();
    const getAt = (): number => clock.readMonotonic() - startedAt;
    const endsMs = shedsFromMs + Math.min(plan.forMs, 25_000);
    const budgets = Array.from({ length: callers }, () => new ServiceRetryBudget(clock, bounds, () => 16, true));
    const byKind = new Map(kinds.map(kind => [kind.name, { asked: 0, served: 0 }]));
    const isShedding = (): boolean => getAt() >= shedsFromMs && getAt() < shedsFromMs + plan.forMs;
    const send = (kind: ChainKind): void => {
        const tally = byKind.get(kind.name)!;
        const isCounted = isShedding();
        tally.asked += isCounted ? 1 : 0;
        let left = kind.branches;
        let hasFailed = false;
        const finish = (isServed: boolean): void => {
            left -= 1;
            hasFailed ||= !isServed;
            if (left > 0) {
                return;
            }
            tally.served += isCounted && !hasFailed ? 1 : 0;
        };
        const call = (budget: ServiceRetryBudget, served: number, offers: number): void => {
            if (served === callsEach) {
                finish(true);
                return;
            }
            if (offers === 0) {
                budget.recordRequest("deep");
            }
            const isShed = isShedding() && random() < plan.shedShare;
            if (!isShed) {
                clock.startTimer(callMs * (0.5 + random()), () => call(budget, served + 1, 0));
                return;
            }
            const origin = policy === "firstCome"
                ? { priority: 0, callsLeft: 1 }
                : { priority: kind.priority, callsLeft: callsEach - served };
            if (offers + 1 < maxOffers && budget.takeRetry("deep", origin)) {
                clock.startTimer(repeatMs, () => call(budget, served, offers + 1));
                return;
            }
            finish(false);
        };
        for (let branch = 0; branch < kind.branches; branch += 1) {
            const budget = budgets[Math.floor(random() * callers)]!;
            clock.startTimer(ownMs * (0.5 + random()), () => call(budget, 0, 0));
        }
    };
    const arrive = (kind: ChainKind): void => {
        if (getAt() < endsMs) {
            send(kind);
            clock.startTimer(-Math.log(1 - random() * 0.999) * 1000 / kind.perSecond, () => arrive(kind));
        }
    };
    kinds.forEach(arrive);
    clock.addTime(endsMs + 5000);
    const sumWorth = (read: (tally: ChainTally) => number): number =>
        kinds.reduce((sum, kind) => sum + kind.worth * read(byKind.get(kind.name)!), 0);
    const servedWorth = sumWorth(tally => tally.served) / sumWorth(tally => tally.asked);
    return { byKind, servedWorth };
}
