/** What nodes of a service tell each other of requests that crash endpoints, and how long a start waits for that. */
import { expect } from "chai";
import type { EndpointConnectionPool } from "../../src/connection/endpointConnectionPool.js";
import type { HelloMessage } from "../../src/connection/link.js";
import type { LinkMessage } from "../../src/connection/linkMessage.js";
import { EndpointLifecycle } from "../../src/process/endpoint/endpointLifecycle.js";
import { EndpointState } from "../../src/process/endpoint/endpointState.js";
import { Quarantine, quarantineMs } from "../../src/process/endpoint/quarantine.js";
import { SuspectExchange } from "../../src/process/endpoint/suspectExchange.js";
import { ConfigurationHolder } from "../../src/version/configurationHolder.js";
import { FakeClock, silentLogger } from "../fakes.js";

const peer = "10.0.0.2";
const otherPeer = "10.0.0.3";
const foreign = "10.0.9.9";

/** One node of a service with two others, which start at the same time if it is a first start. */
class Node {
    readonly warnings: string[] = [];
    readonly quarantine: Quarantine;
    readonly exchange: SuspectExchange;
    readonly unreachable = new Set<string>();
    readonly replies: LinkMessage[] = [];
    arePeersKnown = true;
    peers = [peer, otherPeer];

    constructor(readonly clock: FakeClock, isFirstStart = false) {
        this.quarantine = new Quarantine(clock);
        this.exchange = new SuspectExchange({
            logger: { ...silentLogger, warn: event => void this.warnings.push(event) },
            quarantine: this.quarantine,
            isFirstStart,
            arePeersKnown: () => this.arePeersKnown,
            listPeers: () => this.peers,
            isPeer: address => this.peers.includes(address),
            isReachable: address => !this.unreachable.has(address),
        });
    }

    receiveHello(address: string, suspectCount: unknown): void {
        const hello = {
            kind: "hello",
            address,
            incarnation: 1,
            version: 1,
            record: "{}",
            suspectCount,
        } as HelloMessage;
        this.exchange.handleHello(hello, message => this.replies.push(message));
    }

    receiveSuspects(address: string, items: unknown): void {
        const message = { kind: "suspects", items } as LinkMessage;
        this.exchange.handleMessage(address, message, reply => this.replies.push(reply));
    }

    /** What it tells whoever asks. */
    answer(): Extract<LinkMessage, { kind: "suspects"; }> {
        const replies: LinkMessage[] = [];
        this.exchange.handleMessage(peer, { kind: "ask", topic: "suspects" }, reply => replies.push(reply));
        expect(replies.length).equals(1);
        return replies[0] as Extract<LinkMessage, { kind: "suspects"; }>;
    }
}

const refused = ["f", 500_000, ["a/1", "b/1"]];

