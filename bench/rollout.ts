/**
 * Two builds of the node side by side: all nodes of a small deployment start as the other build, are replaced one after the other
 * by this one under load, and back. Meanwhile the configuration changes and an upstream is replaced. Prints what callers saw.
 *
 * Run with `npm run bench:rollout -- OTHER`, where OTHER is the compiled `dist/platform/main.js` of a checkout of the other
 * build. Exits 0 if nothing ran twice, was refused though it ran, was cut, ran at another service or was missing.
 */
import process from "node:process";
import type { CallerAnswer, Machine } from "../standin/platformCluster.js";
import { PlatformCluster } from "../standin/platformCluster.js";
import { sleep, waitFor } from "../standin/processes.js";

/** Requests a second at each machine that callers use. */
const perSecond = 12;
/** Time between the replacement of two nodes, in milliseconds. */
const pauseMs = 2500;
/** Time between the questions whether a node is ready, in milliseconds; after two misses callers leave it. */
const readinessIntervalMs = 1000;
/** Grace time of a stop, in seconds. */
const graceSeconds = 6;

/** A kind of request. */
interface Kind {
    readonly name: string;
    readonly method: string;
    readonly service: string;
    readonly repetition: "idempotent" | "atMostOnce";
}

const kinds: readonly Kind[] = [
    { name: "page", method: "GET", service: "katalog", repetition: "idempotent" },
    { name: "advance", method: "POST", service: "kas", repetition: "atMostOnce" },
    { name: "grade", method: "PUT", service: "mutu", repetition: "atMostOnce" },
];

/** A request that has ended. */
interface Ended {
    readonly kind: Kind;
    readonly attempt: string;
    readonly answer: CallerAnswer;
    /** Whether the entry was a node of the other build. */
    readonly isOther: boolean;
}

async function main(): Promise<void> {
    const otherProgram = process.argv[2];
    if (otherProgram === undefined) {
        process.stderr.write("usage: npm run bench:rollout -- OTHER/dist/platform/main.js\n");
        process.exit(2);
    }
    const lookup = { host: "mutu.example", path: "/page/1" };
    const cluster = new PlatformCluster([
        { name: "katalog", instances: 2, slots: 20, runMs: 60, calls: [lookup] },
        { name: "kas", instances: 2, slots: 20, runMs: 120, calls: [lookup] },
        { name: "mutu", instances: 2, slots: 20, runMs: 30 },
    ], graceSeconds);
    const ownProgram = cluster.machines[0]!.program;
    cluster.machines.forEach(machine => machine.program = otherProgram);
    await cluster.start(formatConfiguration(1));
    const load = new RolloutLoad(cluster, otherProgram);
    const isOver = { value: false };
    const ended = load.run(isOver);
    await sleep(pauseMs);
    await replaceAll(cluster, ownProgram, 2);
    await replaceAll(cluster, otherProgram, 4);
    isOver.value = true;
    const isMet = report(cluster, await ended);
    await cluster.stop();
    process.exit(isMet ? 0 : 1);
}

/** Replaces the nodes one after the other; in between the configuration changes, an upstream is replaced and one sheds. */
async function replaceAll(cluster: PlatformCluster, program: string, version: number): Promise<void> {
    for (const [index, machine] of cluster.machines.entries()) {
        await machine.endNode("SIGTERM");
        machine.program = program;
        machine.startNode();
        await waitFor(() => machine.isReady(), 10_000, `node ${machine.address}`);
        await sleep(pauseMs);
        if (index === 1) {
            cluster.store.put("keyed.op", "config", formatConfiguration(version));
        }
        if (index === 2) {
            await replaceUpstream(cluster.machines[5]!);
        }
        if (index === 3) {
            cluster.machines[4]!.upstream.fault = "shed";
            await sleep(pauseMs);
            cluster.machines[4]!.upstream.fault = "none";
        }
    }
    cluster.store.put("keyed.op", "config", formatConfiguration(version + 1));
    await sleep(pauseMs);
}

async function replaceUpstream({ upstream }: Machine): Promise<void> {
    await upstream.drain();
    await sleep(pauseMs);
    await upstream.leave();
    upstream.endAbruptly();
    await upstream.start();
}

