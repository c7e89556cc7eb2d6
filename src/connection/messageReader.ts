/**
 * Reads the messages of a link from its bytes. A large message is collected in memory of its own, and one that asks for a run only
 * if there is room for its body: without, its bytes are skipped, and the receiver tells the sender that the run is refused.
 */
import { createGrowingMemory, freeBuffer, growMemory } from "../process/base/ownedMemory.js";
import type { BodyShare } from "../process/load/bodyBudget.js";
import { decodeMessage, findRunId, lengthBytes, maxMessageHeadBytes } from "./linkCodec.js";
import type { LinkMessage } from "./linkMessage.js";

/** Maximum size of a message, in bytes. */
const maxMessageBytes = 80_000_000;
/** Size from which a message is large, in bytes. */
const largeMessageBytes = 65_536;

/** Makes room for a run's message of that many bytes; `undefined` if there is none. */
export type AdmitRun = (bytes: number) => BodyShare | undefined;

/** A large message of which a part has come. */
interface LargeMessage {
    /** Where its bytes go; `undefined` if they are skipped. */
    readonly buffer: Buffer | undefined;
    readonly bytes: number;
    /** Bytes that have come. */
    filled: number;
    readonly share: BodyShare | undefined;
    /** Id of the run that it asks for; `undefined` if it asks for none. */
    readonly runId: number | undefined;
}

/** Decodes the messages of a byte stream. */
export class MessageReader {
    private bufferedChunks: Buffer[] = [];
    private bufferedBytes = 0;
    private large: LargeMessage | undefined;
    private skippedRuns: number[] = [];

    /** Without `admitRun`, there is room for every message. */
    constructor(private readonly admitRun?: AdmitRun) {}

    /**
     * Adds received bytes and returns the messages that they complete; returns `undefined` if the stream is malformed.
     */
    read(chunk: Buffer): LinkMessage[] | undefined {
        const messages: LinkMessage[] = [];
        let rest: Buffer | undefined = chunk;
        while (rest !== undefined) {
            if (this.large !== undefined) {
                rest = this.fillLarge(this.large, rest);
                if (this.large.filled < this.large.bytes) {
                    return messages;
                }
                if (!this.finishLarge(this.large, messages)) {
                    return undefined;
                }
                continue;
            }
            this.bufferedChunks.push(rest);
            this.bufferedBytes += rest.length;
            const end = this.readSmall(messages);
            if (end === "malformed") {
                return undefined;
            }
            rest = end;
        }
        return messages;
    }

    /** Ids of the runs whose messages were skipped since the last call. */
    takeSkippedRuns(): readonly number[] {
        const skipped = this.skippedRuns;
        this.skippedRuns = [];
        return skipped;
    }

    /** Frees what an incomplete message takes; called when the link is closed. */
    close(): void {
        this.large?.share?.release();
        this.large = undefined;
    }

    /** Reads small messages; returns the bytes with which a large one begins, if one does. */
    private readSmall(messages: LinkMessage[]): Buffer | "malformed" | undefined {
        while (this.bufferedBytes >= lengthBytes) {
            const length = this.readLength();
            if (length > maxMessageBytes) {
                return "malformed";
            }
            if (length >= largeMessageBytes) {
                return this.bufferedBytes < lengthBytes + maxMessageHeadBytes ? undefined : this.startLarge(length);
            }
            if (this.bufferedBytes < lengthBytes + length) {
                return undefined;
            }
            const message = decodeMessage(this.takeBytes(lengthBytes + length).subarray(lengthBytes));
            if (message === undefined) {
                return "malformed";
            }
            messages.push(message);
        }
        return undefined;
    }

    /** Begins a large message and returns what has come of it and behind it. */
    private startLarge(bytes: number): Buffer {
        const received = this.takeBytes(this.bufferedBytes).subarray(lengthBytes);
        const runId = this.admitRun === undefined ? undefined : findRunId(received);
        const share = runId === undefined ? undefined : this.admitRun?.(bytes);
        const isSkipped = runId !== undefined && share === undefined;
        this.large = { buffer: isSkipped ? undefined : createBuffer(bytes), bytes, filled: 0, share, runId };
        return received;
    }

    /** Adds bytes to a large message; returns what comes behind it, if any. */
    private fillLarge(large: LargeMessage, chunk: Buffer): Buffer | undefined {
        const taken = Math.min(chunk.length, large.bytes - large.filled);
        if (large.buffer !== undefined) {
            chunk.copy(large.buffer, large.filled, 0, taken);
        }
        large.filled += taken;
        if (taken < chunk.length) {
            return chunk.subarray(taken);
        }
        freeBuffer(chunk);
        return undefined;
    }

    /** Decodes a large message that is complete; `false` if it is malformed. */
    private finishLarge({ buffer, share, runId }: LargeMessage, messages: LinkMessage[]): boolean {
        this.large = undefined;
        if (buffer === undefined) {
            this.skippedRuns.push(runId!);
            return true;
        }
        const message = decodeMessage(buffer);
        if (message === undefined) {
            share?.release();
            return false;
        }
        messages.push(message.kind === "run" && share !== undefined ? { ...message, bodyShare: share } : message);
        return true;
    }

    private readLength(): number {
        if (this.bufferedChunks[0]!.length < lengthBytes) {
            this.bufferedChunks = [Buffer.concat(this.bufferedChunks)];
        }
        return this.bufferedChunks[0]!.readUInt32BE(0);
    }

    /** Removes the given number of bytes from the front of the buffer and returns them. */
    private takeBytes(length: number): Buffer {
        const joined = this.bufferedChunks.length === 1 ? this.bufferedChunks[0]! : Buffer.concat(this.bufferedChunks);
        const remainder = joined.subarray(length);
        this.bufferedChunks = remainder.length === 0 ? [] : [remainder];
        this.bufferedBytes -= length;
        return joined.subarray(0, length);
    }
}

function createBuffer(bytes: number): Buffer {
    const memory = createGrowingMemory(bytes);
    growMemory(memory, bytes);
    return Buffer.from(memory, 0, bytes);
}
