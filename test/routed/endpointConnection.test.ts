/** What the client of the local endpoint makes of each way in which an endpoint may answer. */
import { expect } from "chai";
import type { Socket } from "node:net";
import { Cancellation } from "../../src/process/base/cancellation.js";
import { sleep, waitFor } from "../../standin/processes.js";
import { silentLogger } from "../fakes.js";
import { cancelAfter, createPool, createRequest, formatAnswer, ScriptedEndpoint } from "./scriptedEndpoint.js";

/** Memory that the bytes of endless answers may take, in bytes: less than half of what a node's process has. */
const maxGrowthBytes = 160_000_000;

/** Measures the memory that the process takes for objects and buffers. `stop` returns by how much it grew at most, in bytes. */
function measureMemory(): { stop: () => number; } {
    const measure = (): number => {
        const { heapUsed, external } = process.memoryUsage();
        return heapUsed + external;
    };
    const before = measure();
    let most = before;
    const timer = setInterval(() => most = Math.max(most, measure()), 5);
    return {
        stop: () => {
            clearInterval(timer);
            return most - before;
        },
    };
}

/** Sends requests one after the other and describes how each ended. */
async function runRequests(
    answer: (socket: Socket, attempt: string, count: number) => void,
    attempts: readonly string[],
    isIdempotent = true,
): Promise<{ endings: string[]; connections: number; }> {
    const endpoint = new ScriptedEndpoint(answer);
    const pool = createPool(await endpoint.start());
    const endings: string[] = [];
    for (const attemptId of attempts) {
        const request = {
            method: "GET",
            path: "/loom/1",
            headers: ["Host", "katalog.example", "Attempt-Id", attemptId],
            body: Buffer.alloc(0),
            attemptId,
        };
        const result = await pool.send(request, isIdempotent, cancelAfter(400));
        endings.push(
            result.kind === "answered"
                ? `${result.answer.status} ${result.answer.body.toString()}`
                : `${result.kind} ${result.cause}`,
        );
        await new Promise(resolve => setTimeout(resolve, 15));
    }
    const { connections } = endpoint;
    pool.destroy();
    endpoint.stop();
    return { endings, connections };
}

/** Writes a piece again and again until the connection is closed or so many bytes are written, as fast as it is read. */
function writeWithoutEnd(socket: Socket, piece: string, maxBytes = Infinity): void {
    const buffer = Buffer.from(piece.repeat(Math.ceil(60_000 / piece.length)), "latin1");
    let bytes = 0;
    const writeMore = (): void => {
        while (!socket.destroyed && bytes < maxBytes && socket.write(buffer)) {
            bytes += buffer.length;
        }
    };
    socket.on("drain", writeMore);
    writeMore();
}

