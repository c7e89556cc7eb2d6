/**
 * Formats the TypeScript and JavaScript sources by the rules of dprint.json; with `--check` it writes nothing, names the
 * files that differ and exits 1. The formatter runs as WebAssembly, so the lockfile holds no package of one platform.
 *
 * Usage: node tools/format.mjs [--check]
 */
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";

const folders = ["src", "platform", "standin", "bench", "test", "tools"];
const isOnlyCheck = process.argv.includes("--check");

const { typescript, ...globalConfiguration } = JSON.parse(readFileSync("dprint.json", "utf8"));
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig(globalConfiguration, typescript);
for (const { propertyName, message } of formatter.getConfigDiagnostics()) {
    throw new Error(`dprint.json: ${propertyName}: ${message}`);
}

const differing = listSources().filter(formatFile);
process.stdout.write(differing.map(path => `${isOnlyCheck ? "not formatted" : "formatted"}: ${path}\n`).join(""));
process.exit(isOnlyCheck && differing.length > 0 ? 1 : 0);

function listSources() {
    const nested = folders.flatMap(folder => readdirSync(folder, { recursive: true }).map(path => `${folder}/${path}`));
    return [...readdirSync("."), ...nested].filter(path => /\.(ts|mjs)$/.test(path));
}

/** Returns whether the file differs from its formatted text. */
function formatFile(path) {
    const fileText = readFileSync(path, "utf8");
    const formatted = formatter.formatText({ filePath: path, fileText });
    if (formatted !== fileText && !isOnlyCheck) {
        writeFileSync(path, formatted);
    }
    return formatted !== fileText;
}
