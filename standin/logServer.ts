/**
 * Stand-in of the platform's append-only log service: streams of text records with offsets, in memory.
 *
 * Run with `node dist/standin/logServer.js ADDRESS PORT [RETENTION_MS]`. `POST /control` takes {@link LogFaults} and puts
 * them in force.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import process from "node:process";

/** Faults that the stand-in can show. */
export interface LogFaults {
    /** Every call is answered with status 503, and nothing takes effect. */
    readonly isDown?: boolean;
    /** Time that every call takes, in milliseconds. */
    readonly delayMs?: number;
    /** Appends take effect, but the connection is closed in place of the answer. */
    readonly losesAnswers?: boolean;
    /** Time for which records are kept, in milliseconds. */
    readonly retentionMs?: number;
}

interface StoredRecord {
    readonly offset: number;
    readonly at: number;
    readonly body: string;
}

interface Stream {
    next: number;
    records: StoredRecord[];
}

const streams = new Map<string, Stream>();
let faults: Required<LogFaults> = {
    isDown: false,
    delayMs: 0,
    losesAnswers: false,
    retentionMs: Number.MAX_SAFE_INTEGER,
};
let appends = 0;
let reads = 0;

function getStream(name: string): Stream {
    const stream = streams.get(name) ?? { next: 0, records: [] };
    streams.set(name, stream);
    const oldest = Date.now() - faults.retentionMs;
    stream.records = stream.records.filter(record => record.at >= oldest);
    return stream;
}

async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

function send(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? "/", "http://log");
    const text = await readText(request);
    if (url.pathname === "/control") {
        faults = { ...faults, ...JSON.parse(text) as LogFaults };
        send(response, 200, { appends, reads });
        return;
    }
    if (faults.delayMs > 0) {
        await new Promise(resolve => setTimeout(resolve, faults.delayMs));
    }
    const name = /^\/streams\/([a-z-]+)\/records$/.exec(url.pathname)?.[1];
    if (faults.isDown || name === undefined) {
        send(response, faults.isDown ? 503 : 404, { error: faults.isDown ? "unavailable" : "no such page" });
        return;
    }
    const stream = getStream(name);
    if (request.method === "POST") {
        appends += 1;
        const offset = stream.next;
        stream.next += 1;
        stream.records.push({ offset, at: Date.now(), body: text });
        if (faults.losesAnswers) {
            response.destroy();
            return;
        }
        send(response, 200, { offset });
        return;
    }
    reads += 1;
    const from = Number(url.searchParams.get("from") ?? 0);
    const limit = Number(url.searchParams.get("limit") ?? 500);
    const records = stream.records.filter(record => record.offset >= from).slice(0, limit);
    send(response, 200, { first: stream.records[0]?.offset ?? stream.next, next: stream.next, records });
}

const [address, port, retentionMs] = process.argv.slice(2);
if (retentionMs !== undefined) {
    faults = { ...faults, retentionMs: Number(retentionMs) };
}
const server = createServer((request, response) => void serve(request, response));
server.listen(Number(port), address, () => process.stdout.write("ready\n"));
process.on("SIGTERM", () => process.exit(0));
