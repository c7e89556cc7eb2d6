/**
 * Finds an answer within the body of another: a body with a length that was cut off, and the answer that followed it. The
 * length alone can't tell such a body from a whole one.
 */

const version = "HTTP/1.";
/** Bytes of a status line up to its status. */
const statusEnd = "HTTP/1.1 200".length;
const statusLinePattern = /^HTTP\/1\.[01] [1-5]\d\d$/;
/** Bytes of a head within which the attempt identifier is looked for. */
const maxHeadBytes = 16_384;

/** Whether a body holds the beginning of an answer that names an attempt; false for a health check, which has none. */
export function hasInnerAnswer(body: Buffer, attemptId: string | undefined): boolean {
    if (attemptId === undefined) {
        return false;
    }
    for (let start = body.indexOf(version); start !== -1; start = body.indexOf(version, start + 1)) {
        const isStatusLine = statusLinePattern.test(body.toString("latin1", start, start + statusEnd));
        const head = body.subarray(start, start + maxHeadBytes);
        if (isStatusLine && (head.includes(`: ${attemptId}\r\n`) || head.includes(`:${attemptId}\r\n`))) {
            return true;
        }
    }
    return false;
}
