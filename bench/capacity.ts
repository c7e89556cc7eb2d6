/**
 * Cost of control at rest for growing numbers of nodes: processor time, resident memory, bytes and reads of the log, and the
 * time until a contract is in force everywhere. Every node is a daemon process of its own; there are no endpoints.
 *
 * Run with `npm run bench:capacity -- [--sizes 10,30,60,120] [--seconds 20]`. Bytes are those of all TCP connections
 * of one node, sent and received, framing of HTTP and gRPC included.
 */
import { appendFileSync, mkdirSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { Cluster } from "../standin/cluster.js";
import { createContract } from "../standin/plans.js";
import { postJson, sleep, waitFor } from "../standin/processes.js";
import { ConnectionBytes } from "./connectionBytes.js";
import { readUsage } from "./processUsage.js";

const services = 6;
const dataCentres = ["pekalongan", "klaten", "jepara"];
/** Time for all nodes to know each other, in milliseconds. */
const settleTimeoutMs = 180_000;

/** Time without an append after which the nodes count as at rest, in milliseconds. */
const restMs = 10_000;

const { values } = parseArgs({
    options: { sizes: { type: "string", default: "10,30,60,120" }, seconds: { type: "string", default: "20" } },
});

async function readLogCounts(cluster: Cluster): Promise<{ appends: number; reads: number; }> {
    return await postJson(`${cluster.log}/control`, {}) as { appends: number; reads: number; };
}

function createCluster(size: number): Cluster {
    const plans = Array.from({ length: services }, (_, index) => ({
        name: `service-${index}`,
        slots: 10,
        serviceMs: 1,
        calls: [],
        dataCentres: Array.from(
            { length: Math.ceil((size - index) / services) },
            (_each, nth) => dataCentres[nth % dataCentres.length]!,
        ),
    }));
    return new Cluster({ services: plans, contracts: [] });
}

async function startNodes(cluster: Cluster): Promise<void> {
    await cluster.startLog();
    cluster.instances.forEach(instance => instance.startNode());
    const size = cluster.instances.length;
    for (const instance of cluster.instances) {
        const isSettled = async (): Promise<boolean> => {
            const status = await instance.readStatus();
            return status?.isAnnounced === true && status.members.length >= size && status.partitionsOwned > 0;
        };
        await waitFor(isSettled, settleTimeoutMs, `${instance.name} to settle`);
    }
}

/** Waits until nothing has been appended to the log for a while: partitions have found their owners. */
async function waitUntilAtRest(cluster: Cluster): Promise<void> {
    for (let appends = -1;;) {
        await sleep(restMs);
        const counts = await readLogCounts(cluster);
        if (counts.appends === appends) {
            return;
        }
        appends = counts.appends;
    }
}

/** Time from the tool's word until all nodes show the version, in milliseconds. */
async function measureSpread(cluster: Cluster, version: number): Promise<number> {
    const result = await cluster.publish(createContract("weavers", { requestsPerSecond: 100, burst: version }));
    if (result.code !== 0) {
        throw new Error(result.output);
    }
    const startedAt = performance.now();
    const waiting = new Set(cluster.instances);
    while (waiting.size > 0) {
        await Promise.all([...waiting].map(async instance => {
            if (((await instance.readStatus())?.versions["weavers"] ?? 0) >= version) {
                waiting.delete(instance);
            }
        }));
        await sleep(20);
    }
    return performance.now() - startedAt;
}

async function measureSize(size: number): Promise<void> {
    const cluster = createCluster(size);
    try {
        await startNodes(cluster);
        await waitUntilAtRest(cluster);
        const { instances } = cluster;
        const [subject] = instances;
        const readCpu = (): number => instances.reduce((sum, instance) => sum + readUsage(instance.node?.pid).cpuMs, 0);
        const seconds = Number(values.seconds);
        const bytes = new ConnectionBytes(subject!.node!.pid!);
        const before = { cpu: readCpu(), log: await readLogCounts(cluster) };
        for (let second = 0; second < seconds; second += 1) {
            await sleep(1000);
            bytes.addSample();
        }
        const after = { cpu: readCpu(), log: await readLogCounts(cluster) };
        const resident = instances.map(instance => readUsage(instance.node?.pid).residentBytes / 2 ** 20);
        const spreads = [
            await measureSpread(cluster, 1),
            await measureSpread(cluster, 2),
            await measureSpread(cluster, 3),
        ];
        const figures = {
            nodes: instances.length,
            cpuPercent: (after.cpu - before.cpu) / (seconds * 10) / instances.length,
            residentMegabytes: resident.reduce((sum, each) => sum + each, 0) / resident.length,
            maxResidentMegabytes: Math.max(...resident),
            bytesPerSecond: bytes.getTotal() / seconds,
            logReadsPerSecond: (after.log.reads - before.log.reads) / seconds,
            logAppendsPerSecond: (after.log.appends - before.log.appends) / seconds,
            appendsToStart: before.log.appends,
            spreadMs: Math.max(...spreads),
        };
        process.stdout.write(`${JSON.stringify(figures)}\n`);
        appendFileSync("reports/capacity.jsonl", JSON.stringify(figures) + "\n");
    }
    finally {
        await cluster.stop();
    }
}

mkdirSync("reports", { recursive: true });
for (const size of values.sizes.split(",")) {
    await measureSize(Number(size));
}
process.exit(0);
