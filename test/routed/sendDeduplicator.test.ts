/** A send that arrives more than once runs once. */
import { expect } from "chai";
import fc from "fast-check";
import { SendDeduplicator } from "../../src/process/endpoint/sendDeduplicator.js";
import { BodyBudget } from "../../src/process/load/bodyBudget.js";
import type { RunOutcome } from "../../src/process/load/runOutcome.js";
import { FakeClock, readPropertyOptions } from "../fakes.js";

describe("memory of sends", () => {
    it("runs each send once, whatever arrives twice, in whatever order and how late", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(
                    fc.record({ key: fc.integer({ min: 0, max: 3 }), waitMs: fc.integer({ min: 0, max: 6000 }) }),
                    { minLength: 1, maxLength: 20 },
                ),
                async arrivals => {
                    const clock = new FakeClock();
                    const deduplicator = new SendDeduplicator(clock, new BodyBudget(clock, 1_000_000));
                    const runs = new Map<string, number>();
                    const firstAt = new Map<string, number>();
                    for (const { key, waitMs } of arrivals) {
                        clock.addTime(waitMs);
                        deduplicator.prune();
                        const name = `attempt/${key}`;
                        // A sender asks again within its deadline, which is far shorter than the memory.
                        if (clock.readMonotonic() - (firstAt.get(name) ?? clock.readMonotonic()) > 10_000) {
                            continue;
                        }
                        firstAt.set(name, firstAt.get(name) ?? clock.readMonotonic());
                        const outcome = await deduplicator.run(name, () => {
                            runs.set(name, (runs.get(name) ?? 0) + 1);
                            return Promise.resolve<RunOutcome>({ kind: "refused", cause: "full", retryAfterMs: 0 });
                        });
                        expect(["refused", "failed"]).includes(outcome.kind);
                    }
                    expect([...runs.values()].every(count => count === 1)).equals(true);
                },
            ),
            readPropertyOptions(200),
        );
    });

    it("gives a sender that lost its link the outcome of the run, and later only that it is not known", async () => {
        const clock = new FakeClock();
        const deduplicator = new SendDeduplicator(clock, new BodyBudget(clock, 1_000_000));
        const first: RunOutcome = { kind: "refused", cause: "full", retryAfterMs: 7 };
        await deduplicator.run("a/1", () => Promise.resolve(first));
        expect(await deduplicator.run("a/1", () => expect.fail())).equals(first);
        clock.addTime(3000);
        deduplicator.prune();
        expect(await deduplicator.run("a/1", () => expect.fail())).include({ kind: "failed", cause: "linkLost" });
    });
});
