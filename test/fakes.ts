/** Small fakes at the interfaces of the product. */
import type { LogError, LogPage, LogService } from "../src/connection/logService.js";
import type { Clock, Timer } from "../src/process/base/clock.js";
import type { Result } from "../src/process/base/result.js";
import { createFailure, createSuccess } from "../src/process/base/result.js";
import { Directory, unknownOffsets } from "../src/process/membership/directory.js";
import type { Logger } from "../src/process/telemetry/logger.js";
import type { Call } from "../src/request/call.js";
import { RetryBudget } from "../src/request/retryBudget.js";
import type { Contract } from "../src/version/contract.js";
import type { Member } from "../src/version/member.js";

/** Clock that stands still until a test moves it. */
export class FakeClock implements Clock {
    private now = 1_000_000;
    private readonly startedAt = this.now;
    /** In the order in which they expire. */
    private timers: { readonly at: number; readonly expire: () => void; }[] = [];

    readMonotonic(): number {
        return this.now;
    }

    readDate(): Date {
        return new Date(this.now);
    }

    readProcessStart(): number {
        return this.startedAt;
    }

    startTimer(milliseconds: number, expire: () => void): Timer {
        const timer = { at: this.now + milliseconds, expire };
        const next = this.timers.findIndex(each => each.at > timer.at);
        this.timers.splice(next === -1 ? this.timers.length : next, 0, timer);
        return { stop: () => this.timers = this.timers.filter(each => each !== timer) };
    }

    async sleep(milliseconds: number): Promise<void> {
        this.addTime(milliseconds);
        await Promise.resolve();
    }

    sleepToTick(milliseconds: number): Promise<void> {
        return this.sleep(milliseconds);
    }

    /** Moves the time forward; timers that are due expire in their order. */
    addTime(milliseconds: number): void {
        const end = this.now + milliseconds;
        for (;;) {
            const next = this.timers[0];
            if (next === undefined || next.at > end) {
                break;
            }
            this.timers.shift();
            this.now = Math.max(this.now, next.at);
            next.expire();
        }
        this.now = end;
    }
}

/** What the next append on a {@link FakeLog} does. */
export type AppendFault = "none" | "unavailable" | "answerLost" | "answerLostWithoutEffect";

/** Log service in memory. */
export class FakeLog implements LogService {
    readonly streams = new Map<string, string[]>();
    readonly faults: AppendFault[] = [];
    first = 0;
    isDown = false;
    /** Runs before an append takes effect, for instance to let another writer go first. */
    beforeAppend: (() => void) | undefined;

    async append(stream: string, body: string): Promise<Result<number, LogError>> {
        const fault = this.faults.shift() ?? "none";
        if (this.isDown || fault === "unavailable") {
            return createFailure({ kind: "unavailable", message: "down" });
        }
        const hook = this.beforeAppend;
        this.beforeAppend = undefined;
        hook?.();
        if (fault === "answerLostWithoutEffect") {
            return createFailure({ kind: "answerLost", message: "cut" });
        }
        const offset = this.write(stream, body);
        return fault === "answerLost" ? createFailure({ kind: "answerLost", message: "cut" }) : createSuccess(offset);
    }

    async read(stream: string, from: number): Promise<Result<LogPage, LogError>> {
        if (this.isDown) {
            return createFailure({ kind: "unavailable", message: "down" });
        }
        return createSuccess(this.createPage(stream, from));
    }

    /** Appends without faults. */
    write(stream: string, body: string): number {
        const records = this.streams.get(stream) ?? [];
        this.streams.set(stream, records);
        records.push(body);
        return records.length - 1;
    }

    /** Page of what is kept from an offset on. */
    createPage(stream: string, from: number): LogPage {
        const bodies = this.streams.get(stream) ?? [];
        const records = bodies
            .map((body, offset) => ({ offset, at: offset, body }))
            .filter(record => record.offset >= Math.max(from, this.first));
        return { first: this.first, next: bodies.length, records };
    }
}

/** Logger that drops everything. */
export const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

/** Options of drawn tests: fixed, so that each run has the same verdict; SEED and RUNS draw others. */
export function readPropertyOptions(numRuns: number): { readonly seed: number; readonly numRuns: number; } {
    return { seed: Number(process.env["SEED"] ?? 20261203), numRuns: Number(process.env["RUNS"] ?? numRuns) };
}

/** Contract for tests; `change` replaces whole sections. */
export function createContract(customer: string, change: Partial<Contract> = {}): Contract {
    return {
        customer,
        allowance: { requestsPerSecond: 5000, burst: 5000 },
        retries: { bound: 4, resendWindowSeconds: 60 },
        classes: {
            browse: { worth: 20, idempotent: true, deadlineMilliseconds: 2000 },
            advance: { worth: 80, idempotent: false, deadlineMilliseconds: 2000 },
            lookup: { worth: 50, idempotent: true, deadlineMilliseconds: 1000 },
        },
        ...change,
    };
}

/** Member at 127.0.0.`host`. */
export function createMember(service: string, host: number): Member {
    return {
        address: `127.0.0.${host}`,
        peerPort: 7003,
        controlPort: 7004,
        adminPort: 7005,
        service,
        dataCentre: "klaten",
        incarnation: 1,
    };
}

/** Directory of a node that knows the other members as alive. */
export function createDirectory(clock: Clock, self: Member, others: readonly Member[]): Directory {
    const describe = (member: Member) => ({ member, health: "alive", refutation: 0, offsets: unknownOffsets }) as const;
    const directory = new Directory(clock, describe(self));
    others.forEach(member => directory.mergeUpdate(describe(member)));
    return directory;
}

/** Idempotent call inside a chain. `deadline` is monotonic, in milliseconds. */
export function createCall(deadline: number): Call {
    return {
        context: {
            key: "clerks/a",
            attempt: 1,
            customer: "clerks",
            actionClass: "certificate",
            priority: 90 * 128,
            resendWindowMs: 60_000,
            issuedAt: 0,
        },
        service: "katalog",
        callClass: "lookup",
        isIdempotent: true,
        isRoot: false,
        fingerprint: "f",
        method: "POST",
        path: "/lookup",
        headers: [],
        body: Buffer.alloc(0),
        deadline,
        budget: new RetryBudget(4),
        signal: new AbortController().signal,
    };
}
