/**
 * Parses the common answer of an endpoint: one that has arrived whole, in one piece, with a length. Everything else is left
 * to the HTTP parser of the library, which reads an answer line by line at several times the cost.
 */

/** An answer that has arrived whole. */
export interface SimpleAnswer {
    readonly status: number;
    /** Names and values as flat pairs, as they were sent. */
    readonly headers: string[];
    readonly shouldKeepAlive: boolean;
    /** Offset of the body in the piece, in bytes; the body goes to its end. */
    readonly bodyStart: number;
}

const endOfHead = "\r\n\r\n";
/** Final statuses that may have a body. */
const statusLinePattern = /^HTTP\/1\.1 ([2-5]\d\d)(?: [^\r\n]*)?$/;
const headerPattern = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e]*?)[ \t]*$/;
const lengthPattern = /^\d{1,15}$/;

/** Parses a piece of a connection's bytes; `undefined` unless it is exactly one such answer. */
export function parseSimpleAnswer(piece: Buffer): SimpleAnswer | undefined {
    const headEnd = piece.indexOf(endOfHead);
    if (headEnd === -1) {
        return undefined;
    }
    const lines = piece.toString("latin1", 0, headEnd).split("\r\n");
    const status = Number(statusLinePattern.exec(lines[0]!)?.[1] ?? 0);
    if (status === 0 || status === 204 || status === 304) {
        return undefined;
    }
    const headers: string[] = [];
    let length: number | undefined;
    let shouldKeepAlive = true;
    for (let index = 1; index < lines.length; index += 1) {
        const match = headerPattern.exec(lines[index]!);
        if (match === null) {
            return undefined;
        }
        const name = match[1]!;
        const value = match[2]!;
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
            case "upgrade":
                return undefined;
        }
    }
    const bodyStart = headEnd + endOfHead.length;
    return piece.length === bodyStart + (length ?? -1) ? { status, headers, shouldKeepAlive, bodyStart } : undefined;
}
