/**
 * An HTTP/1.1 connection to the local endpoint. It carries one request at a time and buffers each answer completely.
 *
 * An answer is matched to the request in progress by its attempt identifier; an answer that names another attempt is
 * skipped, and read by the method of that attempt. A late copy of an answer can't be told from the answer to the same
 * attempt sent again, so a connection carries an attempt once. The connection is closed
 * - after data without a request in progress, also behind an answer in its piece;
 * - after a truncated answer, a line that isn't valid, a change of protocol, or an answer whose attempt or end isn't known;
 * - after a body that holds another answer to the request: the body was cut off, and a second answer followed;
 * - after an answer that arrived before the request was fully written, since the endpoint could take the remaining bytes
 *   for another request;
 * - when bytes come without end, in a head, in a body or between pieces of one.
 */
import type { Socket } from "node:net";
import { connect } from "node:net";
import type { BodyBudget, BodyShare } from "../process/load/bodyBudget.js";
import { BodyBuffer } from "../request/bodyBuffer.js";
import type { AnswerMetadata, Dialect } from "../request/dialect.js";
import { findHeader } from "../request/dialect.js";
import type { HeaderList } from "../request/headers.js";
import type { AnswerHead } from "./answerParser.js";
import { AnswerParser } from "./answerParser.js";
import { hasInnerAnswer } from "./innerAnswer.js";
import type { SimpleAnswer } from "./simpleAnswer.js";
import { parseSimpleAnswer } from "./simpleAnswer.js";
import type { StrayAnswers } from "./strayAnswers.js";

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 600;
/** Maximum size of a buffered answer body, in bytes. */
const maxAnswerBytes = 67_108_864;
/** What a piece of a body counts for that maximum besides its content, in bytes, since pieces may be tiny and take time. */
const pieceOverheadBytes = 128;
/** Attempts that a connection carries, since it remembers each; then it is closed. */
const maxAttempts = 256;
/** Maximum size of what comes without a byte of a body: heads, sizes of chunks, trailers; in bytes. */
const maxFramingBytes = 131_072;
/** Status with which an endpoint leaves HTTP. */
const switchingProtocols = 101;
/**
 * Memory that all connections read into; each piece is used up, or copied, before the next is read. So a piece costs neither an
 * allocation nor the layers of a stream.
 */
const readBuffer = Buffer.allocUnsafeSlow(65_536);

/** A request to the endpoint. */
export interface EndpointRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Attempt identifier that the answer must carry; `undefined` for a health check, whose answer carries none. */
    readonly attemptId: string | undefined;
}

/** A complete answer of the endpoint. */
export interface EndpointAnswer {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
    readonly metadata: AnswerMetadata;
    /** Number of the connection that it came on, counted from 1 in this process. */
    readonly connection: number;
}

/**
 * Why no complete answer was read: the connection was reset or closed, the data was not a valid answer (`garbled`), the
 * answer was truncated (`cutShort`), or this node closed the connection (`aborted`). An answer that is given up for want of memory
 * counts as garbled.
 */
export type LossCause = "reset" | "closed" | "garbled" | "cutShort" | "aborted";

/** Outcome of one request on the connection. After `lost` the endpoint may have run the request. */
export type ExchangeResult =
    | { readonly kind: "answered"; readonly answer: EndpointAnswer; }
    | { readonly kind: "lost"; readonly cause: LossCause; };

/** The request in progress on a connection. */
interface Exchange {
    readonly attemptId: string | undefined;
    /** Whether the answer has no body, whatever its headers say (HEAD requests). */
    readonly isBodyless: boolean;
    readonly settle: (result: ExchangeResult) => void;
}

/** What the head of an answer says. */
interface AnswerDescription {
    readonly status: number;
    readonly headers: HeaderList;
    readonly metadata: AnswerMetadata;
    readonly shouldKeepAlive: boolean;
}

/** The answer that is being read. */
interface PartialAnswer extends AnswerDescription {
    readonly body: BodyBuffer;
    bytes: number;
    /** What the body takes of the budget while it is read. */
    readonly share: BodyShare;
}

