/** Tells the story of one request from the logs of all nodes: its own lines and those of the calls that it led to. */

/** One line of a log, with its time and its fields. */
interface StoryLine {
    readonly time: string;
    readonly text: string;
}

/** Names of the fields that stand on each line and are printed apart. */
const linePattern = /\btime=(\S+) level=(\S+) event=(\S+)\s?(.*)$/;

/** Picks the lines of a request and of its calls, in order of time. Calls name their request's attempt first. */
export function findRequestLines(attempt: string, lines: Iterable<string>): string[] {
    const story: StoryLine[] = [];
    for (const line of lines) {
        const request = /\brequest=(\S+)/.exec(line)?.[1];
        const parsed = linePattern.exec(line);
        if (parsed !== null && (request === attempt || request?.startsWith(`${attempt}.`) === true)) {
            const [, time, level, event, rest] = parsed;
            const where = line.slice(0, parsed.index).trim();
            story.push({ time: time!, text: [time, where, level, event, rest].filter(each => each !== "").join(" ") });
        }
    }
    return story.sort((a, b) => a.time.localeCompare(b.time)).map(each => each.text);
}
