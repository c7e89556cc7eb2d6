import { expect } from "chai";
import fc from "fast-check";
import type { AppendFault } from "./fakes.js";
import { readPropertyOptions } from "./fakes.js";
import type { MessageFate, RunFate } from "./ownershipModel.js";
import { Model } from "./ownershipModel.js";

const nodeCount = 3;
const keys = ["a", "b", "c", "d"];
const options = readPropertyOptions(1500);

/** One send of an action, and how its message and its run fare. */
interface Send {
    readonly key: string;
    readonly entry: number;
    readonly isNumbered: boolean;
    readonly messageFate: MessageFate;
    readonly runFate: RunFate;
}

type Step =
    | { readonly kind: "send"; readonly send: Send; }
    | { readonly kind: "sendTwice"; readonly sends: readonly [Send, Send]; }
    /** A handover with a send between the transfer of the claims and the append. */
    | { readonly kind: "sendDuringHandover"; readonly node: number; readonly send: Send; readonly isAll: boolean; }
    | { readonly kind: "replace"; readonly node: number; }
    | { readonly kind: "catchUp"; readonly node: number; }
    | { readonly kind: "balance"; readonly node: number; }
    | { readonly kind: "handOverAll"; readonly node: number; }
    | { readonly kind: "deliverHeldUp"; }
    | { readonly kind: "finishSlowRuns"; }
    | { readonly kind: "log"; readonly isDown: boolean; }
    | { readonly kind: "appendFault"; readonly fault: AppendFault; };

const node = fc.integer({ min: 0, max: nodeCount - 1 });
const send: fc.Arbitrary<Send> = fc.record({
    key: fc.constantFrom(...keys),
    entry: node,
    isNumbered: fc.boolean(),
    messageFate: fc.constantFrom<MessageFate>("delivered", "delivered", "delivered", "answerLost", "lost", "heldUp"),
    runFate: fc.constantFrom<RunFate>("completed", "completed", "lost", "refused", "slow"),
});

function createStep<K extends Step["kind"], R extends object>(weight: number, kind: K, rest: fc.Arbitrary<R>) {
    return { weight, arbitrary: rest.map(fields => ({ kind, ...fields })) };
}

const step = fc.oneof(
    createStep(8, "send", fc.record({ send })),
    createStep(3, "sendTwice", fc.record({ sends: fc.tuple(send, send) })),
    createStep(3, "sendDuringHandover", fc.record({ node, send, isAll: fc.boolean() })),
    createStep(2, "replace", fc.record({ node })),
    createStep(4, "catchUp", fc.record({ node })),
    createStep(2, "balance", fc.record({ node })),
    createStep(1, "handOverAll", fc.record({ node })),
    createStep(2, "deliverHeldUp", fc.constant({})),
    createStep(2, "finishSlowRuns", fc.constant({})),
    createStep(1, "log", fc.record({ isDown: fc.boolean() })),
    createStep(1, "appendFault", fc.record({ fault: fc.constantFrom<AppendFault>("unavailable", "answerLost") })),
) as fc.Arbitrary<Step>;

/** Plays steps against a model and keeps account of what callers were told. */
class StepRunner {
    readonly violations: string[] = [];
    private readonly model = new Model(nodeCount);
    private readonly sends = new Map<string, number>();
    /** Last send of each key that was told "not run". */
    private readonly toldNotRun = new Map<string, number>();
    private readonly pending: Promise<void>[] = [];

    async run(steps: readonly Step[]): Promise<void> {
        await this.model.start();
        for (const current of steps) {
            await this.runStep(current);
            this.model.messageFates.length = 0;
            this.model.runFates.length = 0;
        }
        this.model.finishSlowRuns();
        await Promise.all(this.pending);
        this.checkRuns();
    }

    private async runStep(current: Step): Promise<void> {
        const { model } = this;
        switch (current.kind) {
            case "send":
                return this.startSends([current.send]);
            case "sendTwice":
                return this.startSends(current.sends);
            case "sendDuringHandover": {
                model.log.beforeAppend = () => void this.startSends([current.send]);
                const { ownership } = model.nodes[current.node]!;
                await (current.isAll ? ownership.handOverAll() : ownership.balance());
                model.log.beforeAppend = undefined;
                return waitForTasks();
            }
            case "replace":
                return model.replace(current.node);
            case "catchUp":
                return model.nodes[current.node]!.catchUp();
            case "balance":
                return model.nodes[current.node]!.ownership.balance();
            case "handOverAll":
                return model.nodes[current.node]!.ownership.handOverAll();
            case "deliverHeldUp":
                return this.deliverHeldUp();
            case "finishSlowRuns":
                model.finishSlowRuns();
                return waitForTasks();
            case "log":
                model.log.isDown = current.isDown;
                return;
            case "appendFault":
                model.log.faults.push(current.fault);
                return;
        }
    }

