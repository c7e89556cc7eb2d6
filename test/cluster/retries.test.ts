import { expect } from "chai";
import { randomUUID } from "node:crypto";
import { sendOnce } from "../../standin/caller.js";
import type { Cluster } from "../../standin/cluster.js";
import { Load } from "../../standin/load.js";
import { sleep } from "../../standin/processes.js";
import { findViolations } from "../../standin/promises.js";
import { bound, createCluster, createFlows } from "./harness.js";

describe("bound of repeated runs behind one action", () => {
    let cluster: Cluster;

    before(async () => {
        cluster = createCluster();
        await cluster.start();
    });
    after(() => cluster.stop());

    it("holds while every hop loses half of its answers and callers send eight times", async () => {
        await Promise.all(cluster.instances.map(instance => instance.changeEndpoint({ loseAnswers: 0.5 })));
        const load = new Load(createFlows(cluster, 20, 8));
        await sleep(3000);
        const results = await load.stop();
        await Promise.all(cluster.instances.map(instance => instance.changeEndpoint({ loseAnswers: 0 })));
        expect(findViolations(results, cluster.readRuns(), bound)).to.deep.equal([]);
        expect(results.some(result => result.history.length > 1)).to.equal(true);
    });

    it("holds for callers that don't number their sends", async () => {
        const entries = cluster.listService("katalog");
        await Promise.all(entries.map(instance => instance.changeEndpoint({ loseAnswers: 1 })));
        const key = randomUUID();
        const headers = { "x-action": key };
        for (let send = 0; send < 12; send += 1) {
            const url = entries[send % entries.length]!.callerUrl;
            await sendOnce({ url, customer: "weavers", class: "browse", key, headers });
        }
        await Promise.all(entries.map(instance => instance.changeEndpoint({ loseAnswers: 0 })));
        const runs = cluster.readRuns().filter(run => run.action === key && run.event === "start");
        expect(runs.length).to.be.within(1, 1 + bound);
    });
});
