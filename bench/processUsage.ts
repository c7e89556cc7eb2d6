/** Processor time and memory of other processes, from the kernel's process files. */
import { readFileSync } from "node:fs";

/** Clock ticks a second in the kernel's process files. */
const ticksPerSecond = 100;
const pageBytes = 4096;

/** Usage of one process. */
export interface ProcessUsage {
    /** Processor time since its start, in milliseconds. */
    readonly cpuMs: number;
    readonly residentBytes: number;
}

/** Processor time of the machine since its start, in clock ticks. */
export interface MachineTime {
    readonly total: number;
    /** Taken by other machines of the same host. */
    readonly stolen: number;
}

/** Reads the processor time of the machine. */
export function readMachineTime(): MachineTime {
    const ticks = readFileSync("/proc/stat", "utf8").split("\n")[0]!.trim().split(/\s+/).slice(1, 9).map(Number);
    return { total: ticks.reduce((sum, each) => sum + each, 0), stolen: ticks[7]! };
}

/** Reads the usage of a process; zeros when it is gone. */
export function readUsage(pid: number | undefined): ProcessUsage {
    try {
        const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
        const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
        const ticks = Number(fields[11]) + Number(fields[12]);
        const residentPages = Number(readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1]);
        return { cpuMs: ticks * 1000 / ticksPerSecond, residentBytes: residentPages * pageBytes };
    }
    catch {
        return { cpuMs: 0, residentBytes: 0 };
    }
}
