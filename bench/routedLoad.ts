/**
 * Measures the processor time that routed nodes spend on a request: two services, each run of the first makes calls to the
 * second, callers at a steady rate.
 *
 * Run with `npm run bench:routed -- [--perSecond 300] [--seconds 20] [--warmUp 8] [--calls 4] [--profile FOLDER]
 * [--flags "--x --y"]`. Processor time is that of the node processes alone, as the operating system counts it; the upstreams,
 * the store and the callers run in the tool's own process. With a folder, each node writes a processor profile there. With
 * `--warmUp 0` the last line is the whole life of fresh nodes, from their start to the last answer.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { PlatformCluster } from "../standin/platformCluster.js";
import { sleep } from "../standin/processes.js";
import { createRandom } from "../standin/random.js";
import { computeQuantiles } from "./figures.js";

/** Ticks of the operating system's processor times in a second. */
const ticksPerSecond = 100;
/** Deadline of a request, in milliseconds. */
const deadlineMs = 3000;

const { values } = parseArgs({
    options: {
        perSecond: { type: "string", default: "300" },
        seconds: { type: "string", default: "20" },
        // Time before a leg is counted, so that connections and compiled code are warm, in seconds.
        warmUp: { type: "string", default: "8" },
        calls: { type: "string", default: "4" },
        flags: { type: "string", default: "" },
        profile: { type: "string" },
    },
});
const perSecond = Number(values.perSecond);
const seconds = Number(values.seconds);
const warmUpSeconds = Number(values.warmUp);
const calls = Number(values.calls);

/** Grace period of the nodes, in seconds. */
const graceSeconds = 4;

/** Processor time of a process so far, in seconds: fields 14 and 15 of its status line, counted behind its name. */
function readProcessorSeconds(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function sumProcessorSeconds(cluster: PlatformCluster): number {
    return cluster.machines.reduce((sum, machine) => sum + readProcessorSeconds(machine.node!.pid!), 0);
}

function formatConfiguration(): string {
    const services = ["katalog", "mutu"];
    const routes = services.map((service, priority) => ({
        name: service,
        host: `${service}.example`,
        pathPrefix: "/",
        repetition: "idempotent",
        timeoutMs: 2500,
        targetLatencyMs: 1500,
        maxRuns: 2,
        priority,
        shares: [{ service, weight: 1 }],
    }));
    const facts = services.map(name => ({ name, healthPath: "/healthz", maxConnections: 500 }));
    return JSON.stringify({ version: 1, routes, services: facts, limits: {} });
}

/** Sends requests at a steady rate for a time. Returns the times of those that were served, in milliseconds. */
async function runLoad(cluster: PlatformCluster, name: string, forSeconds: number): Promise<number[]> {
    const random = createRandom(1);
    const startedAt = performance.now();
    const requests = [];
    for (let index = 0; index < perSecond * forSeconds; index += 1) {
        const waitMs = startedAt + index * 1000 / perSecond - performance.now();
        if (waitMs > 1) {
            await sleep(waitMs);
        }
        const machine = cluster.machines[Math.floor(random() * cluster.machines.length)]!;
        requests.push(machine.call("GET", "katalog.example", "/page", `${name}${index}`, deadlineMs));
    }
    const answers = await Promise.all(requests);
    return answers.filter(answer => answer.status === 200).map(answer => answer.elapsedMs);
}

async function main(): Promise<void> {
    const lookup = { host: "mutu.example", path: "/grade" };
    const services = [
        { name: "katalog", instances: 2, slots: 300, runMs: 20, calls: Array.from({ length: calls }, () => lookup) },
        { name: "mutu", instances: 2, slots: 300, runMs: 5 },
    ];
    const flags = values.flags.split(" ").filter(flag => flag !== "");
    if (values.profile !== undefined) {
        flags.push("--cpu-prof", `--cpu-prof-dir=${values.profile}`, "--cpu-prof-interval=200");
    }
    const cluster = new PlatformCluster(services, graceSeconds, flags);
    await cluster.start(formatConfiguration());
    await runLoad(cluster, "warm", warmUpSeconds);
    const before = sumProcessorSeconds(cluster);
    const times = await runLoad(cluster, "load", seconds);
    const lifeSeconds = sumProcessorSeconds(cluster);
    const spent = lifeSeconds - before;
    const requests = perSecond * seconds;
    const legs = requests * (1 + calls);
    const { p50, p99 } = computeQuantiles(times);
    process.stdout.write(
        `requests ${requests}, served ${times.length}, legs ${legs}, p50 ${p50.toFixed(1)} ms, p99 ${
            p99.toFixed(1)
        } ms\n`
            + `processor time of the nodes: ${spent.toFixed(2)} s, ${
                (spent * 1000 / legs).toFixed(3)
            } ms a leg; since their start ${lifeSeconds.toFixed(2)} s\n`,
    );
    await Promise.all(cluster.machines.map(machine => machine.endNode("SIGTERM")));
    await cluster.stop();
    process.exit(0);
}

await main();
