/** What becomes of a request whose sends end in each way, in the order in which they end. */
import { expect } from "chai";
import { Cancellation } from "../../src/process/base/cancellation.js";
import { Placement } from "../../src/process/load/placement.js";
import type { AnsweredRun, RunOutcome } from "../../src/process/load/runOutcome.js";
import { ServiceRetryBudget } from "../../src/process/load/serviceRetryBudget.js";
import { InstanceRegistry } from "../../src/process/membership/instanceRegistry.js";
import type { AnswerSource, ForwardOutcome } from "../../src/request/forwarder.js";
import { Forwarder } from "../../src/request/forwarder.js";
import type { RoutedCall } from "../../src/request/routedCall.js";
import type { SendResult } from "../../src/request/sender.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock, silentLogger } from "../fakes.js";
import { createRecord, createRoute } from "./samples.js";

const answered = (status: number, behind: "none" | "crowd" = "none"): AnsweredRun => ({
    kind: "answer",
    status,
    headers: [],
    body: Buffer.alloc(0),
    runMs: 10,
    waitedMs: 0,
    behind,
    pressure: 0,
});
const refused = (cause: "full" | "shed" | "leaving" | "away" | "cancelled"): RunOutcome => ({
    kind: "refused",
    cause,
    retryAfterMs: 100,
});
const failed: RunOutcome = { kind: "failed", cause: "reset", ranMs: 5 };

/** Changes of the request and of what is known. */
interface ForwardChange {
    readonly isRepeated?: boolean;
    readonly slack?: number;
}

/** Forwards a request whose sends end as listed; more than one end in a list are those of one hedged send. */
async function forward(
    repetition: "idempotent" | "atMostOnce",
    sends: readonly (readonly RunOutcome[])[],
    change: ForwardChange = {},
): Promise<{ outcome: ForwardOutcome; source: AnswerSource | undefined; sends: number; path: readonly string[]; }> {
    const clock = new FakeClock();
    const registry = new InstanceRegistry();
    [1, 2, 3, 4, 5].forEach(host => registry.put(createRecord(`10.0.0.${host}`)));
    const placement = new Placement(clock, createRandom(1), "10.9.9.9", "klaten", () => true);
    const limits = { ratio: 0, slack: change.slack ?? 100, windowMs: 10_000 };
    let sendCount = 0;
    const path: string[] = [];
    const forwarder = new Forwarder({
        clock,
        logger: silentLogger,
        placement,
        instanceSelector: {
            select: (service, tried) => Promise.resolve(placement.choose(registry.listForService(service), tried)),
            selectAtOnce: (service, tried) => placement.choose(registry.listForService(service), tried),
        },
        retryBudget: new ServiceRetryBudget(clock, limits, () => 1, true),
        sender: {
            send: (record, _call, progress) => {
                progress.tried.add(record.address);
                path.push(record.address);
                const results: SendResult[] = (sends[sendCount] ?? [refused("cancelled")]).map(outcome => ({
                    record,
                    outcome,
                    sendNumber: sendCount + 1,
                }));
                sendCount += 1;
                progress.runs += results.length - 1;
                return Promise.resolve(results);
            },
        },
    });
    const now = clock.readMonotonic();
    const call: RoutedCall = {
        attemptId: "a",
        route: createRoute({ repetition }),
        service: "katalog",
        method: "GET",
        path: "/loom/1",
        headers: [],
        body: Buffer.alloc(0),
        origin: {
            route: "r",
            priority: 0,
            isRepeated: change.isRepeated ?? false,
            depth: 0,
            servedBefore: 0,
            customer: undefined,
        },
        callsLeft: 1,
        deadline: now + 1000,
        target: now + 500,
        cancellation: new Cancellation(),
    };
    const { outcome, source } = await forwarder.forward(call);
    return { outcome, source, sends: sendCount, path };
}

