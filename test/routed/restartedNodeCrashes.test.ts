/** A request that crashes endpoints is refused by all nodes of a service; then nodes of it are started again while it still comes. */
import { expect } from "chai";
import type { Machine } from "../../standin/platformCluster.js";
import { PlatformCluster } from "../../standin/platformCluster.js";
import { sleep, waitFor } from "../../standin/processes.js";
import { createRoute, formatConfiguration } from "./samples.js";

/** Time between two sends of the request at one machine, in milliseconds. */
const intervalMs = 40;

describe("restarted nodes let no request crash their endpoints that all others refuse", function() {
    this.timeout(60_000);
    const cluster = new PlatformCluster([
        { name: "katalog", instances: 3, slots: 10, runMs: 20 },
        { name: "kas", instances: 1, slots: 10, runMs: 20 },
    ], 2);
    let attempts = 0;

    const send = async (machine: Machine, name: string): Promise<void> => {
        attempts += 1;
        await machine.call("GET", "katalog.example", "/loom/crash", `${name}-${attempts}`).catch(() => undefined);
    };
    /** Sends the request at all machines until a check is true, and for a while after it. */
    const sendUntil = async (name: string, isOver: () => Promise<boolean>): Promise<void> => {
        let isSending = true;
        const senders = cluster.machines.map(async machine => {
            while (isSending) {
                await send(machine, name);
                await sleep(intervalMs);
            }
        });
        await waitFor(isOver, 10_000, name);
        await sleep(1000);
        isSending = false;
        await Promise.all(senders);
    };
    const countRuns = (name: string): number =>
        cluster.machines.flatMap(machine => machine.upstream.runs).filter(each => each.startsWith(name)).length;

    const restartUpstreams = async (): Promise<void> => {
        for (const { upstream } of cluster.listMachines("katalog")) {
            upstream.endAbruptly();
            await upstream.start();
        }
        await cluster.waitForInstances();
    };

    before(async () => {
        await cluster.start(formatConfiguration(1, [createRoute({ name: "page", priority: 2 })]));
        for (let turn = 0; turn < 2; turn += 1) {
            await send(cluster.listMachines("kas")[0]!, "first");
            await sleep(900);
            await restartUpstreams();
        }
    });

    beforeEach(restartUpstreams);

    after(() => cluster.stop());

    const cases = [
        { name: "stopped", signal: "SIGTERM", isSilent: false },
        { name: "killed", signal: "SIGKILL", isSilent: false },
        { name: "killedWithoutStore", signal: "SIGKILL", isSilent: true },
    ] as const;
    for (const { name, signal, isSilent } of cases) {
        it(`after each was ${signal === "SIGTERM" ? "stopped" : "killed"}${isSilent ? " while the store is away" : ""}`, async () => {
            cluster.store.faults = { isSilent };
            for (const machine of cluster.listMachines("katalog")) {
                await machine.endNode(signal);
                machine.startNode();
                await sendUntil(name, () => machine.isReady().catch(() => false));
                await restartUpstreams();
            }
            cluster.store.faults = {};
            expect([countRuns("first") >= 2, countRuns(name)]).deep.equals([true, 0]);
            const page = await cluster.machines[0]!.call("GET", "katalog.example", "/loom/1", `${name}-page`);
            expect(page.status).equals(200);
        });
    }
});