describe("bytes without end from the local endpoint", () => {
    const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Signature: s\r\n";
    const cases: readonly { readonly name: string; readonly begin: string; readonly piece: string; }[] = [
        { name: "before an answer", begin: "", piece: "\r\n" },
        { name: "that are no answer", begin: "", piece: "x" },
        { name: "in a status line", begin: "HTTP/1.1 200 ", piece: "OK" },
        { name: "in one header", begin: `${head}Note: `, piece: "note" },
        { name: "in headers", begin: head, piece: "Note: note\r\n" },
        { name: "in answers that announce another", begin: "", piece: "HTTP/1.1 100 Continue\r\n\r\n" },
        { name: "in a body without a length", begin: `${head}\r\n`, piece: "body" },
        { name: "in a body with a length", begin: `${head}Content-Length: 900000000000\r\n\r\n`, piece: "body" },
        { name: "in chunks", begin: `${head}Transfer-Encoding: chunked\r\n\r\n`, piece: "4\r\nbody\r\n" },
        { name: "in the size of a chunk", begin: `${head}Transfer-Encoding: chunked\r\n\r\n`, piece: "0" },
        { name: "in the end of a chunk", begin: `${head}Transfer-Encoding: chunked\r\n\r\n1\r\nx`, piece: "x" },
        { name: "in trailers", begin: `${head}Transfer-Encoding: chunked\r\n\r\n0\r\n`, piece: "Note: note\r\n" },
    ];
    for (const { name, begin, piece } of cases) {
        it(`${name} end the connection and fail the request, with memory bounded`, async () => {
            let isClosed = false;
            const endpoint = new ScriptedEndpoint(socket => {
                socket.once("close", () => isClosed = true);
                socket.write(begin, "latin1");
                writeWithoutEnd(socket, piece);
            });
            const pool = createPool(await endpoint.start());
            const request = {
                method: "GET",
                path: "/",
                headers: ["Attempt-Id", "a"],
                body: Buffer.alloc(0),
                attemptId: "a",
            };
            const memory = measureMemory();
            const result = await pool.send(request, true, cancelAfter(20_000));
            await waitFor(async () => isClosed, 1000, "end of the connection");
            const grownBytes = memory.stop();
            pool.destroy();
            endpoint.stop();
            expect(result).deep.equals({ kind: "lost", cause: "garbled" });
            expect(grownBytes).below(maxGrowthBytes);
        });
    }

    it("on many connections at once leave memory bounded, and answers of usual size are read meanwhile", async () => {
        const endpoint = new ScriptedEndpoint((socket, attempt) => {
            if (attempt === "small") {
                socket.write(formatAnswer(attempt, "x".repeat(100_000)));
                return;
            }
            socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nUpstream-Signature: s\r\n\r\n`);
            // Less than one answer may have, so that only all together take too much.
            writeWithoutEnd(socket, "body", 40_000_000);
        });
        const pool = createPool(await endpoint.start());
        const send = (attemptId: string) =>
            pool.send(
                { method: "GET", path: "/", headers: ["Attempt-Id", attemptId], body: Buffer.alloc(0), attemptId },
                true,
                cancelAfter(3000),
            );
        const memory = measureMemory();
        const endless = Array.from({ length: 12 }, (_, index) => send(`endless${index}`));
        await sleep(1000);
        const small = await send("small");
        const results = await Promise.all(endless);
        const grownBytes = memory.stop();
        pool.destroy();
        endpoint.stop();
        expect(small.kind).equals("answered");
        expect(results.filter(result => result.kind === "lost" && result.cause === "garbled").length).at.least(9);
        expect(grownBytes).below(maxGrowthBytes);
    });
});

// MIXED: an answer whose status is none in the protocol was passed on to the caller.
describe("answers of the local endpoint with a status outside the protocol", () => {
    const statuses = ["000", "099", "600", "999", "1000", "2x0", "-20", "+20", "20", "0", ""];
    const forms: readonly { readonly name: string; readonly rest: string; }[] = [
        { name: "a length", rest: "Content-Length: 3\r\n\r\nodd" },
        { name: "an empty body", rest: "Content-Length: 0\r\n\r\n" },
        { name: "chunks", rest: "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n" },
        { name: "the end of the connection", rest: "Connection: close\r\n\r\nodd" },
    ];
    for (const { name, rest } of forms) {
        it(`are none, to requests and to health checks: with ${name}`, async () => {
            const endings: string[] = [];
            for (const status of statuses) {
                const endpoint = new ScriptedEndpoint((socket, attempt) => {
                    const own = attempt === "" ? "" : `Attempt-Id: ${attempt}\r\nUpstream-Signature: s\r\n`;
                    socket.write(`HTTP/1.1 ${status} Odd\r\n${own}${rest}`);
                    if (rest.startsWith("Connection")) {
                        socket.end();
                    }
                });
                const pool = createPool(await endpoint.start());
                for (const attemptId of ["a", undefined]) {
                    const headers = attemptId === undefined ? [] : ["Attempt-Id", attemptId];
                    const request = { method: "GET", path: "/", headers, body: Buffer.alloc(0), attemptId };
                    const result = await pool.send(request, true, cancelAfter(400));
                    endings.push(`${result.kind} ${result.kind === "lost" ? result.cause : ""}`);
                }
                pool.destroy();
                endpoint.stop();
            }
            expect([...new Set(endings)]).deep.equals(["lost garbled"]);
        });
    }
});

describe("answers of the local endpoint", () => {
    const cases: readonly {
        readonly name: string;
        readonly answer: (socket: Socket, attempt: string, count: number) => void;
        readonly endings: readonly string[];
        readonly connections: number;
    }[] = [
        {
            name: "are read whole, one after the other on one connection",
            answer: (socket, attempt) => socket.write(formatAnswer(attempt, attempt)),
            endings: ["200 a", "200 b"],
            connections: 1,
        },
        {
            name: "are read whole when they arrive byte by byte",
            answer: (socket, attempt) => {
                for (const byte of formatAnswer(attempt, attempt)) {
                    socket.write(byte);
                }
            },
            endings: ["200 a", "200 b"],
            connections: 1,
        },
        {
            name: "are read in chunks",
            answer: (socket, attempt) =>
                socket.write(
                    `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n${attempt}\r\n0\r\n\r\n`,
                ),
            endings: ["200 a", "200 b"],
            connections: 1,
        },
        {
            name: "without a length end with the connection",
            answer: (socket, attempt) => socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\n\r\n${attempt}`),
            endings: ["200 a", "200 b"],
            connections: 2,
        },
        {
            name: "without a length are not whole when the connection is reset",
            answer: (socket, attempt) => {
                socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\n\r\n${attempt}`);
                setTimeout(() => socket.resetAndDestroy(), 5);
            },
            endings: ["lost reset", "lost reset"],
            connections: 2,
        },
        {
            name: "without a length are not whole when a reset follows right behind the data",
            answer: (socket, attempt) => {
                socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\n\r\n${attempt}`);
                socket.resetAndDestroy();
            },
            endings: ["lost reset", "lost reset"],
            connections: 2,
        },
        {
            name: "that end early are not whole",
            answer: (socket, attempt) => socket.end(formatAnswer(attempt, "0123456789").slice(0, -3)),
            endings: ["lost cutShort", "lost cutShort"],
            connections: 2,
        },
        {
            name: "that are no HTTP are not taken",
            answer: socket => socket.write("\u0000\u0001garbage\r\n\r\n"),
            endings: ["lost garbled", "lost garbled"],
            connections: 2,
        },
        {
            name: "with a length that is no number are not taken",
            answer: (socket, attempt) => socket.write(formatAnswer(attempt, "x").replace("Length: 1", "Length: one")),
            endings: ["lost garbled", "lost garbled"],
            connections: 2,
        },
        {
            name: "that are sent twice serve one request, and the connection is given up",
            answer: (socket, attempt) => {
                socket.write(formatAnswer(attempt, attempt));
                setTimeout(() => socket.write(formatAnswer(attempt, attempt)), 5);
            },
            endings: ["200 a", "200 b"],
            connections: 2,
        },
        {
            name: "that are sent twice in one piece serve one request",
            answer: (socket, attempt) => socket.write(formatAnswer(attempt, attempt) + formatAnswer(attempt, "again")),
            endings: ["200 a", "200 b"],
            connections: 2,
        },
        {
            name: "to an earlier request that arrive late are skipped",
            answer: (socket, attempt, count) =>
                socket.write((count > 1 ? formatAnswer("a", "late") : "") + formatAnswer(attempt, attempt)),
            endings: ["200 a", "200 b", "200 c"],
            connections: 1,
        },
        {
            name: "that name no attempt are not taken",
            answer: socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
            endings: ["lost garbled", "lost garbled"],
            connections: 2,
        },
        {
            name: "that never come leave the outcome open",
            answer: () => undefined,
            endings: ["lost aborted"],
            connections: 1,
        },
        {
            name: "that ask for the end of the connection end it",
            answer: (socket, attempt) => socket.write(formatAnswer(attempt, attempt, "Connection: close\r\n")),
            endings: ["200 a", "200 b"],
            connections: 2,
        },
    ];
    for (const { name, answer, endings, connections } of cases) {
        it(name, async () => {
            const result = await runRequests(answer, ["a", "b", "c"].slice(0, endings.length));
            expect(result).deep.equals({ endings, connections });
        });
    }

    it("that don't come since open connections fell silent cost one request, not one for each connection", async () => {
        const silent = new Set<Socket>();
        const open = new Set<Socket>();
        const endpoint = new ScriptedEndpoint((socket, attempt) => {
            open.add(socket);
            setTimeout(() => silent.has(socket) || socket.write(formatAnswer(attempt, attempt)), 20);
        });
        const pool = createPool(await endpoint.start());
        const send = (attemptId: string) =>
            pool.send(
                { method: "GET", path: "/", headers: ["Attempt-Id", attemptId], body: Buffer.alloc(0), attemptId },
                true,
                cancelAfter(600),
            );
        await Promise.all(["a", "b", "c", "d"].map(send));
        open.forEach(socket => silent.add(socket));
        const kinds: string[] = [];
        for (const attempt of ["e", "f", "g", "h"]) {
            kinds.push((await send(attempt)).kind);
        }
        pool.destroy();
        endpoint.stop();
        expect(kinds).deep.equals(["lost", "answered", "answered", "answered"]);
    });

    // MIXED: an answer that ended in the middle of its head was passed on as a whole one with an empty or short body.
    const framings = [
        { name: "a length", fields: "Content-Length: 4\r\n", body: "body" },
        { name: "chunks", fields: "Transfer-Encoding: chunked\r\n", body: "4\r\nbody\r\n0\r\n\r\n" },
        { name: "no length", fields: "Note: rugs\r\n", body: "body" },
    ];
    for (const { name, fields, body } of framings) {
        it(`with ${name} that end at any byte of their head are not taken`, async () => {
            const head = `HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nUpstream-Signature: s\r\n${fields}\r\n`;
            const whole = head + body;
            let cutAt = 0;
            const endpoint = new ScriptedEndpoint(socket => {
                const middle = Math.floor(cutAt / 2);
                socket.setNoDelay(true);
                socket.write(whole.slice(0, middle));
                setTimeout(() => socket.end(whole.slice(middle, cutAt)), cutAt % 2);
            });
            const pool = createPool(await endpoint.start());
            const request = {
                method: "GET",
                path: "/",
                headers: ["Attempt-Id", "a"],
                body: Buffer.alloc(0),
                attemptId: "a",
            };
            const taken: string[] = [];
            for (cutAt = 0; cutAt < head.length; cutAt += 1) {
                const result = await pool.send(request, true, cancelAfter(400));
                if (result.kind === "answered") {
                    taken.push(whole.slice(0, cutAt));
                }
            }
            cutAt = whole.length;
            const last = await pool.send(request, true, cancelAfter(400));
            pool.destroy();
            endpoint.stop();
            expect(taken).deep.equals([]);
            expect(last.kind === "answered" ? last.answer.body.toString() : last.kind).equals("body");
        });
    }

    // TWICE, REFUSED: a late copy of a rejection counted as the answer to the next offer of the same attempt, which ran.
    const failures = ["503 Busy", "421 Misdirected", "500 Failed"];
    for (const status of failures) {
        it(`that come again late (${status}) are no answers to the same attempt sent again, nor to a health check`, async () => {
            let copy = "";
            let faulty: Socket | undefined;
            const endpoint = new ScriptedEndpoint((socket, attempt, count) => {
                if (count === 1) {
                    faulty = socket;
                    copy =
                        `HTTP/1.1 ${status}\r\nAttempt-Id: ${attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
                    socket.write(copy);
                    return;
                }
                if (socket === faulty) {
                    socket.write(copy);
                }
                const answer = formatAnswer(attempt, String(count)).replace("Attempt-Id: \r\n", "");
                setTimeout(() => socket.write(answer), 20);
            });
            const pool = createPool(await endpoint.start());
            const send = async (attemptId: string | undefined): Promise<string> => {
                const headers = attemptId === undefined ? [] : ["Attempt-Id", attemptId];
                const request = { method: "POST", path: "/advance/1", headers, body: Buffer.alloc(0), attemptId };
                const result = await pool.send(request, false, cancelAfter(400));
                return result.kind === "answered"
                    ? `${result.answer.status} ${result.answer.body.toString()}`
                    : result.kind;
            };
            const endings: string[] = [];
            for (const attemptId of ["a", "a", "b"]) {
                endings.push(await send(attemptId));
            }
            const all = await Promise.all([send("c"), send("d"), send(undefined)]);
            pool.destroy();
            endpoint.stop();
            expect(endings).deep.equals([`${status.slice(0, 3)} `, "200 2", "200 3"]);
            expect(all.map(ending => ending.slice(0, 3))).deep.equals(["200", "200", "200"]);
        });
    }

    it("that come late or unasked are logged with their connection", async () => {
        const late = formatAnswer("a", "ok");
        const endpoint = new ScriptedEndpoint((socket, attempt) => {
            socket.write(attempt === "a" ? formatAnswer("a", "first") : late + formatAnswer(attempt, "second"));
            if (attempt === "c") {
                setTimeout(() => socket.write(late), 20);
            }
        });
        const lines: string[] = [];
        const log = (event: string, fields: object = {}): void => void lines.push(`${event} ${JSON.stringify(fields)}`);
        const pool = createPool(await endpoint.start(), { ...silentLogger, info: log });
        for (const attemptId of ["a", "b", "c"]) {
            await pool.send(createRequest(attemptId), true, new Cancellation());
        }
        await waitFor(async () => pool.strayAnswers.countUnasked() === 1, 1000, "the unasked answer");
        const skipped = { connection: 1, status: 200 };
        expect(lines).deep.equals([
            `answerSkipped ${JSON.stringify({ request: "a", ...skipped, expected: "b" })}`,
            `answerSkipped ${JSON.stringify({ request: "a", ...skipped, expected: "c" })}`,
            `answerUnasked ${JSON.stringify({ connection: 1 })}`,
        ]);
        expect(pool.strayAnswers.countSkipped()).equals(2);
        pool.destroy();
        endpoint.stop();
    });

    // MIXED: a late copy of an earlier answer, or the answer to an earlier offer, stood for the answer to the same attempt sent again.
    it("to an attempt are those of its last send, however late those of earlier ones come", async () => {
        const copies = new Map<Socket, string>();
        const endpoint = new ScriptedEndpoint((socket, attempt, count) => {
            const [status, delayMs] = [["200 OK", 0], ["500 Failed", 5], ["503 Busy", 40]][(count - 1) % 3]!;
            const answer = `HTTP/1.1 ${status}\r\nAttempt-Id: ${attempt}\r\nContent-Length: 0\r\n\r\n`;
            socket.write(copies.get(socket) ?? "");
            setTimeout(() => {
                socket.write(answer);
                copies.set(socket, answer);
            }, Number(delayMs));
        });
        const pool = createPool(await endpoint.start());
        const statuses: (number | string)[] = [];
        for (const attemptId of ["a", "a", "a", "b", "b", "b"]) {
            const request = {
                method: "GET",
                path: "/",
                headers: ["Attempt-Id", attemptId],
                body: Buffer.alloc(0),
                attemptId,
            };
            const result = await pool.send(request, true, cancelAfter(400));
            statuses.push(result.kind === "answered" ? result.answer.status : result.cause);
            await sleep(10);
        }
        pool.destroy();
        endpoint.stop();
        expect(statuses).deep.equals([200, 500, 503, 200, 500, 503]);
    });

    it("are read on no more connections than are needed, and on none for ever", async () => {
        const endpoint = new ScriptedEndpoint((socket, attempt) => socket.write(formatAnswer(attempt, attempt)));
        const pool = createPool(await endpoint.start());
        for (let index = 0; index < 600; index += 1) {
            const attemptId = `a${index}`;
            const request = {
                method: "GET",
                path: "/",
                headers: ["Attempt-Id", attemptId],
                body: Buffer.alloc(0),
                attemptId,
            };
            expect((await pool.send(request, true, cancelAfter(400))).kind).equals("answered");
        }
        await waitFor(async () => endpoint.countOpen() === 1, 1000, "end of the connections that are not kept");
        pool.destroy();
        endpoint.stop();
        expect(endpoint.connections).within(2, 3);
    });

    it("leave a request unsent when nothing listens", async () => {
        const endpoint = new ScriptedEndpoint(() => undefined);
        const port = await endpoint.start();
        endpoint.stop();
        const pool = createPool(port);
        const request = { method: "GET", path: "/", headers: [], body: Buffer.alloc(0), attemptId: "a" };
        const result = await pool.send(request, true, cancelAfter(400));
        expect(result).deep.equals({ kind: "unsent", cause: "unreachable" });
    });

    it("to a long request that come before it is out end the connection, so that no rest of it is taken for a request", async () => {
        const endpoint = new ScriptedEndpoint((socket, attempt) => {
            socket.pause();
            socket.write(formatAnswer(attempt, attempt));
        });
        const pool = createPool(await endpoint.start());
        const request = (attemptId: string, bytes: number) => ({
            method: "POST",
            path: "/loom/1",
            headers: ["Attempt-Id", attemptId],
            body: Buffer.alloc(bytes),
            attemptId,
        });
        const first = await pool.send(request("a", 30_000_000), true, cancelAfter(2000));
        const second = await pool.send(request("b", 0), true, cancelAfter(2000));
        expect([first.kind, second.kind]).deep.equals(["answered", "answered"]);
        expect(endpoint.connections).equals(2);
        pool.destroy();
        endpoint.stop();
    });
});
