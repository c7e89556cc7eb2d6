/** Finds the log lines of one request, and of the calls made to serve it, in the log output of several nodes. */

/** Log line of the request: the time that it is sorted by, and the text that is printed. */
interface RequestLine {
    readonly time: string;
    readonly text: string;
}

/**
 * Matches a log line from its time on, and captures the time, level, event and other fields. Any text may stand before.
 */
const linePattern = /\btime=(\S+) level=(\S+) event=(\S+)\s?(.*)$/;

/**
 * Finds the lines of a request and of its calls, ordered by time. A request is logged under the id of its attempt, in
 * the field `request`. The attempt ids of calls begin with `attemptId` and a dot.
 */
export function findRequestLines(attemptId: string, lines: Iterable<string>): string[] {
    const found: RequestLine[] = [];
    for (const line of lines) {
        const request = /\brequest=(\S+)/.exec(line)?.[1];
        const parsed = linePattern.exec(line);
        if (parsed !== null && (request === attemptId || request?.startsWith(`${attemptId}.`) === true)) {
            const [, time, level, event, fields] = parsed;
            const textBeforeTime = line.slice(0, parsed.index).trim();
            found.push({
                time: time!,
                text: [time, textBeforeTime, level, event, fields].filter(each => each !== "").join(" "),
            });
        }
    }
    return found.sort((a, b) => a.time.localeCompare(b.time)).map(each => each.text);
}
