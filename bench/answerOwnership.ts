/**
 * Whose answer callers get: nodes as processes, endpoints that reject, fail, fall silent and answer some sends a second time,
 * three levels of calls. Each success must be what its endpoint answered first to the send whose signature it bears.
 *
 * Run with `npm run bench:answers -- [--build DIR] [--machines 10] [--rate 60] [--seconds 10] [--seed 1]` and the shares below.
 * DIR is a checkout of another build, compiled; with `--beside DIR` every second node is of that one. Exits 0 if there were no
 * findings. With `--logs DIR` the logs of the nodes are written there. The seed fixes what is drawn, not when it happens.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import type { Machine, PlatformServicePlan } from "../standin/platformCluster.js";
import { PlatformCluster, ports } from "../standin/platformCluster.js";
import { sleep, waitFor } from "../standin/processes.js";
import { createRandom } from "../standin/random.js";
import { AnswerCaller } from "./answerCaller.js";
import { AnsweringEndpoint } from "./answeringEndpoint.js";
import type { AnswerSums, Finding } from "./answerRecords.js";
import { AnswerRecords } from "./answerRecords.js";

const { values } = parseArgs({
    options: {
        build: { type: "string", default: "." },
        beside: { type: "string" },
        machines: { type: "string", default: "10" },
        services: { type: "string", default: "6" },
        // Requests of clients a second, without the calls that runs make.
        rate: { type: "string", default: "60" },
        seconds: { type: "string", default: "10" },
        seed: { type: "string", default: "1" },
        attempts: { type: "string", default: "2" },
        runMs: { type: "string", default: "15" },
        deadlineMs: { type: "string", default: "2500" },
        // Shares of the sends at endpoints.
        rejected: { type: "string", default: "0" },
        failed: { type: "string", default: "0" },
        silent: { type: "string", default: "0" },
        second: { type: "string", default: "0.3" },
        due: { type: "string", default: "0.4" },
        chunked: { type: "string", default: "0" },
        unlengthed: { type: "string", default: "0" },
        repeat: { type: "boolean", default: false },
        behindSuccesses: { type: "boolean", default: false },
        // Shares of the requests of clients.
        head: { type: "string", default: "0" },
        ahead: { type: "string", default: "0" },
        leaving: { type: "string", default: "0" },
        twice: { type: "string", default: "0" },
        repeatsIds: { type: "boolean", default: false },
        // Troubles, one at a time in this order: killNode, freezeNode, restartEndpoint.
        troubles: { type: "string", default: "" },
        troubleEveryMs: { type: "string", default: "2000" },
        logs: { type: "string" },
        logLevel: { type: "string", default: "info" },
    },
});

/** Levels of services; each calls the next one. */
const levels = 3;
/** Services that a run calls. */
const callsOfRun = 2;
/** Slots of an endpoint. */
const slots = 60;
/** Time between heartbeats of an endpoint, in milliseconds. */
const heartbeatMs = 1500;
/** Nodes that start at the same time. */
const startedAtOnce = 12;
/** Share of the instances that each node knows before the load; a record that is missed by gossip comes minutes later. */
const knownShare = 0.97;
/** Links that a node has at least once it knows the others. */
const fewestLinks = 5;
/** Longest wait for the start of a node, in milliseconds. */
const startTimeoutMs = 60_000;
/** Longest wait until a node knows the others, in milliseconds. */
const connectTimeoutMs = 20_000;
/** Time that a frozen node stands still, in milliseconds: longer than links wait. */
const freezeMs = 1500;

/** What happens to a machine while the load runs. */
type Trouble = "killNode" | "freezeNode" | "restartEndpoint";

const random = createRandom(Number(values.seed));
const records = new AnswerRecords();
const caller = new AnswerCaller(records);

function createServices(): PlatformServicePlan[] {
    const count = Number(values.services);
    const names = Array.from({ length: count }, (_, index) => `service${index}`);
    return names.map((name, index) => {
        const below = names.filter((_, other) => other % levels === index % levels + 1);
        const called = below.filter((_, order) => (order + index) % below.length < callsOfRun);
        return {
            name,
            instances: Math.floor((Number(values.machines) + count - 1 - index) / count),
            slots,
            runMs: Number(values.runMs),
            calls: called.map(other => ({ host: `${other}.example`, path: "/answers" })),
        };
    });
}

