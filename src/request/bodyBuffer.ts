/**
 * Collects the bytes of a message body in one buffer. Pieces are copied as they come, so that a body takes its own length and no more,
 * however small its pieces are.
 */
import { createGrowingMemory, freeBuffer, freeMemory, growMemory } from "../process/base/ownedMemory.js";

/** Size of the first buffer of a body that comes in several pieces, in bytes. */
const firstBufferBytes = 16_384;
/** Factor by which a buffer grows that has to be moved for it. */
const growthFactor = 4;
/** Length by which memory grows in place, in bytes. */
const growthStepBytes = 262_144;
/** Size from which a body has memory of its own, that grows in place; in bytes. */
const ownMemoryBytes = 65_536;

const emptyBody: Buffer = Buffer.alloc(0);

/** A body that is being received. */
export class BodyBuffer {
    private buffer = emptyBody;
    private length = 0;
    /** Memory of the buffer, if the body has its own. */
    private memory: ArrayBuffer | undefined;

    /** `maxBytes`: length that the body has if `isLengthKnown`, or at most. */
    constructor(private readonly maxBytes: number, private readonly isLengthKnown: boolean) {}

    /** Takes over a piece: it is not to be used afterwards. The body must not exceed its maximum. */
    take(piece: Buffer): void {
        if (this.isLengthKnown && piece.length === this.maxBytes) {
            this.buffer = piece;
            this.length = piece.length;
            return;
        }
        this.add(piece);
        freeBuffer(piece);
    }

    /** Adds a copy of a piece. The body must not exceed its maximum. */
    add(piece: Buffer): void {
        const bytes = this.length + piece.length;
        if (bytes > this.buffer.length) {
            this.extend(bytes);
        }
        piece.copy(this.buffer, this.length);
        this.length = bytes;
    }

    /** Body as far as it has come. */
    finish(): Buffer {
        const { buffer, length } = this;
        return buffer.length === length ? buffer : buffer.subarray(0, length);
    }

    /** Gives back the memory of what has come. */
    clear(): void {
        if (this.memory !== undefined) {
            freeMemory(this.memory);
        }
        else {
            freeBuffer(this.buffer);
        }
        this.buffer = emptyBody;
        this.length = 0;
    }

    /** Makes room for a length in bytes. */
    private extend(bytes: number): void {
        if (bytes <= ownMemoryBytes && !(this.isLengthKnown && this.maxBytes > ownMemoryBytes)) {
            const wanted = Math.min(Math.max(firstBufferBytes, this.buffer.length * growthFactor), ownMemoryBytes);
            this.move(Buffer.allocUnsafeSlow(Math.max(bytes, Math.min(wanted, this.maxBytes))));
            return;
        }
        const size = Math.max(bytes, Math.min(bytes + growthStepBytes, this.maxBytes));
        if (this.memory !== undefined) {
            growMemory(this.memory, size);
            this.buffer = Buffer.from(this.memory, 0, size);
            return;
        }
        this.memory = createGrowingMemory(this.maxBytes);
        growMemory(this.memory, size);
        this.move(Buffer.from(this.memory, 0, size));
    }

    /** Moves what has come to a larger buffer. */
    private move(larger: Buffer): void {
        this.buffer.copy(larger, 0, 0, this.length);
        freeBuffer(this.buffer);
        this.buffer = larger;
    }
}
