/** Installs the locked packages if they are missing or older than the lockfile, so that each command works on a fresh machine. */
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";
import process from "node:process";

const installed = "node_modules/.package-lock.json";
const isInstalled = existsSync(installed) && statSync(installed).mtimeMs >= statSync("package-lock.json").mtimeMs;
if (!isInstalled) {
    const result = spawnSync("npm", ["ci", "--ignore-scripts"], { stdio: "inherit" });
    process.exit(result.status ?? 1);
}
