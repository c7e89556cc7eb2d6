/** HTTP listeners of a node, and what all of their handlers share. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Answer } from "../request/answer.js";
import { reasonStatus, unknownStatus } from "../request/answer.js";
import { headerNames } from "../request/headers.js";
import { startListening } from "./listening.js";

/** Idle time after which a connection is closed, in milliseconds; longer than the clients' own. */
const keepAliveTimeoutMs = 65_000;
/** Time for the headers of a request, in milliseconds. */
const headersTimeoutMs = 10_000;
/** Time for a whole request, in milliseconds. */
const requestTimeoutMs = 60_000;
/** Most connections of one listener. */
const maxConnections = 10_000;

/** Handles one request; a rejection closes the connection. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** One HTTP listener. */
export class HttpListener {
    private readonly server: Server;
    private isStopping = false;

    constructor(handler: RequestHandler, maxHeaderBytes: number, onError: (error: unknown) => void) {
        this.server = createServer(
            { maxHeaderSize: maxHeaderBytes, noDelay: true },
            (request, response) => {
                if (this.isStopping) {
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

    /** Binds the listener. */
    start(address: string, port: number): Promise<void> {
        return startListening(this.server, address, port);
    }

    /** Sets the idle time after which a connection is closed, in milliseconds; clients are told it in seconds. */
    setIdleTimeout(milliseconds: number): void {
        this.server.keepAliveTimeout = milliseconds;
    }

    /** Asks clients to close their connections with the next answer. */
    startDraining(): void {
        this.isStopping = true;
    }

    /** Stops listening; answers in progress are finished first. */
    async stop(): Promise<void> {
        this.isStopping = true;
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        await closed;
    }
}

/** Aborts when the other side closes its connection before it has the answer. */
export function createDisconnectSignal(response: ServerResponse): AbortSignal {
    const controller = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}

/** Sends a JSON document. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}

/** Sends an answer to a caller or to the local endpoint. */
export function sendAnswer(response: ServerResponse, answer: Answer): void {
    if (response.destroyed) {
        return;
    }
    if (answer.outcome === "completed") {
        const own = [headerNames.outcome, "completed", "content-length", String(answer.body.length)];
        const replayed = answer.isReplayed ? [headerNames.replayed, "true"] : [];
        response.writeHead(answer.status, [...answer.headers, ...own, ...replayed]);
        response.end(answer.body);
        return;
    }
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

/** Sends an outcome without an endpoint's answer, with the time after which a re-send makes sense. */
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