describe("a node that starts knows what others know of crashes", () => {
    const cases: readonly {
        readonly name: string;
        readonly isFirstStart?: boolean;
        readonly play: (node: Node) => void;
        readonly isInformed: boolean;
        readonly isAsking?: boolean;
    }[] = [
        {
            name: "at once where all start for the first time",
            isFirstStart: true,
            play: () => undefined,
            isInformed: true,
        },
        { name: "not before another one said hello", play: () => undefined, isInformed: false },
        { name: "not before the others are known", play: node => node.arePeersKnown = false, isInformed: false },
        { name: "when it is the only one of its service", play: node => node.peers = [], isInformed: true },
        { name: "when one says that it suspects nothing", play: node => node.receiveHello(peer, 0), isInformed: true },
        {
            name: "not yet when one states suspects",
            play: node => node.receiveHello(peer, 2),
            isInformed: false,
            isAsking: true,
        },
        { name: "not from a node of another service", play: node => node.receiveHello(foreign, 0), isInformed: false },
        {
            name: "when one has told its suspects",
            play: node => {
                node.receiveHello(peer, 1);
                node.receiveSuspects(peer, [refused]);
            },
            isInformed: true,
            isAsking: true,
        },
        {
            name: "not from one of two that don't tell",
            play: node => node.receiveHello(peer, undefined),
            isInformed: false,
        },
        {
            name: "as far as it can when no other one tells, as earlier builds don't",
            play: node => {
                node.receiveHello(peer, undefined);
                node.receiveHello(otherPeer, undefined);
            },
            isInformed: true,
        },
        {
            name: "as far as it can when the others can't be reached",
            play: node => {
                node.receiveHello(peer, undefined);
                node.unreachable.add(otherPeer);
            },
            isInformed: true,
        },
        {
            name: "as far as it can when all others say odd things",
            play: node => {
                node.receiveHello(peer, "many");
                node.receiveHello(otherPeer, 1);
                node.receiveSuspects(otherPeer, 7);
            },
            isInformed: true,
            isAsking: true,
        },
    ];
    for (const { name, isFirstStart, play, isInformed, isAsking = false } of cases) {
        it(name, () => {
            const node = new Node(new FakeClock(), isFirstStart);
            play(node);
            expect(node.exchange.isInformed()).equals(isInformed);
            expect(node.replies).deep.equals(isAsking ? [{ kind: "ask", topic: "suspects" }] : []);
            if (!isInformed) {
                expect(node.exchange.countSuspects()).equals(undefined);
            }
        });
    }
});

describe("suspects that nodes tell each other", () => {
    it("are refused and expire at both as at one", () => {
        const clock = new FakeClock();
        const [knowing, starting] = [new Node(clock, true), new Node(clock)];
        knowing.quarantine.recordCrash("once", "a/1");
        knowing.quarantine.recordCrash("twice", "a/1");
        knowing.quarantine.recordCrash("twice", "b/1");
        clock.addTime(quarantineMs / 2);
        starting.receiveSuspects(peer, knowing.answer().items);
        expect(starting.exchange.countSuspects()).equals(2);
        expect([starting.quarantine.isSuspect("once"), starting.quarantine.isRefused("once")]).deep.equals([
            true,
            false,
        ]);
        expect(starting.quarantine.isRefused("twice")).equals(true);
        clock.addTime(quarantineMs / 2 + 1);
        expect(starting.quarantine.isRefused("twice")).equals(false);
    });

    it("count each crash once, by whatever way it is heard of", () => {
        const node = new Node(new FakeClock());
        node.quarantine.recordCrash("f", "a/1");
        node.receiveSuspects(peer, [["f", 1000, ["a/1"]]]);
        expect(node.quarantine.isRefused("f")).equals(false);
        node.receiveSuspects(otherPeer, [["f", 1000, ["b/1"]]]);
        expect(node.quarantine.isRefused("f")).equals(true);
    });

    it("are not believed of a request that completed here", () => {
        const node = new Node(new FakeClock());
        node.quarantine.recordCompleted("f");
        node.receiveSuspects(peer, [refused]);
        expect(node.quarantine.isSuspect("f")).equals(false);
    });

    it("are the refused ones and the newest, where there are too many for a message", () => {
        const node = new Node(new FakeClock(), true);
        node.quarantine.recordCrash("twice", "a/1");
        node.quarantine.recordCrash("twice", "b/1");
        for (let number = 0; number < 5000; number += 1) {
            node.quarantine.recordCrash(`f${number}`, `c/${number}`);
        }
        const told = node.answer().items.map(([fingerprint]) => fingerprint);
        expect([told.length, told[0], told[1], told[255]]).deep.equals([256, "twice", "f4999", "f4745"]);
    });

    const long = "x".repeat(129);
    const odd: readonly { readonly name: string; readonly items: unknown; }[] = [
        { name: "an item that is no list", items: [refused, 3] },
        { name: "an empty item", items: [[], refused] },
        { name: "a fingerprint that is a number", items: [[5, 1000, ["a/1", "b/1"]], refused] },
        { name: "a fingerprint that is too long", items: [[long, 1000, ["a/1", "b/1"]], refused] },
        { name: "a time that is no number", items: [["g", "x", ["a/1"]], refused] },
        { name: "a time that is not a number", items: [["g", NaN, ["a/1"]], refused] },
        { name: "a time that is over", items: [["g", -1, ["a/1"]], refused] },
        { name: "no crashes", items: [["g", 1000, []], refused] },
        {
            name: "too many crashes",
            items: [["g", 1000, Array.from({ length: 17 }, (_, index) => `a/${index}`)], refused],
        },
        { name: "crashes that are too long", items: [["g", 1000, [long, "a/1"]], refused] },
        {
            name: "too many items",
            items: [refused, ...Array.from({ length: 300 }, (_, index) => [`h${index}`, 1, ["a"]])],
        },
    ];
    for (const { name, items } of odd) {
        it(`are read and logged when they hold ${name}, and all others count`, () => {
            const node = new Node(new FakeClock());
            node.receiveSuspects(peer, items);
            expect(node.warnings).deep.equals(["suspectsSkipped"]);
            expect(node.quarantine.isRefused("f")).equals(true);
            expect([node.quarantine.isSuspect("g"), node.quarantine.isSuspect(long)]).deep.equals([false, false]);
            expect(node.exchange.countSuspects()).at.most(256);
        });
    }

    it("stay suspect no longer than at the node where it crashed, whatever time is told", () => {
        const clock = new FakeClock();
        const node = new Node(clock);
        node.receiveSuspects(peer, [["f", Infinity, ["a/1", "b/1"]]]);
        clock.addTime(quarantineMs + 1);
        expect(node.quarantine.isRefused("f")).equals(false);
    });

    it("don't lift what is known here when a list is malformed", () => {
        const node = new Node(new FakeClock());
        node.receiveSuspects(peer, [refused]);
        node.receiveSuspects(otherPeer, { length: 3 });
        expect(node.quarantine.isRefused("f")).equals(true);
    });
});

