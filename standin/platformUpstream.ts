/**
 * Stand-in of an upstream on the platform: runs requests in a limited number of slots, makes calls through its node, and sends
 * its heartbeats. It records each run, so that a test sees what ran how often.
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer, request as httpRequest } from "node:http";
import { sleep } from "./processes.js";

/** A call that each run makes. */
export interface UpstreamCall {
    readonly host: string;
    readonly path: string;
}

/** One run, for the judgement of what became of it. Times are monotonic, in milliseconds. */
export interface RunRecord {
    readonly attempt: string;
    readonly startedAt: number;
    /** Deadline that it was told, as a time from the start; work stops at it. */
    readonly deadlineMs: number;
    /** Time at which the connection closed before the answer had left; `undefined` if it didn't. */
    abandonedAt: number | undefined;
}

/** A call that a run made, as the upstream saw it. Times are monotonic, in milliseconds. */
export interface CallRecord {
    readonly attempt: string;
    readonly startedAt: number;
    readonly deadlineMs: number;
    readonly endedAt: number;
    /** 0 when the connection ended without a whole answer. */
    readonly status: number;
    readonly isSigned: boolean;
}

/** What an upstream does. */
export interface UpstreamPlan {
    readonly address: string;
    readonly port: number;
    readonly service: string;
    readonly slots: number;
    /** Time that each run holds its slot besides its calls, in milliseconds. */
    readonly runMs: number;
    readonly calls: readonly UpstreamCall[];
    /**
     * Whether it gives up a run at the deadline that it was told, and its calls expire then and have ids of their own in each run;
     * else it ends all runs, calls have a second, and a run that is repeated makes them with the same ids.
     */
    readonly keepsDeadlines?: boolean;
    /** Where calls go. */
    readonly outboundPort: number;
    /** Where heartbeats go. */
    readonly controlPort: number;
    /** Time between heartbeats, in milliseconds; 300 if left out. */
    readonly heartbeatMs?: number;
}

/** Time between heartbeats, in milliseconds. */
const usualHeartbeatMs = 300;

/** One upstream. */
export class PlatformUpstream {
    /** Attempts that ran here, in order. */
    readonly runs: string[] = [];
    readonly runRecords: RunRecord[] = [];
    readonly callRecords: CallRecord[] = [];
    /** Headers of the last request. */
    lastHeaders: readonly string[] = [];
    /** Headers of the last request of each attempt. */
    readonly headersByAttempt = new Map<string, readonly string[]>();
    running = 0;
    mostRunning = 0;
    /** Runs whose caller's connection closed before the answer. */
    abandoned = 0;
    /** Changes how runs end: lose the connection after the run, never answer, refuse unrun, or fail. */
    fault: "none" | "reset" | "silent" | "shed" | "fail" = "none";
    runMs: number;
    /** Slots that it reports. */
    slots: number;
    /** Whether its answers say that it leaves; its heartbeats and health checks don't. */
    saysInAnswersThatItLeaves = false;
    /** Requests a second that its answers say it takes; `undefined` if they name no limit. */
    namedLimit: number | undefined;
    id: string;
    /** Id under which it starts again; `undefined` for a new one each time. */
    fixedId: string | undefined;
    /** Start that its reports state, in Unix milliseconds; `undefined` if they state none. */
    born: number | undefined;
    private state: "ready" | "draining" = "ready";
    private number = 0;
    private life = 0;
    private server: Server | undefined;
    private timer: NodeJS.Timeout | undefined;

    constructor(readonly plan: UpstreamPlan) {
        this.runMs = plan.runMs;
        this.slots = plan.slots;
        this.id = this.createId();
    }

    /** Starts a new incarnation. */
    async start(): Promise<void> {
        this.life += 1;
        this.id = this.createId();
        this.state = "ready";
        this.number = 0;
        await this.startServer();
        this.timer = setInterval(() => void this.sendHeartbeat(), this.plan.heartbeatMs ?? usualHeartbeatMs);
        await this.sendHeartbeat();
    }

