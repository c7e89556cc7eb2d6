/** Options, exit codes, output and access to the shared log for all commands of the command-line tool. */
import type { LogRecord, LogService } from "../../connection/logService.js";
import { createLogService } from "../../connection/signedLog.js";
import { memberReducer, memberStreamName } from "../../version/memberStream.js";
import { parseJson } from "../../version/schema.js";
import { isSnapshot } from "../../version/streamReducer.js";
import type { Keys } from "../base/keys.js";
import type { Result } from "../base/result.js";
import { createFailure, createSuccess } from "../base/result.js";

/** Exit codes. `unknown` means that an append may have taken effect, or that no log line of a request was found. */
export const exitCodes = {
    done: 0,
    internal: 1,
    usage: 2,
    conflict: 3,
    unavailable: 4,
    unknown: 5,
    wrongKey: 6,
} as const;

/** Time limit for one call to the log service, in milliseconds. */
const logTimeoutMs = 2000;

/** Options of every command. */
export interface ToolOptions {
    /** URL of the log service. */
    readonly log: string;
    readonly json: boolean;
    readonly keys: Keys;
}

/** Prints a result: `document` as JSON if the options ask for it, otherwise `lines`. */
export function printResult(options: ToolOptions, document: unknown, lines: readonly string[]): void {
    process.stdout.write(
        options.json ? `${JSON.stringify(document, undefined, 2)}\n` : lines.map(line => `${line}\n`).join(""),
    );
}

/** Prints an error to standard error and returns the exit code. */
export function printError(code: number, message: string): number {
    process.stderr.write(`${message}\n`);
    return code;
}

/** Creates the client of the log service, which signs and verifies records if the tool has their key. */
export function createLogClient(options: ToolOptions): LogService {
    return createLogService(options.log, logTimeoutMs, options.keys.records);
}

/**
 * Creates the client of the shared log for an append. Nodes ignore records that are signed with another key than
 * theirs, so the client is returned only if the tool's key verifies a record of the `members` stream, or if the stream
 * is empty. Otherwise prints the error and fails with the exit code.
 */
export async function openLogForAppend(options: ToolOptions): Promise<Result<LogService, number>> {
    const log = createLogClient(options);
    const page = await log.read(memberStreamName, 0);
    if (!page.ok) {
        return createFailure(
            printError(exitCodes.unavailable, `cannot read the shared log (${page.error.kind}): ${page.error.message}`),
        );
    }
    const { records } = page.value;
    if (records.length > 0 && !records.some(isReadableRecord)) {
        return createFailure(
            printError(
                exitCodes.wrongKey,
                "the records key verifies none of the member records on the shared log; use the key of the nodes",
            ),
        );
    }
    return createSuccess(log);
}

/** Whether a record of the `members` stream can be read with the tool's key. */
function isReadableRecord(record: LogRecord): boolean {
    const body = parseJson(record.body);
    return isSnapshot(body) || memberReducer.parseRecord(body) !== undefined;
}
