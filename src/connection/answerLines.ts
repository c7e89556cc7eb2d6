/** Grammar of the lines of an answer (RFC 9112). Each line is given without its end. */

const blanks = /[ \t]*/.source;
const token = /[!#$%&'*+\-.^_`|~0-9A-Za-z]+/.source;
const text = /[\t\x20-\x7e\x80-\xff]*/.source;
const quoted = /"(?:[\t\x20!\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"/.source;
/** Extension of a chunk: a name and maybe a value. */
const extension = `${blanks};${blanks}${token}(?:${blanks}=${blanks}(?:${token}|${quoted}))?`;

const statusLinePattern = new RegExp(`^HTTP/1\\.[01] [1-5]\\d\\d(?: ${text})?$`);
const fieldLinePattern = new RegExp(`^${token}:${text}$`);
const chunkLinePattern = new RegExp(`^[0-9a-fA-F]{1,8}(?:${extension})*${blanks}$`);
/** A status line within a line: the line was cut off, and another answer follows. */
const innerStatusLinePattern = /.HTTP\/\d\.\d \d{3}/;
/** Maximum length of a line with the size of a chunk, in characters. */
const maxChunkLineLength = 256;

/** Whether a number is the status of a final answer. */
export function isFinalStatus(status: number): boolean {
    return Number.isInteger(status) && status >= 200 && status <= 599;
}

/** Whether a line is a status line, and only one. */
export function isStatusLine(line: string): boolean {
    return statusLinePattern.test(line) && !innerStatusLinePattern.test(line);
}

/** Whether a line is one of a head or of the trailers: a name and a value that isn't folded and holds no status line. */
export function isFieldLine(line: string): boolean {
    return fieldLinePattern.test(line) && !innerStatusLinePattern.test(line);
}

/** Whether a line states the size of a chunk, in at most 8 hexadecimal digits, and maybe extensions. */
export function isChunkLine(line: string): boolean {
    return line.length <= maxChunkLineLength && chunkLinePattern.test(line);
}