/** What the connections to one endpoint share. */
export interface EndpointConnectionContext {
    readonly dialect: Dialect;
    readonly bodies: Pick<BodyBudget, "open">;
    readonly strayAnswers: Pick<StrayAnswers, "recordSkipped" | "recordUnasked">;
}

/** An open connection to the endpoint. */
export class EndpointConnection {
    /** Monotonic time at which the connection became idle, in milliseconds; set by the pool. */
    idleSince = 0;
    /** Idle timeout that the endpoint announced in a Keep-Alive header, in milliseconds. */
    announcedIdleTimeoutMs: number | undefined;
    private exchange: Exchange | undefined;
    private partialAnswer: PartialAnswer | undefined;
    private isOpen = true;
    /** Attempts that this connection has carried, and whether the answer to each has no body. */
    private readonly attempts = new Map<string, boolean>();
    private hasCarriedBodyless = false;
    /** Bytes received since the request or since the last byte of a body. */
    private framingBytes = 0;
    /** Whether the answer violates HTTP, exceeds the size limit or can't be matched to a request. */
    private hasProtocolError = false;
    /** Parser for answers that aren't simple; it reads the rest of the connection once it has read of one. */
    private parser: AnswerParser | undefined;

    constructor(
        private readonly socket: Socket,
        /** Number of the connection, counted from 1 in this process. */
        private readonly number: number,
        private readonly context: EndpointConnectionContext,
    ) {
        socket.setNoDelay(true);
        socket.on("end", () => this.readEnd());
        socket.on("error", () => this.fail("reset"));
        socket.on("close", () => this.fail("closed"));
    }

    /** Whether the connection is open, has no request or answer in progress and can remember further attempts. */
    isReusable(): boolean {
        return this.isOpen && this.exchange === undefined && this.partialAnswer === undefined
            && this.attempts.size < maxAttempts;
    }

    /** Whether this connection has carried an attempt before. */
    hasCarried(attemptId: string): boolean {
        return this.attempts.has(attemptId);
    }

    /** Sends a request and reads its answer. Never rejects. Must only be called while the connection is reusable. */
    send(request: EndpointRequest): Promise<ExchangeResult> {
        return new Promise(resolve => {
            const isBodyless = request.method === "HEAD";
            this.framingBytes = 0;
            this.hasCarriedBodyless ||= isBodyless;
            if (request.attemptId !== undefined) {
                this.attempts.set(request.attemptId, isBodyless);
            }
            this.exchange = { attemptId: request.attemptId, isBodyless, settle: resolve };
            const head = formatHead(request);
            if (request.body.length === 0) {
                this.socket.write(head, "latin1");
                return;
            }
            this.socket.cork();
            this.socket.write(head, "latin1");
            this.socket.write(request.body);
            this.socket.uncork();
        });
    }

    /** Closes the connection at once; a request in progress ends as lost with the cause `aborted`. */
    destroy(): void {
        this.fail("aborted");
    }

    /** Reads received bytes; does not keep the buffer. */
    receive(chunk: Buffer): void {
        if (!this.isOpen) {
            return;
        }
        if (this.exchange === undefined) {
            this.endUnasked();
            return;
        }
        const simpleAnswer = this.parser === undefined && !this.exchange.isBodyless
            ? parseSimpleAnswer(chunk)
            : undefined;
        if (simpleAnswer !== undefined) {
            this.finishSimpleAnswer(simpleAnswer, chunk);
            return;
        }
        this.parser ??= this.createParser();
        this.framingBytes += chunk.length;
        const isValid = this.parser.parse(chunk);
        if (!isValid || this.hasProtocolError || this.framingBytes > maxFramingBytes) {
            this.fail("garbled");
            return;
        }
        if (this.isOpen && this.exchange === undefined && !this.parser.isBetweenAnswers()) {
            this.endUnasked();
        }
    }

    /** Ends the connection because of bytes that nobody waits for. */
    private endUnasked(): void {
        this.context.strayAnswers.recordUnasked(this.number);
        this.fail("garbled");
    }

    private createParser(): AnswerParser {
        return new AnswerParser({
            startAnswer: head => this.startAnswer(head),
            addBody: piece => this.addBody(piece),
            finishAnswer: () => this.finishAnswer(),
        });
    }

