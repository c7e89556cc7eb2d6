/** Choice among many instances by many nodes with few requests each, in virtual time. */
import { expect } from "chai";
import type { LoadReport } from "../../src/connection/linkMessage.js";
import { CrashFlood } from "../../src/process/endpoint/crashFlood.js";
import { InstanceSelector } from "../../src/process/load/instanceSelector.js";
import { LoadRefresher } from "../../src/process/load/loadRefresher.js";
import { Placement } from "../../src/process/load/placement.js";
import { RunTimeMonitor } from "../../src/process/load/runTimeMonitor.js";
import { InstanceRegistry } from "../../src/process/membership/instanceRegistry.js";
import { InstanceSubsets } from "../../src/process/membership/instanceSubset.js";
import { LinkKeeper } from "../../src/process/membership/linkKeeper.js";
import type { InstanceRecord } from "../../src/version/instanceRecord.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock } from "../fakes.js";
import { createRecord } from "./samples.js";

const dataCentres = ["klaten", "jepara", "solo", "troso", "pekalongan"];

function createFleet(size: number, service: string): InstanceRecord[] {
    return Array.from(
        { length: size },
        (_, index) =>
            createRecord(`10.${service.length}.${Math.floor(index / 200)}.${index % 200}`, {
                service,
                slots: 38,
                dataCentre: dataCentres[index % dataCentres.length]!,
            }),
    );
}

describe("subsets of the instances of a service", () => {
    const fleet = createFleet(97, "katalog");
    const subsetsOf = (record: InstanceRecord): InstanceSubsets =>
        new InstanceSubsets(record.address, record.dataCentre);

    it("hold a few instances, most of the own data centre, and each is in about as many", () => {
        const degrees = new Map<string, number>();
        const nodes = createFleet(195, "ekspor");
        for (const node of nodes) {
            const subset = subsetsOf(node).choose(fleet);
            expect(subset.length).equals(12);
            expect(subset.filter(each => each.dataCentre === node.dataCentre).length).equals(8);
            subset.forEach(({ address }) => degrees.set(address, (degrees.get(address) ?? 0) + 1));
        }
        const average = nodes.length * 12 / fleet.length;
        expect(degrees.size).equals(fleet.length);
        expect(Math.max(...degrees.values())).below(average * 2);
    });

    it("change only where an instance that left was in them", () => {
        const left = fleet.filter((_, index) => index !== 5);
        for (const node of fleet.slice(10, 40)) {
            const before = subsetsOf(node).choose(fleet).map(each => each.address);
            const after = subsetsOf(node).choose(left).map(each => each.address);
            const kept = before.filter(each => each !== fleet[5]!.address);
            expect(after).to.include.members(kept);
        }
    });

    it("leave out instances that take no work, and are the whole service when it is small", () => {
        const draining = fleet.map(each => each.dataCentre === "solo" ? { ...each, isTaking: false } : each);
        const subset = new InstanceSubsets("10.0.0.1", "solo").choose(draining);
        expect(subset.length).equals(12);
        expect(subset.some(each => each.dataCentre === "solo")).equals(false);
        expect(subsetsOf(fleet[0]!).choose(fleet.slice(0, 16))).deep.equals(fleet.slice(0, 16));
    });

    it("keep the number of links of a node where it is when the number of nodes grows", () => {
        const counts = [60, 195, 920].map(size => {
            const registry = new InstanceRegistry();
            for (const service of ["katalog", "kasbenang", "mutu"]) {
                createFleet(size / 3, service).forEach(record => registry.put(record));
            }
            const subsets = new InstanceSubsets("10.0.0.1", "solo");
            const keeper = new LinkKeeper(new FakeClock(), "mutu", registry, subsets, () => []);
            keeper.recordUse("katalog");
            return keeper.chooseAddresses().size;
        });
        expect(Math.max(...counts)).at.most(30);
        expect(Math.min(...counts)).at.least(24);
    });
});

/** Nodes that choose among instances whose runs take a while; loads travel only by pings and answers. */
class Fleet {
    readonly arrivals = new Map<string, number>();
    /** Pings sent. */
    pings = 0;
    /** Requests that were sent to an instance that is lost without a sign. */
    lost = 0;
    readonly clock = new FakeClock();
    private readonly running = new Map<string, number>();
    private readonly monitors = new Map<string, RunTimeMonitor>();
    private readonly nodes: { readonly selector: InstanceSelector; readonly placement: Placement; }[];

