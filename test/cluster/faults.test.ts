import { expect } from "chai";
import { Cluster } from "../../standin/cluster.js";
import { faults } from "../../standin/faults.js";
import type { Flow } from "../../standin/load.js";
import { isCompleted, Load } from "../../standin/load.js";
import { createChain, createContract } from "../../standin/plans.js";
import { findViolations } from "../../standin/promises.js";

const customers = ["weavers", "treasurers", "clerks", "inspectors"];
const bound = 4;
/** Time before and after the fault, in milliseconds. */
const marginMs = 1000;

function createFlow(cluster: Cluster, customer: string, className: string, service: string, perSecond: number): Flow {
    const urls = cluster.listService(service).map(instance => instance.callerUrl);
    const body = `{"customer":"${customer}"}`;
    return {
        customer,
        class: className,
        urls,
        perSecond,
        body,
        path: "/work",
        persistence: { sends: 5, pauseMs: 200, isHard: true },
    };
}

/** Repeats the same draws for the same seed. */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

describe("promises under a fault", () => {
    let cluster: Cluster;

    beforeEach(async () => {
        cluster = new Cluster({ contracts: customers.map(name => createContract(name)), services: createChain(5, 30) });
        await cluster.start();
    });
    afterEach(() => cluster.stop());

    for (const [index, fault] of faults.entries()) {
        it(`hold with ${fault.name}`, async () => {
            const load = new Load([
                createFlow(cluster, "weavers", "browse", "katalog", 40),
                createFlow(cluster, "treasurers", "advance", "kas-benang", 40),
                createFlow(cluster, "clerks", "certificate", "ekspor", 40),
            ]);
            await new Promise(resolve => setTimeout(resolve, marginMs));
            await fault.apply(cluster, createRandom(index + 1));
            await cluster.waitUntilSettled();
            await new Promise(resolve => setTimeout(resolve, marginMs));
            const results = await load.stop();
            expect(findViolations(results, cluster.readRuns(), bound)).to.deep.equal([]);
            const last = results.filter(result => result.arrivedAt > load.now() - marginMs);
            expect(
                last.filter(result => !isCompleted(result)).map(result =>
                    `${result.told.outcome} ${result.told.reason}`
                ),
            ).to.deep.equal([]);
        });
    }
});
