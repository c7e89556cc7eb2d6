/** HTTP client with keep-alive connections. Its failures state whether the request may have been delivered. */
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import { buildConnector, Pool } from "undici";
import { joinChunks } from "../request/body.js";
import type { HeaderList } from "../request/headers.js";
import { isFinalStatus } from "./answerLines.js";

/** Lowest status of a final answer; interim ones are lower. */
const firstFinalStatus = 200;

/** A request to send. */
export interface HttpCall {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /**
     * Header of this request alone, by its name in lower case, that the answer may repeat. An answer that has it with another value
     * belongs to another request, and its connection is closed.
     */
    readonly echo?: { readonly name: string; readonly value: string; };
    /** Timeout for the whole call, in milliseconds. */
    readonly timeoutMs: number;
    /** Aborts the call by closing its connection. */
    readonly signal?: AbortSignal | undefined;
}

/** A complete answer. */
export interface HttpAnswer {
    readonly kind: "answered";
    readonly status: number;
    /** Flat list of names, in lower case, and values. */
    readonly headers: HeaderList;
    readonly body: Buffer;
}

/**
 * Failure of a call. After `unsent` no part of the request was sent; after `lost` it may have been delivered and run.
 * `isTimeout` states whether the timeout of the call expired, `isCancelled` whether its signal aborted; if neither, the
 * connection failed.
 */
export type HttpFailure =
    | { readonly kind: "unsent"; readonly message: string; }
    | { readonly kind: "lost"; readonly isTimeout: boolean; readonly isCancelled: boolean; readonly message: string; };

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1000;
/** Idle timeout of a connection, in milliseconds; shorter than that of the servers, so that the client closes first. */
const keepAliveMs = 20_000;

/** Code of the error of a connection that was reset. */
const resetCode = "ERR_CONNECTION_RESET";

const connectSocket = buildConnector({ timeout: connectTimeoutMs });

/**
 * Opens a connection. The library takes a reset (by its code) for the end of an answer without a length, so a reset gets a code of its
 * own before the library sees it.
 */
function openConnection(options: buildConnector.Options, callback: buildConnector.Callback): void {
    connectSocket(options, (...result) => {
        const socket: Socket | null = result[1];
        socket?.on("error", (error: NodeJS.ErrnoException) => {
            error.code = error.code === "ECONNRESET" ? resetCode : error.code ?? "";
        });
        callback(...result);
    });
}

/** Pool of connections to one origin. */
export class HttpPool {
    private readonly pool: Pool;

    /**
     * `isRefusal` tells by its headers an answer that says that the request was not run. Its body isn't read, and its
     * connection is closed: answers name no request, so a copy of it that comes late would stand for the answer to the next.
     */
    constructor(
        origin: string,
        private readonly maxBodyBytes: number,
        private readonly isRefusal: (headers: HeaderList) => boolean = () => false,
    ) {
        this.pool = new Pool(origin, {
            pipelining: 1,
            connect: openConnection,
            keepAliveTimeout: keepAliveMs,
            keepAliveMaxTimeout: keepAliveMs,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Sends a request and reads the complete answer. Never rejects. */
    send(call: HttpCall): Promise<HttpAnswer | HttpFailure> {
        return new Promise(resolve => {
            const exchange = new Exchange(call, this.maxBodyBytes, this.isRefusal, resolve);
            this.pool.dispatch(
                {
                    method: call.method as Dispatcher.HttpMethod,
                    path: call.path,
                    headers: [...call.headers],
                    body: call.body,
                },
                exchange,
            );
        });
    }

    /** Closes the connections once the calls in progress have ended. */
    stop(): Promise<void> {
        return this.pool.close();
    }

    /** Closes the connections at once; calls in progress fail. */
    destroy(): Promise<void> {
        return this.pool.destroy();
    }
}

/** A request in progress and the answer read so far; the handler that undici calls. */
class Exchange implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private isSent = false;
    private isTimeout = false;
    private isSettled = false;
    private status = 0;
    private headers: string[] = [];
    private readonly chunks: Buffer[] = [];
    private bytes = 0;
    private readonly timer: NodeJS.Timeout;
    private readonly abort = (): void => this.cancel("cancelled");

    constructor(
        private readonly call: HttpCall,
        private readonly maxBodyBytes: number,
        private readonly isRefusal: (headers: HeaderList) => boolean,
        private readonly resolve: (result: HttpAnswer | HttpFailure) => void,
    ) {
        this.timer = setTimeout(() => {
            this.isTimeout = true;
            this.cancel("timed out waiting for the complete answer");
        }, call.timeoutMs);
        call.signal?.addEventListener("abort", this.abort);
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.isSettled) {
            controller.abort(new Error("the call ended before its request was sent"));
            return;
        }
        this.isSent = true;
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        this.status = status;
        this.headers = readRawHeaders(controller);
        // Interim answers come before the final one; the library takes any number of three digits.
        if (status >= firstFinalStatus && !isFinalStatus(status)) {
            this.cancel("the status of the answer is none of the protocol");
            return;
        }
        if (!this.isOwnAnswer()) {
            this.cancel("the answer is that to another request");
            return;
        }
        if (this.isRefusal(this.headers)) {
            this.onResponseEnd();
            controller.abort(new Error("the request was refused"));
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.bytes += chunk.length;
        if (this.bytes > this.maxBodyBytes) {
            this.cancel("the body of the answer exceeds limits.maxBodyBytes");
            return;
        }
        this.chunks.push(chunk);
    }

    onResponseEnd(): void {
        this.settle({ kind: "answered", status: this.status, headers: this.headers, body: joinChunks(this.chunks) });
    }

    onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.fail(error.message || error.name);
    }

    private isOwnAnswer(): boolean {
        const { echo } = this.call;
        const echoed = echo === undefined ? undefined : findLowerCaseHeader(this.headers, echo.name);
        return echoed === undefined || echoed === echo?.value;
    }

    private cancel(message: string): void {
        this.fail(message);
        this.controller?.abort(new Error(message));
    }

    private fail(message: string): void {
        const isCancelled = this.call.signal?.aborted === true;
        this.settle(
            this.isSent
                ? { kind: "lost", isTimeout: this.isTimeout, isCancelled, message }
                : { kind: "unsent", message },
        );
    }

    private settle(result: HttpAnswer | HttpFailure): void {
        if (this.isSettled) {
            return;
        }
        this.isSettled = true;
        clearTimeout(this.timer);
        this.call.signal?.removeEventListener("abort", this.abort);
        this.resolve(result);
    }
}

function readRawHeaders(controller: Dispatcher.DispatchController): string[] {
    const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
    return raw.map((part, index) => index % 2 === 0 ? part.toString("latin1").toLowerCase() : part.toString("latin1"));
}

/** Finds the value of a header in a flat list of names, all in lower case, and values. */
export function findLowerCaseHeader(headers: HeaderList, name: string): string | undefined {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index] === name) {
            return headers[index + 1];
        }
    }
    return undefined;
}