describe("wait of a start for what was known before", () => {
    /** Starts the lifecycle of a restarted node; returns how long it waited on the fake clock. */
    const restore = async (play: { contactAtMs: number; informedAtMs: number; }): Promise<number> => {
        const clock = new FakeClock();
        const startedAt = clock.readMonotonic();
        const stop = new AbortController();
        const hasPassed = (milliseconds: number): boolean => clock.readMonotonic() - startedAt >= milliseconds;
        let waitedMs = -1;
        const lifecycle: EndpointLifecycle = new EndpointLifecycle({
            clock,
            logger: silentLogger,
            service: "katalog",
            endpoint: new EndpointState(clock),
            pool: undefined as unknown as EndpointConnectionPool,
            clusterState: {
                configurationHolder: new ConfigurationHolder(),
                hasOwnRecord: () => hasPassed(play.contactAtMs),
                publishOwnRecord: () => undefined,
            },
            isFirstStart: false,
            suspects: { hasContact: () => hasPassed(play.contactAtMs), isInformed: () => hasPassed(play.informedAtMs) },
            refuseWaiting: () => undefined,
            announceLoad: () => {
                waitedMs = clock.readMonotonic() - startedAt;
                stop.abort();
            },
            announceRecord: () => undefined,
        });
        expect(lifecycle.isRestored()).equals(false);
        await lifecycle.restore(stop.signal);
        expect(lifecycle.isRestored()).equals(true);
        return waitedMs;
    };
    const cases = [
        { name: "ends when others have told", contactAtMs: 0, informedAtMs: 60, waitedMs: 60 },
        { name: "ends after a second in which nobody tells", contactAtMs: 0, informedAtMs: Infinity, waitedMs: 1000 },
        { name: "begins when requests can come", contactAtMs: 5000, informedAtMs: 5040, waitedMs: 5040 },
        { name: "ends a second after that", contactAtMs: 5000, informedAtMs: Infinity, waitedMs: 6000 },
    ];
    for (const { name, waitedMs, ...play } of cases) {
        it(name, async () => expect(await restore(play)).equals(waitedMs));
    }
});
