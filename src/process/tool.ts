/** What all commands of the command-line tool share: options, exit codes, output, and access to the log. */
import type { LogRecord, LogService } from "../connection/logService.js";
import { createLogService } from "../connection/signedLog.js";
import { memberReducer, memberStreamName } from "../version/memberStream.js";
import { parseJson } from "../version/schema.js";
import { isSnapshot } from "../version/streamReducer.js";
import type { Keys } from "./keys.js";
import type { Result } from "./result.js";
import { createFailure, createSuccess } from "./result.js";

/** Exit codes of the tool. */
export const exitCodes = {
    done: 0,
    internal: 1,
    usage: 2,
    conflict: 3,
    unavailable: 4,
    unknown: 5,
    wrongKey: 6,
} as const;

/** Time for one call to the log service, in milliseconds. */
const logTimeoutMs = 2000;

/** Options of every command. */
export interface ToolOptions {
    readonly log: string;
    readonly json: boolean;
    readonly keys: Keys;
}

/** Prints a result: as JSON, or as lines for a person. */
export function print(options: ToolOptions, document: unknown, lines: readonly string[]): void {
    process.stdout.write(
        options.json ? `${JSON.stringify(document, undefined, 2)}\n` : lines.map(line => `${line}\n`).join(""),
    );
}

/** Prints what went wrong and returns the exit code. */
export function printError(code: number, message: string): number {
    process.stderr.write(`${message}\n`);
    return code;
}

/** Creates the client of the log service with the tool's key. */
export function createLog(options: ToolOptions): LogService {
    return createLogService(options.log, logTimeoutMs, options.keys.records);
}

/**
 * Opens the log for an append, once it is sure that the nodes will take the record: the tool's key has to fit some record of
 * the nodes themselves. Prints why it can't, and fails with the exit code.
 */
export async function createCheckedLog(options: ToolOptions): Promise<Result<LogService, number>> {
    const log = createLog(options);
    const page = await log.read(memberStreamName, 0);
    if (!page.ok) {
        return createFailure(printError(exitCodes.unavailable, `${page.error.kind}: ${page.error.message}`));
    }
    const { records } = page.value;
    if (records.length > 0 && !records.some(isReadable)) {
        return createFailure(printError(exitCodes.wrongKey, "the key of the records does not fit those on the log"));
    }
    return createSuccess(log);
}

/** Whether a record of the `members` stream can be read with the key at hand. */
function isReadable(record: LogRecord): boolean {
    const body = parseJson(record.body);
    return isSnapshot(body) || memberReducer.parseRecord(body) !== undefined;
}
