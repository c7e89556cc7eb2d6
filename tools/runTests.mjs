/**
 * Runs the built tests with mocha. Failures that KNOWN-RED.txt lists are printed and passed over; any other failure fails
 * the run. An entry of KNOWN-RED.txt starts with a line `test: FULL TITLE`.
 *
 * Usage: node tools/runTests.mjs [PATTERN], where PATTERN picks tests by their full title.
 */
import Mocha from "mocha";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import process from "node:process";

const knownReds = existsSync("KNOWN-RED.txt")
    ? [...readFileSync("KNOWN-RED.txt", "utf8").matchAll(/^test: (.+)$/gm)].map(match => match[1])
    : [];
const mocha = new Mocha({ timeout: 90_000, forbidOnly: true, forbidPending: true, reporter: "spec" });
for (const file of readdirSync("dist/test", { recursive: true }).sort()) {
    if (file.endsWith(".test.js")) {
        mocha.addFile(`dist/test/${file}`);
    }
}
if (process.argv[2] !== undefined) {
    mocha.grep(process.argv[2]);
}
await mocha.loadFilesAsync();
let passed = 0;
const failures = [];
mocha.run(() => finish())
    .on("pass", () => passed += 1)
    .on("fail", test => failures.push(test.fullTitle()));

function finish() {
    const known = failures.filter(title => knownReds.includes(title));
    const unexpected = failures.filter(title => !knownReds.includes(title));
    for (const title of known) {
        process.stdout.write(`known red: ${title}\n`);
    }
    process.stdout.write(`${passed} passed, ${unexpected.length} failed\n`);
    process.exit(unexpected.length === 0 && passed > 0 ? 0 : 1);
}