    /** Starts sends side by side; those whose runs are slow go on during later steps. */
    private async startSends(sends: readonly Send[]): Promise<void> {
        for (const { messageFate, runFate } of sends) {
            this.model.messageFates.push(messageFate);
            this.model.runFates.push(runFate);
        }
        this.pending.push(...sends.map(each => this.send(each)));
        await waitForTasks();
    }

    private async send({ key, entry, isNumbered }: Send): Promise<void> {
        const attempt = (this.sends.get(key) ?? 0) + 1;
        this.sends.set(key, attempt);
        const answer = await this.model.nodes[entry]!.serveCaller(key, isNumbered ? attempt : 0, attempt);
        if (answer.outcome !== "notRun") {
            return;
        }
        this.toldNotRun.set(key, Math.max(this.toldNotRun.get(key) ?? 0, attempt));
        if (this.model.runs.some(run => run.key === key && run.order <= attempt)) {
            this.violations.push(`${key} was told "not run" at attempt ${attempt} after it ran`);
        }
    }

    /** What is delivered late was sent before anything that a caller has been told since. */
    private async deliverHeldUp(): Promise<void> {
        const told = new Map(this.toldNotRun);
        const runsBefore = this.model.runs.length;
        const delivery = this.model.deliverHeldUp();
        this.pending.push(delivery);
        await waitForTasks();
        for (const run of this.model.runs.slice(runsBefore)) {
            if (run.order <= (told.get(run.key) ?? -1)) {
                this.violations.push(`${run.key} send ${run.order} ran after it was told "not run"`);
            }
        }
    }

    private checkRuns(): void {
        for (const key of keys) {
            const count = this.model.runs.filter(run => run.key === key).length;
            if (count > 1) {
                this.violations.push(`${key} ran ${count} times`);
            }
        }
    }
}

async function waitForTasks(): Promise<void> {
    for (let turn = 0; turn < 3; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

async function runSteps(steps: readonly Step[]): Promise<string> {
    const runner = new StepRunner();
    await runner.run(steps);
    return runner.violations.join("; ");
}

describe("at most once", () => {
    it("holds over drawn sequences of sends, crashes, handovers, lost messages and log faults", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), async steps => {
                expect(await runSteps(steps)).to.equal("");
            }),
            options,
        );
    });

    it("answers re-sends from the claim after a handover", async () => {
        const model = new Model(nodeCount);
        await model.start();
        expect((await model.nodes[0]!.serveCaller("a", 1)).outcome).to.equal("completed");
        for (const leavingNode of model.nodes.slice(1)) {
            await leavingNode.ownership.handOverAll();
            await Promise.all(model.nodes.map(each => each.catchUp()));
        }
        const again = await model.nodes[0]!.serveCaller("a", 2);
        expect(again).to.include({ outcome: "completed", isReplayed: true });
        expect(model.runs).to.have.length(1);
    });

    const afterCrash: readonly { readonly name: string; readonly attempt: number; readonly outcome: string; }[] = [
        { name: "runs what is provably a first send", attempt: 1, outcome: "completed" },
        { name: "answers a re-send with unknown", attempt: 2, outcome: "unknown" },
        { name: "answers a send without a number with unknown", attempt: 0, outcome: "unknown" },
    ];
    for (const { name, attempt, outcome } of afterCrash) {
        it(`after its owner crashed, ${name}`, async () => {
            const model = new Model(1);
            await model.start();
            model.replace(0);
            await model.settle();
            expect((await model.nodes[0]!.serveCaller("a", attempt)).outcome).to.equal(outcome);
        });
    }

    for (const count of [2, 3, 7, 20, 30]) {
        it(`spreads the keys evenly over ${count} nodes that join one after the other`, async () => {
            const model = new Model(1);
            await model.start();
            while (model.nodes.length < count) {
                model.addNode();
                await model.settle();
            }
            const owned = model.nodes.map(each => each.ownership.countOwned());
            expect(owned.reduce((sum, each) => sum + each, 0)).to.equal(64);
            expect(Math.min(...owned)).to.equal(Math.floor(64 / count));
        });
    }

    it("keeps running with the log down", async () => {
        const model = new Model(nodeCount);
        await model.start();
        model.log.isDown = true;
        const outcomes = await Promise.all(
            keys.map((name, index) => model.nodes[index % nodeCount]!.serveCaller(name, 1)),
        );
        expect(outcomes.map(answer => answer.outcome)).to.deep.equal(keys.map(() => "completed"));
    });
});
