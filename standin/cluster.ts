/**
 * Starts the stand-ins and real daemons as processes of their own, each instance with an address of its own in the loopback
 * range, and stops exactly those again.
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import type { Contract } from "../src/version/contract.js";
import type { EndpointBehaviour, EndpointConfig, RunRecord } from "./endpoint.js";
import type { LogFaults } from "./logServer.js";

const root = fileURLToPath(new URL("../", import.meta.url));
const ports = {
    caller: 7001,
    outbound: 7002,
    peer: 7003,
    control: 7004,
    admin: 7005,
    endpoint: 8000,
    log: 7000,
} as const;
/** Time for a process to become ready, in milliseconds. */
const readyTimeoutMs = 20_000;

/** One service of a cluster. */
export interface ServicePlan extends EndpointBehaviour {
    readonly name: string;
    readonly slots: number;
    readonly dataCentres: readonly string[];
}

/** A cluster to start. */
export interface ClusterPlan {
    readonly services: readonly ServicePlan[];
    readonly contracts: readonly Contract[];
    readonly logRetentionMs?: number;
    /** Further lines of all nodes' settings. */
    readonly nodeSettings?: string;
    /** Folder with another build of the daemon, for comparisons. */
    readonly daemonRoot?: string;
}

/** One instance: an endpoint and its node. */
export class Instance {
    node: ChildProcess | undefined;
    endpoint: ChildProcess | undefined;

    constructor(
        private readonly cluster: Cluster,
        readonly plan: ServicePlan,
        readonly dataCentre: string,
        readonly address: string,
        readonly name: string,
    ) {}

    get callerUrl(): string {
        return `http://${this.address}:${ports.caller}`;
    }

    get adminUrl(): string {
        return `http://${this.address}:${ports.admin}`;
    }

    get runsFile(): string {
        return join(this.cluster.directory, `${this.name}.runs`);
    }

    /** Starts the node and the endpoint. */
    async start(): Promise<void> {
        this.startNode();
        await this.startEndpoint();
    }

    startNode(): void {
        const file = join(this.cluster.directory, `${this.name}.toml`);
        writeFileSync(file, this.formatSettings());
        this.node = this.cluster.spawn(this.name, ["src/daemon.js", "--config", file], this.cluster.daemonRoot);
    }

    async startEndpoint(): Promise<void> {
        const file = join(this.cluster.directory, `${this.name}.json`);
        const config: EndpointConfig = {
            ...this.plan,
            instance: this.name,
            service: this.plan.name,
            address: this.address,
            port: ports.endpoint,
            adminUrl: this.adminUrl,
            outboundUrl: `http://${this.address}:${ports.outbound}`,
            runsFile: this.runsFile,
        };
        writeFileSync(file, JSON.stringify(config));
        this.endpoint = this.cluster.spawn(`${this.name}-endpoint`, ["standin/endpoint.js", file]);
        await waitForLine(this.endpoint, "ready");
    }

    /** Stops node and endpoint gracefully, one of them first. Returns both exit codes. */
    async stop(first: "node" | "endpoint"): Promise<(number | null)[]> {
        const order = first === "node" ? [this.node!, this.endpoint!] : [this.endpoint!, this.node!];
        const codes: (number | null)[] = [];
        for (const child of order) {
            child.kill("SIGTERM");
            codes.push(await waitForExit(child));
        }
        return codes;
    }

    /** Starts the endpoint again if it has ended. */
    async restoreEndpoint(): Promise<void> {
        if (this.endpoint?.exitCode !== null || this.endpoint.signalCode !== null) {
            await this.startEndpoint();
        }
    }

    /** Changes the endpoint's behaviour. */
    async changeEndpoint(behaviour: Partial<EndpointBehaviour>): Promise<void> {
        await postJson(`http://${this.address}:${ports.endpoint}/control`, behaviour);
    }

    /** Reads the node's status page; `undefined` when it does not answer. */
    async readStatus(): Promise<NodeStatus | undefined> {
        try {
            const reply = await request(`${this.adminUrl}/status`, { headersTimeout: 1000, bodyTimeout: 1000 });
            return await reply.body.json() as NodeStatus;
        }
        catch {
            return undefined;
        }
    }

    /** Waits until the node is ready for requests. */
    async waitUntilReady(): Promise<void> {
        await waitFor(
            async () => (await this.readStatus())?.isReady === true,
            readyTimeoutMs,
            `${this.name} to be ready`,
        );
    }

