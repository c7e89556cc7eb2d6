/**
 * A key that is taken away, at a node that the store turns away: it learns the version from the readers of the log that
 * it is in contact with, within the bound, whatever part of them is silent and however large the configuration is.
 */
import { expect } from "chai";
import fc from "fast-check";
import { encodeMessage } from "../../src/connection/linkCodec.js";
import type { LinkMessage } from "../../src/connection/linkMessage.js";
import { MessageReader } from "../../src/connection/messageReader.js";
import { InstanceRegistry } from "../../src/process/membership/instanceRegistry.js";
import { PeerGossip } from "../../src/process/membership/peerGossip.js";
import { ConfigurationHolder } from "../../src/version/configurationHolder.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock, readPropertyOptions } from "../fakes.js";
import { createRoute, formatConfiguration } from "./samples.js";

/** Time within which a version is to bind nodes in touch, in milliseconds. */
const boundMs = 2500;
/** Step of the play, in milliseconds. */
const stepMs = 10;
const readerNames = ["reader1", "reader2", "reader3"];

/** Clock whose sleeps end when a test moves it so far. */
class SteppedClock extends FakeClock {
    override sleep(milliseconds: number): Promise<void> {
        return new Promise(resolve => this.startTimer(milliseconds, resolve));
    }

    /** Moves the time in steps, between which tasks run. */
    async play(milliseconds: number, isOver: () => boolean): Promise<number> {
        const startedAt = this.readMonotonic();
        while (this.readMonotonic() - startedAt < milliseconds && !isOver()) {
            this.addTime(stepMs);
            await new Promise<void>(resolve => setImmediate(resolve));
        }
        return this.readMonotonic() - startedAt;
    }
}

/** A node without a store, in contact with three readers. Messages take the bytes and the time of a link. */
class Contacts {
    readonly clock = new SteppedClock();
    readonly silent = new Set<string>();
    readonly holders = new Map<string, ConfigurationHolder>();
    private readonly gossips = new Map<string, PeerGossip>();
    private readonly random: () => number;

    constructor(seed: number, private readonly linkMs: number) {
        this.random = createRandom(seed);
        for (const name of ["node", ...readerNames]) {
            const holder = new ConfigurationHolder();
            this.holders.set(name, holder);
            this.gossips.set(name, this.createGossip(name, holder));
        }
    }

    get node(): ConfigurationHolder {
        return this.holders.get("node")!;
    }

    start(signal: AbortSignal): void {
        void this.gossips.get("node")!.runContacts(signal);
    }

    publish(version: number, keys: readonly string[]): void {
        const customers = [{ name: "others", keys: Array.from({ length: 5000 }, (_, index) => `key-${index}`) }];
        const text = formatConfiguration(version, [createRoute()], [...customers, { name: "weavers", keys }]);
        readerNames.forEach(name => this.holders.get(name)!.adoptIfNewer(text));
    }

    private createGossip(name: string, holder: ConfigurationHolder): PeerGossip {
        return new PeerGossip({
            clock: this.clock,
            random: this.random,
            configurationHolder: holder,
            registry: new InstanceRegistry(),
            adoptConfiguration: text => holder.adoptIfNewer(text),
            putRecord: () => undefined,
            listLinked: () => [],
            ping: peer => this.send(name, peer, this.describe(name, "ping")),
            post: (peer, message) => this.send(name, peer, message),
            listReaders: () => readerNames,
            handleLogPosition: () => undefined,
        });
    }

    private describe(name: string, kind: "ping" | "pong"): LinkMessage {
        const position = { version: this.holders.get(name)!.getVersion(), era: 0, isFollowing: true };
        return kind === "ping"
            ? { kind, ...position }
            : {
                kind,
                ...position,
                load: { running: 0, waiting: 0, limit: 1, failureShare: 0, isSettled: true, shedShare: 0, slowness: 0 },
            };
    }

    private send(from: string, to: string, message: LinkMessage): void {
        if (this.silent.has(to) || this.silent.has(from)) {
            return;
        }
        const [received] = new MessageReader().read(encodeMessage(message)) ?? expect.fail();
        this.clock.startTimer(this.linkMs, () => {
            this.gossips.get(to)!.handleMessage(received!, reply => this.send(to, from, reply));
            if (received!.kind === "ping") {
                this.send(to, from, this.describe(to, "pong"));
            }
        });
    }
}

describe("a key that is taken away", () => {
    const isRefused = (holder: ConfigurationHolder): boolean =>
        holder.getTable()?.customers.findByKey("k-weavers") === undefined;

    it("is refused within the bound by a node without a store, while one of three readers answers", async () => {
        const draws = fc.record({
            seed: fc.integer(),
            silent: fc.subarray(readerNames, { maxLength: 2 }),
            linkMs: fc.integer({ min: 1, max: 100 }),
            phaseMs: fc.integer({ min: 0, max: 2000 }),
        });
        await fc.assert(
            fc.asyncProperty(draws, async ({ seed, silent, linkMs, phaseMs }) => {
                const contacts = new Contacts(seed, linkMs);
                const controller = new AbortController();
                contacts.start(controller.signal);
                contacts.publish(1, ["k-weavers"]);
                await contacts.clock.play(10_000, () => contacts.node.getVersion() === 1);
                expect(isRefused(contacts.node)).equals(false);
                await contacts.clock.play(phaseMs, () => false);
                silent.forEach(name => contacts.silent.add(name));
                contacts.publish(2, []);
                const elapsedMs = await contacts.clock.play(10_000, () => isRefused(contacts.node));
                controller.abort();
                expect(elapsedMs).below(boundMs);
            }),
            readPropertyOptions(15),
        );
    });

    it("is taken on by a node without any contact, by the version that it has, until it hears of another", async () => {
        const contacts = new Contacts(1, 5);
        const controller = new AbortController();
        contacts.start(controller.signal);
        contacts.publish(1, ["k-weavers"]);
        await contacts.clock.play(2000, () => false);
        readerNames.forEach(name => contacts.silent.add(name));
        contacts.publish(2, []);
        await contacts.clock.play(60_000, () => false);
        expect([contacts.node.getVersion(), isRefused(contacts.node)]).deep.equals([1, false]);
        contacts.silent.clear();
        const elapsedMs = await contacts.clock.play(10_000, () => isRefused(contacts.node));
        controller.abort();
        expect(elapsedMs).below(boundMs);
    });

    it("is not held again by a late version of before", () => {
        const holder = new ConfigurationHolder();
        const formatVersion = (version: number, keys: readonly string[]): string =>
            formatConfiguration(version, [createRoute()], [{ name: "weavers", keys }]);
        holder.adoptIfNewer(formatVersion(1, ["k-weavers"]));
        holder.adoptIfNewer(formatVersion(2, []));
        expect(holder.adoptIfNewer(formatVersion(1, ["k-weavers"])).kind).equals("older");
        expect(isRefused(holder)).equals(true);
    });
});
