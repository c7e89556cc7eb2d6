/** A small deployment on loopback: the stand-in of the platform's store, upstreams, and a node process beside each. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { PlatformStore } from "./platformStore.js";
import type { UpstreamCall, UpstreamPlan } from "./platformUpstream.js";
import { PlatformUpstream } from "./platformUpstream.js";
import { waitFor, waitForExit } from "./processes.js";

/** Ports are the same on all machines; each machine has an address of its own. */
export const ports = {
    caller: 8304,
    ready: 8302,
    report: 8306,
    peer: 7620,
    metrics: 9464,
    upstream: 8301,
    store: 8309,
} as const;

/** One service of the deployment. */
export interface PlatformServicePlan {
    readonly name: string;
    readonly instances: number;
    readonly slots: number;
    readonly runMs: number;
    readonly calls?: readonly UpstreamCall[];
    /** See `UpstreamPlan`. */
    readonly keepsDeadlines?: boolean;
}

/** Answer to a caller. */
export interface CallerAnswer {
    /** 0 when the connection ended without an answer. */
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    readonly elapsedMs: number;
}

/** One machine: an upstream and its node. */
export class Machine {
    node: ChildProcess | undefined;
    /** Whether callers use this machine. */
    isInUse = true;
    /** Lines that the node printed. */
    log = "";
    /** Program of the node; one of another build may stand beside others. */
    program = "dist/platform/main.js";

    constructor(
        readonly address: string,
        readonly service: string,
        readonly upstream: PlatformUpstream,
        private readonly settingsFile: string,
        /** Flags of Node.js for the node's process. */
        private readonly nodeFlags: readonly string[],
        /** Program that runs the node, and what stands before its flags. */
        private readonly command: readonly [string, ...string[]],
    ) {}

    /** Starts the node's process. */
    startNode(): void {
        const [runtime, ...words] = this.command;
        const node = spawn(runtime, [...words, ...this.nodeFlags, this.program], {
            env: { ...process.env, TURMERICSPOKE_SETTINGS: this.settingsFile },
            stdio: ["ignore", "pipe", "inherit"],
        });
        node.stdout.on("data", (chunk: Buffer) => this.log += chunk.toString());
        this.node = node;
    }

    /** Ends the node's process and waits for its end. */
    async endNode(signal: "SIGTERM" | "SIGKILL"): Promise<number | null> {
        const { node } = this;
        this.node = undefined;
        node?.kill(signal);
        return node === undefined ? null : waitForExit(node);
    }

    /** Writes another value of a bound into the node's settings; the node reads them at a SIGHUP, or some seconds later. */
    changeBound(name: string, value: number): void {
        const text = readFileSync(this.settingsFile, "utf8");
        writeFileSync(this.settingsFile, text.replace(new RegExp(`^${name} = .*$`, "m"), `${name} = ${value}`));
    }

    /** Whether the node says that it is ready. */
    async isReady(): Promise<boolean> {
        return (await send(this.address, ports.ready, "GET", "/ready", {}, "")).status === 200;
    }

    /** Text of the node's metrics. */
    async readMetrics(): Promise<string> {
        return (await send(this.address, ports.metrics, "GET", "/metrics", {}, "")).body;
    }

    /** Sends a request to the node as a caller does. */
    call(
        method: string,
        host: string,
        path: string,
        attempt: string,
        deadlineMs = 2000,
        body = "",
        signal?: AbortSignal,
        otherHeaders: Readonly<Record<string, string>> = {},
    ): Promise<CallerAnswer> {
        const headers = { Host: host, "Attempt-Id": attempt, "Deadline-Ms": String(deadlineMs), ...otherHeaders };
        return send(this.address, ports.caller, method, path, headers, body, signal);
    }
}

