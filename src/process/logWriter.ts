/**
 * The log of a routed node: one line of key=value pairs for each event, to standard output.
 *
 * Lines are collected and written a few times a second. Beyond a rate, or while the reader does not keep up, lines are counted
 * instead of written, and the count is told; a request never waits for its line.
 */
import type { Clock } from "./clock.js";
import type { LogFields, Logger, LogLevel } from "./logger.js";
import { formatLogLine, logLevels } from "./logger.js";

/** Lines that are written in a second at most. */
const maxLinesPerSecond = 400;
/** Time between writes, in milliseconds. */
const flushMs = 100;
/** Bytes that may wait for the reader. */
const maxWaitingBytes = 262_144;

/** Where the lines go. */
export interface LogSink {
    readonly writableLength: number;
    write(text: string): unknown;
}

/** Bounded, buffered logger. */
export class LogWriter {
    private lines: string[] = [];
    private dropped = 0;
    private secondStart = 0;
    private linesInSecond = 0;
    private isScheduled = false;
    private readonly minimum: number;

    constructor(private readonly clock: Clock, private readonly sink: LogSink, level: LogLevel) {
        this.minimum = logLevels.indexOf(level);
    }

    /** The levels as functions. */
    getLogger(): Logger {
        const write = (level: LogLevel) => (event: string, fields?: LogFields): void => this.add(level, event, fields);
        return { debug: write("debug"), info: write("info"), warn: write("warn"), error: write("error") };
    }

    /** Writes what is collected. */
    flush(): void {
        this.isScheduled = false;
        if (this.dropped > 0 && this.sink.writableLength < maxWaitingBytes) {
            this.lines.push(formatLogLine(this.clock.readDate(), "warn", "linesDropped", { count: this.dropped }));
            this.dropped = 0;
        }
        if (this.lines.length > 0) {
            this.sink.write(this.lines.join("\n") + "\n");
            this.lines = [];
        }
    }

    private add(level: LogLevel, event: string, fields: LogFields = {}): void {
        if (logLevels.indexOf(level) < this.minimum) {
            return;
        }
        if (!this.takeLine()) {
            this.dropped += 1;
            return;
        }
        this.lines.push(formatLogLine(this.clock.readDate(), level, event, fields));
        if (!this.isScheduled) {
            this.isScheduled = true;
            setTimeout(() => this.flush(), flushMs).unref();
        }
    }

    private takeLine(): boolean {
        const now = this.clock.readMonotonic();
        if (now - this.secondStart >= 1000) {
            this.secondStart = now;
            this.linesInSecond = 0;
        }
        this.linesInSecond += 1;
        return this.linesInSecond <= maxLinesPerSecond && this.sink.writableLength < maxWaitingBytes;
    }
}
