/** Slow heads, connections that were opened ahead, and more connections than a listener has room for. */
import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import process from "node:process";
import { HttpListener } from "../../src/connection/httpServer.js";
import { sleep } from "../../standin/processes.js";
import { CallerSocket, formatRequest, waitUntil } from "./entryPlay.js";

const address = `127.1.${1 + process.pid % 250}.2`;
const port = 8315;
const limits = { maxHeaderBytes: 16_384, headerTimeoutMs: 300, idleTimeoutMs: 1500 };

/** Formats a request; the path tells the listener how to answer. */
function formatGet(path = "/now", headers: readonly string[] = []): string {
    return formatRequest("GET", path, headers);
}

describe("a listener with limits", function() {
    this.timeout(10_000);
    let listener: HttpListener;
    let callers: CallerSocket[];
    let release: () => void;

    beforeEach(async () => {
        callers = [];
        const released = new Promise<void>(resolve => release = resolve);
        listener = new HttpListener(
            async (request, response) => {
                await (request.url === "/held" ? released : undefined);
                response.end("done");
            },
            65_536,
            () => undefined,
            { maxConnections: 3, maxHeadBytes: 500_000 },
        );
        listener.setLimits(limits);
        await listener.start(address, port);
    });
    afterEach(() => {
        release();
        callers.forEach(caller => caller.leave());
        listener.close();
    });

    const open = async (text = ""): Promise<CallerSocket> => {
        const socket = connect(port, address);
        await once(socket, "connect");
        const caller = new CallerSocket(socket);
        callers.push(caller);
        caller.write(text);
        return caller;
    };
    const readStatus = async (caller: CallerSocket): Promise<number> => {
        await caller.waitForAnswers(1);
        return caller.listAnswers()[0]?.status ?? 0;
    };

    it("ends a head that doesn't come to its end in time", async () => {
        const slow = await open("GET /now HTTP/1.1\r\nHost: a\r\n");
        await sleep(limits.headerTimeoutMs + 1200);
        await waitUntil(() => slow.isClosed);
    });

    it("keeps a connection that was opened ahead as long as one that is idle, and serves it", async () => {
        const ahead = await open();
        await sleep(limits.headerTimeoutMs + 1200);
        ahead.write(formatGet("/held"));
        await sleep(limits.idleTimeoutMs + 300);
        release();
        expect(await readStatus(ahead)).equals(200);
    });

    it("closes a connection that was opened ahead and isn't used", async () => {
        const ahead = await open();
        await sleep(limits.headerTimeoutMs + 1200);
        await sleep(limits.idleTimeoutMs);
        await waitUntil(() => ahead.isClosed);
        expect(ahead.listAnswers()).deep.equals([]);
    });

    it("takes headers up to the limit, and refuses longer ones", async () => {
        const values = [16_000, 18_000].map(bytes => formatGet("/now", [`X: ${"x".repeat(bytes)}`]));
        const [within, beyond] = await Promise.all(values.map(text => open(text)));
        expect(await readStatus(within!)).equals(200);
        await waitUntil(() => beyond!.isClosed);
        expect(beyond!.listAnswers().map(answer => answer.status)).deep.equals([431]);
    });

    it("takes a new connection in place of the one that waits longest without work", async () => {
        const held = await open(formatGet("/held"));
        await sleep(50);
        const first = await open(formatGet());
        expect(await readStatus(first)).equals(200);
        const second = await open();
        first.write(formatGet());
        await first.waitForAnswers(2);
        const third = await open(formatGet());
        expect(await readStatus(third)).equals(200);
        await waitUntil(() => second.isClosed);
        expect([held.isClosed, first.isClosed, listener.room.countOpen()]).deep.equals([false, false, 3]);
        release();
        expect(await readStatus(held)).equals(200);
    });

    it("closes the connection with most requests sent ahead when they take too much memory", async () => {
        const few = await open(formatGet("/held").repeat(3));
        await sleep(50);
        const many = await open(formatGet("/held", [`X: ${"x".repeat(1000)}`]).repeat(40));
        await waitUntil(() => many.isClosed);
        release();
        await few.waitForAnswers(3);
        expect(few.listAnswers().map(answer => answer.status)).deep.equals([200, 200, 200]);
        await waitUntil(() => listener.heads.getTotal() === 0);
        expect(listener.heads.countClosed()).equals(1);
    });

    it("refuses a new connection only while all others are in work", async () => {
        const held = await Promise.all([1, 2, 3].map(() => open(formatGet("/held"))));
        await sleep(100);
        const next = await open(formatGet());
        await waitUntil(() => next.isClosed);
        release();
        expect(await Promise.all(held.map(readStatus))).deep.equals([200, 200, 200]);
        expect(listener.room.countClosed()).equals(1);
    });
});