    private formatSettings(): string {
        const { log, nodeSettings, seeds, logRetentionMs } = this.cluster;
        return `service = "${this.plan.name}"
dataCentre = "${this.dataCentre}"
address = "${this.address}"
[listeners]
caller = ${ports.caller}
outbound = ${ports.outbound}
peer = ${ports.peer}
control = ${ports.control}
admin = ${ports.admin}
[endpoint]
url = "http://${this.address}:${ports.endpoint}"
[log]
url = "${log}"
retentionSeconds = ${Math.round((logRetentionMs ?? 86_400_000) / 1000)}
[peers]
seeds = [${seeds.map(seed => `"${seed}"`).join(", ")}]
${nodeSettings}`;
    }
}

/** Parts of the status page that tests look at. */
export interface NodeStatus {
    readonly isReady: boolean;
    readonly isLogUp: boolean;
    readonly isAnnounced: boolean;
    readonly cause?: string;
    readonly versions: Readonly<Record<string, number>>;
    readonly offsets: Readonly<Record<string, number>>;
    readonly partitionsOwned: number;
    readonly claims: number;
    readonly quarantined: number;
    readonly admission: {
        readonly limit: number;
        readonly running: number;
        readonly queued: number;
        readonly threshold: number;
    };
    readonly members: readonly {
        readonly health: string;
        readonly member: { readonly address: string; readonly service: string; };
    }[];
}

/** Log, endpoints and nodes. */
export class Cluster {
    readonly directory = mkdtempSync(join(tmpdir(), "turmericspoke-"));
    readonly instances: Instance[] = [];
    readonly nodeSettings: string;
    readonly logRetentionMs: number | undefined;
    readonly daemonRoot: string;
    private readonly subnet = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    private readonly children = new Set<ChildProcess>();

    constructor(private readonly plan: ClusterPlan) {
        this.nodeSettings = plan.nodeSettings ?? "";
        this.logRetentionMs = plan.logRetentionMs;
        this.daemonRoot = plan.daemonRoot ?? root;
        let host = 10;
        for (const service of plan.services) {
            for (const dataCentre of service.dataCentres) {
                const name = `${service.name}-${host}`;
                this.instances.push(new Instance(this, service, dataCentre, `${this.subnet}.${host}`, name));
                host += 1;
            }
        }
    }

    get log(): string {
        return `http://${this.subnet}.1:${ports.log}`;
    }

    /** Peers that a node asks when the log is out at its start. */
    get seeds(): string[] {
        return this.instances.slice(0, 3).map(instance => `${instance.address}:${ports.control}`);
    }

    /** Starts everything, publishes the contracts and waits until all nodes are ready and the keys are spread. */
    async start(): Promise<void> {
        await this.startLog();
        await Promise.all(this.instances.map(instance => instance.start()));
        for (const contract of this.plan.contracts) {
            const result = await this.publish(contract);
            if (result.code !== 0) {
                throw new Error(`publishing ${contract.customer}: ${result.output}`);
            }
        }
        await this.waitUntilSettled();
    }

    /** Starts the log alone. */
    async startLog(): Promise<void> {
        const retention = this.plan.logRetentionMs === undefined ? [] : [String(this.plan.logRetentionMs)];
        const log = this.spawn("log", ["standin/logServer.js", `${this.subnet}.1`, String(ports.log), ...retention]);
        await waitForLine(log, "ready");
    }

    /** Waits until all running nodes are ready, know the contracts and share the keys of their service. */
    async waitUntilSettled(): Promise<void> {
        const customers = this.plan.contracts.map(contract => contract.customer);
        const isSettled = async (instance: Instance): Promise<boolean> => {
            const status = await instance.readStatus();
            return status !== undefined && status.isReady && status.isAnnounced && status.partitionsOwned > 0
                && customers.every(customer => (status.versions[customer] ?? 0) > 0)
                && status.members.length >= this.instances.length;
        };
        for (const instance of this.instances) {
            await waitFor(() => isSettled(instance), readyTimeoutMs, `${instance.name} to settle`);
        }
    }

    /** Publishes a contract by the real command-line tool. */
    publish(contract: Contract, ...options: string[]): Promise<{ code: number; output: string; }> {
        const file = join(this.directory, `${contract.customer}-${Math.random().toString(36).slice(2)}.toml`);
        writeFileSync(file, formatContract(contract));
        return this.runTool("contract", "publish", file, "--operator", "bench", ...options);
    }

