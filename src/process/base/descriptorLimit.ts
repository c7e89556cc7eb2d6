/** Limit of the descriptors that the system lets a process open. */
import { readFileSync } from "node:fs";

/** Limit that is assumed where the system doesn't tell. */
const usualLimit = 4096;

/** Reads the limit of this process's open descriptors. */
export function readDescriptorLimit(): number {
    try {
        const limit = /^Max open files +(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8"))?.[1];
        return limit === undefined ? usualLimit : Number(limit);
    }
    catch {
        return usualLimit;
    }
}