    /** Ends at once, without a word. */
    endAbruptly(): void {
        clearInterval(this.timer);
        this.closeServer();
        this.running = 0;
    }

    /** Says that it leaves. */
    async drain(): Promise<void> {
        this.state = "draining";
        await this.sendHeartbeat();
    }

    /** Says that it is gone, as an upstream that never drains does. */
    async leave(): Promise<void> {
        await this.post(`/rpc?call=instances.deregister&of=${this.id}`, undefined);
    }

    /** Sends a heartbeat. Returns whether it was acknowledged. */
    async sendHeartbeat(): Promise<boolean> {
        this.number += 1;
        return this.post(`/rpc?call=instances.heartbeat&of=${this.id}`, {
            service: this.plan.service,
            address: `${this.plan.address}:${this.plan.port}`,
            dataCentre: "klaten",
            version: "v1",
            ...(this.born === undefined ? {} : { born: this.born }),
            slots: this.slots,
            state: this.state,
            reportNumber: this.number,
        });
    }

    /** Starts to accept connections. */
    protected async startServer(): Promise<void> {
        this.server = createServer((request, response) => void this.serve(request, response));
        const { port, address } = this.plan;
        await new Promise<void>(resolve => this.server!.listen(port, address, resolve));
    }

    /** Closes all connections and accepts no more. */
    protected closeServer(): void {
        this.server?.closeAllConnections();
        this.server?.close();
    }

