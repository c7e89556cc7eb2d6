/** Stand-in of the platform's store, in memory: keyed topics with appends, long reads and the newest record of each key. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";

/** Faults that the stand-in can show. */
export interface StoreFaults {
    /** Answers every call with this status. */
    readonly status?: number;
    /** Accepts calls and never answers. */
    readonly isSilent?: boolean;
    /** Appends take effect and are not answered. */
    readonly losesAnswers?: boolean;
    /** Faults hold only for callers from these addresses; empty means all. */
    readonly addresses?: readonly string[];
}

interface StoredRecord {
    readonly key: string;
    readonly value: Buffer;
}

/** One topic: all records by offset, the oldest kept offset, and who waits for the next record. */
interface Topic {
    readonly records: StoredRecord[];
    first: number;
    readonly newest: Map<string, { readonly value: Buffer; readonly offset: number; }>;
    waiters: (() => void)[];
}

/** Copy of all topics at one moment. */
export type StoreCopy = ReadonlyMap<string, { readonly records: readonly StoredRecord[]; readonly first: number; }>;

/** The store. */
export class PlatformStore {
    faults: StoreFaults = {};
    /** Number of times that the store came back from a copy; all answers name it. */
    private era = 0;
    /** Calls by path. */
    readonly calls = new Map<string, number>();
    private readonly topics = new Map<string, Topic>();
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly silentSockets = new WeakSet<Socket>();

    constructor(private readonly address: string, private readonly port: number) {
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(this.port, this.address, resolve));
    }

    stop(): void {
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Appends a record as the operator does. Returns its offset. */
    put(topicName: string, key: string, value: string): number {
        const topic = this.getTopic(topicName);
        const record = { key, value: Buffer.from(value) };
        topic.records.push(record);
        const offset = topic.records.length - 1;
        topic.newest.set(key, { value: record.value, offset });
        const { waiters } = topic;
        topic.waiters = [];
        waiters.forEach(wake => wake());
        return offset;
    }

    /** Forgets the history of a topic; the newest record of each key stays. */
    forgetHistory(topicName: string): void {
        const topic = this.getTopic(topicName);
        topic.first = topic.records.length;
        topic.waiters.splice(0).forEach(wake => wake());
    }

    /** Connections that are open now carry nothing to callers any more, and are not closed either; new ones work. */
    silenceConnections(): void {
        for (const socket of this.sockets) {
            socket.setTimeout(0);
            this.silentSockets.add(socket);
        }
    }

    /** Copies all topics. */
    copy(): StoreCopy {
        return new Map([...this.topics].map(([name, { records, first }]) => [name, { records: [...records], first }]));
    }

    /** Comes back from a copy: what was appended since is gone, calls in progress are cut, and the era rises by one. */
    restore(copy: StoreCopy): void {
        this.era += 1;
        this.server.closeAllConnections();
        for (const [name, topic] of this.topics) {
            const { records, first } = copy.get(name) ?? { records: [], first: 0 };
            topic.records.splice(0, Infinity, ...records);
            topic.first = first;
            topic.newest.clear();
            records.forEach(({ key, value }, offset) => topic.newest.set(key, { value, offset }));
        }
    }

    /** Values in the newest records of a topic, by key. */
    listNewest(topicName: string): Map<string, string> {
        return new Map([...this.getTopic(topicName).newest].map(([key, { value }]) => [key, value.toString("utf8")]));
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        response.setHeader("Store-Era", String(this.era));
        this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const { status, isSilent, addresses = [] } = this.faults;
        const isHit = addresses.length === 0 || addresses.includes(request.socket.remoteAddress ?? "");
        if ((isHit && isSilent === true) || this.silentSockets.has(request.socket)) {
            return;
        }
        if (isHit && status !== undefined) {
            response.writeHead(status).end();
            return;
        }
        const topic = this.getTopic(url.searchParams.get("topic") ?? "");
        switch (url.pathname) {
            case "/log-append":
                this.serveAppend(url, Buffer.concat(chunks), response);
                return;
            case "/log-read":
                await this.serveRead(topic, url, request.socket, response);
                return;
            case "/log-newest":
                this.serveNewest(topic, url, response);
                return;
            default:
                response.writeHead(404).end();
        }
    }

    private serveAppend(url: URL, body: Buffer, response: ServerResponse): void {
        const keyLength = body.readUInt8(4);
        const key = body.toString("utf8", 5, 5 + keyLength);
        const offset = this.put(url.searchParams.get("topic") ?? "", key, body.toString("utf8", 5 + keyLength));
        if (this.faults.losesAnswers !== true) {
            response.end(JSON.stringify({ offset, end: offset + 1 }));
        }
    }

    private async serveRead(topic: Topic, url: URL, socket: Socket, response: ServerResponse): Promise<void> {
        const from = Number(url.searchParams.get("from"));
        if (from === topic.records.length) {
            await new Promise<void>(resolve => {
                topic.waiters.push(resolve);
                setTimeout(resolve, Number(url.searchParams.get("wait_ms") ?? 0)).unref();
            });
        }
        if (this.silentSockets.has(socket)) {
            return;
        }
        if (from < topic.first || from > topic.records.length) {
            response.writeHead(410).end(JSON.stringify({ first: topic.first }));
            return;
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        head.writeBigUInt64BE(BigInt(topic.first), 8);
        response.end(Buffer.concat([head, ...topic.records.slice(from).map(formatRecord)]));
    }

    private serveNewest(topic: Topic, url: URL, response: ServerResponse): void {
        const after = url.searchParams.get("after") ?? "";
        const keys = [...topic.newest.keys()].sort().filter(key => key > after);
        const page = keys.slice(0, 3).map(key => {
            const { value, offset } = topic.newest.get(key)!;
            return { key, value: value.toString("base64"), offset };
        });
        response.end(JSON.stringify({ items: page, more: keys.length > page.length, end: topic.records.length }));
    }

    private getTopic(name: string): Topic {
        const topic = this.topics.get(name) ?? { records: [], first: 0, newest: new Map(), waiters: [] };
        this.topics.set(name, topic);
        return topic;
    }
}

function formatRecord(record: StoredRecord): Buffer {
    const key = Buffer.from(record.key);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + key.length + record.value.length, 0);
    head.writeUInt8(key.length, 4);
    return Buffer.concat([head, key, record.value]);
}