    constructor(
        private readonly instances: readonly InstanceRecord[],
        nodes: number,
        private readonly getRunMs: (address: string) => number,
        private readonly isLost: (address: string) => boolean,
    ) {
        const random = createRandom(7);
        const registry = new InstanceRegistry();
        instances.forEach(record => registry.put(record));
        instances.forEach(({ address }) => this.monitors.set(address, new RunTimeMonitor(this.clock)));
        this.nodes = createFleet(nodes, "ekspor").map(({ address, dataCentre }) => {
            const subsets = new InstanceSubsets(address, dataCentre);
            const placement = new Placement(this.clock, random, address, dataCentre, () => true);
            const loadRefresher: LoadRefresher = new LoadRefresher({
                clock: this.clock,
                random,
                dataCentre,
                getLoadAgeMs: peer => placement.getLoadAgeMs(peer),
                ping: peer => {
                    this.pings += 1;
                    if (!isLost(peer)) {
                        this.clock.startTimer(2, () => {
                            placement.recordLoad(peer, this.getLoad(peer));
                            loadRefresher.recordLoad(peer);
                        });
                    }
                    return true;
                },
            });
            const selector = new InstanceSelector({
                random,
                registry,
                subsets,
                placement,
                loadRefresher,
                linkKeeper: { recordUse: () => false },
                keepLinks: () => undefined,
                refreshOwnLoad: () => undefined,
            });
            return { selector, placement };
        });
    }

    /** Sends `perSecond` requests a second for a while, each from a random node. */
    async play(perSecond: number, seconds: number): Promise<void> {
        const random = createRandom(11);
        for (let sent = 0; sent < perSecond * seconds; sent += 1) {
            void this.send(this.nodes[Math.floor(random() * this.nodes.length)]!);
            this.clock.addTime(1000 / perSecond);
            // Lets requests go on whose loads have arrived.
            await new Promise<void>(resolve => setImmediate(resolve));
        }
    }

    /** Requests of the busiest instance, as a multiple of the average. */
    computeImbalance(): number {
        const counts = this.instances.map(({ address }) => this.arrivals.get(address) ?? 0);
        return Math.max(...counts) * counts.length / counts.reduce((sum, count) => sum + count, 0);
    }

    private async send({ selector, placement }: typeof this.nodes[number]): Promise<void> {
        const chosen = await selector.select("katalog", new Set());
        const address = chosen?.address ?? expect.fail();
        this.arrivals.set(address, (this.arrivals.get(address) ?? 0) + 1);
        placement.startRequest(address);
        if (this.isLost(address)) {
            this.lost += 1;
            return;
        }
        this.running.set(address, (this.running.get(address) ?? 0) + 1);
        const recordEnd = this.monitors.get(address)!.start(400);
        this.clock.startTimer(this.getRunMs(address), () => {
            recordEnd();
            this.running.set(address, this.running.get(address)! - 1);
            placement.endRequest(address);
            placement.recordLoad(address, this.getLoad(address));
        });
    }

    private getLoad(address: string): LoadReport {
        return {
            running: this.running.get(address) ?? 0,
            waiting: 0,
            limit: 38,
            failureShare: 0,
            isSettled: true,
            shedShare: 0,
            slowness: this.monitors.get(address)!.getAverage(),
        };
    }
}

