/** Decisions of the routed node, apart from input and output, in virtual time. */
import { expect } from "chai";
import fc from "fast-check";
import type { LoadReport } from "../../src/connection/linkMessage.js";
import { EndpointState } from "../../src/process/endpoint/endpointState.js";
import { Placement } from "../../src/process/load/placement.js";
import { RunsInProgress } from "../../src/process/load/runsInProgress.js";
import { WeightedRoundRobin } from "../../src/process/load/weightedRoundRobin.js";
import { InstanceRegistry } from "../../src/process/membership/instanceRegistry.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock, readPropertyOptions } from "../fakes.js";
import { createRecord, createRoute } from "./samples.js";

describe("shares of a split route", () => {
    it("keeps each share within one request of its weight, over any run of requests", () => {
        fc.assert(
            fc.property(
                fc.array(fc.integer({ min: 1, max: 99 }), { minLength: 2, maxLength: 4 }),
                fc.integer({ min: 1, max: 400 }),
                fc.integer(),
                (weights, requests, seed) => {
                    const roundRobin = new WeightedRoundRobin(createRandom(seed));
                    const shares = weights.map((weight, index) => ({ service: `s${index}`, weight }));
                    const route = createRoute({ shares });
                    const counts = new Map<string, number>();
                    for (let index = 0; index < requests; index += 1) {
                        const service = roundRobin.chooseService(route);
                        counts.set(service, (counts.get(service) ?? 0) + 1);
                    }
                    const total = weights.reduce((sum, weight) => sum + weight, 0);
                    for (const { service, weight } of shares) {
                        expect(counts.get(service) ?? 0).closeTo(requests * weight / total, weights.length);
                    }
                },
            ),
            readPropertyOptions(200),
        );
    });
});

describe("shares of a split route over many nodes", () => {
    it("are kept though each node has few requests", () => {
        const random = createRandom(9);
        const shares = [{ service: "new", weight: 10 }, { service: "old", weight: 90 }];
        let taken = 0;
        for (let node = 0; node < 300; node += 1) {
            const roundRobin = new WeightedRoundRobin(random);
            for (let request = 0; request < 4; request += 1) {
                taken += roundRobin.chooseService(createRoute({ shares })) === "new" ? 1 : 0;
            }
        }
        expect(taken / 1200).within(0.08, 0.12);
    });
});

describe("runs in progress", () => {
    it("tell that a call met a crowded service, and how full it was, whatever else its calls met", () => {
        const runs = new RunsInProgress();
        const run = runs.start("a", {
            route: "page",
            priority: 2,
            isRepeated: false,
            depth: 0,
            servedBefore: 0,
            customer: undefined,
        }, "page");
        runs.find("a")?.recordCall("failure", 10, 0.5);
        runs.find("a")?.recordCall("crowd", 20, 1.25);
        runs.find("a")?.recordCall("none", 5, 0.25);
        expect([run.getDownstreamProblem(), run.getWaitedMs(), run.getDownstreamUtilisation()]).deep.equals([
            "crowd",
            35,
            1.25,
        ]);
        runs.end("a", run);
        expect(runs.find("a")).equals(undefined);
    });

    it("tell how many calls a run has left, by what served runs of its route made", () => {
        const runs = new RunsInProgress();
        const origin = {
            route: "page",
            priority: 2,
            isRepeated: false,
            depth: 1,
            servedBefore: 0,
            customer: undefined,
        };
        const served = runs.start("a", origin, "index");
        for (let call = 0; call < 4; call += 1) {
            served.recordCall("none", 0, 0);
        }
        expect(served.getCallsLeft()).equals(1);
        runs.recordServed("index", served);
        const next = runs.start("b", origin, "index");
        const left = [0, 1, 2, 3, 4].map(() => {
            const callsLeft = next.getCallsLeft();
            next.recordCall("none", 0, 0);
            return callsLeft;
        });
        expect(left).deep.equals([4, 3, 2, 1, 1]);
        expect(runs.start("c", origin, "page").getCallsLeft()).equals(1);
    });
});

