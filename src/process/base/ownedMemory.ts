/**
 * Memory for bodies that grows in place and is given back at once. A buffer's memory is otherwise given back when the buffer is
 * collected, which is too late where bodies come fast, and to an allocator that keeps it in pieces.
 */

/** What Node.js can do with the memory of a buffer, and the library's types don't tell yet; `transfer` is there from Node.js 22 on. */
interface GrowingMemory extends ArrayBuffer {
    readonly resizable: boolean;
    resize(bytes: number): void;
    transfer?(bytes: number): ArrayBuffer;
}

/** Size of a buffer below which giving its memory back isn't worth the time, in bytes. */
const minFreedBytes = 256;

/** Reserves memory for one body of which nothing is taken yet; the system provides what is written to, after it was added by {@link growMemory}. */
export function createGrowingMemory(maxBytes: number): ArrayBuffer {
    const create = ArrayBuffer as new(bytes: number, options: { readonly maxByteLength: number; }) => ArrayBuffer;
    return new create(0, { maxByteLength: maxBytes });
}

/** Makes reserved memory usable up to a size in bytes. Buffers in it stay where they are. */
export function growMemory(memory: ArrayBuffer, bytes: number): void {
    (memory as GrowingMemory).resize(bytes);
}

/** Gives back memory that nobody uses any more; it is empty afterwards, and so are the buffers in it. */
export function freeMemory(memory: ArrayBuffer): void {
    const { transfer } = memory as GrowingMemory;
    if (transfer !== undefined) {
        transfer.call(memory, 0);
        return;
    }
    // Before Node.js 22, the memory goes with a copy that nobody takes.
    structuredClone(memory, { transfer: [memory] });
}

/** Gives back the memory of a body that nobody uses any more, if it has memory of its own. */
export function freeBody(body: Buffer): void {
    const memory = body.buffer as ArrayBuffer;
    if ((memory as GrowingMemory).resizable) {
        freeMemory(memory);
    }
}

/** Gives back the memory of a buffer that nobody uses any more, unless it shares it with others. */
export function freeBuffer(buffer: Buffer): void {
    if (buffer.length >= minFreedBytes && buffer.buffer.byteLength === buffer.length) {
        freeMemory(buffer.buffer as ArrayBuffer);
    }
}
