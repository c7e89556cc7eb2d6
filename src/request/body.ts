/** Reads complete message bodies up to a maximum size, and within a budget for all of them. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../process/base/clock.js";
import { freeBuffer } from "../process/base/ownedMemory.js";
import type { BodyBudget, BodyShare } from "../process/load/bodyBudget.js";
import { BodyBuffer } from "./bodyBuffer.js";
import { ReadTurns } from "./readTurns.js";

/**
 * Why a body was not read: `tooLarge` if it exceeds the size limit, `cut` if the connection closed before its end, `noRoom` if it
 * was given up because bodies take too much memory together, `late` if it was not whole in time.
 */
export type BodyError = "tooLarge" | "cut" | "noRoom" | "late";
/** Why a body was not read that no budget and no time bounds. */
export type PlainBodyError = Extract<BodyError, "tooLarge" | "cut">;

const emptyBody = Buffer.alloc(0);
/** Size of a piece below which it costs more time than its bytes, in bytes. */
const smallPieceBytes = 1024;
/** Small pieces of a body after which its connection reads in turns with others. */
const maxSmallPieces = 256;

/**
 * Longest time for which what a caller still sends is discarded beside an answer that closes the connection, in milliseconds. A
 * connection that is closed on unread bytes is reset, which could cost the caller the answer.
 */
export const maxDiscardMs = 1000;

/** Turns of all connections whose bodies come in small pieces. */
const readTurns = new ReadTurns();

/** Length that a request states for its body; 0 if it has none, `undefined` if it comes in chunks. */
export function findBodyLength(message: IncomingMessage): number | undefined {
    const { "content-length": length, "transfer-encoding": coding } = message.headers;
    return coding !== undefined ? undefined : Number(length ?? 0);
}

/** Where and how a body is read that counts in a budget. */
export interface CountedBodyOptions {
    readonly clock: Pick<Clock, "startTimer">;
    readonly maxBodyBytes: number;
    readonly bodies: BodyBudget;
}

/**
 * Reads the body of a request within a budget, where it counts until the answer has left. Never rejects. What isn't kept is
 * discarded for a while first, so that the caller can read its answer.
 */
export async function readCountedBody(
    message: IncomingMessage,
    response: ServerResponse,
    { clock, maxBodyBytes, bodies }: CountedBodyOptions,
): Promise<Buffer | Exclude<BodyError, "late">> {
    const reading = new BodyReading(message, maxBodyBytes, bodies);
    response.once("close", () => reading.getShare()?.release());
    const result = await reading.result as Buffer | Exclude<BodyError, "late">;
    if (result === "tooLarge" || result === "noRoom") {
        await discardBody(message, clock, maxDiscardMs);
    }
    return result;
}

/** Reads the body of a request, at most `maxBytes`. Never rejects; see {@link BodyError}. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer | PlainBodyError> {
    return new BodyReading(message, maxBytes).result as Promise<Buffer | PlainBodyError>;
}

/** Discards what is left of the body of a request. Resolves at its end, or when the connection closes, or after a time in milliseconds. */
export function discardBody(message: IncomingMessage, clock: Pick<Clock, "startTimer">, maxMs: number): Promise<void> {
    if (message.complete || message.destroyed) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const timer = clock.startTimer(maxMs, resolve);
        const end = (): void => {
            timer.stop();
            resolve();
        };
        message.once("end", end);
        message.once("close", end);
        message.on("data", freeBuffer);
    });
}

/** The reading of one body. Once it has failed, what still comes is discarded. */
export class BodyReading {
    /** The body, or why it was not read. */
    readonly result: Promise<Buffer | BodyError>;
    /** What the body takes of the budget; it is to be released once the body isn't used any more. */
    private readonly share: BodyShare | undefined;
    private readonly buffer: BodyBuffer;
    private bytes = 0;
    private smallPieces = 0;
    private isEnded = false;
    private settle: (result: Buffer | BodyError) => void = () => undefined;

    constructor(private readonly message: IncomingMessage, private readonly maxBytes: number, budget?: BodyBudget) {
        const length = findBodyLength(message);
        this.buffer = new BodyBuffer(length ?? maxBytes, length !== undefined);
        this.result = length === 0 ? Promise.resolve(emptyBody) : new Promise(resolve => this.settle = resolve);
        if (length === 0) {
            this.isEnded = true;
            return;
        }
        this.share = budget?.open(() => this.fail("noRoom"));
        message.on("data", (piece: Buffer) => this.add(piece));
        message.on("end", () => this.finish());
        message.on("error", () => this.fail("cut"));
        message.on("close", () => this.fail("cut"));
        if (length !== undefined && length > maxBytes) {
            this.fail("tooLarge");
        }
        else if (length !== undefined && budget?.hasRoom(length) === false) {
            this.fail("noRoom");
        }
    }

    /** Ends the reading, unless it has ended. */
    fail(error: BodyError): void {
        if (this.isEnded) {
            return;
        }
        this.isEnded = true;
        this.buffer.clear();
        this.share?.release();
        this.settle(error);
    }

    /** What a body that was read takes of the budget; the reader of the result releases it. */
    getShare(): BodyShare | undefined {
        return this.share;
    }

    private add(piece: Buffer): void {
        if (piece.length < smallPieceBytes) {
            this.countSmallPiece();
        }
        this.bytes += piece.length;
        if (this.bytes > this.maxBytes) {
            this.fail("tooLarge");
        }
        else if (!this.isEnded && this.share?.add(piece.length) === false) {
            this.fail("noRoom");
        }
        if (this.isEnded) {
            freeBuffer(piece);
            return;
        }
        this.buffer.take(piece);
    }

    private finish(): void {
        if (!this.isEnded) {
            this.isEnded = true;
            this.share?.finish();
            this.settle(this.buffer.finish());
        }
    }

    private countSmallPiece(): void {
        this.smallPieces += 1;
        if (this.smallPieces === maxSmallPieces) {
            readTurns.wait(this.message, () => this.smallPieces = 0);
        }
    }
}

/** Concatenates chunks. A single chunk is returned without a copy. */
export function joinChunks(chunks: readonly Buffer[]): Buffer {
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
