/**
 * The platform build on loopback: three services of two instances, callers at a steady rate, an upstream that crashes, a node
 * that stops gracefully and comes back, a configuration that changes, and a store that is away.
 *
 * Run with `npm run demo:platform`. Exits 0 if what is stated at the end holds.
 */
import process from "node:process";
import type { CallerAnswer, Machine } from "./platformCluster.js";
import { PlatformCluster } from "./platformCluster.js";
import { sleep } from "./processes.js";
import { createRandom } from "./random.js";

/** Requests a second of all callers. */
const perSecond = 60;
/** Length of the load, in seconds. */
const seconds = 12;

/** A kind of request. */
interface Kind {
    readonly name: string;
    readonly method: string;
    readonly host: string;
    readonly path: string;
    readonly service: string;
    readonly repetition: "idempotent" | "atMostOnce";
    readonly priority: number;
}

const kinds: readonly Kind[] = [
    {
        name: "page",
        method: "GET",
        host: "katalog.example",
        path: "/loom/1",
        service: "katalog",
        repetition: "idempotent",
        priority: 2,
    },
    {
        name: "advance",
        method: "POST",
        host: "kas.example",
        path: "/advance/1",
        service: "kas",
        repetition: "atMostOnce",
        priority: 0,
    },
    {
        name: "lookup",
        method: "GET",
        host: "mutu.example",
        path: "/grade/1",
        service: "mutu",
        repetition: "idempotent",
        priority: 1,
    },
];

/** A request that has ended. */
interface Ended {
    readonly kind: Kind;
    readonly attempt: string;
    readonly answer: CallerAnswer;
}

async function main(): Promise<void> {
    const lookup = { host: "mutu.example", path: "/grade/1" };
    const cluster = new PlatformCluster([
        { name: "katalog", instances: 2, slots: 20, runMs: 40, calls: [lookup] },
        { name: "kas", instances: 2, slots: 20, runMs: 40, calls: [lookup] },
        { name: "mutu", instances: 2, slots: 20, runMs: 15 },
    ]);
    await cluster.start(formatConfiguration(1));
    process.stdout.write("started: 1 store, 6 upstreams, 6 nodes\n");
    const [ended] = await Promise.all([runLoad(cluster), playDay(cluster)]);
    const isMet = report(cluster, ended);
    await cluster.stop();
    process.exit(isMet ? 0 : 1);
}

function formatConfiguration(version: number): string {
    const routes = kinds.map(({ name, host, path, service, repetition, priority }) => ({
        name,
        host,
        pathPrefix: path.replace(/[^/]*$/, ""),
        repetition,
        timeoutMs: 1500,
        targetLatencyMs: 500,
        maxRuns: 2,
        priority,
        shares: [{ service, weight: 1 }],
    }));
    const services = kinds.map(({ service }) => ({ name: service, healthPath: "/healthz", maxConnections: 100 }));
    return JSON.stringify({ version, routes, services, limits: {} });
}

/** Sends requests at a steady rate to nodes that are ready, as callers do. */
async function runLoad(cluster: PlatformCluster): Promise<Ended[]> {
    const random = createRandom(3);
    const requests: Promise<Ended>[] = [];
    for (let index = 0; index < perSecond * seconds; index += 1) {
        const kind = kinds[index % kinds.length]!;
        const machines = cluster.machines.filter(machine => machine.isInUse);
        const machine = machines[Math.floor(random() * machines.length)]!;
        requests.push(sendRequest(machine, kind, `demo${index}`));
        await sleep(1000 / perSecond);
    }
    return Promise.all(requests);
}

async function sendRequest(machine: Machine, kind: Kind, attempt: string): Promise<Ended> {
    return { kind, attempt, answer: await machine.call(kind.method, kind.host, kind.path, attempt, 3000) };
}

/** What happens while the load runs. */
async function playDay(cluster: PlatformCluster): Promise<void> {
    const [katalog1, , kas1] = cluster.machines;
    await sleep(2000);
    process.stdout.write("an upstream of kas crashes\n");
    kas1!.upstream.endAbruptly();
    await sleep(1500);
    await kas1!.upstream.start();
    process.stdout.write("a node of katalog is stopped and started\n");
    katalog1!.isInUse = false;
    await katalog1!.endNode("SIGTERM");
    katalog1!.startNode();
    await sleep(1000);
    katalog1!.isInUse = true;
    process.stdout.write("the store is away, and comes back with a new configuration\n");
    cluster.store.faults = { status: 503 };
    await sleep(1500);
    cluster.store.faults = {};
    cluster.store.put("keyed.op", "config", formatConfiguration(2));
}

/** Prints what callers saw, and whether it is as stated. */
function report(cluster: PlatformCluster, ended: readonly Ended[]): boolean {
    const runs = cluster.machines.flatMap(machine => machine.upstream.runs);
    process.stdout.write("kind      asked  served  refused  failed  lost\n");
    for (const kind of kinds) {
        const own = ended.filter(each => each.kind === kind).map(each => each.answer.status);
        const count = (isCounted: (status: number) => boolean): string =>
            String(own.filter(isCounted).length).padStart(8);
        process.stdout.write(
            kind.name.padEnd(7) + String(own.length).padStart(8) + count(status => status === 200)
                + count(status => status === 503) + count(status => status === 502 || status === 504 || status === 500)
                + count(status => status === 0) + "\n",
        );
    }
    const twice = ended.filter(({ kind, attempt }) =>
        kind.repetition === "atMostOnce" && runs.filter(each => each === attempt).length > 1
    );
    const untrue = ended.filter(({ kind, attempt, answer }) =>
        kind.repetition === "atMostOnce" && answer.status === 503 && runs.includes(attempt)
    );
    const served = ended.filter(({ answer }) => answer.status === 200).length / ended.length;
    const isMet = twice.length === 0 && untrue.length === 0 && served > 0.97;
    process.stdout.write(
        `ran twice: ${twice.length}; refused though run: ${untrue.length}; served: ${served.toFixed(3)}; `
            + `stated outcomes: ${isMet ? "met" : "not met"}\n`,
    );
    return isMet;
}

await main();
