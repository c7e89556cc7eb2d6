/** Links between nodes that are lost while a request runs: it runs once, and its outcome is told truthfully. */
import { expect } from "chai";
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { HelloMessage } from "../../src/connection/link.js";
import type { AcceptedLink } from "../../src/connection/linkServer.js";
import { LinkServer } from "../../src/connection/linkServer.js";
import { PeerLinks } from "../../src/connection/peerLinks.js";
import { Cancellation } from "../../src/process/base/cancellation.js";
import { SystemClock } from "../../src/process/base/clock.js";
import { RemoteRuns } from "../../src/process/endpoint/remoteRuns.js";
import { BodyBudget } from "../../src/process/load/bodyBudget.js";
import type { RunOutcome } from "../../src/process/load/runOutcome.js";
import type { PeerRunRequest } from "../../src/request/runRequest.js";
import { sleep } from "../../standin/processes.js";
import { silentLogger } from "../fakes.js";
import { createRecord } from "./samples.js";

const clock = new SystemClock();
const load = { running: 0, waiting: 0, limit: 5, failureShare: 0, isSettled: true, shedShare: 0, slowness: 0 };
const position = { version: 1, era: 0, isFollowing: false };
const address = "127.0.0.1";

function createHello(incarnation: number): HelloMessage {
    return { kind: "hello", address, incarnation, version: 1, record: "{}", suspectCount: undefined };
}

/** A node that answers links, with runs that take a while. */
class AnsweringNode {
    runs = 0;
    cancelled = 0;
    incarnation = 1;
    private readonly remoteRuns: RemoteRuns;
    readonly server: LinkServer;

    constructor(runMs: number) {
        const run = async (_request: unknown, cancellation: Cancellation): Promise<RunOutcome> => {
            this.runs += 1;
            cancellation.listen(() => this.cancelled += 1);
            await sleep(runMs);
            const body = Buffer.from("done");
            return { kind: "answer", status: 200, headers: [], body, runMs, waitedMs: 0, behind: "none", pressure: 0 };
        };
        this.remoteRuns = new RemoteRuns(clock, { run, getLoad: () => load }, new BodyBudget(clock, 100_000_000));
        this.server = new LinkServer({
            createHello: () => createHello(this.incarnation),
            handleHello: () => undefined,
            run: (message, link) => this.remoteRuns.start(message, link),
            cancel: (id, link) => this.remoteRuns.cancel(id, link),
            admitRun: bytes => this.remoteRuns.admit(bytes),
            refuseRun: (id, link) => this.remoteRuns.refuse(id, link),
            handleMessage: (message, link: AcceptedLink) => {
                if (message.kind === "ping") {
                    link.post({ kind: "pong", ...position, load });
                }
            },
            reportFailure: () => undefined,
        });
    }
}

/** Forwards connections, and can reset them, silence them, or refuse new ones. */
class FaultProxy {
    isDroppingData = false;
    isRefusingConnections = false;
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    constructor(targetPort: number) {
        this.server = createServer(clientSocket => {
            if (this.isRefusingConnections) {
                clientSocket.resetAndDestroy();
                return;
            }
            const wasDroppingData = this.isDroppingData;
            const serverSocket = connect(targetPort, address);
            for (const [from, to] of [[clientSocket, serverSocket], [serverSocket, clientSocket]] as const) {
                this.sockets.add(from);
                from.on("error", () => undefined);
                from.on("close", () => to.destroy());
                // Only connections that were open when the silence began are silent.
                from.on("data", chunk => this.isDroppingData && !wasDroppingData || to.write(chunk));
            }
        });
    }

    async start(host = address): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(0, host, resolve));
        return (this.server.address() as AddressInfo).port;
    }

    closeAll(): void {
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.sockets.clear();
    }

    stop(): void {
        this.server.close();
        this.closeAll();
    }
}

/** Links of a node that keeps nothing of what it hears. */
function createLinks(signal: AbortSignal, recordLostLink: (peer: string) => void = () => undefined): PeerLinks {
    return new PeerLinks({
        clock,
        random: Math.random,
        logger: silentLogger,
        createHello: () => createHello(9),
        getLogPosition: () => position,
        handleHello: () => undefined,
        handleMessage: () => undefined,
        recordLoad: () => undefined,
        recordLostLink,
        isKnownInstance: () => true,
    }, signal);
}

