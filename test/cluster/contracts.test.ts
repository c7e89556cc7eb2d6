import { expect } from "chai";
import { sendOnce } from "../../standin/caller.js";
import type { Cluster } from "../../standin/cluster.js";
import type { Instance } from "../../standin/instance.js";
import { createContract } from "../../standin/plans.js";
import { sleep, waitFor, waitForExit } from "../../standin/processes.js";
import { createCluster } from "./harness.js";

/** Time within which an accepted contract is in force in every place, in milliseconds. */
const inForceMs = 4000;

function publish(cluster: Cluster, burst: number, ...options: string[]) {
    return cluster.publish(createContract("weavers", { requestsPerSecond: 1000, burst }), ...options);
}

async function readVersion(instance: Instance): Promise<number> {
    return (await instance.readStatus())?.versions["weavers"] ?? 0;
}

/** Samples the version in force on every node and keeps those that went back. */
class VersionSampler {
    readonly setbacks: string[] = [];
    private readonly highest = new Map<string, number>();
    private isStopped = false;

    constructor(private readonly cluster: Cluster) {
        void this.run();
    }

    stop(): void {
        this.isStopped = true;
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            await Promise.all(this.cluster.instances.map(instance => this.readSample(instance)));
            await sleep(50);
        }
    }

    private async readSample(instance: Instance): Promise<void> {
        const status = await instance.readStatus();
        const version = status?.versions["weavers"];
        if (status?.isReady !== true || version === undefined) {
            return;
        }
        const before = this.highest.get(instance.name) ?? 0;
        if (version < before) {
            this.setbacks.push(`${instance.name} went from ${before} to ${version}`);
        }
        this.highest.set(instance.name, Math.max(before, version));
    }
}

function waitForVersion(instances: readonly Instance[], version: number): Promise<void> {
    const isInForce = async (): Promise<boolean> =>
        (await Promise.all(instances.map(readVersion))).every(each => each >= version);
    return waitFor(isInForce, inForceMs, `version ${version} everywhere`);
}

describe("a contract once accepted", () => {
    let cluster: Cluster;
    let sampler: VersionSampler;

    beforeEach(async () => {
        cluster = createCluster();
        await cluster.start();
        sampler = new VersionSampler(cluster);
    });
    afterEach(async () => {
        sampler.stop();
        await cluster.stop();
    });

    it("is in force everywhere within 4 s and is never replaced by an older one, with racing operators and lost answers", async () => {
        for (let round = 0; round < 3; round += 1) {
            await cluster.changeLog({ losesAnswers: round === 1 });
            const before = await readVersion(cluster.instances[0]!);
            const results = await Promise.all(
                [1, 2].map(operator => publish(cluster, round * 10 + operator, "--base", String(before))),
            );
            await cluster.changeLog({ losesAnswers: false });
            expect(results.map(result => result.code).sort()).to.deep.equal([0, 3]);
            expect(results.find(result => result.code === 3)!.output).to.contain(`is at version ${before + 1}`);
            await waitForVersion(cluster.instances, before + 1);
        }
        expect(sampler.setbacks).to.deep.equal([]);
    });

    it("is not said to be accepted while the log is out", async () => {
        await cluster.changeLog({ isDown: true });
        const result = await publish(cluster, 7);
        expect(result.code).to.equal(4);
        await cluster.changeLog({ isDown: false });
        await sleep(1500);
        expect(await readVersion(cluster.instances[0]!)).to.equal(1);
    });

    it("is learned by a fresh instance while the log is out, which serves on no older one", async () => {
        expect((await publish(cluster, 8)).code).to.equal(0);
        await waitForVersion(cluster.instances, 2);
        await cluster.changeLog({ isDown: true });
        const instance = cluster.instances.at(-1)!;
        instance.node!.kill("SIGKILL");
        await waitForExit(instance.node!);
        instance.startNode();
        await instance.waitUntilReady();
        expect(await readVersion(instance)).to.equal(2);
        const told = await sendOnce({ url: instance.callerUrl, customer: "weavers", class: "browse", attempt: 1 });
        expect(told.outcome).to.equal("completed");
        expect(sampler.setbacks).to.deep.equal([]);
    });

    it("is in force before a node that was frozen serves again", async () => {
        const [frozen] = cluster.instances;
        frozen!.node!.kill("SIGSTOP");
        // With an allowance of one request at a time a node on the older contract gives itself away.
        const contract = createContract("weavers", { requestsPerSecond: 0, burst: 1 });
        expect((await cluster.publish(contract)).code).to.equal(0);
        await sleep(3000);
        const sends = [1, 2, 3, 4, 5].map(() =>
            sendOnce({ url: frozen!.callerUrl, customer: "weavers", class: "browse", attempt: 1 })
        );
        await sleep(200);
        frozen!.node!.kill("SIGCONT");
        const told = await Promise.all(sends);
        expect(told.filter(each => each.outcome === "completed").length).to.be.at.most(1);
        expect(sampler.setbacks).to.deep.equal([]);
    });
});

describe("a contract on a log that keeps records for seconds", () => {
    let cluster: Cluster;

    beforeEach(async () => {
        cluster = createCluster({ logRetentionMs: 6000 });
        await cluster.start();
    });
    afterEach(() => cluster.stop());

    it("outlives the retention, also for an instance that starts later", async () => {
        await cluster.publishMalformed("contracts", "{\"kind\":\"publish\",\"torn");
        await cluster.publishMalformed("members", "not a record");
        expect((await publish(cluster, 9)).code).to.equal(0);
        await sleep(14_000);
        const instance = cluster.instances.at(-1)!;
        expect(await instance.stop("node")).to.deep.equal([0, 0]);
        await instance.start();
        await cluster.waitUntilSettled();
        expect(await Promise.all(cluster.instances.map(readVersion))).to.deep.equal(cluster.instances.map(() => 2));
    });
});
