/** HTTP server of a node, and helpers with which request handlers send answers. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import type { Answer } from "../request/answer.js";
import { reasonStatus, unknownStatus } from "../request/answer.js";
import { headerNames } from "../request/headers.js";
import { ConnectionRoom } from "./connectionRoom.js";
import { HeadBudget } from "./headBudget.js";
import { startListening } from "./listening.js";
import type { PipelineTurn } from "./requestPipeline.js";
import { RequestPipeline } from "./requestPipeline.js";

/**
 * Idle timeout of a connection, in milliseconds; longer than that of the nodes' clients, so that the client closes
 * first.
 */
const keepAliveTimeoutMs = 65_000;
/** Timeout for receiving the headers of a request, in milliseconds, unless callers have another. */
const headersTimeoutMs = 10_000;
/** Interval at which requests that take too long to be received are looked for, in milliseconds. */
const receiveCheckIntervalMs = 1000;
/** Largest header section that is read whatever the limit of callers is, in bytes. */
const largestHeaderBytes = 1_048_576;
/** Size of a header section beyond the limit that is still read, in bytes: limits count separators, the parser doesn't. */
const headerSlackBytes = 1024;
/** Timeout for receiving a whole request, in milliseconds. */
const requestTimeoutMs = 60_000;
/** Maximum number of connections of a listener for which none is given. */
const defaultMaxConnections = 10_000;

/** What a listener may take of its process. */
export interface ListenerRoom {
    readonly maxConnections?: number;
    /** Memory for requests that are read and not answered, apart from their bodies, in bytes. */
    readonly maxHeadBytes?: number;
}

/** What callers may send, and how long they may take. */
export interface ListenerLimits {
    readonly maxHeaderBytes: number;
    /** Longest time from the first byte of a request to the end of its headers, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Longest time without a request, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/**
 * Handles one request; `turn` is its place among those of its connection. A rejection is reported as an error and closes
 * the connection.
 */
export type RequestHandler = (
    request: IncomingMessage,
    response: ServerResponse,
    turn: PipelineTurn,
) => Promise<void>;

/** Memory for requests of a listener for which none is given, in bytes. */
const defaultMaxHeadBytes = 40_000_000;
/** Code of the error of a request that takes too long to be received. */
const receiveTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/** Status of the answer to what can't be read as a request, by the code of the error; 400 for any other. */
const unreadableStatus: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    [receiveTimeoutCode]: "408 Request Timeout",
};

/** HTTP server on one port. */
export class HttpListener {
    private readonly server: Server;
    private readonly pipelines = new WeakMap<Socket, RequestPipeline>();
    /** Connections that are closed if they send nothing for the idle timeout, since they haven't sent anything so far. */
    private readonly unused = new WeakSet<Socket>();
    /** Connections that are open, and how many were closed to make room. */
    readonly room: ConnectionRoom;
    /** Whether answers ask clients to close their connections. */
    private isClosingConnections = false;

    /** Memory of the requests that are read and not answered, apart from their bodies. */
    readonly heads: HeadBudget;

    constructor(
        handler: RequestHandler,
        maxHeaderBytes: number,
        onError: (error: unknown) => void,
        { maxConnections = defaultMaxConnections, maxHeadBytes = defaultMaxHeadBytes }: ListenerRoom = {},
    ) {
        this.heads = new HeadBudget(maxHeadBytes, () => this.room.skipRound());
        this.room = new ConnectionRoom(maxConnections, socket => this.pipelines.get(socket)?.hasWork() === true);
        this.server = createServer(
            { maxHeaderSize: maxHeaderBytes, noDelay: true, connectionsCheckingInterval: receiveCheckIntervalMs },
            (request, response) => {
                const { socket } = request;
                // Requests that were read together with the one that closed the connection still come.
                const headBytes = socket.destroyed ? undefined : this.heads.add(request);
                if (headBytes === undefined || socket.destroyed) {
                    return;
                }
                response.once("close", () => this.heads.remove(socket, headBytes));
                const turn = this.findPipeline(socket).accept(request, response);
                if (turn === undefined) {
                    return;
                }
                if (this.unused.delete(socket)) {
                    socket.setTimeout(0);
                }
                this.room.recordUse(socket);
                response.once("finish", () => this.room.recordUse(socket));
                if (this.isClosingConnections) {
                    response.setHeader("connection", "close");
                }
                handler(request, response, turn).catch((error: unknown) => {
                    onError(error);
                    response.destroy();
                });
            },
        );
        this.server.on(
            "clientError",
            (error: NodeJS.ErrnoException, socket: Socket) => this.handleUnreadable(error, socket),
        );
        this.server.keepAliveTimeout = keepAliveTimeoutMs;
        this.server.headersTimeout = headersTimeoutMs;
        this.server.requestTimeout = requestTimeoutMs;
        this.server.on("connection", (socket: Socket) => this.room.add(socket));
    }

