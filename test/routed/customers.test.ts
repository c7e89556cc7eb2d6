/** Customers and their keys: what a configuration may say, who is let in, and what the endpoint and the log learn. */
import { expect } from "chai";
import { PlatformDialect } from "../../platform/headers.js";
import type { Origin } from "../../src/process/load/runsInProgress.js";
import { formatConfigurationError, parseConfiguration } from "../../src/version/configuration.js";
import { RouteTable } from "../../src/version/routeTable.js";
import { createAnswer, EntryPlay, formatRequest, waitUntil } from "./entryPlay.js";
import type { CustomerSample } from "./samples.js";
import { createRoute, formatConfiguration } from "./samples.js";

const key = "k-weavers-1";
const otherKey = "k-dyers-1";
const weavers: CustomerSample = { name: "weavers", keys: [key, "k-weavers-2"], priority: 4 };
const dyers: CustomerSample = { name: "dyers", keys: [otherKey] };
const shop = createRoute({ name: "shop", priority: 2 });
const open = createRoute({ name: "open", pathPrefix: "/open/", isPublic: true });

function createTable(customers: unknown): RouteTable {
    const parsed = parseConfiguration(formatConfiguration(1, [shop, open], customers as CustomerSample[]));
    return new RouteTable(parsed.ok ? parsed.value : expect.fail(formatConfigurationError(parsed.error)));
}

describe("customers of a configuration", () => {
    const quota = { requestsPerSecond: 5, burst: 3 };
    const shapes: readonly {
        readonly name: string;
        readonly customer: CustomerSample;
        readonly quota: unknown;
        readonly priority: number | undefined;
    }[] = [
        { name: "all fields", customer: { ...weavers, ...quota }, quota, priority: 4 },
        { name: "no quota", customer: weavers, quota: undefined, priority: 4 },
        { name: "a rate of 0", customer: { ...weavers, requestsPerSecond: 0 }, quota: undefined, priority: 4 },
        {
            name: "a rate without a burst",
            customer: { ...weavers, requestsPerSecond: 5 },
            quota: { requestsPerSecond: 5, burst: 0 },
            priority: 4,
        },
        {
            name: "null for all that may be left out",
            customer: { ...weavers, priority: null, requestsPerSecond: null, burst: null },
            quota: undefined,
            priority: undefined,
        },
        { name: "a field that nobody knows", customer: { ...weavers, colour: "red" }, quota: undefined, priority: 4 },
    ];
    for (const { name, customer, ...expected } of shapes) {
        it(`are found by their keys with ${name}`, () => {
            const { customers } = createTable([dyers, customer]);
            expect(customers.findByKey(key)).deep.equals({ name: "weavers", ...expected });
            expect(customers.findByKey(otherKey)?.name).equals("dyers");
            expect(customers.findByName("weavers")).equals(customers.findByKey("k-weavers-2"));
        });
    }

    for (const keys of [undefined, null, []]) {
        it(`may have no key: ${JSON.stringify(keys)}`, () => {
            const { customers } = createTable([{ ...weavers, keys }]);
            expect(customers.findByName("weavers")?.name).equals("weavers");
            expect(customers.findByKey(key)).equals(undefined);
        });
    }

    for (const unknown of ["", "K-WEAVERS-1", `${key} `, "weavers", "__proto__"]) {
        it(`aren't found by ${JSON.stringify(unknown)}, which is nobody's key`, () => {
            expect(createTable([weavers, dyers]).customers.findByKey(unknown)).equals(undefined);
        });
    }

    const invalid: readonly { readonly name: string; readonly customer: CustomerSample; readonly error: string; }[] = [
        { name: "no name", customer: { keys: [key] }, error: "customers.0.name" },
        { name: "keys that are no list", customer: { name: "weavers", keys: key }, error: "customers.0.keys" },
        { name: "a key that is no text", customer: { name: "weavers", keys: [key, 7] }, error: "customers.0.keys.1" },
        { name: "an empty key", customer: { name: "weavers", keys: [key, ""] }, error: "customers.0.keys.1" },
        { name: "a key too long", customer: { name: "weavers", keys: [key.repeat(500)] }, error: "customers.0.keys.0" },
        { name: "a negative rate", customer: { ...weavers, requestsPerSecond: -1 }, error: "customers.0.requests" },
        { name: "a broken priority", customer: { ...weavers, priority: 0.5 }, error: "customers.0.priority" },
    ];
    for (const { name, customer, error } of invalid) {
        it(`are refused with ${name}, and the reason tells no key`, () => {
            const parsed = parseConfiguration(formatConfiguration(1, [shop], [customer]));
            const reason = parsed.ok ? "" : formatConfigurationError(parsed.error);
            expect(reason).contains(error);
            expect(reason).not.contains(key);
        });
    }

    it("show no key when their table is dumped", () => {
        const dump = JSON.stringify(
            createTable([weavers, dyers]).customers,
            (_name, value: unknown) => value instanceof Map ? [...value] : value,
        );
        expect(dump).contains("weavers").and.not.contains("k-weavers");
    });
});

