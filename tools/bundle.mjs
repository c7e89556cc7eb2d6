/**
 * Joins the routed node's compiled modules and the libraries that they use into one file, and compiles it ahead. A fresh
 * process then reads two files, where it found, read and compiled some ninety, which was more than half of its start.
 *
 * Run with `node tools/bundle.mjs ENTRY OUTPUT DEPLOYMENT`, after the compiler: writes OUTPUT.cjs, a CommonJS program, and
 * OUTPUT.cache, its compiled code, for the runtime and the flags that the program is run with by DEPLOYMENT. What is imported dynamically is in
 * the file too, and is evaluated when it is asked for. Modules of Node.js stay imports. The runtime is linked beside OUTPUT.
 */
import { buildSync } from "esbuild";
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { basename, dirname, join, resolve } from "node:path";
import process from "node:process";
import { parse as parseToml } from "smol-toml";
import { linkRuntime } from "./runtime.mjs";

/** Joins a program's modules; the result is an expression of a function that takes what CommonJS modules are given. */
function bundle(entry) {
    const options = {
        bundle: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        write: false,
        logLevel: "warning",
    };
    const [file] = buildSync({ ...options, entryPoints: [entry] }).outputFiles;
    return `(require, process) => {\nconst module = { exports: {} };\n${file.text}\n}\n`;
}

/** Compiles a program as a process with these flags does, all its functions at once; code made for other flags is not taken. */
function compileAhead(runtime, flags, file) {
    const script = `
        const { readFileSync, writeFileSync } = require("node:fs");
        const { setFlagsFromString } = require("node:v8");
        const { Script } = require("node:vm");
        const text = readFileSync(${JSON.stringify(`${file}.cjs`)}, "utf8");
        setFlagsFromString("--no-lazy");
        const script = new Script(text);
        setFlagsFromString("--lazy");
        writeFileSync(${JSON.stringify(`${file}.cache`)}, script.createCachedData());
    `;
    const { status } = spawnSync(runtime, [...flags, "-e", script], { stdio: "inherit" });
    return status ?? 1;
}

/** Path at which a deployment expects Node.js, and the flags with which it runs its program. */
function readCommand(deployment) {
    const { run } = parseToml(readFileSync(deployment, "utf8")).roles.node;
    const [link, ...words] = run.split(" ");
    return { link, flags: words.filter(word => word.startsWith("-")) };
}

const [entry, output, deployment] = process.argv.slice(2);
const { link, flags } = readCommand(deployment);
writeFileSync(`${output}.cjs`, bundle(entry));
const runtime = linkRuntime(join(dirname(output), basename(link)));
process.exitCode = compileAhead(runtime, flags, resolve(output));
