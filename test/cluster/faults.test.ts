import { expect } from "chai";
import type { Cluster } from "../../standin/cluster.js";
import { faults } from "../../standin/faults.js";
import { Load } from "../../standin/load.js";
import { findViolations } from "../../standin/promises.js";
import { bound, createCluster, createFlows, listFailures, sleep } from "./harness.js";

/** Time before and after the fault, in milliseconds. */
const marginMs = 1000;

/** Repeats the same draws for the same seed. */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

describe("promises under a fault", () => {
    let cluster: Cluster;

    beforeEach(async () => {
        cluster = createCluster();
        await cluster.start();
    });
    afterEach(() => cluster.stop());

    for (const [index, fault] of faults.entries()) {
        it(`hold with ${fault.name}`, async () => {
            const load = new Load(createFlows(cluster, 40));
            await sleep(marginMs);
            await fault.apply(cluster, createRandom(index + 1));
            await cluster.waitUntilSettled();
            await sleep(marginMs);
            const results = await load.stop();
            expect(findViolations(results, cluster.readRuns(), bound)).to.deep.equal([]);
            const last = results.filter(result => result.arrivedAt > load.now() - marginMs);
            expect(listFailures(last)).to.deep.equal([]);
        });
    }
});
