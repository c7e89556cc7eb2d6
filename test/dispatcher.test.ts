import { expect } from "chai";
import type { PeerCaller } from "../src/connection/peerCaller.js";
import { RetryLimiter } from "../src/process/base/rateLimit.js";
import { Balancer } from "../src/process/load/balancer.js";
import { LearnedThresholds } from "../src/process/load/learnedThresholds.js";
import type { Claims } from "../src/process/ownership/claims.js";
import type { Answer, Reason } from "../src/request/answer.js";
import { createNotRunAnswer } from "../src/request/answer.js";
import { Dispatcher } from "../src/request/dispatcher.js";
import { createCall, createDirectory, createMember, FakeClock } from "./fakes.js";

/** Dispatches an idempotent call; the first instance that is asked refuses it, the next one completes it. */
async function dispatchRefused(reason: Reason): Promise<{ readonly answer: Answer; readonly asked: number; }> {
    const clock = new FakeClock();
    const self = createMember("kas-benang", 1);
    const others = [2, 3].map(host => createMember("katalog", host));
    const directory = createDirectory(clock, self, others);
    let asked = 0;
    const peers: PeerCaller = {
        send: async (_member, _call, _mode, callBudget) => {
            asked += 1;
            const completed: Answer = {
                outcome: "completed",
                status: 200,
                headers: [],
                body: Buffer.alloc(0),
                isReplayed: false,
                unspent: callBudget,
                threshold: 0,
            };
            return {
                answer: asked === 1 ? createNotRunAnswer(reason, 100, callBudget) : completed,
                isUndelivered: false,
            };
        },
    };
    const dispatcher = new Dispatcher({
        clock,
        self,
        directory,
        balancer: new Balancer(clock, () => 0, "klaten"),
        retryLimiter: new RetryLimiter(clock),
        peers,
        localEndpoint: { isReady: () => false, run: async () => createNotRunAnswer("notReady", 100, 0) },
        claims: {} as Claims,
        downstreamThresholds: new LearnedThresholds(clock),
        getMembers: () => undefined,
    });
    const answer = await dispatcher.dispatch(createCall(clock.readMonotonic() + 1000));
    return { answer, asked };
}

describe("a call that one instance refuses", () => {
    const cases: readonly { readonly reason: Reason; readonly asked: number; }[] = [
        { reason: "overloaded", asked: 2 },
        { reason: "deadline", asked: 2 },
        { reason: "leaving", asked: 2 },
        { reason: "notReady", asked: 2 },
        { reason: "quarantined", asked: 1 },
        { reason: "cancelled", asked: 1 },
    ];
    for (const { reason, asked } of cases) {
        it(`as ${reason} is offered to ${asked} in all`, async () => {
            const result = await dispatchRefused(reason);
            expect(result.asked).to.equal(asked);
            expect(result.answer.outcome).to.equal(asked === 2 ? "completed" : "notRun");
        });
    }
});