describe("links between nodes", () => {
    const cases: readonly {
        readonly name: string;
        readonly disturb: (proxy: FaultProxy, node: AnsweringNode) => void;
        readonly outcome: string;
    }[] = [
        { name: "carry a request and its answer", disturb: () => undefined, outcome: "answer" },
        {
            name: "that are reset while a request runs lose neither it nor its answer",
            disturb: proxy => proxy.closeAll(),
            outcome: "answer",
        },
        {
            name: "that fall silent while a request runs lose neither it nor its answer",
            disturb: proxy => proxy.isDroppingData = true,
            outcome: "answer",
        },
        {
            name: "leave the outcome open when another process answers",
            disturb: (proxy, node) => {
                node.incarnation = 2;
                proxy.closeAll();
            },
            outcome: "lost",
        },
        {
            name: "leave the outcome open when the other node can't be reached any more",
            disturb: proxy => {
                proxy.isRefusingConnections = true;
                proxy.closeAll();
            },
            outcome: "lost",
        },
    ];
    for (const { name, disturb, outcome } of cases) {
        it(name, async () => {
            const node = new AnsweringNode(600);
            const port = 10_000 + process.pid % 20_000;
            await node.server.start(address, port);
            const proxy = new FaultProxy(port);
            const stopping = new AbortController();
            const links = createLinks(stopping.signal);
            links.add(createRecord(address, { port: await proxy.start() }));
            void links.runLivenessChecks();
            const now = clock.readMonotonic();
            const run: PeerRunRequest = {
                attemptId: "a",
                sendNumber: 1,
                service: "katalog",
                route: "r",
                method: "POST",
                path: "/",
                headers: [],
                body: Buffer.alloc(0),
                isIdempotent: false,
                origin: { route: "r", priority: 0, isRepeated: false, depth: 0, servedBefore: 0, customer: undefined },
                deadline: now + 4000,
                target: now + 4000,
                callerService: "ekspor",
                leavingEndpoint: undefined,
                usualRunMs: 0,
            };
            const running = links.run(address, run, new Cancellation());
            await sleep(200);
            disturb(proxy, node);
            const result = await running;
            stopping.abort();
            links.close();
            proxy.stop();
            node.server.stop();
            expect(result.kind).equals(outcome);
            expect(node.runs).equals(1);
        });
    }

    it("are opened as soon as the other node opens one, not at the end of the pause after a refused attempt", async () => {
        const node = new AnsweringNode(1);
        const stopping = new AbortController();
        const links = createLinks(stopping.signal);
        const port = 10_000 + process.pid % 20_000;
        links.add(createRecord(address, { port }));
        links.keep(new Set([address]));
        await sleep(60);
        await node.server.start(address, port);
        await sleep(40);
        expect(links.isLinked(address)).equals(false);
        links.recordAlive(address);
        await sleep(60);
        expect(links.isLinked(address)).equals(true);
        stopping.abort();
        links.close();
        node.server.stop();
    });

    it("that fell silent together are all noticed soon after the first", async () => {
        const node = new AnsweringNode(1);
        const stopping = new AbortController();
        const lost: string[] = [];
        const links = createLinks(stopping.signal, peer => lost.push(peer));
        const port = 10_000 + process.pid % 20_000;
        await node.server.start("0.0.0.0", port);
        const peers = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];
        const proxies: FaultProxy[] = [];
        for (const peer of peers) {
            const proxy = new FaultProxy(port);
            proxies.push(proxy);
            links.add(createRecord(peer, { port: await proxy.start(peer) }));
        }
        links.keep(new Set(peers));
        void links.runLivenessChecks();
        await sleep(200);
        proxies.forEach(proxy => proxy.isDroppingData = true);
        links.ping(peers[0]!);
        await sleep(1300);
        stopping.abort();
        links.close();
        proxies.forEach(proxy => proxy.stop());
        node.server.stop();
        expect(lost.slice(0, 3)).to.have.members(peers);
    });
});
