/** Finds the log lines of one request in the log output of all nodes: its own lines and those of the calls that it led to. */

/** Log line of the request: the time that it is sorted by, and the text that is printed. */
interface RequestLine {
    readonly time: string;
    readonly text: string;
}

/** Captures the values of the fields that every line has, and the rest of the line. */
const linePattern = /\btime=(\S+) level=(\S+) event=(\S+)\s?(.*)$/;

/** Finds the lines of a request and of its calls, ordered by time. The attempt of a call begins with `attempt` and a dot. */
export function findRequestLines(attempt: string, lines: Iterable<string>): string[] {
    const found: RequestLine[] = [];
    for (const line of lines) {
        const request = /\brequest=(\S+)/.exec(line)?.[1];
        const parsed = linePattern.exec(line);
        if (parsed !== null && (request === attempt || request?.startsWith(`${attempt}.`) === true)) {
            const [, time, level, event, fields] = parsed;
            const linePrefix = line.slice(0, parsed.index).trim();
            found.push({
                time: time!,
                text: [time, linePrefix, level, event, fields].filter(each => each !== "").join(" "),
            });
        }
    }
    return found.sort((a, b) => a.time.localeCompare(b.time)).map(each => each.text);
}