    private finishSimpleAnswer(answer: SimpleAnswer, chunk: Buffer): void {
        const { status, headers, shouldKeepAlive, bodyStart, bodyLength } = answer;
        const body = Buffer.from(chunk.subarray(bodyStart, bodyStart + bodyLength));
        const metadata = this.context.dialect.readAnswer(headers);
        const isBodyless = this.isBodyless(metadata.attemptId);
        this.hasProtocolError ||= isBodyless === undefined || (isBodyless && body.length > 0);
        this.framingBytes = body.length > 0 ? 0 : this.framingBytes + chunk.length;
        this.settleAnswer({ status, headers, metadata, shouldKeepAlive }, body);
        if (this.hasProtocolError || this.framingBytes > maxFramingBytes) {
            this.fail("garbled");
        }
    }

    /**
     * Handles the end of the stream. A reset right after data is also reported as an end by the event loop. Writing an
     * empty buffer distinguishes the two: it sends no byte, but fails if the connection was reset.
     */
    private readEnd(): void {
        if (this.partialAnswer === undefined) {
            this.fail("closed");
            return;
        }
        this.socket.write(Buffer.alloc(0), error => {
            if (error) {
                this.fail("reset");
                return;
            }
            // finish() completes an answer without a length, so that its request is already settled when fail() is
            // called.
            this.fail(this.parser?.finish() === false ? "cutShort" : "closed");
        });
    }

    /** Begins an answer; returns whether a body may follow. */
    private startAnswer({ status, headers, shouldKeepAlive }: AnswerHead): boolean {
        this.hasProtocolError ||= !hasKnownLength(headers);
        // No request asks for another protocol; what would follow isn't HTTP.
        this.hasProtocolError ||= status === switchingProtocols;
        const metadata = this.context.dialect.readAnswer(headers);
        const isBodyless = this.isBodyless(metadata.attemptId);
        this.hasProtocolError ||= isBodyless === undefined;
        // Answers may take too much memory together.
        const share = this.context.bodies.open(() => this.fail("garbled"));
        const body = new BodyBuffer(maxAnswerBytes, false);
        this.partialAnswer = { status, headers, metadata, body, bytes: 0, share, shouldKeepAlive };
        return isBodyless === false && canHaveBody(status);
    }

    /**
     * Whether the answer to an attempt has no body, whatever its headers say: an answer is read by the method of the request that it
     * belongs to. `undefined` if that isn't known, and so where the answer ends isn't either.
     */
    private isBodyless(attemptId: string | undefined): boolean | undefined {
        const { exchange } = this;
        if (attemptId === undefined || attemptId === exchange?.attemptId) {
            return exchange?.isBodyless === true;
        }
        return this.attempts.get(attemptId) ?? (this.hasCarriedBodyless ? undefined : false);
    }

    private addBody(chunk: Buffer): void {
        const { partialAnswer } = this;
        if (partialAnswer === undefined || !this.isOpen) {
            return;
        }
        this.framingBytes = 0;
        partialAnswer.bytes += chunk.length + pieceOverheadBytes;
        if (partialAnswer.bytes > maxAnswerBytes) {
            this.hasProtocolError = true;
        }
        else if (!partialAnswer.share.add(chunk.length)) {
            this.fail("garbled");
        }
        else {
            partialAnswer.body.add(chunk);
        }
    }

    private finishAnswer(): void {
        const { partialAnswer } = this;
        this.partialAnswer = undefined;
        partialAnswer?.share.release();
        if (partialAnswer !== undefined) {
            this.settleAnswer(partialAnswer, partialAnswer.body.finish());
        }
    }

