/** A caller of nodes that keeps its connections, sends nothing again and records what it is told. */
import { Buffer } from "node:buffer";
import { Agent, request as httpRequest } from "node:http";
import { Client } from "undici";
import type { AnswerRecords } from "./answerRecords.js";

/** Requests that are sent ahead on one connection. */
const requestsAhead = 4;

/** A request. */
export interface AnswerCall {
    readonly method: string;
    readonly host: string;
    readonly path: string;
    readonly attempt: string;
    readonly deadlineMs: number;
    /** Time after which the caller leaves, in milliseconds; `undefined` if it waits. */
    readonly leavesAfterMs?: number;
}

/** What came back. */
interface Received {
    readonly status: number;
    readonly signature: string | undefined;
    readonly body: string;
}

const nothing: Received = { status: 0, signature: undefined, body: "" };

/** Callers of all machines. */
export class AnswerCaller {
    private readonly agent = new Agent({ keepAlive: true });
    private readonly clientsAhead = new Map<string, Client>();

    constructor(private readonly records: AnswerRecords) {}

    /** Sends a request. Returns the status of its answer, 0 if none came. */
    async call(address: string, port: number, call: AnswerCall): Promise<number> {
        return this.record(address, call, await this.send(address, port, call));
    }

    /** Sends a request on a connection on which others are under way. */
    async callAhead(address: string, port: number, call: AnswerCall): Promise<number> {
        const origin = `http://${address}:${port}`;
        const client = this.clientsAhead.get(origin) ?? new Client(origin, { pipelining: requestsAhead });
        this.clientsAhead.set(origin, client);
        const { method, path } = call;
        const received = await client.request({ method: method as "GET", path, headers: formatHeaders(call) }).then(
            async answer => ({
                status: answer.statusCode,
                signature: getFirst(answer.headers["upstream-signature"]),
                body: await answer.body.text(),
            }),
        ).catch(() => nothing);
        return this.record(address, call, received);
    }

    close(): void {
        this.agent.destroy();
        this.clientsAhead.forEach(client => void client.destroy());
    }

    private record(node: string, { attempt, method }: AnswerCall, received: Received): number {
        this.records.addTold({ ...received, attempt, node, isHead: method === "HEAD", at: Date.now() });
        return received.status;
    }

    private send(host: string, port: number, call: AnswerCall): Promise<Received> {
        const { method, path, leavesAfterMs } = call;
        return new Promise(resolve => {
            const sent = httpRequest(
                { host, port, method, path, headers: formatHeaders(call), agent: this.agent },
                answer => {
                    const chunks: Buffer[] = [];
                    answer.on("data", (chunk: Buffer) => chunks.push(chunk));
                    answer.once("error", () => resolve(nothing));
                    answer.once("end", () =>
                        resolve({
                            status: answer.statusCode ?? 0,
                            signature: getFirst(answer.headers["upstream-signature"]),
                            body: Buffer.concat(chunks).toString("latin1"),
                        }));
                },
            );
            sent.once("error", () => resolve(nothing));
            sent.end();
            setTimeout(() => sent.destroy(), leavesAfterMs ?? call.deadlineMs + 2000).unref();
        });
    }
}

function formatHeaders({ host, attempt, deadlineMs }: AnswerCall): Record<string, string> {
    return { Host: host, "Attempt-Id": attempt, "Deadline-Ms": String(deadlineMs) };
}

function getFirst(value: string | string[] | undefined): string | undefined {
    return typeof value === "object" ? value[0] : value;
}