describe("placement by many nodes with few requests each", () => {
    const instances = createFleet(97, "katalog");
    const slow = new Set(instances.filter((_, index) => index % 6 === 0).map(each => each.address));
    const cases: readonly {
        readonly name: string;
        readonly runMs: (address: string) => number;
        readonly isLost: (address: string) => boolean;
        readonly check: (fleet: Fleet) => void;
    }[] = [
        {
            name: "spreads the requests over the instances, at less than one ping for two requests",
            runMs: () => 400,
            isLost: () => false,
            check: fleet => {
                expect(fleet.computeImbalance()).below(1.7);
                expect(fleet.pings).below(497 * 8 / 2);
            },
        },
        {
            name: "passes slow instances over, whatever each node has seen of them itself",
            runMs: address => slow.has(address) ? 2000 : 400,
            isLost: () => false,
            check: fleet => {
                const count = [...slow].reduce((sum, address) => sum + (fleet.arrivals.get(address) ?? 0), 0);
                expect(count / (497 * 8)).below(0.06);
            },
        },
        {
            name: "sends almost nothing to instances that were lost without a sign",
            runMs: () => 400,
            isLost: address => slow.has(address),
            check: fleet => expect(fleet.lost / (497 * 8)).below(0.01),
        },
    ];
    for (const { name, runMs, isLost, check } of cases) {
        it(name, async () => {
            const fleet = new Fleet(instances, 195, runMs, isLost);
            await fleet.play(497, 8);
            check(fleet);
        }).timeout(20_000);
    }
});

describe("the slowness that a node measures at its endpoint", () => {
    const cases: readonly {
        readonly name: string;
        readonly play: (monitor: RunTimeMonitor, clock: FakeClock) => void;
        readonly average: number;
    }[] = [
        { name: "is not known before the first run", play: () => undefined, average: 0 },
        {
            name: "shows that an endpoint turned slow before its runs end",
            play: (monitor, clock) => {
                Array.from({ length: 4 }, () => monitor.start(100));
                clock.addTime(900);
            },
            average: 18,
        },
        {
            name: "is forgotten when no run ended for a while, so that it is tried again",
            play: (monitor, clock) => {
                const end = monitor.start(100);
                clock.addTime(900);
                end();
                clock.addTime(2500);
            },
            average: 0,
        },
        {
            name: "follows at once what the endpoint states of its machine",
            play: (monitor, clock) => {
                const end = monitor.start(100);
                clock.addTime(200);
                end();
                monitor.recordSlowness(2.5);
            },
            average: 5,
        },
        {
            name: "is averaged as if the machine were as usual, so that a short slowdown leaves no trace",
            play: (monitor, clock) => {
                monitor.recordSlowness(2.5);
                const end = monitor.start(100);
                clock.addTime(400);
                monitor.recordSlowness(2.5);
                clock.addTime(100);
                end();
                monitor.recordSlowness(1);
            },
            average: 2,
        },
        {
            name: "is that of the endpoint, whatever routes its runs belong to",
            play: (monitor, clock) => {
                const longRuns = Array.from({ length: 3 }, () => monitor.start(240));
                for (let run = 0; run < 40; run += 1) {
                    const end = monitor.start(15);
                    clock.addTime(6);
                    end();
                }
                longRuns.forEach(end => end());
            },
            // The short runs took 0.4 of their usual time, and the long ones, which ended last, all of it.
            average: 0.4 + 0.6 * (1 - 0.9 ** 3),
        },
        {
            name: "does not follow an old statement",
            play: (monitor, clock) => {
                const end = monitor.start(100);
                clock.addTime(200);
                end();
                monitor.recordSlowness(2.5);
                clock.addTime(600);
            },
            average: 2,
        },
    ];
    for (const { name, play, average } of cases) {
        it(name, () => {
            const clock = new FakeClock();
            const monitor = new RunTimeMonitor(clock);
            play(monitor, clock);
            expect(monitor.getAverage()).closeTo(average, 0.01);
        });
    }
});

describe("reports of crashes among nodes with links to a few others", () => {
    it("reach each node of the service, and each passes them on once", () => {
        const instances = createFleet(97, "katalog");
        const recorded = new Map<string, number>();
        const floods = new Map<string, CrashFlood>();
        let messages = 0;
        for (const { address, dataCentre } of instances) {
            const subset = new InstanceSubsets(address, dataCentre).choose(instances);
            const recordCrash = (): boolean => {
                recorded.set(address, (recorded.get(address) ?? 0) + 1);
                return false;
            };
            floods.set(
                address,
                new CrashFlood({ recordCrash }, report => {
                    messages += subset.length;
                    subset.forEach(each => floods.get(each.address)!.receive(report));
                }),
            );
        }
        const [first] = floods.values();
        first!.report({ incident: "i", fingerprints: ["f"] });
        expect([...recorded.values()].every(count => count === 1)).equals(true);
        expect(recorded.size).at.least(96);
        expect(messages).at.most(97 * 12);
    });
});
