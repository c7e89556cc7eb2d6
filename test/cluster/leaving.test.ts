import { expect } from "chai";
import type { Cluster } from "../../standin/cluster.js";
import { Load } from "../../standin/load.js";
import { sleep, waitForExit } from "../../standin/processes.js";
import { findViolations } from "../../standin/promises.js";
import { bound, createCluster, createFlows, listFailures } from "./harness.js";

/** Time after which a leaving endpoint must not get new work, in milliseconds. */
const newWorkMs = 3000;

describe("leaving", () => {
    let cluster: Cluster;

    beforeEach(async () => {
        cluster = createCluster();
        await cluster.start();
    });
    afterEach(() => cluster.stop());

    const leavers: readonly {
        readonly name: string;
        readonly isLogDown: boolean;
        readonly leave: "node" | "endpoint";
    }[] = [
        { name: "an endpoint that drains", isLogDown: false, leave: "endpoint" },
        { name: "an endpoint that drains while the log is out", isLogDown: true, leave: "endpoint" },
        { name: "a node that is stopped", isLogDown: false, leave: "node" },
        { name: "a node that is stopped while the log is out", isLogDown: true, leave: "node" },
    ];
    for (const { name, isLogDown, leave } of leavers) {
        it(`${name} gets no new work after a few seconds, and nothing in progress is cut`, async () => {
            const [leaver] = cluster.listService("katalog");
            // A slow run, in progress when the leave begins, shows that it is finished and not cut.
            await leaver!.changeEndpoint({ serviceMs: 400 });
            const load = new Load(createFlows(cluster, 20));
            await sleep(1000);
            await cluster.changeLog({ isDown: isLogDown });
            const leftAt = Date.now();
            leaver![leave]!.kill("SIGTERM");
            const exited = waitForExit(leaver![leave]!);
            await sleep(newWorkMs + 2000);
            const results = await load.stop();
            const runs = cluster.readRuns();
            const late = runs.filter(run =>
                run.instance === leaver!.name && run.event === "start" && run.at > leftAt + newWorkMs
            );
            expect(late).to.deep.equal([]);
            expect(await exited).to.equal(0);
            const own = runs.filter(run => run.instance === leaver!.name);
            expect(own.filter(run => run.event === "cancelled")).to.deep.equal([]);
            expect(own.filter(run => run.event === "start").length).to.equal(
                own.filter(run => run.event === "end").length,
            );
            expect(findViolations(results, runs, bound)).to.deep.equal([]);
            expect(listFailures(results).filter(line => line.startsWith("browse"))).to.deep.equal([]);
        });
    }

    it("replaces every instance under load without one failed request", async function() {
        this.timeout(180_000);
        const load = new Load(createFlows(cluster, 20, 4));
        await sleep(1000);
        for (const [index, instance] of cluster.instances.entries()) {
            const codes = await instance.stop(index % 2 === 0 ? "node" : "endpoint");
            expect(codes).to.deep.equal([0, 0]);
            await instance.start();
            await cluster.waitUntilSettled();
        }
        await sleep(500);
        const results = await load.stop();
        expect(listFailures(results)).to.deep.equal([]);
        expect(findViolations(results, cluster.readRuns(), bound)).to.deep.equal([]);
    });
});