    /** Appends a record that no fold can read. */
    async publishMalformed(stream: string, body: string): Promise<void> {
        await request(`${this.log}/streams/${stream}/records`, { method: "POST", body });
    }

    /** Runs the command-line tool. */
    runTool(...words: string[]): Promise<{ code: number; output: string; }> {
        return new Promise(resolve => {
            const child = spawn(process.execPath, [join(root, "src/cli.js"), ...words, "--log", this.log]);
            let output = "";
            child.stdout.on("data", (chunk: Buffer) => output += chunk.toString());
            child.stderr.on("data", (chunk: Buffer) => output += chunk.toString());
            child.once("exit", code => resolve({ code: code ?? -1, output }));
        });
    }

    /** Puts faults of the log in force. */
    async changeLog(faults: LogFaults): Promise<void> {
        await postJson(`${this.log}/control`, faults);
    }

    /** Lists the instances of a service. */
    listService(name: string): Instance[] {
        return this.instances.filter(instance => instance.plan.name === name);
    }

    /** Reads all runs that the endpoints recorded. */
    readRuns(): RunRecord[] {
        return this.instances.flatMap(instance => readRunsFile(instance.runsFile));
    }

    /** Starts a process whose output goes into a file of the cluster's directory. */
    spawn(name: string, words: string[], from = root): ChildProcess {
        const child = spawn(process.execPath, [join(from, words[0]!), ...words.slice(1)], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        const file = createWriteStream(join(this.directory, `${name}.log`), { flags: "a" });
        child.stdout.pipe(file, { end: false });
        child.stderr.pipe(file, { end: false });
        this.children.add(child);
        child.once("exit", () => this.children.delete(child));
        return child;
    }

    /** Kills what still runs and removes the directory. */
    async stop(): Promise<void> {
        for (const child of this.children) {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        }
        await waitFor(async () => this.children.size === 0, 5000, "all processes to end");
        rmSync(this.directory, { recursive: true, force: true });
    }
}

function readRunsFile(file: string): RunRecord[] {
    try {
        return readFileSync(file, "utf8").split("\n").filter(line => line !== "").map(line =>
            JSON.parse(line) as RunRecord
        );
    }
    catch {
        return [];
    }
}

/** Formats a contract as TOML. */
export function formatContract(contract: Contract): string {
    const classes = Object.entries(contract.classes).map(([name, value]) =>
        `[classes.${name}]\nworth = ${value.worth}\nidempotent = ${value.idempotent}\ndeadlineMilliseconds = ${value.deadlineMilliseconds}\n`
    );
    return `customer = "${contract.customer}"
[allowance]
requestsPerSecond = ${contract.allowance.requestsPerSecond}
burst = ${contract.allowance.burst}
[retries]
bound = ${contract.retries.bound}
resendWindowSeconds = ${contract.retries.resendWindowSeconds}
${classes.join("")}`;
}

/** Sends a JSON document and fails unless it is taken. */
export async function postJson(url: string, body: unknown): Promise<unknown> {
    const reply = await request(url, { method: "POST", body: JSON.stringify(body) });
    const text = await reply.body.text();
    if (reply.statusCode !== 200) {
        throw new Error(`${url}: status ${reply.statusCode} ${text}`);
    }
    return JSON.parse(text) as unknown;
}

/** Waits until a process ends and returns its exit code. */
export function waitForExit(child: ChildProcess): Promise<number | null> {
    return new Promise(resolve => {
        if (child.exitCode !== null || child.signalCode !== null) {
            resolve(child.exitCode);
            return;
        }
        child.once("exit", code => resolve(code));
    });
}

/** Waits until a condition holds. */
export async function waitFor(isTrue: () => Promise<boolean>, timeoutMs: number, what: string): Promise<void> {
    const giveUpAt = performance.now() + timeoutMs;
    while (!await isTrue()) {
        if (performance.now() > giveUpAt) {
            throw new Error(`waited ${timeoutMs} ms in vain for ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

function waitForLine(child: ChildProcess, line: string): Promise<void> {
    return new Promise((resolve, reject) => {
        child.stdout?.on("data", (chunk: Buffer) => {
            if (chunk.toString().includes(line)) {
                resolve();
            }
        });
        child.once("exit", code => reject(new Error(`the process ended with ${code} before it was ready`)));
    });
}
