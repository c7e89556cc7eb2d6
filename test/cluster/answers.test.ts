import { expect } from "chai";
import { connect } from "node:net";
import { hashBody, sendOnce } from "../../standin/caller.js";
import type { Cluster } from "../../standin/cluster.js";
import { sleep } from "../../standin/processes.js";
import { createCluster } from "./harness.js";

const bodySizes = [0, 1, 200, 70_000, 1_500_000];

function createBody(bytes: number, seed: number): string {
    return `${seed}:`.padEnd(bytes, String.fromCharCode(97 + seed % 26));
}

/** Sends two requests on one connection without waiting, and returns all that comes back. */
function sendPipelined(address: string, bodies: readonly string[]): Promise<string> {
    return new Promise(resolve => {
        let answer = "";
        const socket = connect({ host: address, port: 7001 }, () => {
            for (const body of bodies) {
                const headers =
                    "host: a\r\nturmericspoke-customer: weavers\r\nturmericspoke-class: browse\r\nturmericspoke-attempt: 1";
                socket.write(`POST / HTTP/1.1\r\n${headers}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
            }
        });
        socket.on("data", chunk => {
            answer += chunk.toString();
            if (answer.split("\"digest\"").length > bodies.length) {
                setTimeout(() => socket.destroy(), 100);
            }
        });
        socket.on("close", () => resolve(answer));
    });
}

describe("answers", () => {
    let cluster: Cluster;

    before(async () => {
        cluster = createCluster();
        await cluster.start();
    });
    after(() => cluster.stop());

    it("are whole and the caller's own, large and small, over many connections, while some are cut in the middle", async () => {
        const entries = cluster.listService("katalog");
        await entries[0]!.changeEndpoint({ cutAnswers: 0.3, serviceMs: 1 });
        const wrong: string[] = [];
        let completed = 0;
        const sends = Array.from({ length: 200 }, async (_, index) => {
            await sleep(index * 5);
            const body = createBody(bodySizes[index % bodySizes.length]!, index);
            const bytes = bodySizes[(index * 7) % bodySizes.length]!;
            const url = entries[index % entries.length]!.callerUrl;
            const told = await sendOnce({
                url,
                customer: "weavers",
                class: "browse",
                attempt: 1,
                body,
                path: `/?bytes=${bytes}`,
            });
            if (told.outcome !== "completed") {
                return;
            }
            completed += 1;
            const answer = JSON.parse(told.body) as { digest: string; filler: string; };
            if (answer.digest !== hashBody(body) || answer.filler.length !== bytes) {
                wrong.push(`request ${index}`);
            }
        });
        await Promise.all(sends);
        await entries[0]!.changeEndpoint({ cutAnswers: 0, serviceMs: 5 });
        expect(wrong).to.deep.equal([]);
        expect(completed).to.be.above(100);
    });

    it("come in the order of pipelined requests, each to its own", async () => {
        const bodies = ["first", "second", "third"];
        const answer = await sendPipelined(cluster.listService("katalog")[0]!.address, bodies);
        const digests = [...answer.matchAll(/"digest":"([0-9a-f]+)"/g)].map(match => match[1]);
        expect(digests).to.deep.equal(bodies.map(hashBody));
    });

    it("of a repeated send are those of the first run", async () => {
        const [entry, other] = cluster.listService("kas-benang");
        const send = { customer: "treasurers", class: "advance", key: "once", body: "advance" };
        const first = await sendOnce({ ...send, url: entry!.callerUrl, attempt: 1 });
        const second = await sendOnce({ ...send, url: other!.callerUrl, attempt: 2 });
        expect(second.body).to.equal(first.body);
        expect(second.isReplayed).to.equal(true);
        const changed = await sendOnce({ ...send, url: other!.callerUrl, attempt: 3, body: "another" });
        expect(changed).to.include({ status: 422, reason: "keyMismatch" });
    });
});

describe("cancellation and deadlines", () => {
    let cluster: Cluster;

    before(async () => {
        cluster = createCluster();
        await cluster.start();
    });
    after(() => cluster.stop());

    it("shrink and travel down the chain", async () => {
        await Promise.all(cluster.listService("katalog").map(instance => instance.changeEndpoint({ serviceMs: 2000 })));
        const [entry] = cluster.listService("ekspor");
        const send = {
            url: entry!.callerUrl,
            customer: "clerks",
            class: "certificate",
            key: "slow",
            attempt: 1,
            deadlineMs: 500,
        };
        const told = await sendOnce({ ...send, headers: { "x-action": "slow" } });
        expect(told.outcome).to.equal("unknown");
        expect(told.milliseconds).to.be.below(1500);
        await sleep(500);
        const runs = cluster.readRuns().filter(run => run.action === "slow");
        const deadlines = runs.filter(run => run.event === "start").sort((a, b) => a.at - b.at).map(run =>
            run.deadlineMs
        );
        expect(deadlines).to.have.length(3);
        expect([...deadlines].sort((a, b) => b - a)).to.deep.equal(deadlines);
        expect(deadlines[0]).to.be.at.most(500);
        const cancelled = runs.filter(run => run.event === "cancelled").map(run => run.service);
        expect(cancelled).to.include.members(["ekspor", "kas-benang", "katalog"]);
    });
});

describe("a request that crashes endpoints", () => {
    let cluster: Cluster;

    before(async () => {
        cluster = createCluster();
        await cluster.start();
    });
    after(() => cluster.stop());

    it("takes at most two of them, is refused everywhere from then on, and disturbs nobody else", async () => {
        const entries = cluster.listService("kas-benang");
        const send = { customer: "weavers", class: "browse", path: "/crash", body: "poison" };
        for (let attempt = 1; attempt <= 8; attempt += 1) {
            await sendOnce({ ...send, url: entries[attempt % 3]!.callerUrl, key: "poison", attempt });
        }
        const lost = entries.filter(instance => instance.endpoint!.exitCode !== null);
        expect(lost.length).to.be.within(1, 2);
        await Promise.all(entries.map(instance => instance.restoreEndpoint()));
        await cluster.waitUntilSettled();
        for (const entry of entries) {
            const told = await sendOnce({ ...send, url: entry.callerUrl, key: `another-${entry.name}`, attempt: 1 });
            expect(told.reason).to.equal("quarantined");
            const other = await sendOnce({ ...send, url: entry.callerUrl, path: "/work", attempt: 1 });
            expect(other.outcome).to.equal("completed");
        }
        const audit = await cluster.runTool("audit");
        expect(audit.output).to.contain("what=quarantine");
    });
});
