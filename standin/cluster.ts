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
import type { KeyName } from "../src/process/base/keys.js";
import type { Contract } from "../src/version/contract.js";
import type { RunRecord } from "./endpoint.js";
import { Instance, ports, readyTimeoutMs } from "./instance.js";
import type { LogFaults } from "./logServer.js";
import { formatContract } from "./plans.js";
import { postJson, waitFor, waitForLine } from "./processes.js";
import type { ServicePlan } from "./servicePlan.js";

const root = fileURLToPath(new URL("../", import.meta.url));
/** A cluster to start. */
export interface ClusterPlan {
    readonly services: readonly ServicePlan[];
    readonly contracts: readonly Contract[];
    readonly logRetentionMs?: number;
    /** Further lines of all nodes' settings. */
    readonly nodeSettings?: string;
    /** Keys of all nodes, by name. */
    readonly keys?: Readonly<Partial<Record<KeyName, string>>>;
    /** Folder with another build of the daemon, for comparisons. */
    readonly daemonRoot?: string;
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
        for (const [name, key] of Object.entries(this.keys)) {
            writeFileSync(this.getKeyFile(name), `${key}\n`);
        }
        let host = 10;
        for (const service of plan.services) {
            for (const dataCentre of service.dataCentres) {
                const name = `${service.name}-${host}`;
                this.instances.push(new Instance(this, service, dataCentre, `${this.subnet}.${host}`, name));
                host += 1;
            }
        }
    }

    get keys(): Readonly<Partial<Record<KeyName, string>>> {
        return this.plan.keys ?? {};
    }

    /** Headers that open the admin pages. */
    get adminHeaders(): Record<string, string> {
        return this.keys.admin === undefined ? {} : { authorization: `Bearer ${this.keys.admin}` };
    }

    /** Environment variables with the keys for the command-line tool. */
    private get toolEnvironment(): Record<string, string> {
        const { records, admin } = this.keys;
        return {
            ...(records === undefined ? {} : { TURMERICSPOKE_RECORDS_KEY: records }),
            ...(admin === undefined ? {} : { TURMERICSPOKE_ADMIN_KEY: admin }),
        };
    }

    /** Settings of the keys. */
    get keySettings(): string {
        const names = Object.keys(this.keys);
        return names.map(name => `[keys.${name}]\nfile = "${this.getKeyFile(name)}"\n`).join("");
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
        return this.publishWith(this.toolEnvironment, contract, ...options);
    }

    /** Publishes a contract by the command-line tool with these environment variables. */
    publishWith(
        environment: Readonly<Record<string, string>>,
        contract: Contract,
        ...options: string[]
    ): Promise<{ code: number; output: string; }> {
        const file = join(this.directory, `${contract.customer}-${Math.random().toString(36).slice(2)}.toml`);
        writeFileSync(file, formatContract(contract));
        return this.runToolWith(environment, "contract", "publish", file, "--operator", "bench", ...options);
    }

    /** Appends a record that no fold can read. */
    async publishMalformed(stream: string, body: string): Promise<void> {
        await request(`${this.log}/streams/${stream}/records`, { method: "POST", body });
    }

    /** Runs the command-line tool with the keys of the nodes. */
    runTool(...words: string[]): Promise<{ code: number; output: string; }> {
        return this.runToolWith(this.toolEnvironment, ...words);
    }

    /** Runs the command-line tool with further environment variables. */
    runToolWith(
        environment: Readonly<Record<string, string>>,
        ...words: string[]
    ): Promise<{ code: number; output: string; }> {
        return new Promise(resolve => {
            const env = { ...process.env, ...environment };
            const child = spawn(process.execPath, [join(root, "src/cli.js"), ...words, "--log", this.log], { env });
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
        const program = join(from, words[0]!);
        const child = spawn(process.execPath, [...readNodeFlags(program), program, ...words.slice(1)], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        const file = createWriteStream(join(this.directory, `${name}.log`), { flags: "a" });
        child.stdout.pipe(file, { end: false });
        child.stderr.pipe(file, { end: false });
        this.children.add(child);
        child.once("exit", () => this.children.delete(child));
        return child;
    }

    private getKeyFile(name: string): string {
        return join(this.directory, `${name}.key`);
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

/** Flags of Node.js with which a program runs when it is started by its name: those on its first line. */
function readNodeFlags(program: string): string[] {
    const [firstLine] = readFileSync(program, "utf8").split("\n");
    return /^#!.* node (.+)$/.exec(firstLine!)?.[1]?.split(" ") ?? [];
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
