/** What the entry does with bodies: which it keeps, and what it tells callers whose bodies it doesn't read to their end. */
import { expect } from "chai";
import { sleep } from "../../standin/processes.js";
import type { CallerSocket } from "./entryPlay.js";
import { createAnswer, EntryPlay, formatRequest, waitUntil } from "./entryPlay.js";
import { createRoute, formatConfiguration } from "./samples.js";

const maxBodyBytes = 1_000_000;

/** Head of a request with a body of a length, or in chunks. */
function formatHead(attempt: string, bodyBytes: number | "chunked", path = "/loom/1", deadlineMs = 2000): string {
    const coding = bodyBytes === "chunked" ? "Transfer-Encoding: chunked" : `Content-Length: ${bodyBytes}`;
    const head = [`Attempt-Id: ${attempt}`, `Deadline-Ms: ${deadlineMs}`, coding];
    return formatRequest("POST", path, head);
}

function formatChunks(text: string, chunkBytes: number): string {
    const chunks: string[] = [];
    for (let at = 0; at < text.length; at += chunkBytes) {
        const chunk = text.slice(at, at + chunkBytes);
        chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
    }
    return chunks.join("");
}

describe("bodies at the entry", () => {
    const play = new EntryPlay(2_000_000);
    let caller: CallerSocket;

    before(async () => {
        await play.start();
        play.holder.adoptIfNewer(formatConfiguration(1, [createRoute({ timeoutMs: 2000 })]));
    });
    after(() => play.stop());
    beforeEach(async () => {
        play.calls.length = 0;
        play.lines.length = 0;
        play.forward = async call => createAnswer(call.attemptId);
        caller = await play.connect();
    });
    afterEach(() => caller.leave());

    const unreadCases: readonly {
        readonly name: string;
        readonly sent: string;
        readonly status: number;
        readonly cause: string;
    }[] = [
        {
            name: "are refused by their announced length, unread",
            sent: formatHead("a", maxBodyBytes + 1),
            status: 413,
            cause: "bodyTooLarge",
        },
        {
            name: "are refused once chunks exceed the limit",
            sent: formatHead("a", "chunked") + formatChunks("x".repeat(maxBodyBytes + 1), 100_000),
            status: 413,
            cause: "bodyTooLarge",
        },
        {
            name: "that are not whole at the deadline end their request unrun",
            sent: formatHead("a", 1000, "/loom/1", 100) + "x".repeat(999),
            status: 408,
            cause: "bodyLate",
        },
    ];
    for (const { name, sent, status, cause } of unreadCases) {
        it(name, async () => {
            caller.write(sent);
            await caller.waitForAnswers(1);
            const [answer] = caller.listAnswers();
            expect([answer?.status, answer?.closes]).deep.equals([status, true]);
            expect(play.lines.join("\n")).contains(`cause=${cause}`);
            await waitUntil(() => caller.isClosed);
            expect([play.calls.length, play.bodies.getTotal()]).deep.equals([0, 0]);
        });
    }

    it("that stop are given up for one that comes, which is served", async () => {
        const stopped = await Promise.all([1, 2].map(() => play.connect()));
        for (const [index, each] of stopped.entries()) {
            each.write(formatHead(`stopped${index}`, 500_000) + "x".repeat(499_999));
        }
        await waitUntil(() => play.bodies.getTotal() === 2 * 499_999);
        await sleep(500);
        caller.write(formatHead("a", 900_000) + "y".repeat(900_000));
        await caller.waitForAnswers(1);
        expect(caller.listAnswers()[0]?.status).equals(200);
        expect(play.calls.map(call => call.body.toString())).deep.equals(["y".repeat(900_000)]);
        const answers = stopped.flatMap(each => each.listAnswers());
        expect(answers.map(answer => [answer.status, answer.closes])).deep.equals([[503, true]]);
        expect(play.lines.filter(line => line.includes("cause=noMemory"))).lengthOf(1);
        stopped.forEach(each => each.leave());
        await waitUntil(() => play.bodies.getTotal() === 0);
    });

    it("of requests without a route are not kept if they are large: the answer comes at once and closes", async () => {
        caller.write(formatHead("a", 900_000, "/none/1") + "x".repeat(100_000));
        await caller.waitForAnswers(1);
        expect(caller.listAnswers().map(answer => [answer.status, answer.closes])).deep.equals([[404, true]]);
        expect(play.bodies.getTotal()).equals(0);
    });

    it("of requests without a route are read if they are small, and the next request is served", async () => {
        caller.write(formatHead("a", 5000, "/none/1") + "x".repeat(5000));
        caller.write(formatRequest("GET", "/loom/1", ["Attempt-Id: b"]));
        await caller.waitForAnswers(2);
        expect(caller.listAnswers().map(answer => answer.status)).deep.equals([404, 200]);
        await waitUntil(() => play.bodies.getTotal() === 0);
    });

    it("in chunks of a byte arrive whole, beside other callers' requests", async () => {
        const text = Array.from({ length: 30_000 }, (_none, index) => String(index % 10)).join("");
        caller.write(formatHead("a", "chunked") + formatChunks(text, 1) + "0\r\n\r\n");
        expect(await play.send(["Attempt-Id: other"])).equals(200);
        await caller.waitForAnswers(1);
        expect(caller.listAnswers()[0]?.status).equals(200);
        expect(play.calls.find(call => call.attemptId === "a")?.body.toString()).equals(text);
        caller.write(formatRequest("GET", "/loom/1", ["Attempt-Id: b"]));
        await caller.waitForAnswers(2);
        expect(caller.listAnswers()[1]?.body).equals("b");
    });

    it("count until their requests are answered", async () => {
        let answer: () => void = () => undefined;
        play.forward = () => new Promise(resolve => answer = () => resolve(createAnswer("a")));
        caller.write(formatHead("a", 900_000) + "x".repeat(900_000));
        await waitUntil(() => play.calls.length === 1);
        expect(play.bodies.getTotal()).equals(900_000);
        answer();
        await caller.waitForAnswers(1);
        await waitUntil(() => play.bodies.getTotal() === 0);
    });
});
