/** Quotas at the platform build as separate processes: what callers with a key see, and which upstreams' runs there are. */
import { expect } from "chai";
import type { IncomingMessage } from "node:http";
import { request } from "node:http";
import type { Machine } from "../../standin/platformCluster.js";
import { PlatformCluster, ports } from "../../standin/platformCluster.js";
import { sleep, waitFor } from "../../standin/processes.js";
import { createRoute, formatConfiguration } from "./samples.js";

/** Sends a request with a key and returns the status and the Retry-After. */
function sendWithKey(machine: Machine, attempt: string, key: string): Promise<{ status: number; retryAfter: number; }> {
    const headers = { "Host": "katalog.example", "Attempt-Id": attempt, "Authorization": `Bearer ${key}` };
    return new Promise((resolve, reject) => {
        const sent = request(
            { host: machine.address, port: ports.caller, path: "/loom/1", headers, agent: false },
            (answer: IncomingMessage) => {
                answer.resume();
                resolve({ status: answer.statusCode!, retryAfter: Number(answer.headers["retry-after"]) });
            },
        );
        sent.on("error", reject);
        sent.end();
    });
}

describe("quotas of routed nodes as processes", function() {
    this.timeout(60_000);
    const cluster = new PlatformCluster([{ name: "katalog", instances: 4, slots: 50, runMs: 10 }]);
    let attempts = 0;

    /** Most requests of the weavers that may be served from a time on: what accrues, and their stock of 11. */
    const computeMostServed = (startedAt: number): number => 11 + (performance.now() - startedAt) / 100;

    /** Sends requests at all machines in turn at a steady rate. On a busy machine it takes longer. */
    const sendFor = async (key: string, perSecond: number, seconds: number) => {
        const answers = [];
        for (let index = 0; index < perSecond * seconds; index += 1) {
            attempts += 1;
            answers.push(sendWithKey(cluster.machines[index % 4]!, `${key}-${attempts}`, key));
            await sleep(1000 / perSecond);
        }
        return Promise.all(answers);
    };

    before(async () => {
        const configuration = JSON.parse(formatConfiguration(1, [createRoute({ name: "page" })])) as object;
        const customers = [
            { name: "weavers", keys: ["w"], requestsPerSecond: 10, burst: 10 },
            { name: "dyers", keys: ["d"], requestsPerSecond: 20, burst: 10 },
            { name: "board", keys: ["b"] },
        ];
        await cluster.start(JSON.stringify({ ...configuration, customers }));
        await sleep(2500);
    });

    after(() => cluster.stop());

    it("refuse what is beyond the limit with when to come back, and serve what is not", async () => {
        const startedAt = performance.now();
        const [hot, quiet, unlimited] = await Promise.all([
            sendFor("w", 40, 4),
            sendFor("d", 12, 4),
            sendFor("b", 30, 4),
        ]);
        const served = hot.filter(answer => answer.status === 200).length;
        const refused = hot.filter(answer => answer.status === 429);
        expect(served).within(38, computeMostServed(startedAt));
        expect(refused.length).equals(hot.length - served);
        expect(refused.every(answer => answer.retryAfter > 0 && answer.retryAfter < 5)).equals(true);
        expect([...quiet, ...unlimited].filter(answer => answer.status !== 200)).deep.equals([]);
    });

    it("serve on 1.5 s after all nodes were ended at once and are ready again, and no more than before", async () => {
        await Promise.all(cluster.machines.map(machine => machine.endNode("SIGKILL")));
        cluster.machines.forEach(machine => machine.startNode());
        for (const machine of cluster.machines) {
            await waitFor(() => machine.isReady(), 20_000, `the node at ${machine.address}`);
        }
        await sleep(1500);
        const startedAt = performance.now();
        const answers = await sendFor("w", 40, 3);
        expect(answers.filter(answer => answer.status === 200).length).within(20, computeMostServed(startedAt));
    });
});
