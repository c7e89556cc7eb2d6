/** How often a node asks the log: each call has its price. */
import { expect } from "chai";
import type { KeyedLog } from "../../src/connection/keyedLog.js";
import { KeyedLogFollower } from "../../src/connection/keyedLogFollower.js";
import { SystemClock } from "../../src/process/base/clock.js";
import { createSuccess } from "../../src/process/base/result.js";
import { sleep } from "../../standin/processes.js";
import { silentLogger } from "../fakes.js";

/** Log that counts its calls; a long poll is answered after 20 ms. */
class CountingLog implements KeyedLog {
    readonly calls: string[] = [];

    readNewest(): ReturnType<KeyedLog["readNewest"]> {
        this.calls.push("newest");
        return Promise.resolve(createSuccess({ records: [], next: 7, era: 0 }));
    }

    async follow(): ReturnType<KeyedLog["follow"]> {
        this.calls.push("follow");
        await sleep(20);
        return createSuccess({ records: [], next: 7, era: 0 });
    }

    append(): ReturnType<KeyedLog["append"]> {
        this.calls.push("append");
        return Promise.resolve(createSuccess({ offset: 0, era: 0 }));
    }
}

describe("a follower of the log", () => {
    const cases: readonly {
        readonly name: string;
        readonly wantedReads: number;
        readonly calls: readonly string[];
    }[] = [
        { name: "makes no call while it isn't wanted", wantedReads: 0, calls: [] },
        {
            name: "makes no long poll once the first read has brought what it is wanted for",
            wantedReads: 1,
            calls: ["newest"],
        },
        { name: "polls for as long as it is wanted", wantedReads: 3, calls: ["newest", "follow", "follow"] },
    ];
    for (const { name, wantedReads, calls } of cases) {
        it(name, async () => {
            const log = new CountingLog();
            const follower = new KeyedLogFollower({
                clock: new SystemClock(),
                random: Math.random,
                logger: silentLogger,
                log,
                topic: "configuration",
                batchDelayMs: 0,
                maxWaitMs: 1000,
                applySnapshot: () => undefined,
                applyPage: () => undefined,
            });
            await follower.run(new AbortController().signal, () => log.calls.length < wantedReads);
            expect(log.calls).deep.equals(calls);
        });
    }
});
