import { expect } from "chai";
import fc from "fast-check";
import type {
    ControlCaller,
    ControlError,
    ControlMethod,
    ControlReply,
    ControlRequest,
} from "../src/connection/control.js";
import type { Result } from "../src/process/base/result.js";
import { createFailure, createSuccess } from "../src/process/base/result.js";
import { CustomerRateLimiter } from "../src/process/customers/customerRateLimiter.js";
import { computeFairShare, poolShare, ShareCoordinator } from "../src/process/customers/shareCoordinator.js";
import type { Member } from "../src/version/member.js";
import { formatSlot } from "../src/version/member.js";
import { createContract, FakeClock } from "./fakes.js";

const perSecond = 1000;
const nodeCount = 6;
const contract = createContract("weavers", { allowance: { requestsPerSecond: perSecond, burst: 100 } });
const dataCentres = ["pekalongan", "klaten", "jepara"];

function createMember(index: number, incarnation: number): Member {
    const dataCentre = dataCentres[index % dataCentres.length]!;
    return {
        address: `127.0.0.${index}`,
        peerPort: 1,
        controlPort: 2,
        adminPort: 3,
        service: "katalog",
        dataCentre,
        incarnation,
    };
}

/** Nodes that share one allowance, with nodes that die and data centres that are cut off. */
class SimulatedNodes implements ControlCaller {
    readonly clock = new FakeClock();
    readonly members = Array.from({ length: nodeCount }, (_, index) => createMember(index, 1));
    readonly dead = new Set<number>();
    cutOff: string | undefined;
    private readonly coordinators = this.members.map(() => new ShareCoordinator(this.clock));
    private readonly nodes = this.members.map((self, index) => this.createNode(self, index));

    /** Lets every node see a demand for a time. */
    async makeDemand(demands: readonly number[], milliseconds: number): Promise<void> {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += 500) {
            this.nodes.forEach((node, index) => {
                for (let count = 0; count < (demands[index] ?? 0) / 2; count += 1) {
                    node.take(contract);
                }
            });
            this.clock.addTime(500);
            this.nodes.forEach(node => node.renewLeases());
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Sends one request to the first node; returns what the caller is told to wait. */
    takeOnce(each: typeof contract): number {
        return this.nodes[0]!.take(each);
    }

    /** Requests a second that each node lets in. */
    readRates(): number[] {
        return this.nodes.map(node => node.computeRate("weavers"));
    }

    computeTotalRate(): number {
        return this.readRates().reduce((sum, rate) => sum + rate, 0);
    }

    /** A node comes back without memory of what it granted. */
    replace(index: number): void {
        this.dead.delete(index);
        this.coordinators[index] = new ShareCoordinator(this.clock);
    }

    async call<M extends ControlMethod>(
        slot: string,
        _method: M,
        request: ControlRequest<M>,
    ): Promise<Result<ControlReply<M>, ControlError>> {
        const index = this.members.findIndex(member => formatSlot(member) === slot);
        const { customer, rank, slot: from, demand, held } = request as ControlRequest<"requestShare">;
        const caller = this.members.findIndex(member => formatSlot(member) === from);
        if (this.dead.has(index) || this.isCutOff(index) !== this.isCutOff(caller)) {
            return createFailure({ kind: "unreachable", message: "no answer" });
        }
        const granted = this.coordinators[index]!.grant(customer, rank, perSecond * poolShare, from, demand, held);
        return createSuccess({ perSecond: granted } as ControlReply<M>);
    }

    private isCutOff(index: number): boolean {
        return this.members[index]!.dataCentre === this.cutOff;
    }

    private createNode(self: Member, index: number): CustomerRateLimiter {
        void index;
        return new CustomerRateLimiter({ clock: this.clock, self, control: this, listAnnounced: () => this.members });
    }
}

describe("allowance of a customer over all nodes", () => {
    it("follows the demand", async () => {
        const system = new SimulatedNodes();
        await system.makeDemand([700, 50, 0, 0, 0, 0], 20_000);
        const rates = system.readRates();
        expect(rates[0]).to.be.at.least(700);
        expect(rates[1]).to.be.at.least(50);
        await system.makeDemand([0, 50, 700, 0, 0, 0], 20_000);
        expect(system.readRates()[2]).to.be.at.least(700);
    });

    it("is shared fairly when the demand is above it", async () => {
        const system = new SimulatedNodes();
        await system.makeDemand([2000, 2000, 100, 0, 0, 0], 30_000);
        const rates = system.readRates();
        expect(system.computeTotalRate()).to.be.within(perSecond * 0.9, perSecond * 1.000001);
        expect(rates[2]).to.be.at.least(100);
        expect(rates[0]! / rates[1]!).to.be.within(0.8, 1.25);
    });

    const step = fc.record({
        demands: fc.array(fc.integer({ min: 0, max: 1500 }), { minLength: nodeCount, maxLength: nodeCount }),
        milliseconds: fc.integer({ min: 500, max: 8000 }),
        kill: fc.option(fc.integer({ min: 0, max: nodeCount - 1 }), { nil: undefined }),
        replace: fc.option(fc.integer({ min: 0, max: nodeCount - 1 }), { nil: undefined }),
        cutOff: fc.constantFrom(undefined, undefined, ...dataCentres),
    });

    it("is never exceeded while nodes die and come back and data centres are cut off", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 8 }), async steps => {
                const system = new SimulatedNodes();
                for (const { demands, milliseconds, kill, replace, cutOff } of steps) {
                    system.cutOff = cutOff;
                    if (kill !== undefined) {
                        system.dead.add(kill);
                    }
                    if (replace !== undefined) {
                        system.replace(replace);
                    }
                    await system.makeDemand(demands, milliseconds);
                    expect(system.computeTotalRate()).to.be.at.most(perSecond * 1.000001);
                }
            }),
            { seed: 20261203, numRuns: 60 },
        );
    });

    const firstRequests: readonly { readonly rate: number; readonly burst: number; readonly isAdmitted: boolean; }[] = [
        { rate: 0, burst: 1, isAdmitted: false },
        { rate: 1000, burst: 8, isAdmitted: true },
        { rate: 1, burst: 1, isAdmitted: true },
    ];
    for (const { rate, burst, isAdmitted } of firstRequests) {
        it(`of ${rate} a second and a burst of ${burst} ${isAdmitted ? "admits" : "refuses"} a first request`, () => {
            const allowance = { requestsPerSecond: rate, burst };
            const waitMs = new SimulatedNodes().takeOnce(createContract("weavers", { allowance }));
            expect(waitMs === 0).to.equal(isAdmitted);
        });
    }

    const shares: readonly {
        readonly name: string;
        readonly demand: number;
        readonly others: number[];
        readonly expected: number;
    }[] = [
        { name: "all of a pool that nobody else wants", demand: 10, others: [], expected: 100 },
        { name: "an even part under equal demand", demand: 100, others: [100], expected: 50 },
        { name: "what small holders leave", demand: 200, others: [10, 200], expected: 45 },
        { name: "its demand and a part of the rest", demand: 10, others: [10], expected: 50 },
    ];
    for (const { name, demand, others, expected } of shares) {
        it(`gives a holder ${name}`, () => {
            expect(computeFairShare(demand, others, 100)).to.equal(expected);
        });
    }
});