/** The deployment. */
export class PlatformCluster {
    readonly store: PlatformStore;
    readonly machines: Machine[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "turmericspoke-"));
    /** Third number of the addresses, so that clusters of two test runs don't meet. */
    private readonly network = 1 + process.pid % 250;

    constructor(
        services: readonly PlatformServicePlan[],
        private readonly graceSeconds = 4,
        private readonly nodeFlags: readonly string[] = [],
        /** Level of the nodes' log. */
        private readonly logLevel = "info",
        private readonly createUpstream = (plan: UpstreamPlan): PlatformUpstream => new PlatformUpstream(plan),
        /** Program that runs the nodes, and what stands before its flags. */
        private readonly command: readonly [string, ...string[]] = [process.execPath],
    ) {
        this.store = new PlatformStore(this.createAddress(1), ports.store);
        for (const service of services) {
            for (let index = 0; index < service.instances; index += 1) {
                this.machines.push(this.createMachine(service));
            }
        }
    }

    /** Starts everything and waits until all nodes are ready and all upstreams are known. */
    async start(configuration: string): Promise<void> {
        await this.store.start();
        this.store.put("keyed.op", "config", configuration);
        this.machines.forEach(machine => machine.startNode());
        for (const machine of this.machines) {
            await waitFor(() => machine.isReady(), 10_000, `node ${machine.address}`);
            await machine.upstream.start();
        }
        await this.waitForInstances();
    }

    /** Waits until each node takes work for its upstream and all know each other. */
    async waitForInstances(): Promise<void> {
        const links = `turmericspoke_links_open ${this.machines.length - 1}`;
        for (const machine of this.machines) {
            await waitFor(
                async () => {
                    const metrics = await machine.readMetrics();
                    return metrics.includes(links) && !/endpoint_limit 0\n/.test(metrics);
                },
                10_000,
                `links of ${machine.address}`,
            );
        }
    }

    /** Machines of a service. */
    listMachines(service: string): Machine[] {
        return this.machines.filter(machine => machine.service === service);
    }

    /** Ends everything that it started. */
    async stop(): Promise<void> {
        await Promise.all(this.machines.map(machine => machine.endNode("SIGKILL")));
        this.machines.forEach(machine => machine.upstream.endAbruptly());
        this.store.stop();
        rmSync(this.folder, { recursive: true });
    }

    private createMachine(service: PlatformServicePlan): Machine {
        const address = this.createAddress(this.machines.length + 2);
        const file = join(this.folder, `${address}.toml`);
        writeFileSync(file, this.formatSettings(address, service.name));
        const upstream = this.createUpstream({
            address,
            port: ports.upstream,
            service: service.name,
            slots: service.slots,
            runMs: service.runMs,
            calls: service.calls ?? [],
            keepsDeadlines: service.keepsDeadlines === true,
            outboundPort: ports.caller,
            controlPort: ports.report,
        });
        return new Machine(address, service.name, upstream, file, this.nodeFlags, this.command);
    }

    private formatSettings(address: string, service: string): string {
        const centre = ["klaten", "jepara"][this.machines.length % 2]!;
        return [
            `service = "${service}"`,
            `dataCentre = "${centre}"`,
            `address = "${address}"`,
            `machine = "${address}"`,
            "[listeners]",
            `caller = "${address}:${ports.caller}"`,
            `ready = "${address}:${ports.ready}"`,
            `report = "${address}:${ports.report}"`,
            `peerPort = ${ports.peer}`,
            `metricsPort = ${ports.metrics}`,
            "[endpoint]",
            `address = "${address}:${ports.upstream}"`,
            "[store]",
            `address = "${this.createAddress(1)}:${ports.store}"`,
            "[bounds]",
            `graceSeconds = ${this.graceSeconds}`,
            "retryRatio = 0.2",
            "retrySlack = 1000",
            "retryWindowSeconds = 10",
            "[logging]",
            `level = "${this.logLevel}"`,
            "",
        ].join("\n");
    }

    private createAddress(host: number): string {
        return `127.0.${this.network}.${host}`;
    }
}

const agent = new Agent({ keepAlive: false });

/** Sends one request; an answer that does not come or is cut has status 0. */
function send(
    address: string,
    port: number,
    method: string,
    path: string,
    headers: Record<string, string>,
    body: string,
    signal?: AbortSignal,
): Promise<CallerAnswer> {
    const startedAt = performance.now();
    return new Promise(resolve => {
        const fail = (): void =>
            resolve({ status: 0, headers: {}, body: "", elapsedMs: performance.now() - startedAt });
        const options = { host: address, port, method, path, headers, agent, ...(signal ? { signal } : {}) };
        const sent = httpRequest(options, answer => {
            let text = "";
            answer.on("data", (chunk: Buffer) => text += chunk.toString());
            answer.once("error", fail);
            answer.once("end", () => {
                const elapsedMs = performance.now() - startedAt;
                resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: text, elapsedMs });
            });
        });
        sent.once("error", fail);
        sent.end(body);
    });
}
