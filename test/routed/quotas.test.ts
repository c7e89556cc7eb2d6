/** Quotas of customers over all nodes, in virtual time: the bound holds in every window, and the limit can be used. */
import { expect } from "chai";
import fc from "fast-check";
import { computeMaxRequests, computeSupply, unitLeaseMs } from "../../src/process/customers/quotaBound.js";
import { computeShare } from "../../src/process/customers/unitGrantor.js";
import type { Quota } from "../../src/version/customer.js";
import { createRandom } from "../../standin/random.js";
import { bounds, findFullestWindow, QuotaSimulation } from "./quotaSimulation.js";

const nodes = 84;
const usualUse = 0.62;

/** Limits of 84 customers: a few large, most with a few requests a second. */
function createLimits(): Map<string, Quota> {
    return new Map(Array.from({ length: nodes }, (_, index): [string, Quota] => {
        const requestsPerSecond = Math.max(3, Math.round(380 / (index + 1)));
        return [`customer${index}`, { requestsPerSecond, burst: Math.ceil(requestsPerSecond / 2) }];
    }));
}

describe("quotas: arithmetic", () => {
    it("leaves every window within the bound, with two leases more than accrue", () => {
        fc.assert(fc.property(fc.double({ min: 0.1, max: 5000, noNaN: true }), fc.nat(1000), (rate, burst) => {
            const quota = { requestsPerSecond: rate, burst };
            const { perMs, capacity } = computeSupply(quota, bounds);
            expect(capacity).at.least(1);
            const most = perMs * (bounds.windowMs + 2 * unitLeaseMs) + capacity;
            expect(most).at.most(computeMaxRequests(quota, bounds) + 1e-6);
        }));
    });

    it("gives all grantors together no more than the whole, however the nodes are parted", () => {
        fc.assert(fc.property(fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 6 }), parts => {
            const sum = Math.max(1, parts.reduce((total, part) => total + part, 0));
            expect(parts.reduce((total, part) => total + computeShare(part / sum), 0)).at.most(1 + 1e-9);
        }));
    });
});

describe("quotas: one customer at seven times its usual beside 83 quiet ones", () => {
    const limits = createLimits();
    const hot = "customer3";
    const durationMs = 20_000;
    const warmUpMs = 2500;
    let simulation: QuotaSimulation;

    before(async () => {
        simulation = new QuotaSimulation(createRandom(5), nodes, limits);
        await simulation.run(warmUpMs);
        for (const [customer, { requestsPerSecond }] of limits) {
            const usual = requestsPerSecond * usualUse;
            simulation.sendRequests(customer, () => customer === hot ? usual * 7 : usual);
        }
        simulation.messages = 0;
        await simulation.run(durationMs);
    });

    it("admits nobody over the bound", () => {
        for (const [customer, times] of simulation.admitted) {
            expect(findFullestWindow(times, bounds.windowMs), customer)
                .at.most(computeMaxRequests(limits.get(customer)!, bounds));
        }
    });

    it("lets the hot one use its limit", () => {
        const used = simulation.admitted.get(hot)!.length;
        expect(used / durationMs * 1000).at.least(0.95 * limits.get(hot)!.requestsPerSecond);
    });

    it("refuses the quiet ones nothing", () => {
        const refused = [...simulation.refused].filter(([customer]) => customer !== hot);
        expect(refused).deep.equals([]);
    });

    it("sends at most a message and its answer for each request that is admitted, and the heartbeats", () => {
        const admitted = [...simulation.admitted.values()].reduce((sum, times) => sum + times.length, 0);
        const heartbeats = nodes * 6 * durationMs / 350;
        expect(simulation.messages).at.most(2 * (admitted + heartbeats));
    });
});