function createCluster(services: readonly PlatformServicePlan[]): PlatformCluster {
    const answers = {
        rejected: Number(values.rejected),
        failed: Number(values.failed),
        silent: Number(values.silent),
        second: Number(values.second),
        due: Number(values.due),
        chunked: Number(values.chunked),
        unlengthed: Number(values.unlengthed),
        isRepeat: values.repeat,
        isBehindSuccesses: values.behindSuccesses,
        repeatsIds: values.repeatsIds,
    };
    const cluster = new PlatformCluster(
        services,
        4,
        [],
        values.logLevel,
        plan => new AnsweringEndpoint({ ...plan, heartbeatMs }, answers, records, caller, random),
    );
    cluster.machines.forEach((machine, index) => {
        const build = index % 2 === 1 ? values.beside ?? values.build : values.build;
        machine.program = join(build, "dist/platform/main.js");
        machine.upstream.fixedId = `i-${machine.address}`;
    });
    return cluster;
}

function formatConfiguration(services: readonly PlatformServicePlan[]): string {
    const routes = services.map(({ name }) => ({
        name,
        host: `${name}.example`,
        pathPrefix: "/",
        repetition: "idempotent",
        timeoutMs: Number(values.deadlineMs),
        targetLatencyMs: 1000,
        maxRuns: Number(values.attempts),
        priority: 1,
        shares: [{ service: name, weight: 1 }],
    }));
    const facts = services.map(({ name }) => ({ name, healthPath: "/healthz", maxConnections: 500 }));
    return JSON.stringify({ version: 1, routes, services: facts, limits: {} });
}

async function start(cluster: PlatformCluster, configuration: string): Promise<void> {
    await cluster.store.start();
    cluster.store.put("keyed.op", "config", configuration);
    for (let first = 0; first < cluster.machines.length; first += startedAtOnce) {
        const machines = cluster.machines.slice(first, first + startedAtOnce);
        machines.forEach(machine => machine.startNode());
        await Promise.all(machines.map(machine => startEndpoint(machine)));
    }
    const count = cluster.machines.length;
    const isReady = await Promise.all(cluster.machines.map(machine => awaitConnected(machine, count)));
    process.stdout.write(`${isReady.filter(Boolean).length} of ${count} nodes know the others\n`);
}

/** Waits until a node knows the others. Returns whether it does; the load runs without it too. */
async function awaitConnected(machine: Machine, count: number): Promise<boolean> {
    try {
        await waitFor(() => isConnected(machine, count), connectTimeoutMs, machine.address);
        return true;
    }
    catch {
        const gauges = (await machine.readMetrics()).match(/^\w*(instances_known|links_open|endpoint_limit) .*$/gm);
        process.stdout.write(`${machine.address} isn't connected: ${gauges?.join(", ")}\n`);
        return false;
    }
}

async function startEndpoint(machine: Machine): Promise<void> {
    await waitFor(() => machine.isReady(), startTimeoutMs, `node ${machine.address}`);
    await machine.upstream.start();
}

async function isConnected(machine: Machine, count: number): Promise<boolean> {
    const metrics = await machine.readMetrics();
    const readGauge = (name: string): number => Number(new RegExp(`${name} (\\d+)`).exec(metrics)?.[1]);
    return readGauge("instances_known") >= knownShare * count
        && readGauge("links_open") >= Math.min(count - 1, fewestLinks)
        && readGauge("endpoint_limit") > 0;
}

/** Sends requests of clients at a steady rate, and waits until all have ended. */
async function runLoad(cluster: PlatformCluster): Promise<void> {
    const rate = Number(values.rate);
    const hosts = createServices().filter((_, index) => index % levels === 0).map(({ name }) => `${name}.example`);
    const startedAt = performance.now();
    const calls: Promise<unknown>[] = [];
    for (let index = 0; index < rate * Number(values.seconds); index += 1) {
        const waitMs = startedAt + index * 1000 / rate - performance.now();
        if (waitMs > 1) {
            await sleep(waitMs);
        }
        calls.push(...startRequest(cluster, hosts[index % hosts.length]!, `c${index.toString(16)}`));
    }
    await Promise.all(calls);
}