/** Each version has the route of the requests and one that it adds. */
function formatConfiguration(version: number): string {
    const routes = kinds.flatMap(({ name, service, repetition }) =>
        [name, `${name}-${version}`].map(prefix => ({
            name: prefix,
            host: `${service}.example`,
            pathPrefix: `/${prefix}/`,
            repetition,
            timeoutMs: 1500,
            targetLatencyMs: 500,
            maxRuns: 2,
            priority: 1,
            shares: [{ service, weight: 1 }],
        }))
    );
    const lookups = { ...routes[0]!, name: "lookup", host: "mutu.example", shares: [{ service: "mutu", weight: 1 }] };
    const services = kinds.map(({ service }) => ({ name: service, healthPath: "/healthz", maxConnections: 100 }));
    return JSON.stringify({ version, routes: [...routes, lookups], services, limits: {} });
}

/** Callers beside each machine, which leave a node that isn't ready as the platform's do. */
class RolloutLoad {
    private readonly requests: Promise<Ended>[] = [];

    constructor(private readonly cluster: PlatformCluster, private readonly otherProgram: string) {}

    async run(isOver: { readonly value: boolean; }): Promise<Ended[]> {
        const watches = this.cluster.machines.map(machine => this.followReadiness(machine, isOver));
        for (let index = 0; !isOver.value; index += 1) {
            for (const machine of this.cluster.machines) {
                if (machine.isInUse) {
                    this.requests.push(this.send(machine, kinds[index % kinds.length]!, `${machine.address}-${index}`));
                }
            }
            await sleep(1000 / perSecond);
        }
        await Promise.all(watches);
        return Promise.all(this.requests);
    }

    private async followReadiness(machine: Machine, isOver: { readonly value: boolean; }): Promise<void> {
        for (let misses = 0; !isOver.value;) {
            misses = await machine.isReady() ? 0 : misses + 1;
            machine.isInUse = misses < 2;
            await sleep(readinessIntervalMs);
        }
    }

    private async send(machine: Machine, kind: Kind, attempt: string): Promise<Ended> {
        const isOther = machine.program === this.otherProgram;
        const path = `/${kind.name}/1`;
        return {
            kind,
            attempt,
            isOther,
            answer: await machine.call(kind.method, `${kind.service}.example`, path, attempt, 3000),
        };
    }
}

/** Prints what callers saw at the nodes of each build, and whether all of it is allowed. */
function report(cluster: PlatformCluster, ended: readonly Ended[]): boolean {
    const runs = new Map<string, string[]>();
    for (const { service, upstream } of cluster.machines) {
        upstream.runs.forEach(attempt => runs.set(attempt, [...runs.get(attempt) ?? [], service]));
    }
    const findRuns = ({ attempt }: Ended): string[] => runs.get(attempt) ?? [];
    const findings: Readonly<Record<string, (each: Ended) => boolean>> = {
        "ran twice": each => each.kind.repetition === "atMostOnce" && findRuns(each).length > 1,
        "refused though run": each => each.answer.status === 503 && findRuns(each).length > 0,
        "cut though run": each => each.answer.status === 0 && findRuns(each).length > 0,
        "ran at another service": each => findRuns(each).some(service => service !== each.kind.service),
        "denied": each => each.answer.status >= 400 && each.answer.status < 500,
    };
    process.stdout.write("entry of   asked  served  refused  failed  no answer\n");
    for (const isOther of [true, false]) {
        const own = ended.filter(each => each.isOther === isOther).map(each => each.answer.status);
        const counts = [
            own.length,
            own.filter(status => status === 200).length,
            own.filter(status => status === 503).length,
            own.filter(status => status >= 500 && status !== 503).length,
            own.filter(status => status === 0).length,
        ];
        process.stdout.write(
            `${isOther ? "other" : "this "}   ${counts.map(count => String(count).padStart(8)).join("")}\n`,
        );
    }
    let isMet = true;
    for (const [name, isFinding] of Object.entries(findings)) {
        const found = ended.filter(isFinding);
        isMet &&= found.length === 0;
        process.stdout.write(`${name}: ${found.length} ${found.slice(0, 5).map(each => each.attempt).join(" ")}\n`);
    }
    return isMet;
}

await main();