describe("state of the endpoint beside a node", () => {
    const report = { id: "a", slots: 10, state: "ready", reportNumber: 1 } as const;
    const cases: readonly {
        readonly name: string;
        readonly play: (endpoint: EndpointState) => void;
        readonly id: string | undefined;
        readonly refusal: string | undefined;
    }[] = [
        { name: "takes nothing before the first report", play: () => undefined, id: undefined, refusal: "notKnown" },
        { name: "takes work after a report", play: each => each.applyReport(report), id: "a", refusal: undefined },
        {
            name: "takes no work once it drains, whatever older report arrives late",
            play: each => {
                each.applyReport({ ...report, reportNumber: 5, state: "draining" });
                each.applyReport({ ...report, reportNumber: 4 });
                each.applyReport({ ...report, reportNumber: 6 });
            },
            id: "a",
            refusal: "leaving",
        },
        {
            name: "takes no work after it has said that it is gone",
            play: each => {
                each.applyReport(report);
                each.applyLeave("a");
                each.applyReport({ ...report, reportNumber: 9 });
            },
            id: "a",
            refusal: "leaving",
        },
        {
            name: "stays with the new incarnation when the old one's report or leave arrives late",
            play: each => {
                each.applyReport(report);
                each.applyReport({ ...report, id: "b" });
                each.applyReport({ ...report, reportNumber: 2, state: "draining" });
                each.applyLeave("a");
            },
            id: "b",
            refusal: undefined,
        },
        {
            name: "believes the endpoint's own answer over a late report of an unknown incarnation",
            play: each => {
                each.learnIncarnation("b", 10);
                each.applyReport(report);
                each.learnIncarnation("b", undefined);
                each.applyReport({ ...report, reportNumber: 2 });
            },
            id: "b",
            refusal: undefined,
        },
        {
            name: "remembers that an incarnation drains while another was believed in its place",
            play: each => {
                each.learnIncarnation("b", 10);
                each.applyReport(report);
                each.applyReport({ ...report, id: "b", reportNumber: 7, state: "draining" });
                each.learnIncarnation("b", undefined);
            },
            id: "b",
            refusal: "leaving",
        },
    ];
    for (const { name, play, id, refusal } of cases) {
        it(name, () => {
            const endpoint = new EndpointState(new FakeClock());
            play(endpoint);
            expect(endpoint.getIncarnationId()).equals(id);
            expect(endpoint.findRefusalReason()).equals(refusal);
        });
    }

    it("is left alone for a moment after it refused a connection", () => {
        const clock = new FakeClock();
        const endpoint = new EndpointState(clock);
        endpoint.applyReport(report);
        endpoint.recordConnectionRefused();
        expect(endpoint.findRefusalReason()).equals("away");
        clock.addTime(300);
        expect(endpoint.findRefusalReason()).equals(undefined);
    });
});

describe("known instances", () => {
    it("hold the newest record of each address, in whatever order and by whatever way records arrive", () => {
        fc.assert(
            fc.property(fc.shuffledSubarray([1, 2, 3, 4, 5, 6], { minLength: 1 }), revisions => {
                const registry = new InstanceRegistry();
                for (const revision of revisions) {
                    registry.put(createRecord("10.0.0.1", { slots: revision * 10, revision }));
                }
                expect(registry.get("10.0.0.1")?.slots).equals(Math.max(...revisions) * 10);
            }),
            readPropertyOptions(100),
        );
    });

    it("list an address under its new service once it is used again", () => {
        const registry = new InstanceRegistry();
        registry.put(createRecord("10.0.0.1", { service: "katalog" }));
        expect(registry.listForService("katalog")).length(1);
        registry.put(createRecord("10.0.0.1", { service: "mutu", revision: 2 }));
        expect(registry.listForService("katalog")).length(0);
        expect(registry.listForService("mutu")).length(1);
    });
});