    private createId(): string {
        return this.fixedId ?? `i-${this.plan.address}-${this.life}`;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const attempt = request.headers["attempt-id"];
        const expected = request.headers["expect-instance"];
        if (request.url === "/healthz") {
            response.writeHead(this.state === "ready" ? 200 : 503, {
                "Upstream-Instance": this.id,
                "Upstream-Load": `${this.running},0,${this.slots}`,
            }).end();
            return;
        }
        const echo = { "Attempt-Id": String(attempt), ...this.createStateHeaders() };
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { ...echo, "Upstream-Instance": this.id }).end();
            return;
        }
        if (this.fault === "shed") {
            response.writeHead(503, { ...echo, "Not-Executed": "1" }).end();
            return;
        }
        if (request.url?.endsWith("/crash") === true) {
            this.runs.push(String(attempt));
            this.endAbruptly();
            return;
        }
        this.lastHeaders = request.rawHeaders;
        this.headersByAttempt.set(String(attempt), request.rawHeaders);
        await this.run(request, echo, Buffer.concat(chunks), response);
    }

    private createStateHeaders(): Record<string, string> {
        return {
            ...(this.saysInAnswersThatItLeaves ? { "Server-Leaving": "1" } : {}),
            ...(this.namedLimit === undefined ? {} : { "Server-Limit": String(this.namedLimit) }),
        };
    }

    /**
     * The query of a request may set the time of its run (`run`), that of its calls (`call`) and the size of its answer (`bytes`), or
     * ask for a digest of its body as the answer (`digest`).
     */
    private async run(
        request: IncomingMessage,
        echo: Record<string, string>,
        body: Buffer,
        response: ServerResponse,
    ): Promise<void> {
        const attempt = echo["Attempt-Id"]!;
        const query = new URL(request.url ?? "/", "http://upstream").searchParams;
        const startedAt = performance.now();
        const deadlineMs = Number(request.headers["deadline-ms"] ?? Infinity);
        const record: RunRecord = { attempt, startedAt, deadlineMs, abandonedAt: undefined };
        this.runs.push(attempt);
        this.runRecords.push(record);
        this.running += 1;
        this.mostRunning = Math.max(this.mostRunning, this.running);
        response.once("close", () => {
            if (!response.writableFinished) {
                this.abandoned += 1;
                record.abandonedAt = performance.now();
            }
        });
        const leftMs = (): number =>
            this.plan.keepsDeadlines === true ? startedAt + deadlineMs - performance.now() : Infinity;
        const runMs = Number(query.get("run") ?? this.runMs);
        const isInTime = runMs < leftMs();
        await sleep(isInTime ? runMs : Math.max(0, leftMs()));
        const status = this.fault === "fail"
            ? 500
            : isInTime
            ? await this.runCalls(attempt, query.get("call"), leftMs)
            : 504;
        this.running -= 1;
        if (this.fault === "reset") {
            response.socket?.resetAndDestroy();
            return;
        }
        if (this.fault === "silent") {
            return;
        }
        response.writeHead(status, { ...echo, "Upstream-Signature": `s.${this.id}` })
            .end(createAnswerBody(status, query, body));
    }

    /** Makes the calls of a run; returns the status of its answer. */
    private async runCalls(attempt: string, callRunMs: string | null, leftMs: () => number): Promise<number> {
        const suffix = this.plan.keepsDeadlines === true
            ? `r${this.plan.address.replaceAll(".", "-")}-${this.runs.length}`
            : "";
        for (const [index, { host, path }] of this.plan.calls.entries()) {
            if (leftMs() < 1) {
                return 504;
            }
            const url = callRunMs === null ? path : `${path}?run=${callRunMs}`;
            const deadlineMs = Math.floor(Math.min(leftMs(), this.plan.keepsDeadlines === true ? Infinity : 1000));
            if (await this.call({ host, path: url }, `${attempt}.c${index}${suffix}`, deadlineMs) !== 200) {
                return leftMs() < 1 ? 504 : 500;
            }
        }
        return leftMs() < 1 ? 504 : 200;
    }

    private call(call: UpstreamCall, attempt: string, deadlineMs: number): Promise<number> {
        const startedAt = performance.now();
        return new Promise(resolve => {
            const end = (status: number, isSigned: boolean): void => {
                const endedAt = performance.now();
                this.callRecords.push({ attempt, startedAt, deadlineMs, endedAt, status, isSigned });
                resolve(status);
            };
            const sent = httpRequest({
                host: this.plan.address,
                port: this.plan.outboundPort,
                path: call.path,
                headers: { Host: call.host, "Attempt-Id": attempt, "Deadline-Ms": String(deadlineMs) },
            }, answer => {
                answer.resume();
                answer.once("end", () => end(answer.statusCode ?? 0, "upstream-signature" in answer.headers));
                answer.once("error", () => end(0, false));
            });
            sent.once("error", () => end(0, false));
            sent.end();
        });
    }

    private post(path: string, body: unknown): Promise<boolean> {
        return new Promise(resolve => {
            const sent = httpRequest({
                method: "POST",
                host: this.plan.address,
                port: this.plan.controlPort,
                path: formatCall(path),
                timeout: 1000,
            }, answer => {
                answer.resume();
                resolve(answer.statusCode === 200);
            });
            sent.once("error", () => resolve(false));
            sent.once("timeout", () => sent.destroy());
            sent.end(body === undefined ? undefined : JSON.stringify(body));
        });
    }
}

/** Body of an answer: that of the request, unless a success is asked for something else. */
function createAnswerBody(status: number, query: URLSearchParams, body: Buffer): Buffer | string {
    const bytes = Number(query.get("bytes") ?? 0);
    if (status !== 200 || (bytes === 0 && !query.has("digest"))) {
        return body;
    }
    return bytes > 0 ? Buffer.alloc(bytes, "rug ") : createHash("sha256").update(body).digest("hex");
}

/** Gives a call the path that deploy/wire.toml gives it. */
function formatCall(path: string): string {
    const [, call, id] = /call=instances\.(heartbeat|deregister)&of=(.+)$/.exec(path)!;
    return `/endpoint/${id}/${call === "heartbeat" ? "report" : "leave"}`;
}
