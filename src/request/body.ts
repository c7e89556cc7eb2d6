/** Reads complete message bodies up to a maximum size. */
import type { IncomingMessage } from "node:http";

/** Why a body was not read: `tooLarge` if it exceeds the size limit, `cut` if the connection closed before its end. */
export type BodyError = "tooLarge" | "cut";

const emptyBody = Buffer.alloc(0);

/** A request has a body if it has a non-zero Content-Length or a Transfer-Encoding. */
function hasBody(message: IncomingMessage): boolean {
    const { "content-length": length, "transfer-encoding": coding } = message.headers;
    return coding !== undefined || (length !== undefined && length !== "0");
}

/** Reads the body of a request, at most `maxBytes`. Never rejects; see {@link BodyError}. */
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

/** Concatenates chunks. A single chunk is returned without a copy. */
export function joinChunks(chunks: readonly Buffer[]): Buffer {
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
