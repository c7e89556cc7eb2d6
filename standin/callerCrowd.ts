/**
 * A crowd of callers that don't behave: each opens a connection, sends a request in a way of its own, and leaves the connection
 * open. What a caller sends comes from memory that all share, so that a crowd takes little in the process that plays it.
 */
import { once } from "node:events";
import type { Socket } from "node:net";
import { connect } from "node:net";

/** How a caller sends a body. */
export interface BodyForm {
    /** `announced`: with a Content-Length; `chunked`: in chunks; `headOnly`: the head stops short of its end; `silent`: nothing is sent. */
    readonly coding: "announced" | "chunked" | "headOnly" | "silent" | "ahead";
    /** Requests without a body that a caller of `ahead` sends one behind the other. */
    readonly requests?: number;
    /** Size of a header that such a request has, in bytes. */
    readonly headerBytes?: number;
    /** Content of one write, or of one chunk, in bytes. */
    readonly pieceBytes: number;
    /** Length of the body, in bytes. */
    readonly bodyBytes: number;
    /** Content that is sent of it, in bytes. The last byte or chunk of a body that is sent whole still stays out for most callers. */
    readonly sentBytes: number;
}

/** What a crowd does. */
export interface CrowdPlan {
    readonly connections: number;
    /** Forms of the bodies; callers take them in turns. */
    readonly forms: readonly BodyForm[];
    /** One caller in so many sends its body to the end; `undefined` if none does. */
    readonly oneWholeIn?: number;
    /** Whether callers read what they are answered; they do unless it is said. */
    readonly isReading?: boolean;
    readonly host: string;
    readonly path: string;
    readonly deadlineMs: number;
    /** First characters of the attempt identifiers. */
    readonly name: string;
}

/** Content in one write where chunks are smaller, in bytes. */
const writeBytes = 65_536;

/** One caller of a crowd. */
interface CrowdCaller {
    readonly socket: Socket;
    /** What it was answered so far. */
    text: string;
    isClosed: boolean;
}

/** Callers with open connections. */
export class CallerCrowd {
    private readonly callers: CrowdCaller[] = [];

    constructor(private readonly plan: CrowdPlan) {}

    /** Opens all connections and sends what the callers send. Resolves when all have sent it, or can't send more. */
    async send(address: string, port: number): Promise<void> {
        const indexes = Array.from({ length: this.plan.connections }, (_none, index) => index);
        await Promise.all(indexes.map(index => this.sendOne(address, port, index)));
    }

    /** Statuses of the answers so far, with the number of callers that got each. */
    countStatuses(): ReadonlyMap<number, number> {
        const counts = new Map<number, number>();
        for (const { text } of this.callers) {
            const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
            counts.set(status, (counts.get(status) ?? 0) + 1);
        }
        return counts;
    }

    /** What the callers were answered so far, as it stands on the wire. */
    listAnswers(): readonly string[] {
        return this.callers.map(caller => caller.text);
    }

    /** Number of connections that are open. */
    countOpen(): number {
        return this.callers.filter(caller => !caller.isClosed).length;
    }

    /** Closes all connections. */
    leave(): void {
        this.callers.forEach(caller => caller.socket.destroy());
    }

    private async sendOne(address: string, port: number, index: number): Promise<void> {
        const { forms, oneWholeIn, host, path, deadlineMs, name } = this.plan;
        const socket = connect(port, address);
        const caller: CrowdCaller = { socket, text: "", isClosed: false };
        this.callers.push(caller);
        if (this.plan.isReading === false) {
            socket.pause();
        }
        else {
            socket.on("data", chunk => caller.text += chunk.toString("latin1"));
        }
        socket.on("error", () => undefined);
        socket.once("close", () => caller.isClosed = true);
        const form = forms[index % forms.length]!;
        const isWhole = oneWholeIn !== undefined && index % oneWholeIn === 0;
        const head = [
            `POST ${path} HTTP/1.1`,
            `Host: ${host}`,
            `Attempt-Id: ${name}${index}`,
            `Deadline-Ms: ${deadlineMs}`,
            form.coding === "chunked" ? "Transfer-Encoding: chunked" : `Content-Length: ${form.bodyBytes}`,
        ].join("\r\n");
        if (form.coding === "silent") {
            await once(socket, "connect").catch(() => undefined);
            return;
        }
        if (form.coding === "ahead") {
            await sendAhead(caller, form, this.plan, index);
            return;
        }
        const isSent = await write(caller, Buffer.from(`${head}\r\n`));
        if (form.coding === "headOnly" || !isSent || !await write(caller, Buffer.from("\r\n"))) {
            return;
        }
        await sendBody(caller, form, isWhole);
    }
}

/** Sends requests one behind the other, without waiting for answers. */
async function sendAhead(caller: CrowdCaller, form: BodyForm, plan: CrowdPlan, index: number): Promise<void> {
    const { requests = 1, headerBytes = 0 } = form;
    const note = "x".repeat(headerBytes);
    const texts = Array.from({ length: requests }, (_none, place) =>
        [
            `GET ${plan.path} HTTP/1.1`,
            `Host: ${plan.host}`,
            `Attempt-Id: ${plan.name}${index}-${place}`,
            `Deadline-Ms: ${plan.deadlineMs}`,
            `Note: ${note}`,
            "",
            "",
        ].join("\r\n"));
    await write(caller, Buffer.from(texts.join("")));
}

/** Sends a body up to where its form, or its last byte or chunk, stops. */
async function sendBody(caller: CrowdCaller, form: BodyForm, isWhole: boolean): Promise<void> {
    const { coding, pieceBytes, bodyBytes, sentBytes } = form;
    const heldBytes = coding === "announced" && !isWhole && sentBytes >= bodyBytes ? 1 : 0;
    const block = coding === "announced" ? Buffer.alloc(pieceBytes, "rug ") : createChunks(pieceBytes);
    const contentBytes = coding === "announced" ? pieceBytes : pieceBytes * Math.max(1, countChunks(pieceBytes));
    let leftBytes = sentBytes - heldBytes;
    while (leftBytes > 0) {
        const isLast = leftBytes < contentBytes;
        const part = !isLast ? block : coding === "announced" ? block.subarray(0, leftBytes) : createChunk(leftBytes);
        if (!await write(caller, part)) {
            return;
        }
        leftBytes -= contentBytes;
    }
    if (coding === "chunked" && isWhole) {
        await write(caller, Buffer.from("0\r\n\r\n"));
    }
}

function countChunks(pieceBytes: number): number {
    return Math.floor(writeBytes / (pieceBytes + pieceBytes.toString(16).length + 4));
}

/** As many chunks of a size as fit into a write; one at least. */
function createChunks(pieceBytes: number): Buffer {
    const chunk = createChunk(pieceBytes);
    return Buffer.concat(Array.from({ length: Math.max(1, countChunks(pieceBytes)) }, () => chunk));
}

function createChunk(bytes: number): Buffer {
    return Buffer.from(`${bytes.toString(16)}\r\n${"r".repeat(bytes)}\r\n`);
}

/** Writes bytes and waits until the connection takes more; `false` if it is closed or answered, so that nothing more is to be sent. */
async function write(caller: CrowdCaller, bytes: Buffer): Promise<boolean> {
    const { socket } = caller;
    if (socket.destroyed || caller.text !== "") {
        return false;
    }
    if (!socket.write(bytes)) {
        const controller = new AbortController();
        const { signal } = controller;
        const events = ["drain", "close", "data"].map(event => once(socket, event, { signal }).catch(() => undefined));
        await Promise.race(events);
        controller.abort();
    }
    return !socket.destroyed && caller.text === "";
}
