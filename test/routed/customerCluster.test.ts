/** Customers and keys over node processes: who is served, what upstreams learn, and that no key is ever printed. */
import { expect } from "chai";
import { findRequestLines } from "../../src/process/operators/explain.js";
import type { Machine } from "../../standin/platformCluster.js";
import { PlatformCluster } from "../../standin/platformCluster.js";
import { sleep, waitFor } from "../../standin/processes.js";
import { createRoute, formatConfiguration } from "./samples.js";

const routes = [
    createRoute({ name: "page" }),
    createRoute({
        name: "advance",
        host: "kas.example",
        pathPrefix: "/advance/",
        repetition: "atMostOnce",
        shares: [{ service: "kas", weight: 1 }],
    }),
    createRoute({ name: "open", pathPrefix: "/open/", isPublic: true }),
];
const keys = { weavers: "k3yw34v3rs", dyers: "k3ydy3rs", later: "k3yl4t3r", unknown: "k3yunkn0wn" };

describe("customers at routed nodes as processes", function() {
    this.timeout(60_000);
    let cluster: PlatformCluster;
    let version = 1;
    let [katalog1, katalog2, kas1]: Machine[] = [];

    const format = (weaversKeys: readonly string[]): string =>
        formatConfiguration(version, routes, [
            { name: "weavers", keys: weaversKeys, priority: 1 },
            { name: "dyers", keys: [keys.dyers] },
        ]);
    const publish = async (weaversKeys: readonly string[]): Promise<void> => {
        version += 1;
        cluster.store.put("keyed.op", "config", format(weaversKeys));
        for (const machine of cluster.machines) {
            await waitFor(
                async () => (await machine.readMetrics()).includes(`configuration_version ${version}\n`),
                2500,
                `version ${version} at ${machine.address}`,
            );
        }
    };
    const getPage = async (machine: Machine, attempt: string, key: string | undefined, path = "/loom/1") => {
        const customerHeaders = key === undefined ? {} : { Authorization: `Bearer ${key}` };
        const headers = { Tenant: "forged", ...customerHeaders };
        return (await machine.call("GET", "katalog.example", path, attempt, 2000, "", undefined, headers)).status;
    };

    before(async () => {
        const calls = [{ host: "kas.example", path: "/advance/x" }];
        const services = [
            { name: "katalog", instances: 2, slots: 10, runMs: 5, calls },
            { name: "kas", instances: 1, slots: 10, runMs: 5 },
        ];
        cluster = new PlatformCluster(services, 4, [], "debug");
        [katalog1, katalog2, kas1] = cluster.machines;
        await cluster.start(format([keys.weavers]));
    });

    after(() => cluster.stop());

    /** Headers that upstreams got with an attempt. */
    const findHeaders = (attempt: string): string[] =>
        cluster.machines.map(machine => machine.upstream.headersByAttempt.get(attempt)).find(each => each)?.slice()
            ?? [];

    const cases: readonly {
        readonly name: string;
        readonly key: string | undefined;
        readonly path?: string;
        readonly status: number;
        readonly customer?: string;
    }[] = [
        { name: "serve-known", key: keys.weavers, status: 200, customer: "weavers" },
        { name: "refuse-unknown", key: keys.unknown, status: 401 },
        { name: "refuse-without", key: undefined, status: 401 },
        { name: "tell-no-route-first", key: keys.unknown, path: "/none/1", status: 404 },
        { name: "serve-public", key: undefined, path: "/open/1", status: 200 },
        { name: "serve-public-unknown", key: keys.unknown, path: "/open/1", status: 200 },
        { name: "serve-public-known", key: keys.dyers, path: "/open/1", status: 200, customer: "dyers" },
    ];
    for (const { name, key, path, status, customer } of cases) {
        it(`${name}: ${status}, at each node, and upstreams learn ${customer ?? "no customer"}`, async () => {
            for (const machine of cluster.machines) {
                const attempt = `${name}-${cluster.machines.indexOf(machine)}`;
                expect(await getPage(machine, attempt, key, path)).equals(status);
                const headers = findHeaders(attempt);
                expect(headers.length > 0).equals(status === 200);
                const position = headers.indexOf("Tenant");
                expect(position === -1 ? undefined : headers[position + 1]).equals(customer);
                expect(headers.join(" ")).not.match(/k3y|Authorization/i);
                // The call that the run makes carries no key, and runs all the same, without a customer's name.
                const callHeaders = findHeaders(`${attempt}.c0`);
                expect(callHeaders.length > 0).equals(status === 200);
                expect(callHeaders).not.contains("Tenant");
            }
        });
    }

    it("know a key that a version adds, and no longer one that it takes away, also where the store turns a node away", async () => {
        cluster.store.faults = { status: 503, addresses: [kas1!.address] };
        await publish([keys.later]);
        cluster.store.faults = {};
        for (const machine of cluster.machines) {
            expect(await getPage(machine, `later-${cluster.machines.indexOf(machine)}`, keys.later)).equals(200);
            expect(await getPage(machine, `gone-${cluster.machines.indexOf(machine)}`, keys.weavers)).equals(401);
        }
    });

    it("say in the story of a request whose it was and which version decided", () => {
        const lines = cluster.machines.flatMap(machine => machine.log.split("\n"));
        expect(findRequestLines("serve-known-0", lines).join("\n")).match(/version=1 customer=weavers/);
        expect(findRequestLines("refuse-unknown-0", lines).join("\n")).match(/cause=unknownKey.*status=401/).and
            .contains("version=1");
    });

    it("take an upstream that starts again under its old id for a new one, though it had left", async () => {
        const { upstream } = kas1!;
        upstream.fixedId = "i-fixed";
        upstream.endAbruptly();
        upstream.born = 1_764_812_345_678;
        await upstream.start();
        await cluster.waitForInstances();
        await upstream.drain();
        await upstream.leave();
        expect(await getPage(katalog1!, "left", keys.later)).equals(500);
        upstream.endAbruptly();
        const ranBefore = upstream.runs.length;
        upstream.born += 5000;
        await upstream.start();
        await waitFor(
            async () => await getPage(katalog1!, `again${Math.random()}`.replace(".", ""), keys.later) === 200,
            3000,
            "work",
        );
        expect(upstream.id).equals("i-fixed");
        expect(upstream.runs.length).above(ranBefore);
    });

    it("finish what runs when its key is taken away", async () => {
        katalog1!.upstream.runMs = 800;
        katalog2!.upstream.runMs = 800;
        const running = getPage(kas1!, "runs-on", keys.later);
        await sleep(100);
        await publish([]);
        katalog1!.upstream.runMs = 5;
        katalog2!.upstream.runMs = 5;
        expect(await running).equals(200);
        expect(await getPage(kas1!, "runs-no-more", keys.later)).equals(401);
    });

    it("skip a version with a broken customer, and keep the one in force", async () => {
        const broken = JSON.parse(format([])) as { version: number; customers: unknown[]; };
        cluster.store.put(
            "keyed.op",
            "config",
            JSON.stringify({ ...broken, version: version + 1, customers: [{ name: 7, keys: [keys.weavers, 9] }] }),
        );
        await waitFor(
            async () => cluster.machines.some(each => each.log.includes("configurationSkipped")),
            2500,
            "skip",
        );
        version += 1;
        await publish([keys.weavers]);
        expect(await getPage(katalog1!, "after-broken", keys.weavers)).equals(200);
    });

    it("print no key, in no line of the log and no metric, also when they stop", async () => {
        const metrics = await Promise.all(cluster.machines.map(machine => machine.readMetrics()));
        await katalog1!.endNode("SIGTERM");
        await sleep(300);
        const printed = cluster.machines.map(machine => machine.log).join("");
        expect(printed).contains("requestEnded").and.contains("unknownKey").and.contains("customer=weavers");
        expect([...metrics, printed].filter(text => text.includes("k3y"))).deep.equals([]);
        expect(cluster.store.listNewest("keyed.instances").size).equals(3);
        expect([...cluster.store.listNewest("keyed.instances").values()].join("")).not.contains("k3y");
    });
});
