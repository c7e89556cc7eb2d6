/** Structured log output: one line of key=value pairs for each event. The daemon writes it through loglevel. */
import loglevel from "loglevel";
import type { Clock } from "../base/clock.js";

/** Levels that the settings accept, from most to least verbose. */
export const logLevels = ["trace", "debug", "info", "warn", "error", "silent"] as const;
/** One of {@link logLevels}. */
export type LogLevel = (typeof logLevels)[number];
/** Fields of one event. Fields that are `undefined` are left out of the line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log events. The event name is a fixed string; everything that varies goes into the fields. */
export interface Logger {
    debug(event: string, fields?: LogFields): void;
    info(event: string, fields?: LogFields): void;
    warn(event: string, fields?: LogFields): void;
    error(event: string, fields?: LogFields): void;
}

/** Values that match are written in quotes; all others are written as they are. */
const quotedValuePattern = /[\s="\\]|^$/;

/** Formats one event as `time=… level=… event=… key=value …`. */
export function formatLogLine(date: Date, level: string, event: string, fields: LogFields = {}): string {
    const parts = [`time=${date.toISOString()}`, `level=${level}`, `event=${event}`];
    for (const [key, value] of Object.entries(fields)) {
        if (value !== undefined) {
            parts.push(`${key}=${formatValue(value)}`);
        }
    }
    return parts.join(" ");
}

function formatValue(value: string | number | boolean): string {
    const text = String(value);
    return quotedValuePattern.test(text) ? JSON.stringify(text) : text;
}

/** Creates a logger that writes to standard error and adds `commonFields` to every line. */
export function createLogger(clock: Clock, level: LogLevel, commonFields: LogFields = {}): Logger {
    const loglevelLogger = loglevel.getLogger(Symbol("turmericspoke"));
    loglevelLogger.methodFactory = () => (line: string) => {
        process.stderr.write(line + "\n");
    };
    loglevelLogger.setLevel(level, false);
    const createLogMethod =
        (name: "debug" | "info" | "warn" | "error") => (event: string, fields?: LogFields): void => {
            loglevelLogger[name](formatLogLine(clock.readDate(), name, event, { ...commonFields, ...fields }));
        };
    return {
        debug: createLogMethod("debug"),
        info: createLogMethod("info"),
        warn: createLogMethod("warn"),
        error: createLogMethod("error"),
    };
}
