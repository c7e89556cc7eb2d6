import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { request } from "undici";
import { ControlClient } from "../../src/connection/control.js";
import { SecretKey } from "../../src/process/base/keys.js";
import { sendOnce } from "../../standin/caller.js";
import { Cluster } from "../../standin/cluster.js";
import { waitFor } from "../../standin/processes.js";
import { createContract } from "../fakes.js";

const keys = { admin: "admin-key-of-the-test", peers: "peers-key-of-the-test", records: "records-key-of-the-test" };
const wrongKey = "some-other-key-of-the-test";

const cluster = new Cluster({
    contracts: [createContract("weavers")],
    services: [
        {
            name: "kas-benang",
            slots: 10,
            serviceMs: 1,
            calls: [{ service: "katalog", path: "/lookup" }],
            dataCentres: ["klaten"],
        },
        { name: "katalog", slots: 10, serviceMs: 1, calls: [], dataCentres: ["jepara"] },
    ],
    keys,
});

async function readStatusOf(path: string, authorization: string | undefined): Promise<number> {
    const headers = authorization === undefined ? {} : { authorization };
    const reply = await request(cluster.instances[0]!.adminUrl + path, { headers });
    await reply.body.dump();
    return reply.statusCode;
}

async function findVersionInForce(): Promise<number> {
    return (await cluster.instances[0]!.readStatus())?.versions["weavers"] ?? 0;
}

describe("keys", () => {
    before(() => cluster.start());
    after(() => cluster.stop());

    it("let a request through the whole chain", async () => {
        const url = cluster.listService("kas-benang")[0]!.callerUrl;
        const told = await sendOnce({ url, customer: "weavers", class: "browse" });
        expect(told.outcome).to.equal("completed");
    });

    const pages: readonly { readonly path: string; readonly key: string | undefined; readonly status: number; }[] = [
        { path: "/healthz", key: undefined, status: 200 },
        { path: "/readyz", key: undefined, status: 200 },
        { path: "/status", key: undefined, status: 401 },
        { path: "/status", key: `Bearer ${wrongKey}`, status: 401 },
        { path: "/status", key: keys.admin, status: 401 },
        { path: "/metrics", key: undefined, status: 401 },
        { path: "/metrics", key: `Bearer ${keys.admin}`, status: 200 },
        { path: "/status", key: `Bearer ${keys.admin}`, status: 200 },
    ];
    for (const { path, key, status } of pages) {
        it(`answer ${status} on ${path} with ${key ?? "no key"}`, async () => {
            expect(await readStatusOf(path, key)).to.equal(status);
        });
    }

    it("keep a publication without the key of the records out of force", async () => {
        const before = await findVersionInForce();
        const contract = createContract("weavers");
        for (const environment of [{}, { TURMERICSPOKE_RECORDS_KEY: wrongKey }]) {
            const { code } = await cluster.publishWith(environment, contract);
            expect(code).not.to.equal(0);
        }
        expect((await cluster.publish(contract)).code).to.equal(0);
        await waitFor(async () => await findVersionInForce() > before, 4000, "the contract to be in force");
        expect(await findVersionInForce()).to.equal(before + 1);
    });

    const callers: readonly { readonly name: string; readonly key: SecretKey | undefined; readonly isOk: boolean; }[] =
        [
            { name: "no key", key: undefined, isOk: false },
            { name: "another key", key: new SecretKey(wrongKey), isOk: false },
            { name: "the peers' key", key: new SecretKey(keys.peers), isOk: true },
        ];
    for (const { name, key, isOk } of callers) {
        it(`${isOk ? "admit" : "refuse"} a control call with ${name}`, async () => {
            const client = new ControlClient(key);
            const slot = `${cluster.instances[0]!.address}:7004`;
            const offsets = { contracts: -1, members: -1, quarantine: -1 };
            const reply = await client.call(slot, "pull", { offsets }, 2000);
            client.stop();
            expect(reply.ok).to.equal(isOk);
        });
    }

    it("refuse a request on the peer listener without the peers' key", async () => {
        const reply = await request(`http://${cluster.instances[0]!.address}:7003/`, { method: "POST" });
        await reply.body.dump();
        expect(reply.statusCode).to.equal(400);
    });

    it("stand on no line of any log", () => {
        const logs = readdirSync(cluster.directory).filter(file => file.endsWith(".log"));
        const text = logs.map(file => readFileSync(join(cluster.directory, file), "utf8")).join("\n");
        expect(logs.length).to.be.greaterThan(3);
        for (const key of Object.values(keys)) {
            expect(text).not.to.include(key);
        }
    });
});