describe("placement", () => {
    const near = createRecord("10.0.0.1", { dataCentre: "klaten" });
    const near2 = createRecord("10.0.0.2", { dataCentre: "klaten" });
    const far = createRecord("10.0.0.3", { dataCentre: "jepara" });
    const idle: LoadReport = {
        running: 0,
        waiting: 0,
        limit: 10,
        failureShare: 0,
        isSettled: true,
        shedShare: 0,
        slowness: 0,
    };
    const cases: readonly {
        readonly name: string;
        readonly play: (placement: Placement, clock: FakeClock) => void;
        readonly chosen: string | undefined;
    }[] = [
        { name: "stays in the own data centre on a calm day", play: () => undefined, chosen: "near" },
        {
            name: "leaves the own data centre before its instances are full",
            play: placement => {
                placement.recordLoad("10.0.0.1", { ...idle, running: 9 });
                placement.recordLoad("10.0.0.2", { ...idle, running: 10 });
            },
            chosen: "10.0.0.3",
        },
        {
            name: "passes over an instance that takes no work",
            play: placement => placement.recordLoad("10.0.0.1", { ...idle, limit: 0 }),
            chosen: "10.0.0.2",
        },
        {
            name: "passes over an instance that fails half of its runs",
            play: placement => placement.recordLoad("10.0.0.1", { ...idle, failureShare: 0.5 }),
            chosen: "10.0.0.2",
        },
        {
            name: "leaves the own data centre when its endpoints turn a part away with room, and others don't",
            play: placement => {
                placement.recordLoad("10.0.0.1", { ...idle, shedShare: 0.3 });
                placement.recordLoad("10.0.0.2", { ...idle, shedShare: 0.3 });
                placement.recordLoad("10.0.0.3", idle);
            },
            chosen: "10.0.0.3",
        },
        {
            name: "stays in the own data centre when all endpoints turn away alike",
            play: placement => {
                placement.recordLoad("10.0.0.1", { ...idle, shedShare: 0.5 });
                placement.recordLoad("10.0.0.2", { ...idle, shedShare: 0.5, running: 5 });
                placement.recordLoad("10.0.0.3", { ...idle, shedShare: 0.5 });
            },
            chosen: "10.0.0.1",
        },
        {
            name: "passes over an instance whose runs take four times as long as elsewhere",
            play: placement => {
                for (let index = 0; index < 40; index += 1) {
                    placement.recordRun("10.0.0.2", "r", 100);
                    placement.recordRun("10.0.0.3", "r", 100);
                    placement.recordRun("10.0.0.1", "r", 400);
                }
            },
            chosen: "10.0.0.2",
        },
        {
            name: "prefers instances whose nodes stay to one whose node stops or has just been started again",
            play: placement => {
                placement.recordLoad("10.0.0.1", { ...idle, isSettled: false });
                placement.recordLoad("10.0.0.2", { ...idle, running: 5 });
            },
            chosen: "10.0.0.2",
        },
        {
            name: "uses an instance whose node has just been started again when the others are full",
            play: placement => {
                placement.recordLoad("10.0.0.1", { ...idle, isSettled: false });
                placement.recordLoad("10.0.0.2", { ...idle, running: 10 });
                placement.recordLoad("10.0.0.3", { ...idle, running: 10 });
            },
            chosen: "10.0.0.1",
        },
        {
            name: "comes back to an instance that was passed over, after a while",
            play: (placement, clock) => {
                placement.avoid("10.0.0.1");
                placement.recordLoad("10.0.0.2", { ...idle, running: 5 });
                clock.addTime(600);
            },
            chosen: "10.0.0.1",
        },
        {
            name: "offers to nobody when all take no work",
            play: placement => ["10.0.0.1", "10.0.0.2", "10.0.0.3"].forEach(each => placement.avoid(each)),
            chosen: undefined,
        },
    ];
    for (const { name, play, chosen } of cases) {
        it(name, () => {
            const clock = new FakeClock();
            const placement = new Placement(clock, createRandom(3), "10.9.9.9", "klaten", () => true);
            play(placement, clock);
            const record = placement.choose([near, near2, far], new Set());
            expect(chosen === "near" ? record?.dataCentre : record?.address).equals(
                chosen === "near" ? "klaten" : chosen,
            );
        });
    }

    it("prefers an instance that there is a link to", () => {
        const placement = new Placement(
            new FakeClock(),
            createRandom(3),
            "10.9.9.9",
            "klaten",
            each => each === "10.0.0.3",
        );
        expect(placement.choose([near, far], new Set())?.address).equals("10.0.0.3");
    });
});
