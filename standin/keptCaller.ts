/**
 * Callers that keep a connection to a node, send ahead on it, write bodies slowly or read answers slowly, and go on until they
 * are stopped. They record what became of each request.
 */
import type { Socket } from "node:net";
import { connect } from "node:net";
import { sleep } from "./processes.js";

/** A request that a caller sends. */
export interface RequestPlan {
    readonly method: string;
    readonly host: string;
    readonly path: string;
    readonly isAtMostOnce: boolean;
    readonly deadlineMs: number;
    /** Size of the body, and the time over which it is sent in pieces, in milliseconds. */
    readonly bodyBytes: number;
    readonly bodyMs: number;
}

/** What became of a request. Times are monotonic, in milliseconds. */
export interface SentRequest extends RequestPlan {
    readonly attempt: string;
    /** Address of the node that it was sent to. */
    readonly entry: string;
    readonly startedAt: number;
    /** Time at which its last byte was sent; `undefined` if it wasn't. */
    sentAt: number | undefined;
    /** Time of the whole answer or of the end of the connection. */
    endedAt: number | undefined;
    /** 0 when the connection ended without a whole answer. */
    status: number;
    isSigned: boolean;
}

/** How a caller behaves. */
export interface CallerPlan {
    readonly address: string;
    readonly port: number;
    /** Requests without an answer beyond which nothing is sent. */
    readonly maxAhead: number;
    /** Bytes read per millisecond. */
    readonly readBytesPerMs: number;
    readonly sampleRequest: () => RequestPlan;
    readonly samplePauseMs: () => number;
    readonly createAttempt: () => string;
}

/** Pieces in which a body is sent. */
const bodyPieces = 10;
/** Time before a connection that failed is opened again, in milliseconds. */
const reconnectMs = 100;

/** One caller, on one connection at a time. */
export class KeptCaller {
    readonly requests: SentRequest[] = [];
    private isStopped = false;

    constructor(private readonly plan: CallerPlan) {}

    /** Sends requests until {@link stop} is called, and waits for the answers. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            const connection = await KeptConnection.open(this.plan);
            if (connection === undefined) {
                await sleep(reconnectMs);
                continue;
            }
            while (!this.isStopped && connection.canBeUsed()) {
                if (connection.countDue() < this.plan.maxAhead) {
                    const request = this.createRequest();
                    this.requests.push(request);
                    await connection.send(request);
                }
                await sleep(this.plan.samplePauseMs());
            }
            await connection.end();
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    private createRequest(): SentRequest {
        const { plan } = this;
        return {
            ...plan.sampleRequest(),
            attempt: plan.createAttempt(),
            entry: plan.address,
            startedAt: performance.now(),
            sentAt: undefined,
            endedAt: undefined,
            status: 0,
            isSigned: false,
        };
    }
}

/** Connection of a caller: its requests are answered in their order. */
class KeptConnection {
    private readonly due: SentRequest[] = [];
    private isOpen = true;
    /** Whether an answer said that it closes the connection. */
    private isClosing = false;
    private head = Buffer.alloc(0);
    /** Bytes of the current answer's body that are to come; `undefined` while its head is read. */
    private bodyLeft: number | undefined;
    private readonly closed: Promise<void>;

    private constructor(private readonly socket: Socket, private readonly readBytesPerMs: number) {
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receive(chunk));
        this.closed = new Promise(resolve => socket.once("close", () => resolve(this.handleClose())));
    }

    static open({ address, port, readBytesPerMs }: CallerPlan): Promise<KeptConnection | undefined> {
        return new Promise(resolve => {
            const socket = connect(port, address);
            socket.once("connect", () => resolve(new KeptConnection(socket, readBytesPerMs)));
            socket.on("error", () => resolve(undefined));
        });
    }

    canBeUsed(): boolean {
        return this.isOpen && !this.isClosing;
    }

    countDue(): number {
        return this.due.length;
    }

    async send(request: SentRequest): Promise<void> {
        const { method, path, host, attempt, deadlineMs, bodyBytes, bodyMs } = request;
        const length = bodyBytes > 0 ? [`Content-Length: ${bodyBytes}`] : [];
        const headers = [`Host: ${host}`, `Attempt-Id: ${attempt}`, `Deadline-Ms: ${deadlineMs}`, ...length];
        this.due.push(request);
        this.socket.write([`${method} ${path} HTTP/1.1`, ...headers, "", ""].join("\r\n"));
        for (let piece = 0; bodyBytes > 0 && piece < bodyPieces; piece += 1) {
            await sleep(bodyMs / bodyPieces);
            if (!this.canBeUsed()) {
                return;
            }
            this.socket.write(Buffer.alloc(bodyBytes / bodyPieces, "x"));
        }
        request.sentAt = performance.now();
    }

    /** Waits for the answers that are due, and closes the connection. */
    async end(): Promise<void> {
        while (this.isOpen && this.due.length > 0) {
            await sleep(10);
        }
        this.socket.end();
        await this.closed;
    }

    private receive(chunk: Buffer): void {
        const pauseMs = chunk.length / this.readBytesPerMs;
        if (pauseMs >= 1) {
            this.socket.pause();
            setTimeout(() => this.socket.resume(), pauseMs);
        }
        let rest = chunk;
        while (rest.length > 0) {
            rest = this.bodyLeft === undefined ? this.receiveHead(rest) : this.receiveBody(rest);
        }
    }

    private receiveHead(chunk: Buffer): Buffer {
        this.head = Buffer.concat([this.head, chunk]);
        const end = this.head.indexOf("\r\n\r\n");
        if (end === -1) {
            return Buffer.alloc(0);
        }
        const head = this.head.toString("latin1", 0, end);
        const rest = this.head.subarray(end + 4);
        this.head = Buffer.alloc(0);
        this.isClosing ||= /^connection: close/im.test(head);
        const request = this.due[0];
        if (request !== undefined) {
            request.status = -Number(head.slice(9, 12));
            request.isSigned = /^upstream-signature:/im.test(head);
        }
        this.bodyLeft = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
        return this.receiveBody(rest);
    }

    private receiveBody(chunk: Buffer): Buffer {
        const bytes = Math.min(chunk.length, this.bodyLeft!);
        this.bodyLeft! -= bytes;
        if (this.bodyLeft === 0) {
            this.bodyLeft = undefined;
            const request = this.due.shift();
            if (request !== undefined) {
                request.status = -request.status;
                request.endedAt = performance.now();
            }
        }
        return chunk.subarray(bytes);
    }

    private handleClose(): void {
        this.isOpen = false;
        for (const request of this.due.splice(0)) {
            request.status = 0;
            request.endedAt = performance.now();
        }
    }
}
