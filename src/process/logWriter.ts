/**
 * Log output of a routed node: one line of key=value pairs for each event, to standard output.
 *
 * Lines are buffered and written a few times a second, so a request never waits for its line. Above a rate of lines, or while
 * the reader of the output does not keep up, lines are dropped and a `linesDropped` event reports their number.
 */
import type { Clock } from "./clock.js";
import type { LogFields, Logger, LogLevel } from "./logger.js";
import { formatLogLine, logLevels } from "./logger.js";

/** Most lines that are written in a second. */
const maxLinesPerSecond = 400;
/** Time from the first buffered line to the write of the buffer, in milliseconds. */
const flushMs = 100;
/** Bytes waiting for the reader of the output from which lines are dropped. */
const maxBufferedBytes = 262_144;

/** Output stream that the lines are written to. */
export interface LogSink {
    readonly writableLength: number;
    write(text: string): unknown;
}

/** Buffers log lines and bounds their rate. Events below the level are left out. */
export class LogWriter {
    private lines: string[] = [];
    private droppedLines = 0;
    private secondStartedAt = 0;
    private linesInSecond = 0;
    private isFlushScheduled = false;
    private readonly minLevelIndex: number;

    constructor(private readonly clock: Clock, private readonly sink: LogSink, level: LogLevel) {
        this.minLevelIndex = logLevels.indexOf(level);
    }

    /** Logger whose events this writer writes. */
    getLogger(): Logger {
        const write = (level: LogLevel) => (event: string, fields?: LogFields): void => this.add(level, event, fields);
        return { debug: write("debug"), info: write("info"), warn: write("warn"), error: write("error") };
    }

    /** Writes the buffered lines at once, as needed before the process exits. */
    flush(): void {
        this.isFlushScheduled = false;
        if (this.droppedLines > 0 && this.sink.writableLength < maxBufferedBytes) {
            this.lines.push(formatLogLine(this.clock.readDate(), "warn", "linesDropped", { count: this.droppedLines }));
            this.droppedLines = 0;
        }
        if (this.lines.length > 0) {
            this.sink.write(this.lines.join("\n") + "\n");
            this.lines = [];
        }
    }

    private add(level: LogLevel, event: string, fields: LogFields = {}): void {
        if (logLevels.indexOf(level) < this.minLevelIndex) {
            return;
        }
        if (!this.admitLine()) {
            this.droppedLines += 1;
            return;
        }
        this.lines.push(formatLogLine(this.clock.readDate(), level, event, fields));
        if (!this.isFlushScheduled) {
            this.isFlushScheduled = true;
            setTimeout(() => this.flush(), flushMs).unref();
        }
    }

    private admitLine(): boolean {
        const now = this.clock.readMonotonic();
        if (now - this.secondStartedAt >= 1000) {
            this.secondStartedAt = now;
            this.linesInSecond = 0;
        }
        this.linesInSecond += 1;
        return this.linesInSecond <= maxLinesPerSecond && this.sink.writableLength < maxBufferedBytes;
    }
}
