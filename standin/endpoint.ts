/**
 * Stand-in of an endpoint: runs requests in a limited number of slots, calls other services through its node, announces
 * itself, drains, and records every run in a file that outlives it.
 *
 * Run with `node dist/standin/endpoint.js CONFIG.json`, see {@link EndpointConfig}.
 */
import { createHash, randomUUID } from "node:crypto";
import { appendFileSync, readFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import process from "node:process";
import { Pool } from "undici";
import { headerNames } from "../src/request/headers.js";
import { actionHeader } from "./caller.js";

/** A call that each run makes to another service. */
export interface EndpointCall {
    readonly service: string;
    readonly class?: string;
    readonly path: string;
}

/** Behaviour of an endpoint; `POST /control` changes it while it runs. */
export interface EndpointBehaviour {
    /** Time that each run holds a slot, in milliseconds. */
    readonly serviceMs: number;
    /** Calls that each run makes one after the other, while it holds its slot. */
    readonly calls: readonly EndpointCall[];
    /** Share of runs whose answer is lost after the run took effect, 0 to 1. */
    readonly loseAnswers?: number;
    /** Share of answers that are cut in the middle, 0 to 1. */
    readonly cutAnswers?: number;
    /** Longest queue before the endpoint sheds by itself; unlimited when missing. */
    readonly shedAbove?: number;
    /** Time after the start in which runs take three times as long, in milliseconds. */
    readonly coldMs?: number;
}

/** Configuration of an endpoint. */
export interface EndpointConfig extends EndpointBehaviour {
    readonly instance: string;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    readonly slots: number;
    readonly adminUrl: string;
    readonly outboundUrl: string;
    /** Headers that open the node's admin pages. */
    readonly adminHeaders: Readonly<Record<string, string>>;
    /** File to which each run is appended as one JSON line, see {@link RunRecord}. */
    readonly runsFile: string;
}

/** One line of the runs file. */
export interface RunRecord {
    /** Name of the instance that ran it. */
    readonly instance: string;
    readonly service: string;
    readonly key: string;
    readonly class: string;
    readonly customer: string;
    readonly path: string;
    /** Root action that the run belongs to, from the header {@link actionHeader}. */
    readonly action: string;
    readonly event: "start" | "end" | "cancelled";
    /** Time that was left at the start, in milliseconds. */
    readonly deadlineMs: number;
    readonly at: number;
}

const announceIntervalMs = 500;
const config = JSON.parse(readFileSync(process.argv[2] ?? "", "utf8")) as EndpointConfig;
let behaviour: EndpointBehaviour = config;
const boot = randomUUID();
const startedAt = Date.now();
const outbound = new Pool(config.outboundUrl, { connections: 256 });
const admin = new Pool(config.adminUrl, { connections: 2 });
let running = 0;
let isDraining = false;
const waiting: (() => void)[] = [];

function record(request: IncomingMessage, event: RunRecord["event"]): void {
    const read = (name: string): string => String(request.headers[name] ?? "");
    const line: RunRecord = {
        instance: config.instance,
        service: config.service,
        key: read(headerNames.key),
        class: read(headerNames.class),
        customer: read(headerNames.customer),
        path: request.url ?? "",
        action: read(actionHeader),
        event,
        deadlineMs: Number(read(headerNames.deadline)),
        at: Date.now(),
    };
    appendFileSync(config.runsFile, JSON.stringify(line) + "\n");
}

async function takeSlot(): Promise<void> {
    if (running < config.slots) {
        running += 1;
        return;
    }
    await new Promise<void>(resolve => waiting.push(resolve));
}

function freeSlot(): void {
    const next = waiting.shift();
    if (next === undefined) {
        running -= 1;
    }
    else {
        next();
    }
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}

async function callService(request: IncomingMessage, call: EndpointCall): Promise<boolean> {
    const reply = await outbound.request({
        method: "POST",
        path: call.path,
        headers: {
            [headerNames.run]: String(request.headers[headerNames.run] ?? ""),
            [headerNames.service]: call.service,
            [actionHeader]: String(request.headers[actionHeader] ?? ""),
            ...(call.class === undefined ? {} : { [headerNames.class]: call.class }),
        },
        body: "{}",
    });
    await reply.body.arrayBuffer();
    return reply.headers[headerNames.outcome] === "completed" && reply.statusCode < 500;
}

async function runRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
    record(request, "start");
    response.once("close", () => {
        if (!response.writableEnded) {
            record(request, "cancelled");
        }
    });
    if (request.url?.includes("crash") === true) {
        process.exit(70);
    }
    const isCold = Date.now() - startedAt < (behaviour.coldMs ?? 0);
    if (behaviour.serviceMs > 0) {
        await new Promise(resolve => setTimeout(resolve, behaviour.serviceMs * (isCold ? 3 : 1)));
    }
    let isComplete = true;
    for (const call of behaviour.calls) {
        isComplete = isComplete && !response.destroyed && await callService(request, call);
    }
    record(request, "end");
    if (Math.random() < (behaviour.loseAnswers ?? 0)) {
        response.destroy();
        return;
    }
    const bytes = Number(new URL(request.url ?? "/", "http://endpoint").searchParams.get("bytes") ?? 0);
    const answer = JSON.stringify({
        service: config.service,
        key: request.headers[headerNames.key],
        digest: createHash("sha256").update(body).digest("hex"),
        filler: "x".repeat(bytes),
    });
    response.writeHead(isComplete ? 200 : 502, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(answer),
    });
    if (Math.random() < (behaviour.cutAnswers ?? 0)) {
        response.write(answer.slice(0, answer.length / 2), () => response.destroy());
        return;
    }
    response.end(answer);
}

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (request.url === "/control") {
        behaviour = { ...behaviour, ...JSON.parse(body.toString("utf8")) as Partial<EndpointBehaviour> };
        response.end("{}");
        return;
    }
    if (waiting.length >= (behaviour.shedAbove ?? Number.MAX_SAFE_INTEGER)) {
        response.writeHead(503, { [headerNames.outcome]: "not-run", [headerNames.retryAfterMs]: "200" });
        response.end();
        return;
    }
    await takeSlot();
    try {
        if (!response.destroyed) {
            await runRequest(request, response, body);
        }
    }
    finally {
        freeSlot();
    }
}

async function announce(): Promise<number> {
    try {
        const reply = await admin.request({
            method: "POST",
            path: "/endpoint",
            headers: config.adminHeaders,
            body: JSON.stringify({ boot, slots: config.slots, isDraining }),
        });
        return ((await reply.body.json()) as { inProgress: number; }).inProgress;
    }
    catch {
        return 0;
    }
}

/** Tells the node first, and leaves when the node has nothing in progress here. */
async function drain(): Promise<void> {
    isDraining = true;
    while (await announce() > 0 || running > 0) {
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    process.exit(0);
}

const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 65_000;
server.listen(config.port, config.address, () => {
    void announce();
    setInterval(() => void announce(), announceIntervalMs);
    process.stdout.write("ready\n");
});
process.on("SIGTERM", () => void drain());
