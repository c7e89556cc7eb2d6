/** What the client of the own interface's endpoint makes of answers that come twice or don't come whole. */
import { expect } from "chai";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import { HttpPool } from "../src/connection/httpPool.js";
import { headerNames } from "../src/request/headers.js";

const refusal = `HTTP/1.1 503 Busy\r\n${headerNames.outcome}: not-run\r\nContent-Length: 4\r\n\r\nbusy`;
const isRefusal = (headers: readonly string[]): boolean => headers.includes("not-run");

/** Sends requests one after the other to an endpoint that a script plays; describes how each ended. */
async function runRequests(
    count: number,
    answer: (socket: Socket, request: number, previous: Socket | undefined) => void,
): Promise<string[]> {
    let requests = 0;
    let previous: Socket | undefined;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => {
            requests += 1;
            answer(socket, requests, previous);
            previous = socket;
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const pool = new HttpPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1_000_000, isRefusal);
    const endings: string[] = [];
    for (let index = 0; index < count; index += 1) {
        const echo = { name: headerNames.run, value: `run${index + 1}` };
        const call = { method: "POST", path: "/", headers: [], body: Buffer.alloc(0), echo, timeoutMs: 1000 };
        const result = await pool.send(call);
        endings.push(result.kind === "answered" ? `${result.status} ${result.body.toString()}` : result.kind);
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    await pool.destroy();
    server.close();
    return endings;
}

describe("answers of the own interface's endpoint", () => {
    // REFUSED, TWICE: an earlier refusal that came again late stood for the answer to a request that ran.
    it("that refused an earlier request and come again late are no answer to the next", async () => {
        const endings = await runRequests(2, (socket, request, previous) => {
            const copy = socket === previous ? refusal : "";
            socket.write(request === 1 ? refusal : `${copy}HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran`);
        });
        expect(endings).deep.equals(["503 ", "200 ran"]);
    });

    // MIXED: an answer without a length that was reset on the way was passed on as a whole one.
    it("that have no length and are reset are not whole; those that end with their connection are", async () => {
        const endings = await runRequests(4, (socket, request) => {
            socket.write("HTTP/1.1 200 OK\r\nNote: rugs\r\n\r\nbody");
            if (request % 2 === 0) {
                socket.end();
                return;
            }
            setTimeout(() => socket.resetAndDestroy(), 5);
        });
        expect(endings).deep.equals(["lost", "200 body", "lost", "200 body"]);
    });

    // MIXED: an answer whose status is none in the protocol was passed on to the caller.
    it("that have a status outside the protocol are none", async () => {
        const statuses = ["000", "099", "600", "999", "1000", "2x0", "-20", "+20", "20", ""];
        const endings = await runRequests(statuses.length, (socket, request) => {
            const run = `${headerNames.run}: run${request}\r\n`;
            socket.write(`HTTP/1.1 ${statuses[request - 1]} Odd\r\n${run}Content-Length: 3\r\n\r\nodd`);
        });
        expect(endings).deep.equals(statuses.map(() => "lost"));
    });

    // MIXED: a late second answer to an earlier request stood for the answer to the next.
    it("that name the run of an earlier request are no answer to the next", async () => {
        const formatAnswer = (status: string, run: string, body: string): string =>
            `HTTP/1.1 ${status}\r\n${run}Content-Length: ${body.length}\r\n\r\n${body}`;
        const endings = await runRequests(4, (socket, request, previous) => {
            const run = request === 4 ? "" : `${headerNames.run}: run${request}\r\n`;
            const late = socket === previous
                ? formatAnswer("200 OK", `${headerNames.run}: run${request - 1}\r\n`, "late")
                : "";
            socket.write(late + formatAnswer("500 Failed", run, `failed${request}`));
        });
        expect(endings).deep.equals(["500 failed1", "lost", "500 failed3", "lost"]);
    });
});
