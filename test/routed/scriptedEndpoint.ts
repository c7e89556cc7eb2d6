/** An endpoint that a test scripts, on real sockets, and what its client needs. */
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import { PlatformDialect } from "../../platform/headers.js";
import type { EndpointRequest } from "../../src/connection/endpointConnection.js";
import { EndpointConnectionPool } from "../../src/connection/endpointConnectionPool.js";
import { Cancellation } from "../../src/process/base/cancellation.js";
import { SystemClock } from "../../src/process/base/clock.js";
import { BodyBudget } from "../../src/process/load/bodyBudget.js";
import { silentLogger } from "../fakes.js";

/** Creates a cancellation that comes after a time, in milliseconds. */
export function cancelAfter(milliseconds: number): Cancellation {
    const cancellation = new Cancellation();
    setTimeout(() => cancellation.cancel(), milliseconds).unref();
    return cancellation;
}

const dialect = new PlatformDialect();

/** Memory for answers, in bytes; as on the smallest machine. */
const bodyBytes = 90_000_000;

/** Creates a pool of connections to a port of this machine. */
export function createPool(port: number, logger = silentLogger): EndpointConnectionPool {
    const clock = new SystemClock();
    return new EndpointConnectionPool(clock, "127.0.0.1", port, dialect, logger, new BodyBudget(clock, bodyBytes));
}

/** Text of an answer. */
export function formatAnswer(attempt: string, body: string, extra = ""): string {
    return `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nUpstream-Signature: s\r\n${extra}`
        + `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** A GET request of an attempt. */
export function createRequest(attemptId: string): EndpointRequest {
    return { method: "GET", path: "/page/1", headers: ["Attempt-Id", attemptId], body: Buffer.alloc(0), attemptId };
}

/** Endpoint that answers each request as a script says. */
export class ScriptedEndpoint {
    connections = 0;
    readonly heads: string[] = [];
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    constructor(answer: (socket: Socket, attempt: string, count: number) => void) {
        this.server = createServer(socket => {
            this.connections += 1;
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            let text = "";
            socket.on("data", chunk => {
                text += chunk.toString("latin1");
                for (let end = text.indexOf("\r\n\r\n"); end !== -1; end = text.indexOf("\r\n\r\n")) {
                    const head = text.slice(0, end);
                    text = text.slice(end + 4);
                    this.heads.push(head);
                    answer(socket, /Attempt-Id: (\S+)/.exec(head)?.[1] ?? "", this.heads.length);
                }
            });
        });
    }

    async start(): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return (this.server.address() as AddressInfo).port;
    }

    countOpen(): number {
        return [...this.sockets].filter(socket => !socket.destroyed).length;
    }

    stop(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }
}
