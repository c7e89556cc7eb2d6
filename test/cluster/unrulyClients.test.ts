/** Callers of the own interface that don't behave, at a daemon of its own process. */
import { expect } from "chai";
import { sendOnce } from "../../standin/caller.js";
import { CallerCrowd } from "../../standin/callerCrowd.js";
import { Cluster } from "../../standin/cluster.js";
import { readPeakMemoryBytes, sleep } from "../../standin/processes.js";
import { createContract } from "../fakes.js";

/** Memory that the daemon may take, in bytes: its budget for bodies by default, and what the daemon of the smallest machine may take besides. */
const maxMemoryBytes = 134_217_728 + 160_000_000;
const bodyBytes = 4_194_304;

describe("callers of the own interface that don't behave", function() {
    this.timeout(60_000);
    const cluster = new Cluster({
        contracts: [createContract("weavers")],
        services: [{ name: "katalog", slots: 10, serviceMs: 1, calls: [], dataCentres: ["klaten"] }],
    });
    before(() => cluster.start());
    after(() => cluster.stop());

    it("end no process and keep no ordinary caller from its answer: bodies that stop one byte short", async () => {
        const [instance] = cluster.instances;
        const form = { coding: "announced", bodyBytes, sentBytes: bodyBytes, pieceBytes: 65_536 } as const;
        const plan = { host: "katalog", path: "/work", deadlineMs: 60_000, name: "crowd" };
        const crowd = new CallerCrowd({ ...plan, connections: 120, forms: [form], oneWholeIn: 5 });
        await crowd.send(instance!.address, 7001);
        await sleep(500);
        const url = instance!.callerUrl;
        const told = await sendOnce({ url, customer: "weavers", class: "browse", attempt: 1 });
        expect(told.status).equals(200);
        expect([instance!.node!.exitCode, instance!.node!.signalCode]).deep.equals([null, null]);
        expect(readPeakMemoryBytes(instance!.node!.pid!)).below(maxMemoryBytes);
        crowd.leave();
    });
});
