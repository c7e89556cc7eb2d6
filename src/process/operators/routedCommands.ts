/** Commands of the command-line tool for routed nodes: checks of files, and the log lines of a request. */
import { readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import {
    formatConfigurationError,
    formatConfigurationWarning,
    parseConfiguration,
} from "../../version/configuration.js";
import { readRoutedSettings } from "../settings/routedSettings.js";
import { formatSettingsError } from "../settings/settingsFile.js";
import { findRequestLines } from "./explain.js";
import { exitCodes } from "./tool.js";

/**
 * `check KIND FILE`: checks a file and prints the first error in it, or all warnings. Returns the exit code. With
 * `isStrict` warnings count as errors.
 */
export function checkFile(kind: "settings" | "configuration", file: string, isStrict: boolean): number {
    const { problem, warnings } = kind === "settings" ? checkSettings(file) : checkConfiguration(file);
    process.stdout.write(warnings.map(warning => `${file}: warning: ${warning}\n`).join(""));
    process.stdout.write(problem === undefined ? `${file}: valid\n` : `${problem}\n`);
    return problem === undefined && (!isStrict || warnings.length === 0) ? exitCodes.done : exitCodes.usage;
}

/** `explain ATTEMPT`: prints the log lines of a request and of its calls. Returns the exit code. */
export async function printRequestLines(attemptId: string, input: NodeJS.ReadableStream): Promise<number> {
    const lines: string[] = [];
    for await (const line of createInterface({ input })) {
        if (line.includes(attemptId)) {
            lines.push(line);
        }
    }
    const requestLines = findRequestLines(attemptId, lines);
    process.stdout.write(
        requestLines.map(line => `${line}\n`).join("") || `no log line of request ${attemptId} found\n`,
    );
    return requestLines.length === 0 ? exitCodes.unknown : exitCodes.done;
}

/** Result of a check; `problem` is the first error. */
interface CheckResult {
    readonly problem: string | undefined;
    readonly warnings: readonly string[];
}

function checkSettings(file: string): CheckResult {
    const settings = readRoutedSettings(file);
    return { problem: settings.ok ? undefined : formatSettingsError(settings.error), warnings: [] };
}

function checkConfiguration(file: string): CheckResult {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return { problem: `${file}: ${(error as Error).message}`, warnings: [] };
    }
    const parsed = parseConfiguration(text);
    return parsed.ok
        ? { problem: undefined, warnings: parsed.value.warnings.map(formatConfigurationWarning) }
        : { problem: `${file}: ${formatConfigurationError(parsed.error)}`, warnings: [] };
}
