/** Requests that a caller sends before earlier ones are answered, on real sockets. */
import { expect } from "chai";
import type { ForwardOutcome } from "../../src/request/forwarder.js";
import type { RoutedCall } from "../../src/request/routedCall.js";
import type { CallerSocket } from "./entryPlay.js";
import { createAnswer, EntryPlay, formatRequest, waitUntil } from "./entryPlay.js";
import { createRoute, formatConfiguration } from "./samples.js";

const routes = [
    createRoute({ name: "page" }),
    createRoute({ name: "advance", pathPrefix: "/advance/", repetition: "atMostOnce" }),
];

/** Formats a request that may run twice. */
function formatGet(attempt: string, ...headers: readonly string[]): string {
    return formatRequest("GET", "/loom/1", [`Attempt-Id: ${attempt}`, ...headers]);
}

/** Formats a request that may run only once. */
function formatPost(attempt: string, body = "sum"): string {
    return formatRequest("POST", "/advance/1", [`Attempt-Id: ${attempt}`], body);
}

/** Formats a request whose body is larger than the configuration allows. */
function formatTooLarge(attempt: string): string {
    return formatPost(attempt, "x".repeat(1_000_001));
}

describe("requests sent ahead on one connection", () => {
    const play = new EntryPlay();
    let caller: CallerSocket;
    /** Ends the run of an attempt. */
    let finishes: Map<string, () => void>;
    let inWork: number;
    let mostInWork: number;

    before(async () => {
        await play.start();
        play.holder.adoptIfNewer(formatConfiguration(1, routes));
    });
    after(() => play.stop());
    beforeEach(async () => {
        play.calls.length = 0;
        play.lines.length = 0;
        play.isStopping = false;
        finishes = new Map();
        inWork = 0;
        mostInWork = 0;
        play.forward = holdRun;
        caller = await play.connect();
    });
    afterEach(() => {
        finishes.forEach(finish => finish());
        caller.leave();
    });

    const holdRun = (call: RoutedCall): Promise<ForwardOutcome> => {
        inWork += 1;
        mostInWork = Math.max(mostInWork, inWork);
        return new Promise(resolve =>
            finishes.set(call.attemptId, () => {
                inWork -= 1;
                finishes.delete(call.attemptId);
                resolve(createAnswer(call.attemptId));
            })
        );
    };
    const listStarted = (): string[] => play.calls.map(call => call.attemptId);
    const listBodies = (): string[] => caller.listAnswers().map(answer => answer.body);
    const finish = async (...attempts: readonly string[]): Promise<void> => {
        for (const attempt of attempts) {
            await waitUntil(() => finishes.has(attempt));
            finishes.get(attempt)!();
        }
    };
    /** Waits until the node has done all that it does without a further message. */
    const settle = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 60));

    it("run at the same time and are answered in their order, whichever ends first", async () => {
        caller.write(formatGet("a") + formatGet("b") + formatGet("c"));
        await finish("c", "b");
        await settle();
        expect(listBodies()).deep.equals([]);
        await finish("a");
        await caller.waitForAnswers(3);
        expect(listBodies()).deep.equals(["a", "b", "c"]);
        expect(mostInWork).equals(3);
    });

    it("get the answers of the node itself in their order too", async () => {
        const noRoute = formatRequest("GET", "/none/", ["Attempt-Id: b"]);
        const noAttempt = formatRequest("GET", "/loom/1", []);
        caller.write(formatGet("a") + noRoute + noAttempt + formatGet("d"));
        await finish("d", "a");
        await caller.waitForAnswers(4);
        expect(caller.listAnswers().map(answer => answer.status)).deep.equals([200, 404, 400, 200]);
    });

    it("are worked on up to a limit, the others as answers are sent", async () => {
        const attempts = Array.from({ length: 40 }, (_, index) => `n${index}`);
        caller.write(attempts.map(attempt => formatGet(attempt)).join(""));
        await settle();
        expect(listStarted()).deep.equals(attempts.slice(0, 16));
        await finish("n3", "n1");
        await settle();
        expect(listStarted().length).equals(16);
        await finish("n0");
        await waitUntil(() => listStarted().length === 18);
        await finish(...attempts.filter(attempt => !["n0", "n1", "n3"].includes(attempt)));
        await caller.waitForAnswers(40);
        expect(listBodies()).deep.equals(attempts);
        expect(mostInWork).at.most(16);
    });

    it("are all answered in order when there are a thousand", async () => {
        play.forward = async call => createAnswer(call.attemptId);
        const attempts = Array.from({ length: 1500 }, (_, index) => `n${index}`);
        caller.write(attempts.map(attempt => formatGet(attempt)).join(""));
        await caller.waitForAnswers(1500);
        expect(listBodies()).deep.equals(attempts);
    });

    it("have their bodies read up to the limit too", async () => {
        const attempts = Array.from({ length: 24 }, (_, index) => `n${index}`);
        const body = "x".repeat(200_000);
        attempts.forEach(attempt => caller.write(formatRequest("POST", "/loom/1", [`Attempt-Id: ${attempt}`], body)));
        await waitUntil(() => listStarted().length === 16);
        await settle();
        expect(listStarted().length).equals(16);
        await finish(...attempts);
        await caller.waitForAnswers(24);
        expect(listBodies()).deep.equals(attempts);
        expect(play.calls.every(call => call.body.length === body.length)).equals(true);
    });

    it("wait for the answers before them if they may run only once; others behind those don't", async () => {
        caller.write(formatGet("a") + formatPost("b") + formatGet("c") + formatPost("d"));
        await waitUntil(() => listStarted().length === 2);
        await settle();
        expect(listStarted()).deep.equals(["a", "c"]);
        await finish("a");
        await waitUntil(() => listStarted().includes("b"));
        await finish("c");
        await settle();
        expect(listStarted()).deep.equals(["a", "c", "b"]);
        await finish("b", "d");
        await caller.waitForAnswers(4);
        expect(listBodies()).deep.equals(["a", "b", "c", "d"]);
        expect(play.calls.map(call => call.body.toString())).deep.equals(["", "", "sum", "sum"]);
    });

    it("meet the version that is in force when their turn comes", async () => {
        caller.write(formatGet("a") + formatPost("b"));
        await finish("a");
        await finish("b");
        await caller.waitForAnswers(2);
        caller.write(formatGet("c") + formatPost("d"));
        await waitUntil(() => finishes.has("c"));
        const version = play.holder.getVersion() + 1;
        play.holder.adoptIfNewer(formatConfiguration(version, [routes[0]!]));
        await finish("c");
        await caller.waitForAnswers(4);
        play.holder.adoptIfNewer(formatConfiguration(version + 1, routes));
        expect(caller.listAnswers().map(answer => answer.status)).deep.equals([200, 200, 200, 404]);
    });

    const closingCases: readonly {
        readonly name: string;
        readonly write: () => void;
        /** Attempts that run, in the order in which they end. */
        readonly ends: readonly string[];
        readonly statuses: readonly number[];
    }[] = [
        {
            name: "that the caller asked for",
            write: () => caller.write(formatGet("a", "Connection: close") + formatGet("b") + formatPost("c")),
            ends: ["a"],
            statuses: [200],
        },
        {
            name: "to a caller of HTTP/1.0",
            write: () => caller.write(formatGet("a").replace("HTTP/1.1", "HTTP/1.0") + formatGet("b")),
            ends: ["a"],
            statuses: [200],
        },
        {
            name: "to a body that is too large",
            write: () => caller.write(formatGet("a") + formatTooLarge("b") + formatGet("c") + formatPost("d")),
            ends: ["a"],
            statuses: [200, 413],
        },
        {
            name: "to bytes that are no request",
            write: () => caller.write(formatGet("a") + formatGet("b") + "no request\r\n\r\n" + formatPost("c")),
            ends: ["b", "a"],
            statuses: [200, 200],
        },
        { name: "to nothing else", write: () => caller.write("no request\r\n\r\n"), ends: [], statuses: [400] },
    ];
    for (const { name, write, ends, statuses } of closingCases) {
        it(`are not run behind an answer that closes the connection, ${name}`, async () => {
            write();
            await settle();
            await finish(...ends);
            await waitUntil(() => caller.isClosed);
            await settle();
            expect(listStarted().sort()).deep.equals([...ends].sort());
            expect(caller.listAnswers().map(answer => answer.status)).deep.equals(statuses);
            expect(caller.listAnswers().at(-1)?.closes).equals(true);
        });
    }

    // LOST: requests sent ahead were dropped behind an answer that a stopping node had made close the connection early on.
    const stopCases: readonly {
        readonly name: string;
        /** What is sent before the stop and after it. */
        readonly before: string;
        readonly after: string;
        /** Attempts in the order in which they end. */
        readonly ends: readonly string[];
    }[] = [
        {
            name: "sent before it",
            before: formatGet("a") + formatPost("b") + formatGet("c"),
            after: "",
            ends: ["c", "a", "b"],
        },
        {
            name: "sent after it",
            before: "",
            after: formatGet("a") + formatGet("b") + formatPost("c"),
            ends: ["b", "a", "c"],
        },
        {
            name: "sent before and after it",
            before: formatGet("a") + formatGet("b"),
            after: formatGet("c") + formatGet("d") + formatPost("e"),
            ends: ["d", "b", "a", "c", "e"],
        },
        { name: "that is the only one", before: formatPost("a"), after: "", ends: ["a"] },
        {
            name: "beyond the limit of requests in work",
            before: "",
            after: Array.from({ length: 20 }, (_, index) => formatGet(`n${index}`)).join(""),
            ends: Array.from({ length: 20 }, (_, index) => `n${index}`),
        },
    ];
    for (const { name, before: first, after: second, ends } of stopCases) {
        it(`are each run once and answered in order by a node that stops, and the last answer closes: ${name}`, async () => {
            caller.write(first);
            await settle();
            play.isStopping = true;
            caller.write(second);
            await settle();
            await finish(...ends);
            await waitUntil(() => caller.isClosed);
            const inOrder = [...(first + second).matchAll(/Attempt-Id: (\w+)/g)].map(match => match[1]);
            expect(listStarted().sort()).deep.equals([...ends].sort());
            expect(listBodies()).deep.equals(inOrder);
            expect(caller.listAnswers().map(answer => answer.status)).deep.equals(ends.map(() => 200));
            expect(caller.listAnswers().map(answer => answer.closes)).deep.equals(
                [...ends.keys()].map(index => index === ends.length - 1),
            );
        });
    }

    it("are run though they come when the last answer before them is made already, and close in its place", async () => {
        play.isStopping = true;
        caller.write(formatGet("a") + formatGet("b"));
        await finish("b");
        await settle();
        caller.write(formatPost("c"));
        await settle();
        await finish("a", "c");
        await waitUntil(() => caller.isClosed);
        expect(listBodies()).deep.equals(["a", "b", "c"]);
        expect(caller.listAnswers().map(answer => answer.closes)).deep.equals([false, false, true]);
        expect(listStarted()).deep.equals(["a", "b", "c"]);
    });

    it("are not run behind an answer that closes the connection of a node that stops", async () => {
        play.isStopping = true;
        play.forward = async () => createAnswer("x".repeat(16_000_000));
        caller.stopReading();
        caller.write(formatGet("a"));
        await waitUntil(() => listStarted().length === 1);
        await settle();
        caller.write(formatGet("b") + formatPost("c"));
        await settle();
        caller.readOn();
        await waitUntil(() => caller.isClosed);
        await settle();
        expect(listStarted()).deep.equals(["a"]);
        expect(caller.listAnswers().map(({ body, closes }) => [body.length, closes])).deep.equals([[16_000_000, true]]);
    });

    it("are cancelled, or never run, when their caller leaves", async () => {
        caller.write(formatGet("a") + formatGet("b") + formatPost("c") + formatGet("d"));
        await waitUntil(() => listStarted().length === 3);
        caller.leave();
        await waitUntil(() => play.calls.every(call => call.cancellation.isCancelled()));
        await settle();
        expect(listStarted()).deep.equals(["a", "b", "d"]);
        expect(play.lines.filter(line => line.includes("outcome=gone")).length).equals(3);
        expect(play.lines.join()).not.contains("request=c");
    });
});
