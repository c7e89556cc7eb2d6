/**
 * An endpoint that answers some sends a second time, late: a success of its own, whatever the first answer was. It makes calls
 * through its node and judges their answers as any caller does.
 */
import { Buffer } from "node:buffer";
import type { Server, Socket } from "node:net";
import { createServer } from "node:net";
import type { UpstreamPlan } from "../standin/platformUpstream.js";
import { PlatformUpstream } from "../standin/platformUpstream.js";
import { sleep } from "../standin/processes.js";
import type { Random } from "../standin/random.js";
import type { AnswerCaller } from "./answerCaller.js";
import type { AnswerRecords, SendRecord } from "./answerRecords.js";
import { secondBody } from "./answerRecords.js";

/** Longest time between a first and a second answer, in milliseconds. */
const secondWithinMs = 60;

/** Shares of the sends that endpoints treat in a way, and what second answers are. */
export interface AnswerPlan {
    readonly rejected: number;
    readonly failed: number;
    readonly silent: number;
    readonly second: number;
    /** Share of the second answers that wait until the next answer on the connection is due. */
    readonly due: number;
    readonly chunked: number;
    /** Share of the first answers whose end is the end of the connection. */
    readonly unlengthed: number;
    /** Whether a second answer repeats the first one. */
    readonly isRepeat: boolean;
    /** Whether only successes are answered twice. */
    readonly isBehindSuccesses: boolean;
    /** Whether calls that a run makes have the same ids when the run is made again. */
    readonly repeatsIds: boolean;
}

/** A request as it was read. */
interface ReadRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: ReadonlyMap<string, string>;
}

/** A connection from the node. */
interface Connection {
    readonly number: number;
    readonly socket: Socket;
    /** A second answer that waits for the next request. */
    owed: { readonly send: SendRecord; readonly bytes: Buffer; } | undefined;
}

/** One endpoint. */
export class AnsweringEndpoint extends PlatformUpstream {
    private tcpServer: Server | undefined;
    private readonly sockets = new Set<Socket>();
    private connections = 0;

    constructor(
        plan: UpstreamPlan,
        private readonly answers: AnswerPlan,
        private readonly records: AnswerRecords,
        private readonly caller: AnswerCaller,
        private readonly random: Random,
    ) {
        super(plan);
    }

    protected override startServer(): Promise<void> {
        this.tcpServer = createServer(socket => this.accept(socket));
        return new Promise(resolve => this.tcpServer!.listen(this.plan.port, this.plan.address, resolve));
    }

    protected override closeServer(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.tcpServer?.close();
    }

    private accept(socket: Socket): void {
        this.connections += 1;
        const connection: Connection = { number: this.connections, socket, owed: undefined };
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.once("close", () => this.sockets.delete(socket));
        readRequests(socket, request => this.answerRequest(connection, request));
    }

    private async answerRequest(connection: Connection, request: ReadRequest): Promise<void> {
        const { owed } = connection;
        if (owed !== undefined) {
            connection.owed = undefined;
            this.sendSecond(connection, owed.send, owed.bytes);
        }
        const { headers, path } = request;
        const instance = `Upstream-Instance: ${this.id}`;
        if (path === "/healthz") {
            write(connection, 200, [instance, `Upstream-Load: ${this.running},0,${this.slots}`], "", "length");
            return;
        }
        const attempt = headers.get("attempt-id") ?? "";
        if ((headers.get("expect-instance") ?? this.id) !== this.id) {
            write(connection, 421, [`Attempt-Id: ${attempt}`, instance], "", "length");
            return;
        }
        const send = this.records.addSend(attempt, this.plan.address, connection.number);
        if (this.random() < this.answers.silent) {
            await new Promise(resolve => connection.socket.once("close", resolve));
            return;
        }
        if (this.random() < this.answers.rejected || this.running >= this.slots) {
            this.sendFirst(connection, request, send, 503, ["Not-Executed: 1"]);
            return;
        }
        await this.runRequest(connection, request, send);
    }

    private async runRequest(connection: Connection, request: ReadRequest, send: SendRecord): Promise<void> {
        this.running += 1;
        const status = await this.makeRun(request, send, connection.socket);
        this.running -= 1;
        if (!connection.socket.destroyed) {
            this.sendFirst(connection, request, send, status, []);
        }
    }

