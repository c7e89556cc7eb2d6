/** HTTP server of a node, and helpers with which request handlers send answers. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Answer } from "../request/answer.js";
import { reasonStatus, unknownStatus } from "../request/answer.js";
import { headerNames } from "../request/headers.js";
import { startListening } from "./listening.js";

/**
 * Idle timeout of a connection, in milliseconds; longer than that of the nodes' clients, so that the client closes
 * first.
 */
const keepAliveTimeoutMs = 65_000;
/** Timeout for receiving the headers of a request, in milliseconds. */
const headersTimeoutMs = 10_000;
/** Timeout for receiving a whole request, in milliseconds. */
const requestTimeoutMs = 60_000;
/** Maximum number of connections of one listener. */
const maxConnections = 10_000;

/** Handles one request. A rejection is reported as an error and closes the connection. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** HTTP server on one port. */
export class HttpListener {
    private readonly server: Server;
    /** Whether answers ask clients to close their connections. */
    private isClosingConnections = false;

    constructor(handler: RequestHandler, maxHeaderBytes: number, onError: (error: unknown) => void) {
        this.server = createServer(
            { maxHeaderSize: maxHeaderBytes, noDelay: true },
            (request, response) => {
                if (this.isClosingConnections) {
                    response.setHeader("connection", "close");
                }
                handler(request, response).catch((error: unknown) => {
                    onError(error);
                    response.destroy();
                });
            },
        );
        this.server.keepAliveTimeout = keepAliveTimeoutMs;
        this.server.headersTimeout = headersTimeoutMs;
        this.server.requestTimeout = requestTimeoutMs;
        this.server.maxConnections = maxConnections;
    }

    /** Binds the listener to an address; rejects if that fails. */
    start(address: string, port: number): Promise<void> {
        return startListening(this.server, address, port);
    }

    /** Sets the idle timeout of connections, in milliseconds; the Keep-Alive header states it in seconds. */
    setIdleTimeout(milliseconds: number): void {
        this.server.keepAliveTimeout = milliseconds;
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
