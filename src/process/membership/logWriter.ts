/**
 * Log output of a routed node: one line of key=value pairs for each event, to standard output.
 *
 * Lines are buffered and written a few times a second, so a request never waits for its line. Lines above the allowed
 * rate, and lines logged while the reader of the output does not keep up, are dropped. A `linesDropped` event reports
 * their number.
 */
import type { Clock } from "../base/clock.js";
import type { LogFields, Logger, LogLevel } from "../telemetry/logger.js";
import { formatLogLine, logLevels } from "../telemetry/logger.js";

/** Most lines that are accepted in a second; further ones are dropped. */
const maxLinesPerSecond = 400;
/** Time from the first buffered line to the write of the buffer, in milliseconds. */
const flushMs = 100;
/** Unread bytes in the output stream at which lines are dropped. The lines buffered by `LogWriter` don't count. */
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
    private rateWindowStartedAt = 0;
    private linesInRateWindow = 0;
    private isFlushScheduled = false;
    private readonly minLevelIndex: number;

    constructor(private readonly clock: Clock, private readonly sink: LogSink, level: LogLevel) {
        this.minLevelIndex = logLevels.indexOf(level);
    }

    /** Logger whose events this writer writes. */
    getLogger(): Logger {
        const createLogMethod = (level: LogLevel) => (event: string, fields?: LogFields): void =>
            this.addEvent(level, event, fields);
        return {
            debug: createLogMethod("debug"),
            info: createLogMethod("info"),
            warn: createLogMethod("warn"),
            error: createLogMethod("error"),
        };
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

    private addEvent(level: LogLevel, event: string, fields: LogFields = {}): void {
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

    /** Counts a line and returns whether it may be written. */
    private admitLine(): boolean {
        const now = this.clock.readMonotonic();
        if (now - this.rateWindowStartedAt >= 1000) {
            this.rateWindowStartedAt = now;
            this.linesInRateWindow = 0;
        }
        this.linesInRateWindow += 1;
        return this.linesInRateWindow <= maxLinesPerSecond && this.sink.writableLength < maxBufferedBytes;
    }
}
