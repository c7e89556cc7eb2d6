#!/usr/bin/env -S node --max-semi-space-size=2
/**
 * The daemon: `turmericspoked --config node.toml`. Exit codes: 0 stopped gracefully, 1 failed to start, 2 invalid
 * arguments, settings or keys.
 *
 * The flag `--max-semi-space-size` limits the heap for new objects, in megabytes; it can't be set once the process
 * runs.
 */
import { parseArgs } from "node:util";
import { SystemClock } from "./process/base/clock.js";
import { formatKeyError, keyNames, readKeys } from "./process/base/keys.js";
import { Node } from "./process/node/node.js";
import { readSettings } from "./process/settings/settings.js";
import { formatSettingsError } from "./process/settings/settingsFile.js";
import { createLogger } from "./process/telemetry/logger.js";

const usage = "usage: turmericspoked --config FILE";

async function main(): Promise<void> {
    const file = readConfigArgument();
    if (file === undefined) {
        exitWith(2, usage);
    }
    const settings = readSettings(file);
    if (!settings.ok) {
        exitWith(2, formatSettingsError(settings.error));
    }
    const keys = readKeys(settings.value.keys);
    if (!keys.ok) {
        exitWith(2, `${file}: ${formatKeyError(keys.error)}`);
    }
    const clock = new SystemClock();
    const logger = createLogger(clock, settings.value.logging.level);
    for (const name of keyNames.filter(each => keys.value[each] === undefined)) {
        logger.warn("keyMissing", { key: name });
    }
    const node = new Node(settings.value, keys.value, clock, logger);
    try {
        await node.start();
    }
    catch (error) {
        logger.error("startFailed", { cause: (error as Error).message });
        process.exit(1);
    }
    let isStopping = false;
    const stop = (): void => {
        if (!isStopping) {
            isStopping = true;
            void node.stop().then(() => process.exit(0));
        }
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

function readConfigArgument(): string | undefined {
    try {
        return parseArgs({ options: { config: { type: "string" } } }).values.config;
    }
    catch {
        return undefined;
    }
}

function exitWith(code: number, message: string): never {
    process.stderr.write(message + "\n");
    process.exit(code);
}

await main();
