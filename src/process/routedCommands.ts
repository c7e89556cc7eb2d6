/** Commands of the command-line tool for routed nodes: checks of files, and the log lines of a request. */
import { readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { formatConfigurationError, parseConfiguration } from "../version/configuration.js";
import { findRequestLines } from "./explain.js";
import { readRoutedSettings } from "./routedSettings.js";
import { formatSettingsError } from "./settingsFile.js";
import { exitCodes } from "./tool.js";

/** `check KIND FILE`: checks a file and prints the first error in it. Returns the exit code. */
export function checkFile(kind: "settings" | "configuration", file: string): number {
    const problem = kind === "settings" ? findSettingsProblem(file) : findConfigurationProblem(file);
    process.stdout.write(problem === undefined ? `${file}: valid\n` : `${problem}\n`);
    return problem === undefined ? exitCodes.done : exitCodes.usage;
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

function findSettingsProblem(file: string): string | undefined {
    const settings = readRoutedSettings(file);
    return settings.ok ? undefined : formatSettingsError(settings.error);
}

function findConfigurationProblem(file: string): string | undefined {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return `${file}: ${(error as Error).message}`;
    }
    const parsed = parseConfiguration(text);
    return parsed.ok ? undefined : `${file}: ${formatConfigurationError(parsed.error)}`;
}