describe("forwarding", () => {
    const cases: readonly {
        readonly name: string;
        readonly repetition?: "idempotent" | "atMostOnce";
        readonly sends: readonly (readonly RunOutcome[])[];
        readonly outcome: string;
        readonly count: number;
    }[] = [
        { name: "returns an answer", sends: [[answered(200)]], outcome: "answer 200", count: 1 },
        {
            name: "offers what was refused for want of room to three instances",
            sends: [[refused("full")], [refused("full")], [refused("full")], [answered(200)]],
            outcome: "refused full",
            count: 3,
        },
        {
            name: "passes instances over that leave or are away, whatever the kind",
            repetition: "atMostOnce",
            sends: [[refused("leaving")], [refused("away")], [answered(200)]],
            outcome: "answer 200",
            count: 3,
        },
        {
            name: "sends what an endpoint did not run to another one, whatever the kind",
            repetition: "atMostOnce",
            sends: [[refused("shed")], [answered(200)]],
            outcome: "answer 200",
            count: 2,
        },
        {
            name: "offers what as many endpoints as the route allows did not run to the same ones again",
            repetition: "atMostOnce",
            sends: [[refused("shed")], [refused("shed")], [refused("shed")], [refused("shed")], [answered(200)]],
            outcome: "answer 200",
            count: 5,
        },
        {
            name: "gives up on endpoints that refuse again and again",
            sends: Array.from({ length: 30 }, () => [refused("shed")]),
            outcome: "refused shed",
            count: 22,
        },
        {
            name: "offers nothing again once a send may have run",
            sends: [[failed], [refused("shed")], [answered(200)]],
            outcome: "failed reset",
            count: 2,
        },
        {
            name: "repeats an idempotent request that was lost",
            sends: [[failed], [answered(200)]],
            outcome: "answer 200",
            count: 2,
        },
        {
            name: "never repeats a lost request that must not run twice",
            repetition: "atMostOnce",
            sends: [[failed], [answered(200)]],
            outcome: "failed reset",
            count: 1,
        },
        {
            name: "never repeats an endpoint's failure of such a request",
            repetition: "atMostOnce",
            sends: [[answered(500)], [answered(200)]],
            outcome: "answer 500",
            count: 1,
        },
        {
            name: "stays within the route's runs",
            sends: [[failed], [failed], [answered(200)]],
            outcome: "failed reset",
            count: 2,
        },
        {
            name: "does not repeat what failed for a service behind",
            sends: [[answered(500, "crowd")], [answered(200)]],
            outcome: "answer 500",
            count: 1,
        },
        {
            name: "says of a request that may have run never that it did not",
            sends: [[failed], [refused("full")], [refused("full")], [refused("full")]],
            outcome: "failed reset",
            count: 4,
        },
        {
            name: "says so of two sends at a time as well",
            sends: [[failed, refused("full")], [refused("full")], [refused("full")]],
            outcome: "failed reset",
            count: 3,
        },
        {
            name: "prefers an endpoint's own failure to ours",
            sends: [[answered(500)], [failed]],
            outcome: "answer 500",
            count: 2,
        },
    ];
    for (const { name, repetition = "idempotent", sends, outcome, count } of cases) {
        it(name, async () => {
            const result = await forward(repetition, sends);
            const described = result.outcome.kind === "answer" ? String(result.outcome.status) : result.outcome.cause;
            expect(`${result.outcome.kind} ${described}`).equals(outcome);
            expect(result.sends).equals(count);
            const hasOnlyShed = sends.every(([end]) =>
                end?.kind === "answer" || end?.kind === "refused" && end.cause === "shed"
            );
            expect(new Set(result.path).size).at.most(hasOnlyShed ? 2 : count);
        });
    }

    it("refuses a call of a repeated run that the bound has no room for, unsent", async () => {
        const result = await forward("idempotent", [[answered(200)]], { isRepeated: true, slack: 0 });
        expect([result.outcome.kind, result.sends]).deep.equals(["refused", 0]);
    });

    const sourceCases: readonly {
        readonly name: string;
        readonly sends: readonly RunOutcome[];
        readonly send: number | undefined;
    }[] = [
        { name: "the last send, where it succeeded", sends: [failed, { ...answered(200), connection: 4 }], send: 2 },
        { name: "the send whose failure is reported", sends: [{ ...answered(500), connection: 4 }, failed], send: 1 },
        { name: "no send without an answer", sends: [failed, failed], send: undefined },
    ];
    for (const { name, sends, send } of sourceCases) {
        it(`says where an answer came from: ${name}`, async () => {
            const { source, path } = await forward("idempotent", sends.map(outcome => [outcome]));
            const expected = send === undefined
                ? undefined
                : { instance: path[send - 1], sendNumber: send, connection: 4 };
            expect(source).deep.equals(expected);
        });
    }

    it("offers a request until it is served, never where it was just rejected", async () => {
        const ends = [...Array.from({ length: 7 }, () => [refused("shed")]), [answered(200)]];
        const result = await forward("idempotent", ends);
        expect(result.sends).equals(8);
        expect(result.path.filter((address, index) => address === result.path[index + 1])).deep.equals([]);
    });
});