    /** Binds the listener to an address; rejects if that fails. */
    start(address: string, port: number): Promise<void> {
        return startListening(this.server, address, port);
    }

    /** Sets the limits of callers; the Keep-Alive header states the idle timeout in seconds. Size and time of headers hold for new connections. */
    setLimits({ maxHeaderBytes, headerTimeoutMs, idleTimeoutMs }: ListenerLimits): void {
        this.server.keepAliveTimeout = idleTimeoutMs;
        this.server.headersTimeout = headerTimeoutMs;
        // Node.js reads it for each connection; its types have it as an option only.
        (this.server as { maxHeaderSize?: number; }).maxHeaderSize = Math.min(maxHeaderBytes, largestHeaderBytes)
            + headerSlackBytes;
    }

    /** Adds `connection: close` to the answers to all further requests; new connections are still accepted. */
    startDraining(): void {
        this.isClosingConnections = true;
    }

    /** Stops listening and closes idle connections; resolves once the requests in progress are answered. */
    async stop(): Promise<void> {
        this.isClosingConnections = true;
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        await closed;
    }

    /** Stops listening and closes all connections, with whatever is in progress on them. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private findPipeline(socket: Socket): RequestPipeline {
        const known = this.pipelines.get(socket);
        if (known !== undefined) {
            return known;
        }
        const pipeline = new RequestPipeline(socket);
        this.pipelines.set(socket, pipeline);
        return pipeline;
    }

    /**
     * Answers bytes that are no request, as Node.js does by default. Requests that were read before them get their own answers
     * first; the error counts as none of them.
     */
    private handleUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
        if (error.code === receiveTimeoutCode && socket.bytesRead === 0) {
            // Not a slow request, but a connection that was opened ahead.
            this.unused.add(socket);
            socket.setTimeout(this.server.keepAliveTimeout);
            return;
        }
        const pipeline = this.findPipeline(socket);
        if (pipeline.closeAfterAnswers()) {
            return;
        }
        if (socket.writable && pipeline.isFree()) {
            const status = unreadableStatus[error.code ?? ""] ?? "400 Bad Request";
            socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
        }
        socket.destroy(error);
    }
}

/** Creates a signal that aborts if the client disconnects before the complete answer is written. */
export function createDisconnectSignal(response: ServerResponse): AbortSignal {
    const controller = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}

/** Sends a JSON document with a status. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}

/**
 * Sends the outcome of a call to its caller, which may be the local endpoint. Does nothing if the client has
 * disconnected.
 */
export function sendAnswer(response: ServerResponse, answer: Answer): void {
    if (response.destroyed) {
        return;
    }
    if (answer.outcome === "completed") {
        const outcomeHeaders = [headerNames.outcome, "completed", "content-length", String(answer.body.length)];
        const replayedHeaders = answer.isReplayed ? [headerNames.replayed, "true"] : [];
        response.writeHead(answer.status, [...answer.headers, ...outcomeHeaders, ...replayedHeaders]);
        response.end(answer.body);
        return;
    }
    // A reused idempotency key (`keyMismatch`) is an error of the caller, so it isn't sent as a gateway timeout.
    const status = answer.outcome === "unknown" && answer.reason !== "keyMismatch"
        ? unknownStatus
        : reasonStatus[answer.reason];
    sendFailureOutcome(
        response,
        status,
        answer.outcome === "unknown" ? "unknown" : "not-run",
        answer.reason,
        answer.retryAfterMs,
    );
}

/**
 * Sends the outcome of a call that has no answer of an endpoint. `retryAfterMs` is the delay after which the caller may
 * retry, in milliseconds.
 */
export function sendFailureOutcome(
    response: ServerResponse,
    status: number,
    outcome: "not-run" | "unknown",
    reason: string,
    retryAfterMs: number | undefined,
    message?: string,
): void {
    const body = JSON.stringify({ outcome, reason, ...(message === undefined ? {} : { message }), retryAfterMs });
    const headers: Record<string, string | number> = {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        [headerNames.outcome]: outcome,
        [headerNames.reason]: reason,
    };
    if (retryAfterMs !== undefined) {
        headers[headerNames.retryAfter] = Math.max(1, Math.ceil(retryAfterMs / 1000));
        headers[headerNames.retryAfterMs] = Math.ceil(retryAfterMs);
    }
    response.writeHead(status, headers);
    response.end(body);
}