    /** Ends the request in progress with a complete answer, if it is the answer to that. */
    private settleAnswer(answer: AnswerDescription, body: Buffer): void {
        const { exchange } = this;
        const { metadata, status, headers } = answer;
        if (status < 200 || this.hasProtocolError) {
            return;
        }
        if (exchange === undefined) {
            this.context.strayAnswers.recordUnasked(this.number);
            this.hasProtocolError = true;
            return;
        }
        const isOwn = metadata.attemptId === exchange.attemptId;
        // A simple answer has come in one piece, so that nothing came between its beginning and its end.
        if ((!isOwn || this.parser !== undefined) && hasInnerAnswer(body, exchange.attemptId)) {
            this.hasProtocolError = true;
            return;
        }
        // The answer to a health check carries no attempt identifier, as its request.
        if (!isOwn) {
            // A duplicate or late answer to an earlier request is skipped. An answer without an attempt identifier
            // can't be matched to a request, so it closes the connection.
            this.hasProtocolError ||= metadata.attemptId === undefined;
            this.context.strayAnswers.recordSkipped({
                connection: this.number,
                status,
                attemptId: metadata.attemptId,
                expected: exchange.attemptId,
            });
            return;
        }
        this.exchange = undefined;
        this.recordIdleTimeout(headers);
        if (!answer.shouldKeepAlive || this.socket.writableLength > 0) {
            this.close();
        }
        exchange.settle({
            kind: "answered",
            answer: {
                status,
                headers,
                body,
                metadata,
                connection: this.number,
            },
        });
    }

    private recordIdleTimeout(headers: HeaderList): void {
        const seconds = /timeout=(\d+)/.exec(findHeader(headers, "keep-alive") ?? "")?.[1];
        this.announcedIdleTimeoutMs = seconds === undefined ? this.announcedIdleTimeoutMs : Number(seconds) * 1000;
    }

    private close(): void {
        this.isOpen = false;
        this.partialAnswer?.share.release();
        this.partialAnswer?.body.clear();
        this.partialAnswer = undefined;
        this.socket.destroy();
    }

    private fail(cause: LossCause): void {
        const { exchange } = this;
        this.exchange = undefined;
        if (this.isOpen) {
            this.close();
        }
        exchange?.settle({ kind: "lost", cause });
    }
}

/**
 * Opens a connection; `number` tells it from others in the log. Resolves to `undefined` if the endpoint can't be reached, so that nothing was sent. Never
 * rejects.
 */
export function openEndpointConnection(
    host: string,
    port: number,
    number: number,
    context: EndpointConnectionContext,
): Promise<EndpointConnection | undefined> {
    return new Promise(resolve => {
        // The half-open mode allows the write that distinguishes the end of an answer without a length from a reset.
        let connection: EndpointConnection | undefined;
        const onread = {
            buffer: readBuffer,
            callback: (bytes: number, buffer: Uint8Array) => {
                connection?.receive((buffer as Buffer).subarray(0, bytes));
                return true;
            },
        };
        const socket = connect({ host, port, allowHalfOpen: true, onread });
        const timer = setTimeout(() => socket.destroy(), connectTimeoutMs);
        socket.once("error", () => undefined);
        socket.once("close", () => {
            clearTimeout(timer);
            resolve(undefined);
        });
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.removeAllListeners("close");
            socket.removeAllListeners("error");
            connection = new EndpointConnection(socket, number, context);
            resolve(connection);
        });
    });
}

/** Whether the headers that tell where a body ends are valid; chunks are the only encoding that the node reads. */
function hasKnownLength(headers: HeaderList): boolean {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index]!.toLowerCase();
        const value = headers[index + 1]!;
        if (
            name === "content-length"
                ? !/^\d{1,15}$/.test(value)
                : name === "transfer-encoding" && !/^chunked$/i.test(value)
        ) {
            return false;
        }
    }
    return true;
}

/** Whether an answer of a status may have a body; an interim answer and two others have none, whatever their headers say. */
function canHaveBody(status: number): boolean {
    return status >= 200 && status !== 204 && status !== 304;
}

function formatHead(request: EndpointRequest): string {
    const lines = [`${request.method} ${request.path} HTTP/1.1`];
    for (let index = 0; index + 1 < request.headers.length; index += 2) {
        lines.push(`${request.headers[index]}: ${request.headers[index + 1]}`);
    }
    const isBodyAllowed = request.method !== "GET" && request.method !== "HEAD";
    if (request.body.length > 0 || isBodyAllowed) {
        lines.push(`Content-Length: ${request.body.length}`);
    }
    return lines.join("\r\n") + "\r\n\r\n";
}
