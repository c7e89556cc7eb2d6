/** Reads whole bodies with a limit on their size. */
import type { IncomingMessage } from "node:http";

/** What can go wrong while a body is read. */
export type BodyError = "tooLarge" | "cut";

const emptyBody = Buffer.alloc(0);

/** A request has a body if it says its length or that it comes in chunks. */
function hasBody(message: IncomingMessage): boolean {
    const { "content-length": length, "transfer-encoding": coding } = message.headers;
    return coding !== undefined || (length !== undefined && length !== "0");
}

/** Reads the whole body of a request. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer | BodyError> {
    if (!hasBody(message)) {
        return Promise.resolve(emptyBody);
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        message.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                message.pause();
                resolve("tooLarge");
                return;
            }
            chunks.push(chunk);
        });
        message.on("end", () => resolve(joinChunks(chunks)));
        message.on("error", () => resolve("cut"));
        message.on("close", () => resolve("cut"));
    });
}

/** Joins chunks; the single chunk of a short body is not copied. */
export function joinChunks(chunks: readonly Buffer[]): Buffer {
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
