/** Bytes that a process sends and receives over TCP, from the kernel's counts for each connection, read with `ss`. */
import { spawnSync } from "node:child_process";

/** Counts the bytes from its creation on; those of a connection between its last sample and its end are not seen. */
export class ConnectionBytes {
    private counts: ReadonlyMap<string, number>;
    private total = 0;

    constructor(private readonly pid: number) {
        this.counts = readCounts(pid);
    }

    /** Adds what has passed since the last sample. */
    addSample(): void {
        const counts = readCounts(this.pid);
        for (const [connection, bytes] of counts) {
            this.total += bytes - (this.counts.get(connection) ?? 0);
        }
        this.counts = counts;
    }

    /** Bytes sent and received through the last sample. */
    getTotal(): number {
        return this.total;
    }
}

/** Bytes sent and received so far on each open connection of a process, by the two addresses. */
function readCounts(pid: number): Map<string, number> {
    const counts = new Map<string, number>();
    // Each connection has a line with its addresses and its process, and an indented one with its counters.
    const lines = spawnSync("ss", ["-tinpH"], { maxBuffer: 2 ** 28 }).stdout.toString().split(/\n(?=\S)/);
    for (const line of lines.filter(each => each.includes(`pid=${pid},`))) {
        const [, , , local, remote] = line.split(/\s+/);
        const bytes = [...line.matchAll(/bytes_(?:sent|received):(\d+)/g)].map(match => Number(match[1]));
        counts.set(`${local} ${remote}`, bytes.reduce((sum, each) => sum + each, 0));
    }
    return counts;
}
