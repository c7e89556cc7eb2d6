import { expect } from "chai";
import { Balancer } from "../src/process/load/balancer.js";
import type { Member } from "../src/version/member.js";
import { formatSlot } from "../src/version/member.js";
import { createRandom } from "../standin/random.js";
import { createMember, FakeClock } from "./fakes.js";

/** Time in which an instance that has become fast has to have its part of the calls again, in milliseconds. */
const recoveryMs = 20_000;

/** An instance in one of two data centres; the balancer runs in "klaten". */
interface Instance {
    readonly dataCentre: "klaten" | "jepara";
    /** Time of each of its answers, in milliseconds. */
    readonly answerMs: number;
}

/** Balancer in "klaten" that makes calls one after the other. */
class SerialCaller {
    private readonly clock = new FakeClock();
    private readonly balancer = new Balancer(this.clock, createRandom(1), "klaten");

    /** Makes calls for a time and returns each instance's share of them. */
    run(instances: readonly Instance[], milliseconds: number): number[] {
        const members: Member[] = instances.map(({ dataCentre }, index) => ({
            ...createMember("katalog", index + 1),
            dataCentre,
        }));
        const counts = instances.map(() => 0);
        const endAt = this.clock.readMonotonic() + milliseconds;
        while (this.clock.readMonotonic() < endAt) {
            const member = this.balancer.choose(members, new Set())!;
            const index = members.indexOf(member);
            counts[index]! += 1;
            this.balancer.startCall(formatSlot(member));
            this.clock.addTime(instances[index]!.answerMs);
            this.balancer.endCall(formatSlot(member), instances[index]!.answerMs, "completed");
        }
        const calls = counts.reduce((sum, count) => sum + count, 0);
        return counts.map(count => count / calls);
    }
}

describe("choice of an instance", () => {
    const cases: readonly {
        readonly name: string;
        readonly instances: readonly Instance[];
        /** Least share of the calls that each instance gets. */
        readonly atLeast: readonly number[];
    }[] = [
        {
            name: "stays in the own data centre among equals",
            instances: [{ dataCentre: "klaten", answerMs: 10 }, { dataCentre: "jepara", answerMs: 10 }],
            atLeast: [0.9, 0],
        },
        {
            name: "leaves the own data centre when its instance is ten times slower",
            instances: [{ dataCentre: "klaten", answerMs: 100 }, { dataCentre: "jepara", answerMs: 10 }],
            atLeast: [0, 0.9],
        },
        {
            name: "keeps away from the slow one of two instances",
            instances: [{ dataCentre: "klaten", answerMs: 100 }, { dataCentre: "klaten", answerMs: 10 }],
            atLeast: [0, 0.9],
        },
    ];
    for (const { name, instances, atLeast } of cases) {
        it(name, () => {
            const shares = new SerialCaller().run(instances, 10_000);
            expect(shares.every((share, index) => share >= atLeast[index]!), String(shares)).to.equal(true);
        });
    }

    it("gives an instance that has become fast its part again", () => {
        const fast: Instance = { dataCentre: "klaten", answerMs: 10 };
        const caller = new SerialCaller();
        caller.run([{ ...fast, answerMs: 100 }, fast], 5000);
        caller.run([fast, fast], recoveryMs);
        const [share] = caller.run([fast, fast], 10_000);
        expect(share).to.be.within(0.3, 0.7);
    });
});
