import { expect } from "chai";
import type { Cluster } from "../../standin/cluster.js";
import { faults } from "../../standin/faults.js";
import { Load } from "../../standin/load.js";
import { sleep } from "../../standin/processes.js";
import { findViolations } from "../../standin/promises.js";
import { createRandom } from "../../standin/random.js";
import { bound, createCluster, createFlows, listFailures } from "./harness.js";

/** Time before and after the fault, in milliseconds. */
const marginMs = 1000;

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

    const pairs: readonly (readonly [string, string])[] = [
        ["log out", "node killed"],
        ["log loses answers", "instance replaced"],
        ["node frozen", "endpoint crashed"],
        ["answers cut", "endpoint slow"],
    ];
    for (const [index, names] of pairs.entries()) {
        it(`hold with ${names.join(" and ")} together`, async () => {
            const load = new Load(createFlows(cluster, 40));
            await sleep(marginMs);
            const drawn = faults.filter(fault => names.includes(fault.name));
            await Promise.all(drawn.map((fault, nth) => fault.apply(cluster, createRandom(100 * (index + 1) + nth))));
            await cluster.waitUntilSettled();
            await sleep(marginMs);
            const results = await load.stop();
            expect(findViolations(results, cluster.readRuns(), bound)).to.deep.equal([]);
        });
    }
});
