import { expect } from "chai";
import type { Cluster } from "../../standin/cluster.js";
import type { ActionResult } from "../../standin/load.js";
import { isCompleted, Load } from "../../standin/load.js";
import { sleep } from "../../standin/processes.js";
import { createCluster, createFlow } from "./harness.js";

/** Share of the most valuable actions that completes while the deep service is overloaded. */
const valuableShare = 0.95;

function computeShare(results: readonly ActionResult[], className: string): number {
    const own = results.filter(result => result.flow.class === className);
    return own.filter(isCompleted).length / own.length;
}

describe("overload of the deep service", () => {
    let cluster: Cluster;

    before(async () => {
        cluster = createCluster({}, 5, 16);
        await cluster.start();
    });
    after(() => cluster.stop());

    it("has browsing refused before advances and certificates, by worth alone", async () => {
        // 2 instances with 16 slots and 100 ms a run serve 320 a second; 800 browse and 100 do the rest.
        await Promise.all(cluster.listService("katalog").map(instance => instance.changeEndpoint({ serviceMs: 100 })));
        const load = new Load([
            createFlow(cluster, "weavers", "browse", "katalog", 800, 3),
            createFlow(cluster, "treasurers", "advance", "kas-benang", 50, 3),
            createFlow(cluster, "clerks", "certificate", "ekspor", 50, 3),
        ]);
        await sleep(6000);
        const results = await load.stop();
        // The first second is the surge itself, before any answer has carried a threshold back.
        const later = results.filter(result => result.arrivedAt > 1000);
        expect(computeShare(later, "advance")).to.be.at.least(valuableShare);
        expect(computeShare(later, "certificate")).to.be.at.least(valuableShare);
        expect(computeShare(later, "browse")).to.be.below(0.6);
    });
});
