/**
 * Joins the routed node's compiled modules and the libraries that they use into one file, and compiles it ahead. A fresh
 * process then reads two files, where it found, read and compiled some ninety, which was more than half of its start.
 *
 * Run with `node tools/bundle.mjs ENTRY OUTPUT DEPLOYMENT`, after the compiler: writes OUTPUT.cjs, a CommonJS program, and
 * OUTPUT.cache, its compiled code, for the flags that the program is run with by DEPLOYMENT. What is imported dynamically is in
 * the file too, and is evaluated when it is asked for. Modules of Node.js stay imports.
 */
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { builtinModules, createRequire } from "node:module";
import { dirname, join, resolve } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parse as parseToml } from "smol-toml";
import ts from "typescript";

const builtins = new Set([...builtinModules, ...builtinModules.map(name => `node:${name}`)]);
const compilerOptions = { module: ts.ModuleKind.CommonJS, target: ts.ScriptTarget.ES2022, esModuleInterop: true };

/** Whether Node.js takes a file as an ECMAScript module. */
function isModuleFile(file) {
    if (!file.endsWith(".js")) {
        return file.endsWith(".mjs");
    }
    for (let folder = dirname(file); folder !== dirname(folder); folder = dirname(folder)) {
        const description = join(folder, "package.json");
        if (existsSync(description)) {
            return JSON.parse(readFileSync(description, "utf8")).type === "module";
        }
    }
    return false;
}

/** Finds the file that an import means. A library has another file for modules, found from this tool, at the same root. */
function resolveImport(specifier, importer, isModule) {
    return isModule && !specifier.startsWith(".")
        ? fileURLToPath(import.meta.resolve(specifier))
        : createRequire(importer).resolve(specifier);
}

/** Adds a file and what it imports to `modules`, and returns its number in the bundle. */
function addModule(modules, file) {
    const known = modules.get(file);
    if (known !== undefined) {
        return known.number;
    }
    const module = { number: modules.size, code: "" };
    modules.set(file, module);
    const text = readFileSync(file, "utf8");
    const isModule = isModuleFile(file);
    const code = isModule ? ts.transpileModule(text, { compilerOptions }).outputText : text;
    module.code = code.replace(
        /\brequire\((["'])([^"']+)\1\)/g,
        (call, _quote, specifier) =>
            builtins.has(specifier) ? call : `load(${addModule(modules, resolveImport(specifier, file, isModule))})`,
    );
    return module.number;
}

/** Program of the modules; the first is evaluated at once, the others when they are imported. */
function formatProgram(modules) {
    const bodies = [...modules.values()].map(({ code }) => `(module, exports) => {\n${code}\n}`);
    return `(require, process) => {
"use strict";
const loaded = [];
function load(number) {
    const known = loaded[number];
    if (known !== undefined) {
        return known.exports;
    }
    const module = { exports: {} };
    loaded[number] = module;
    bodies[number](module, module.exports);
    return module.exports;
}
const bodies = [
${bodies.join(",\n")}
];
load(0);
}
`;
}

/** Compiles a program as a process with these flags does, all its functions at once; code made for other flags is not taken. */
function compileAhead(flags, file) {
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
    const { status } = spawnSync(process.execPath, [...flags, "-e", script], { stdio: "inherit" });
    return status ?? 1;
}

/** Flags of Node.js with which a deployment runs its program. */
function readFlags(deployment) {
    const { run } = parseToml(readFileSync(deployment, "utf8")).roles.node;
    return run.split(" ").slice(1).filter(word => word.startsWith("-"));
}

const [entry, output, deployment] = process.argv.slice(2);
const modules = new Map();
addModule(modules, resolve(entry));
writeFileSync(`${output}.cjs`, formatProgram(modules));
process.exitCode = compileAhead(readFlags(deployment), resolve(output));
