/** Helpers for processes that tests and benches start and talk to. */
import type { ChildProcess } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { request } from "undici";

/** Waits. */
export function sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Sends a JSON document and fails unless it is taken. */
export async function postJson(url: string, body: unknown): Promise<unknown> {
    const reply = await request(url, { method: "POST", body: JSON.stringify(body) });
    const text = await reply.body.text();
    if (reply.statusCode !== 200) {
        throw new Error(`${url}: status ${reply.statusCode} ${text}`);
    }
    return JSON.parse(text) as unknown;
}

/** Waits until a process ends and returns its exit code. */
export function waitForExit(child: ChildProcess): Promise<number | null> {
    return new Promise(resolve => {
        if (child.exitCode !== null || child.signalCode !== null) {
            resolve(child.exitCode);
            return;
        }
        child.once("exit", code => resolve(code));
    });
}

/** Waits until a condition holds. */
export async function waitFor(isTrue: () => Promise<boolean>, timeoutMs: number, what: string): Promise<void> {
    const giveUpAt = performance.now() + timeoutMs;
    while (!await isTrue()) {
        if (performance.now() > giveUpAt) {
            throw new Error(`waited ${timeoutMs} ms in vain for ${what}`);
        }
        await sleep(50);
    }
}

/** Waits until a process has printed a line. */
export function waitForLine(child: ChildProcess, line: string): Promise<void> {
    return new Promise((resolve, reject) => {
        child.stdout?.on("data", (chunk: Buffer) => {
            if (chunk.toString().includes(line)) {
                resolve();
            }
        });
        child.once("exit", code => reject(new Error(`the process ended with ${code} before it was ready`)));
    });
}

/** Most memory that a process has taken so far, in bytes. */
export function readPeakMemoryBytes(pid: number): number {
    return 1024 * Number(/^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))![1]);
}

/** Descriptors that a process has open. */
export function countDescriptors(pid: number): number {
    return readdirSync(`/proc/${pid}/fd`).length;
}