    /** Runs a request with its calls. Returns the status of its answer. */
    private async makeRun({ headers }: ReadRequest, send: SendRecord, socket: Socket): Promise<number> {
        const endsAt = performance.now() + Number(headers.get("deadline-ms") ?? 2000);
        await sleep(this.runMs * 2 * this.random());
        if (this.random() < this.answers.failed) {
            return 500;
        }
        for (const [index, { host, path }] of this.plan.calls.entries()) {
            const leftMs = endsAt - performance.now();
            if (leftMs < 1 || socket.destroyed) {
                return 504;
            }
            const id = this.answers.repeatsIds ? `c${index}` : Math.floor(this.random() * 2 ** 32).toString(16);
            const call = {
                host,
                path,
                attempt: `${send.attempt}.${id}`,
                deadlineMs: Math.floor(leftMs),
                method: "GET",
            };
            if (await this.caller.call(this.plan.address, this.plan.outboundPort, call) !== 200) {
                return 500;
            }
        }
        return 200;
    }

    private sendFirst(
        connection: Connection,
        request: ReadRequest,
        send: SendRecord,
        status: number,
        headers: readonly string[],
    ): void {
        const isHead = request.method === "HEAD";
        send.status = status;
        send.body = status === 503 ? "" : `${send.signature} of ${send.attempt}`;
        const own = [`Attempt-Id: ${send.attempt}`, `Upstream-Signature: ${send.signature}`];
        const framing = this.chooseFraming(isHead || send.body === "");
        const first = write(connection, status, [...own, ...headers], isHead ? "" : send.body, framing);
        if (framing === "close") {
            connection.socket.end();
        }
        else if (this.random() < this.answers.second && (status === 200 || !this.answers.isBehindSuccesses)) {
            this.offerSecond(connection, send, this.answers.isRepeat ? first : format(200, own, secondBody, "length"));
        }
    }

    private chooseFraming(isEmpty: boolean): Framing {
        const drawn = this.random();
        if (isEmpty || drawn >= this.answers.chunked + this.answers.unlengthed) {
            return "length";
        }
        return drawn < this.answers.chunked ? "chunks" : "close";
    }

    private offerSecond(connection: Connection, send: SendRecord, bytes: Buffer): void {
        if (this.random() < this.answers.due) {
            connection.owed = { send, bytes };
            return;
        }
        setTimeout(() => this.sendSecond(connection, send, bytes), secondWithinMs * this.random());
    }

    private sendSecond({ socket }: Connection, send: SendRecord, bytes: Buffer): void {
        if (!socket.destroyed && socket.writable) {
            send.isAnsweredTwice = true;
            socket.write(bytes);
        }
    }
}

/** What ends the body of an answer. */
type Framing = "length" | "chunks" | "close";

const framingHeaders: Readonly<Record<Framing, (body: string) => string>> = {
    length: body => `Content-Length: ${body.length}`,
    chunks: () => "Transfer-Encoding: chunked",
    close: () => "Connection: close",
};

function format(status: number, headers: readonly string[], body: string, framing: Framing): Buffer {
    const head = [`HTTP/1.1 ${status} Answer`, ...headers, framingHeaders[framing](body)].join("\r\n");
    const half = Math.ceil(body.length / 2);
    const chunks = [body.slice(0, half), body.slice(half), ""].map(part =>
        `${part.length.toString(16)}\r\n${part}\r\n`
    );
    return Buffer.from(`${head}\r\n\r\n${framing === "chunks" ? chunks.join("") : body}`);
}

/** Writes an answer. Returns its bytes. */
function write(
    { socket }: Connection,
    status: number,
    headers: readonly string[],
    body: string,
    framing: Framing,
): Buffer {
    const bytes = format(status, headers, body, framing);
    socket.write(bytes);
    return bytes;
}

/** Reads the requests of a connection, one at a time. They have no bodies. */
function readRequests(socket: Socket, serve: (request: ReadRequest) => Promise<void>): void {
    let text = "";
    let isBusy = false;
    const readNext = (): void => {
        const end = text.indexOf("\r\n\r\n");
        if (isBusy || end === -1) {
            return;
        }
        const [first, ...lines] = text.slice(0, end).split("\r\n");
        const [method, path] = first!.split(" ");
        const headers = new Map(lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        text = text.slice(end + 4);
        isBusy = true;
        void serve({ method: method!, path: path!, headers }).then(() => {
            isBusy = false;
            readNext();
        });
    };
    socket.on("data", (chunk: Buffer) => {
        text += chunk.toString("latin1");
        readNext();
    });
}
