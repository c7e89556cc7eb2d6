/** Which nodes follow the log, and how records and versions reach the others. */
import { expect } from "chai";
import type { LinkMessage } from "../../src/connection/linkMessage.js";
import { InstanceRegistry } from "../../src/process/membership/instanceRegistry.js";
import { LogReaders } from "../../src/process/membership/logReaders.js";
import { PeerGossip } from "../../src/process/membership/peerGossip.js";
import { ConfigurationHolder } from "../../src/version/configurationHolder.js";
import type { InstanceRecord } from "../../src/version/instanceRecord.js";
import { parseInstanceRecord } from "../../src/version/instanceRecord.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";
import { createRecord, createRoute, formatConfiguration } from "./samples.js";

const dataCentres = ["klaten", "jepara", "solo"];
const fleet = Array.from(
    { length: 60 },
    (_, index) => createRecord(`10.0.0.${index}`, { dataCentre: dataCentres[index % 3]! }),
);

describe("readers of the log", () => {
    /** Views of all nodes; `lost` are the addresses that nobody reaches. */
    const createViews = (clock: FakeClock, lost: ReadonlySet<string>): Map<string, LogReaders> => {
        const registry = new InstanceRegistry();
        fleet.forEach(record => registry.put(record));
        return new Map(fleet.map(({ address, dataCentre }) => {
            const isReachable = (peer: string): boolean => !lost.has(peer);
            return [address, new LogReaders(clock, registry, address, dataCentre, isReachable, 0)];
        }));
    };
    const listFollowers = (views: Map<string, LogReaders>): string[] =>
        [...views].filter(([, view]) => view.isFollowerNeeded()).map(([address]) => address);

    it("are one of each data centre, which each other node is in contact with", () => {
        const views = createViews(new FakeClock(), new Set());
        const readers = listFollowers(views);
        const places = readers.map(address => fleet.find(record => record.address === address)!.dataCentre);
        expect(places).to.have.members(dataCentres);
        for (const [address, view] of views) {
            expect(view.listContacts()).to.have.members(readers.filter(reader => reader !== address));
        }
    });

    it("are replaced when nobody reaches them", () => {
        const first = listFollowers(createViews(new FakeClock(), new Set()));
        const views = createViews(new FakeClock(), new Set(first));
        const second = listFollowers(views).filter(address => !first.includes(address));
        expect(second.length).equals(3);
    });

    const cases: readonly {
        readonly name: string;
        readonly play: (view: LogReaders, clock: FakeClock) => void;
        readonly isFollower: boolean;
    }[] = [
        {
            name: "is left alone while they follow the log",
            play: (view, clock) => {
                for (let turn = 0; turn < 20; turn += 1) {
                    clock.addTime(450);
                    view.recordContact(true);
                }
            },
            isFollower: false,
        },
        { name: "is not heard for longer than a lost ping", play: (_, clock) => clock.addTime(1600), isFollower: true },
        {
            name: "says that the log fails",
            play: (view, clock) => {
                for (let turn = 0; turn < 4; turn += 1) {
                    clock.addTime(450);
                    view.recordContact(false);
                }
            },
            isFollower: true,
        },
        {
            name: "is heard again, but not for long yet",
            play: (view, clock) => {
                clock.addTime(1600);
                view.isFollowerNeeded();
                clock.addTime(100);
                view.recordContact(true);
            },
            isFollower: true,
        },
        {
            name: "is heard again for a while",
            play: (view, clock) => {
                clock.addTime(1600);
                view.isFollowerNeeded();
                for (let turn = 0; turn < 15; turn += 1) {
                    clock.addTime(450);
                    view.recordContact(true);
                }
            },
            isFollower: false,
        },
    ];
    for (const { name, play, isFollower } of cases) {
        it(`${isFollower ? "are joined by" : "leave alone"} a node when its reader ${name}`, () => {
            const clock = new FakeClock();
            const views = createViews(clock, new Set());
            const readers = listFollowers(views);
            const [, view] = [...views].find(([address]) => !readers.includes(address))!;
            play(view, clock);
            expect(view.isFollowerNeeded()).equals(isFollower);
        });
    }
});

/** Nodes with links to twelve others each; messages arrive at once. */
class Net {
    readonly nodes = new Map<
        string,
        { gossip: PeerGossip; registry: InstanceRegistry; holder: ConfigurationHolder; }
    >();
    readonly clock = new FakeClock();
    messages = 0;

    constructor() {
        const random = createRandom(3);
        for (const { address } of fleet) {
            const linked = Array.from({ length: 12 }, () => fleet[Math.floor(random() * fleet.length)]!.address);
            const holder = new ConfigurationHolder();
            const registry = new InstanceRegistry();
            const gossip: PeerGossip = new PeerGossip({
                clock: this.clock,
                random,
                configurationHolder: holder,
                registry,
                adoptConfiguration: text => holder.adoptIfNewer(text),
                putRecord: text => {
                    const record = parseInstanceRecord(text)!;
                    if (registry.put(record)) {
                        gossip.forwardRecord(record);
                    }
                },
                listLinked: () => linked,
                ping: peer => this.send(address, peer, this.createPing(address)),
                post: (peer, message) => this.send(address, peer, message),
                listReaders: () => [],
                handleLogPosition: () => undefined,
            });
            holder.addListener(() => gossip.announceVersion());
            this.nodes.set(address, { gossip, registry, holder });
        }
    }

    private createPing(address: string): LinkMessage {
        const version = this.nodes.get(address)!.holder.getVersion();
        return { kind: "ping", version, era: 0, isFollowing: false };
    }

    private send(from: string, to: string, message: LinkMessage): void {
        this.messages += 1;
        this.nodes.get(to)!.gossip.handleMessage(message, reply => this.send(to, from, reply));
    }
}

describe("gossip among nodes with links to a few others", () => {
    it("brings a record of a new instance to almost all nodes at once, and an older one to none", () => {
        const net = new Net();
        const joined: InstanceRecord = createRecord("10.0.1.1", { revision: 5 });
        const first = net.nodes.get("10.0.0.7")!;
        first.registry.put(joined);
        first.gossip.forwardRecord(joined);
        net.clock.addTime(2000);
        const knowing = [...net.nodes.values()].filter(node => node.registry.get("10.0.1.1") !== undefined);
        expect(knowing.length).at.least(fleet.length * 0.9);
        const messages = net.messages;
        expect(messages).at.most(fleet.length * 4);
        first.gossip.handleMessage(
            { kind: "instances", records: [JSON.stringify({ ...joined, slots: 1, revision: 4 })] },
            () => undefined,
        );
        net.clock.addTime(2000);
        expect(net.messages).equals(messages);
    });

    it("brings a new version to almost all nodes at once, also those that can't read the log", () => {
        const net = new Net();
        net.nodes.get("10.0.0.7")!.holder.adoptIfNewer(formatConfiguration(9, [createRoute()]));
        const adopted = [...net.nodes.values()].filter(node => node.holder.getVersion() === 9);
        expect(adopted.length).at.least(fleet.length * 0.85);
    });
});
