/** One endpoint with its node, as processes of their own. */
import type { ChildProcess } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { request } from "undici";
import type { EndpointBehaviour, EndpointConfig } from "./endpoint.js";
import { postJson, waitFor, waitForExit, waitForLine } from "./processes.js";
import type { ServicePlan } from "./servicePlan.js";

/** Ports of all instances; each has an address of its own. */
export const ports = {
    caller: 7001,
    outbound: 7002,
    peer: 7003,
    control: 7004,
    admin: 7005,
    endpoint: 8000,
    log: 7000,
} as const;
/** Time for a process to become ready, in milliseconds. */
export const readyTimeoutMs = 20_000;

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

/** What an instance needs from the cluster that it belongs to. */
export interface InstanceHost {
    /** Folder for files of the cluster. */
    readonly directory: string;
    /** Folder with the build of the daemon. */
    readonly daemonRoot: string;
    readonly adminHeaders: Record<string, string>;
    readonly spawn: (name: string, words: string[], from?: string) => ChildProcess;
    /** URL of the log service. */
    readonly log: string;
    readonly logRetentionMs: number | undefined;
    readonly seeds: readonly string[];
    /** Lines of the settings that all nodes share. */
    readonly keySettings: string;
    readonly nodeSettings: string;
}

/** One instance: an endpoint and its node. */
export class Instance {
    node: ChildProcess | undefined;
    endpoint: ChildProcess | undefined;

    constructor(
        private readonly cluster: InstanceHost,
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

    get endpointUrl(): string {
        return `http://${this.address}:${ports.endpoint}`;
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
            adminHeaders: this.cluster.adminHeaders,
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
        await postJson(`${this.endpointUrl}/control`, behaviour);
    }

    /** Reads the node's status page; `undefined` when it does not answer. */
    async readStatus(): Promise<NodeStatus | undefined> {
        try {
            const reply = await request(`${this.adminUrl}/status`, {
                headers: this.cluster.adminHeaders,
                headersTimeout: 1000,
                bodyTimeout: 1000,
            });
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
        const { log, nodeSettings, keySettings, seeds, logRetentionMs } = this.cluster;
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
url = "${this.endpointUrl}"
[log]
url = "${log}"
retentionSeconds = ${Math.round((logRetentionMs ?? 86_400_000) / 1000)}
[peers]
seeds = [${seeds.map(seed => `"${seed}"`).join(", ")}]
${keySettings}${nodeSettings}`;
    }
}
