import { expect } from "chai";
import type { Cluster } from "../../standin/cluster.js";
import { isCompleted, Load } from "../../standin/load.js";
import { createContract } from "../../standin/plans.js";
import { sleep, waitForExit } from "../../standin/processes.js";
import { createCluster, createFlow } from "./harness.js";

const allowance = { requestsPerSecond: 100, burst: 40 };

describe("allowance of a customer", () => {
    let cluster: Cluster;

    before(async () => {
        cluster = createCluster({ contracts: [createContract("weavers", allowance)] });
        await cluster.start();
    });
    after(() => cluster.stop());

    it("holds over all entries while a node dies and is replaced", async () => {
        const load = new Load([
            createFlow(cluster, "weavers", "browse", "katalog", 300, 1),
            createFlow(cluster, "weavers", "browse", "ekspor", 100, 1),
        ]);
        await sleep(3000);
        const victim = cluster.listService("ekspor")[0]!;
        victim.node!.kill("SIGKILL");
        await waitForExit(victim.node!);
        await sleep(2000);
        victim.startNode();
        await sleep(4000);
        const seconds = load.now() / 1000;
        const results = await load.stop();
        const completed = results.filter(isCompleted).length;
        expect(completed).to.be.within(1, allowance.requestsPerSecond * seconds + allowance.burst);
        const refused = results.filter(result => result.told.reason === "allowance");
        expect(refused.length).to.be.above(0);
        expect(refused.every(result => result.told.status === 429 && (result.told.retryAfterMs ?? 0) > 0)).to.equal(
            true,
        );
    });
});
