/**
 * Parses the common answers of an endpoint: those that have arrived whole, in one piece, with a length or as a single chunk.
 * Everything else is left to the HTTP parser of the library, which reads an answer line by line at several times the cost.
 */

/** An answer that has arrived whole. */
export interface SimpleAnswer {
    readonly status: number;
    /** Names and values as flat pairs, as they were sent. */
    readonly headers: string[];
    readonly shouldKeepAlive: boolean;
    /** Offset of the body in the piece, in bytes. */
    readonly bodyStart: number;
    readonly bodyLength: number;
}

const version = "HTTP/";
const endOfLine = "\r\n";
const endOfHead = "\r\n\r\n";
/** Bytes behind the data of the last chunk that isn't empty. */
const endOfChunks = "\r\n0\r\n\r\n";
/** Final statuses that may have a body. */
const statusLinePattern = /^HTTP\/1\.1 ([2-5]\d\d)(?: [^\r\n]*)?$/;
/** The spaces around a value are trimmed apart, since a pattern for them takes time in the square of their number. */
const headerPattern = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e]*)$/;
const lengthPattern = /^\d{1,15}$/;
const chunkLengthPattern = /^[0-9a-fA-F]{1,8}$/;

/** Parses a piece of a connection's bytes; `undefined` unless it is exactly one such answer. */
export function parseSimpleAnswer(piece: Buffer): SimpleAnswer | undefined {
    const headEnd = piece.indexOf(endOfHead);
    if (headEnd === -1) {
        return undefined;
    }
    const head = piece.toString("latin1", 0, headEnd);
    // A second version may belong to a second status line, behind a part of an answer.
    if (head.includes(version, version.length)) {
        return undefined;
    }
    const lines = head.split("\r\n");
    const status = Number(statusLinePattern.exec(lines[0]!)?.[1] ?? 0);
    if (status === 0 || status === 204 || status === 304) {
        return undefined;
    }
    const headers: string[] = [];
    let length: number | undefined;
    let isChunked = false;
    let shouldKeepAlive = true;
    for (let index = 1; index < lines.length; index += 1) {
        const match = headerPattern.exec(lines[index]!);
        if (match === null) {
            return undefined;
        }
        const name = match[1]!;
        const value = match[2]!.trim();
        headers.push(name, value);
        switch (name.toLowerCase()) {
            case "content-length":
                if (length !== undefined || !lengthPattern.test(value)) {
                    return undefined;
                }
                length = Number(value);
                break;
            case "connection":
                shouldKeepAlive &&= !value.toLowerCase().includes("close");
                break;
            case "transfer-encoding":
                if (isChunked || value !== "chunked") {
                    return undefined;
                }
                isChunked = true;
                break;
            case "upgrade":
                return undefined;
        }
    }
    const bodyStart = headEnd + endOfHead.length;
    const body = isChunked
        ? findOnlyChunk(piece, bodyStart)
        : { bodyStart, bodyLength: piece.length - bodyStart };
    const hasLength = isChunked ? length === undefined : length === body?.bodyLength;
    return body !== undefined && hasLength ? { status, headers, shouldKeepAlive, ...body } : undefined;
}

/** Finds the data of a body of exactly one chunk that ends with the piece. */
function findOnlyChunk(piece: Buffer, start: number): Pick<SimpleAnswer, "bodyStart" | "bodyLength"> | undefined {
    const lineEnd = piece.indexOf(endOfLine, start);
    const lengthText = lineEnd === -1 ? "" : piece.toString("latin1", start, lineEnd);
    const bodyStart = lineEnd + endOfLine.length;
    const bodyLength = chunkLengthPattern.test(lengthText) ? parseInt(lengthText, 16) : 0;
    const isWhole = bodyLength > 0 && piece.length === bodyStart + bodyLength + endOfChunks.length
        && piece.toString("latin1", bodyStart + bodyLength) === endOfChunks;
    return isWhole ? { bodyStart, bodyLength } : undefined;
}
