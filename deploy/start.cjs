/**
 * Starts the program that tools/bundle.mjs has made, from its compiled code. Code that was made by another version of Node.js or
 * for other flags is left aside by Node.js, and the program is compiled as usual.
 *
 * CommonJS, since the loader of ECMAScript modules would be most of what is left of the start.
 */
"use strict";
const { process } = globalThis;
const { existsSync, readFileSync } = process.getBuiltinModule("node:fs");
const { dirname, join } = process.getBuiltinModule("node:path");
const { Script } = process.getBuiltinModule("node:vm");

const file = join(dirname(process.argv[1]), "../target/node");
const cache = `${file}.cache`;
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
// The build links the pinned runtime, or that of the machine where the pinned one can't be started.
if (!process.execPath.includes(`node-linux-${process.arch}`)) {
    process.stderr.write(`event=startedOnOtherRuntime version=${process.version}\n`);
}
const script = new Script(readFileSync(`${file}.cjs`, "utf8"), { filename: `${file}.cjs`, cachedData });
if (script.cachedDataRejected !== false) {
    process.stderr.write("event=startedWithoutCompiledCode\n");
}
script.runInThisContext()(process.getBuiltinModule, process);