describe("a request at its entry", () => {
    const play = new EntryPlay();
    const attempt = "Attempt-Id: a1";
    const bearer = `Authorization: Bearer ${key}`;

    before(() => play.start());
    after(() => play.stop());
    beforeEach(() => {
        play.calls.length = 0;
        play.lines.length = 0;
        play.forward = async () => createAnswer();
    });

    it("gets 503 while there is no configuration, whatever its key", async () => {
        expect(await play.send([attempt, bearer])).equals(503);
    });

    let version = 0;
    const publish = (customers?: readonly CustomerSample[]): void => {
        version += 1;
        play.holder.adoptIfNewer(formatConfiguration(version, [shop, open], customers));
    };
    const cases: readonly {
        readonly name: string;
        readonly headers: readonly string[];
        readonly path?: string;
        readonly customers?: readonly CustomerSample[];
        readonly status: number;
        readonly customer?: string;
        readonly priority?: number;
    }[] = [
        { name: "runs for the customer of its key", headers: [bearer], status: 200, customer: "weavers", priority: 4 },
        {
            name: "has its route's priority if its customer has none",
            headers: [`authorization: bearer  ${otherKey}`],
            status: 200,
            customer: "dyers",
            priority: 2,
        },
        {
            name: "runs for its key's customer, whomever it names",
            headers: [bearer, "Tenant: dyers"],
            status: 200,
            customer: "weavers",
        },
        { name: "gets 401 with an unknown key", headers: ["Authorization: Bearer k-none"], status: 401 },
        { name: "gets 401 without a key", headers: ["Tenant: weavers"], status: 401 },
        { name: "gets 401 with a key in another form", headers: [`Authorization: Basic ${key}`], status: 401 },
        { name: "gets 401 with a customer's name for a key", headers: ["Authorization: Bearer weavers"], status: 401 },
        { name: "gets 404 before 401", headers: ["Authorization: Bearer k-none"], path: "/none/1", status: 404 },
        { name: "needs no key on a public route", headers: ["Tenant: weavers"], path: "/open/1", status: 200 },
        {
            name: "may have an unknown key on a public route",
            headers: ["Authorization: Bearer k-none"],
            path: "/open/1",
            status: 200,
        },
        {
            name: "has the customer of its key on a public route",
            headers: [bearer],
            path: "/open/1",
            status: 200,
            customer: "weavers",
        },
        { name: "gets 401 once no customer is left", headers: [bearer], customers: [], status: 401 },
    ];
    for (const { name, headers, path, customers, status, customer, priority } of cases) {
        it(name, async () => {
            publish(customers ?? [weavers, dyers]);
            expect(await play.send([attempt, ...headers], path)).equals(status);
            expect(play.calls.map(each => each.origin.customer)).deep.equals(status === 200 ? [customer] : []);
            if (priority !== undefined) {
                expect(play.calls[0]?.origin.priority).equals(priority);
            }
            const passedOn = JSON.stringify([play.calls.map(call => call.headers), play.lines]);
            expect(passedOn).not.match(/k-|Tenant/i);
        });
    }

    const unitCases = [
        { cause: "quota", status: 429 },
        { cause: "noGrantor", status: 503 },
    ] as const;
    for (const { cause, status } of unitCases) {
        it(`gets ${status} where its customer gets no unit for the cause ${cause}`, async () => {
            publish([{ ...weavers, requestsPerSecond: 5, burst: 3 } as CustomerSample]);
            play.unitCause = cause;
            expect(await play.send([attempt, bearer])).equals(status);
            expect(play.calls).deep.equals([]);
        });
    }

    it("needs no key where the configuration has no customers, and names none", async () => {
        publish();
        expect(await play.send([attempt, bearer, "Tenant: weavers"])).equals(200);
        expect(play.calls[0]?.origin.customer).equals(undefined);
        expect(JSON.stringify(play.calls[0]?.headers)).not.match(/k-|Tenant/i);
    });

    it("needs no key as a call of a run, and keeps the customer of the request that made the run", async () => {
        publish([weavers]);
        const origin: Origin = {
            route: "shop",
            priority: 4,
            customer: "weavers",
            isRepeated: false,
            depth: 0,
            servedBefore: 0,
        };
        const run = play.runs.start("p1", origin, "r");
        expect(await play.send(["Attempt-Id: p1.c0"])).equals(200);
        expect(play.calls[0]?.origin).includes({ customer: "weavers", depth: 1 });
        play.runs.end("p1", run);
    });

    it("gets 503, not 401, as a call of a run that the node doesn't know, and 401 with an unknown key", async () => {
        publish([weavers]);
        expect(await play.send(["Attempt-Id: p1.c1"])).equals(503);
        expect(await play.send(["Attempt-Id: p1.c1", "Authorization: Bearer k-none"])).equals(401);
        expect(play.calls).deep.equals([]);
    });

    it("is counted when it is refused for an unknown key", async () => {
        publish([weavers]);
        await play.send([attempt, "Authorization: Bearer k-none"]);
        const { text } = await play.metrics.read();
        expect(text).match(/requests_total\{route="shop",outcome="refused",cause="unknownKey"\} \d/);
    });

    const changes: readonly {
        readonly name: string;
        readonly customers: readonly CustomerSample[];
        readonly status: number;
    }[] = [
        { name: "is gone", customers: [{ ...weavers, keys: ["k-weavers-2"] }], status: 401 },
        { name: "is new", customers: [weavers], status: 200 },
        { name: "belongs to another customer", customers: [{ ...dyers, keys: [key] }], status: 200 },
    ];
    for (const { name, customers, status } of changes) {
        it(`on an open connection meets the version in force when its key ${name}`, async () => {
            publish([dyers]);
            const caller = await play.connect();
            caller.write(formatRequest("GET", "/loom/1", [attempt, `Authorization: Bearer ${otherKey}`]));
            await caller.waitForAnswers(1);
            publish(customers);
            caller.write(formatRequest("GET", "/loom/1", [attempt, bearer]));
            await caller.waitForAnswers(2);
            caller.leave();
            expect(caller.listAnswers().map(answer => answer.status)).deep.equals([200, status]);
            expect(play.calls[1]?.origin.customer).equals(status === 200 ? customers[0]!["name"] : undefined);
        });
    }

    for (const [before, after, status] of [[[weavers], [dyers], 401], [[dyers], [weavers], 200]] as const) {
        it(`meets the version that is adopted while its body is read: ${status}`, async () => {
            publish(before);
            const caller = await play.connect();
            const text = formatRequest("POST", "/loom/1", [attempt, bearer], "body");
            caller.write(text.slice(0, -2));
            await new Promise(resolve => setTimeout(resolve, 30));
            publish(after);
            caller.write(text.slice(-2));
            await caller.waitForAnswers(1);
            caller.leave();
            expect(caller.listAnswers()[0]?.status).equals(status);
        });
    }

    it("that waits when its key is taken away may finish", async () => {
        publish([weavers]);
        let finish: () => void = () => undefined;
        play.forward = () => new Promise(resolve => finish = () => resolve(createAnswer("late")));
        const caller = await play.connect();
        caller.write(formatRequest("GET", "/loom/1", [attempt, bearer]));
        await waitUntil(() => play.calls.length === 1);
        publish([dyers]);
        finish();
        await caller.waitForAnswers(1);
        caller.leave();
        expect(caller.listAnswers()[0]).includes({ status: 200, body: "late" });
    });
});

describe("what an endpoint is told of a customer", () => {
    const metadata = { attemptId: "a", timeLeftMs: 10, callerService: "kas", endpointId: "i" };
    const cases: readonly { readonly customer: string | undefined; readonly headers: readonly string[]; }[] = [
        { customer: "weavers", headers: ["Tenant", "weavers"] },
        { customer: undefined, headers: [] },
    ];
    for (const { customer, headers } of cases) {
        it(`is its name only: ${customer ?? "none"}`, () => {
            const dialect = new PlatformDialect();
            const sent = ["Tenant", "forged", "AUTHORIZATION", `Bearer ${key}`, "X-Loom", "red"];
            expect(dialect.copyRequestHeaders(sent)).deep.equals(["X-Loom", "red"]);
            expect(dialect.createRunHeaders({ ...metadata, customer }).slice(6)).deep.equals(headers);
        });
    }
});
