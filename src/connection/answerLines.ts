/** Grammar of the lines of an answer (RFC 9112). Each line is given without its end. */

const statusLinePattern = /^HTTP\/1\.[01] [1-5]\d\d(?: [\t\x20-\x7e\x80-\xff]*)?$/;
const fieldLinePattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*$/;
/** A status line within a line: the line was cut off, and another answer follows. */
const innerStatusLinePattern = /.HTTP\/\d\.\d \d{3}/;

/** Whether a line is a status line, and only one. */
export function isStatusLine(line: string): boolean {
    return statusLinePattern.test(line) && !innerStatusLinePattern.test(line);
}

/** Whether a line is one of a head or of the trailers: a name and a value that isn't folded and holds no status line. */
export function isFieldLine(line: string): boolean {
    return fieldLinePattern.test(line) && !innerStatusLinePattern.test(line);
}
