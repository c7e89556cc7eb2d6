/** An entry node on a loopback address whose forwarder a test plays, and a caller that writes to a socket as it likes. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { PlatformDialect } from "../../platform/headers.js";
import { HttpListener } from "../../src/connection/httpServer.js";
import { Cancellation } from "../../src/process/base/cancellation.js";
import { SystemClock } from "../../src/process/base/clock.js";
import { BodyBudget } from "../../src/process/load/bodyBudget.js";
import { EntryThrottle } from "../../src/process/load/entryThrottle.js";
import { RunsInProgress } from "../../src/process/load/runsInProgress.js";
import { WeightedRoundRobin } from "../../src/process/load/weightedRoundRobin.js";
import type { LogFields } from "../../src/process/telemetry/logger.js";
import { formatLogLine } from "../../src/process/telemetry/logger.js";
import { RoutedMetrics } from "../../src/process/telemetry/routedMetrics.js";
import type { ForwardOutcome, ForwardResult } from "../../src/request/forwarder.js";
import type { RoutedCall } from "../../src/request/routedCall.js";
import { serveRoutedRequest } from "../../src/request/routedEntry.js";
import { ConfigurationHolder } from "../../src/version/configurationHolder.js";

const port = 8314;
/** Longest header section of a request, in bytes. */
const maxHeaderBytes = 16_384;

/** Outcome of a run whose answer has this body. */
export function createAnswer(body = ""): ForwardOutcome {
    const bytes = Buffer.from(body);
    return { kind: "answer", status: 200, headers: [], body: bytes, waitedMs: 0, behind: "none", pressure: 0 };
}

/** The entry node. */
export class EntryPlay {
    readonly holder = new ConfigurationHolder();
    readonly runs = new RunsInProgress();
    readonly metrics = new RoutedMetrics();
    /** Calls that reached the forwarder, in their order. */
    readonly calls: RoutedCall[] = [];
    /** Lines that the node logged. */
    readonly lines: string[] = [];
    isStopping = false;
    /** Latest deadline of a request that is taken. */
    lastDeadline = Infinity;
    /** Deadline of whatever is taken, at the latest. */
    limitedDeadline = Infinity;
    readonly ending = new Cancellation();
    /** Why a customer with a quota gets no unit. */
    unitCause: "quota" | "noGrantor" = "quota";
    /** What the forwarder does with a call. */
    forward: (call: RoutedCall) => Promise<ForwardOutcome> = async call => createAnswer(call.attemptId);
    private readonly clock = new SystemClock();
    readonly bodies: BodyBudget;
    private readonly address = `127.1.${1 + process.pid % 250}.1`;
    private readonly listener: HttpListener;

    /** `bodyBytes`: memory for the bodies of requests, in bytes. */
    constructor(bodyBytes = 100_000_000) {
        this.bodies = new BodyBudget(this.clock, bodyBytes);
        this.listener = this.createListener();
    }

    start(): Promise<void> {
        return this.listener.start(this.address, port);
    }

    stop(): Promise<void> {
        return this.listener.stop();
    }

    /** Opens a connection as a caller does. */
    async connect(): Promise<CallerSocket> {
        const socket = connect(port, this.address);
        await once(socket, "connect");
        return new CallerSocket(socket);
    }

    /** Sends one request on a connection of its own; returns the status of its answer. */
    async send(headers: readonly string[], path = "/loom/1"): Promise<number> {
        const caller = await this.connect();
        caller.write(formatRequest("GET", path, headers));
        await caller.waitForAnswers(1);
        caller.leave();
        return caller.listAnswers()[0]!.status;
    }

    private createListener(): HttpListener {
        const log = (level: string) => (event: string, fields?: LogFields): void => {
            this.lines.push(formatLogLine(this.clock.readDate(), level, event, fields));
        };
        const dependencies = {
            clock: this.clock,
            random: Math.random,
            logger: { debug: log("debug"), info: log("info"), warn: log("warn"), error: log("error") },
            metrics: this.metrics,
            dialect: new PlatformDialect(),
            configurationHolder: this.holder,
            serviceSelector: new WeightedRoundRobin(Math.random),
            forwarder: { forward: (call: RoutedCall) => this.play(call) },
            runs: this.runs,
            entryThrottle: new EntryThrottle(this.clock, Math.random),
            quotas: {
                take: () => Promise.resolve({ kind: "none", cause: this.unitCause, retryAfterMs: 500 } as const),
                releaseUnit: () => undefined,
            },
            bodies: this.bodies,
            findUtilisation: () => 0,
            stop: {
                hasStarted: () => this.isStopping,
                canTake: (deadline: number) => deadline <= this.lastDeadline,
                lowerDeadline: (deadline: number) => Math.min(deadline, this.limitedDeadline),
                ending: this.ending,
            },
        };
        return new HttpListener(
            (request, response, turn) => serveRoutedRequest(dependencies, request, response, turn),
            maxHeaderBytes,
            error => this.lines.push(`handlerFailed ${String(error)}`),
        );
    }

    private async play(call: RoutedCall): Promise<ForwardResult> {
        this.calls.push(call);
        return { outcome: await this.forward(call), instance: undefined, sends: 1, runs: 1 };
    }
}

/** An answer as it stands on the wire. */
export interface WireAnswer {
    readonly status: number;
    readonly body: string;
    readonly closes: boolean;
}

/** Connection of a caller. */
export class CallerSocket {
    isClosed = false;
    private text = "";

    constructor(private readonly socket: Socket) {
        socket.on("data", chunk => this.text += chunk.toString("latin1"));
        socket.on("error", () => undefined);
        socket.once("close", () => this.isClosed = true);
    }

    write(text: string): void {
        this.socket.write(text);
    }

    leave(): void {
        this.socket.destroy();
    }

    /** Reads nothing until {@link readOn}. */
    stopReading(): void {
        this.socket.pause();
    }

    readOn(): void {
        this.socket.resume();
    }

    /** Whole answers so far, in their order. */
    listAnswers(): WireAnswer[] {
        const answers: WireAnswer[] = [];
        let rest = this.text;
        for (;;) {
            const end = rest.indexOf("\r\n\r\n");
            const head = rest.slice(0, end);
            const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
            const bodyEnd = end + 4 + length;
            if (end === -1 || rest.length < bodyEnd) {
                return answers;
            }
            answers.push({
                status: Number(head.slice(9, 12)),
                body: rest.slice(end + 4, bodyEnd),
                closes: /^connection: close/im.test(head),
            });
            rest = rest.slice(bodyEnd);
        }
    }

    /** Waits until so many answers are whole, or the connection is closed. */
    waitForAnswers(count: number): Promise<void> {
        return waitUntil(() => this.listAnswers().length >= count || this.isClosed);
    }
}

/** Formats a request; `body` comes with its length. */
export function formatRequest(method: string, path: string, headers: readonly string[], body = ""): string {
    const length = body === "" ? [] : [`Content-Length: ${body.length}`];
    return [`${method} ${path} HTTP/1.1`, "Host: katalog.example", ...headers, ...length, "", body].join("\r\n");
}

/** Waits until a condition holds; rejects after two seconds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    const giveUpAt = performance.now() + 2000;
    while (!condition()) {
        if (performance.now() > giveUpAt) {
            throw new Error(`not in time: ${String(condition)}`);
        }
        await new Promise(resolve => setTimeout(resolve, 2));
    }
}