function startRequest({ machines }: PlatformCluster, host: string, attempt: string): Promise<unknown>[] {
    const isDrawn = (share: string): boolean => random() < Number(share);
    const deadlineMs = Number(values.deadlineMs);
    const call = {
        method: isDrawn(values.head) ? "HEAD" : "GET",
        host,
        path: "/answers",
        attempt,
        deadlineMs,
        ...(isDrawn(values.leaving) ? { leavesAfterMs: 200 * random() } : {}),
    };
    const isAhead = isDrawn(values.ahead);
    return Array.from({ length: isDrawn(values.twice) ? 2 : 1 }, () => {
        const { address } = machines[Math.floor(random() * machines.length)]!;
        return isAhead ? caller.callAhead(address, ports.caller, call) : caller.call(address, ports.caller, call);
    });
}

async function runTroubles({ machines }: PlatformCluster, isOver: { readonly value: boolean; }): Promise<void> {
    const troubles = values.troubles.split(",").filter(name => name !== "") as Trouble[];
    for (let index = 0; troubles.length > 0 && !isOver.value; index += 1) {
        await sleep(Number(values.troubleEveryMs));
        const machine = machines[Math.floor(random() * machines.length)]!;
        await makeTrouble(troubles[index % troubles.length]!, machine);
    }
}

async function makeTrouble(trouble: Trouble, machine: Machine): Promise<void> {
    switch (trouble) {
        case "killNode":
            await machine.endNode("SIGKILL");
            machine.startNode();
            return;
        case "freezeNode":
            machine.node?.kill("SIGSTOP");
            await sleep(freezeMs);
            machine.node?.kill("SIGCONT");
            return;
        case "restartEndpoint":
            machine.upstream.endAbruptly();
            await sleep(200 * random());
            await machine.upstream.start();
    }
}

function printReport(sums: AnswerSums, findings: readonly Finding[]): void {
    const share = (100 * findings.length / Math.max(1, sums.successes)).toFixed(3);
    process.stdout.write(
        `calls ${sums.calls}, successes ${sums.successes}, sends at endpoints ${sums.sends}, attempts sent to one endpoint again ${sums.repeated}\n`
            + `second answers ${sums.secondAnswers}, of them behind no success ${sums.secondAnswersToFailures}\n`
            + `right successes whose attempt also failed ${sums.besideFailure}, at the same endpoint later ${sums.beforeFailure}\n`
            + `findings ${findings.length}, ${share}% of the successes\n`,
    );
    const counts = new Map<string, number>();
    for (const { reason, next } of findings) {
        counts.set(
            `${reason}, sent there again: ${next}`,
            (counts.get(`${reason}, sent there again: ${next}`) ?? 0) + 1,
        );
    }
    counts.forEach((count, name) => process.stdout.write(`  ${count} ${name}\n`));
    findings.slice(0, 5).forEach(finding => process.stdout.write(`  ${JSON.stringify(finding)}\n`));
}

function writeLogs(cluster: PlatformCluster, folder: string, findings: readonly Finding[]): void {
    mkdirSync(folder, { recursive: true });
    cluster.machines.forEach(({ address, log }) => writeFileSync(join(folder, `${address}.log`), log));
    writeFileSync(join(folder, "findings.jsonl"), findings.map(each => JSON.stringify(each) + "\n").join(""));
}

async function main(): Promise<void> {
    const services = createServices();
    const cluster = createCluster(services);
    for (const name of ["SIGINT", "SIGTERM"]) {
        process.once(name, () => void cluster.stop().then(() => process.exit(2)));
    }
    try {
        await play(cluster, services);
    }
    catch (error) {
        process.stderr.write(`not run to its end: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exitCode = 2;
    }
    await cluster.stop();
    caller.close();
    process.exit();
}

async function play(cluster: PlatformCluster, services: readonly PlatformServicePlan[]): Promise<void> {
    await start(cluster, formatConfiguration(services));
    const isOver = { value: false };
    const troubles = runTroubles(cluster, isOver);
    await runLoad(cluster);
    isOver.value = true;
    await troubles;
    const findings = records.findFindings();
    printReport(records.sum(), findings);
    if (values.logs !== undefined) {
        writeLogs(cluster, values.logs, findings);
    }
    process.exitCode = findings.length === 0 ? 0 : 1;
}

await main();
