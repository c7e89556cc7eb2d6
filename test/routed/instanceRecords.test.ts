/** Instance records in the log: those that can't be read or stand under another key name nobody, the others hold. */
import { expect } from "chai";
import fc from "fast-check";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { StoreClient } from "../../platform/store.js";
import type { KeyedLog, KeyedPage } from "../../src/connection/keyedLog.js";
import { SystemClock } from "../../src/process/base/clock.js";
import { createSuccess } from "../../src/process/base/result.js";
import { ClusterState } from "../../src/process/membership/clusterState.js";
import { topics } from "../../src/process/membership/logReading.js";
import type { InstanceRecord } from "../../src/version/instanceRecord.js";
import { formatInstanceRecord, parseInstanceRecord } from "../../src/version/instanceRecord.js";
import { readPropertyOptions, silentLogger } from "../fakes.js";
import { createRecord } from "./samples.js";

const own = "10.0.0.1";
const sound = createRecord("10.0.0.9");
const soundText = formatInstanceRecord(sound);

/** Text of the record of 10.0.0.8 with odd fields. */
function formatOdd(change: Partial<InstanceRecord>): string {
    return formatInstanceRecord(createRecord("10.0.0.8", change));
}

/** What a node knows after it has read records, which it gets as the newest ones of the log. */
async function readRecords(records: readonly (readonly [key: string, value: string])[]): Promise<{
    readonly known: ReadonlyMap<string, InstanceRecord>;
    readonly restored: readonly InstanceRecord[];
    readonly appended: readonly string[];
}> {
    const items = records.map(([key, value], offset) => ({ key, value, offset }));
    const restored: InstanceRecord[] = [];
    const appended: string[] = [];
    const page: KeyedPage = { records: items, next: items.length, era: 0 };
    const log: KeyedLog = {
        readNewest: async topic => createSuccess(topic === topics.instances ? page : { ...page, records: [] }),
        follow: () => new Promise(() => undefined),
        append: async (_topic, _key, value) => {
            appended.push(value);
            return createSuccess({ offset: items.length, era: 0 });
        },
    };
    const state = new ClusterState({
        clock: new SystemClock(),
        random: Math.random,
        logger: silentLogger,
        log,
        address: own,
        dataCentre: "klaten",
        firstRevision: 1,
        isFirstStart: false,
        describeInstance: () => createRecord(own),
        restoreFromOwnRecord: record => restored.push(record),
        isReachable: () => true,
        post: () => undefined,
        listLinked: () => [],
        ping: () => undefined,
        handleInstanceRecord: () => undefined,
    });
    const controller = new AbortController();
    state.run(controller.signal);
    state.publishOwnRecord();
    for (let turn = 0; turn < 20; turn += 1) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
    controller.abort();
    return { known: new Map(state.registry.list().map(record => [record.address, record])), restored, appended };
}

describe("an instance record in the log", () => {
    const cases: readonly { readonly name: string; readonly key: string; readonly value: string; }[] = [
        { name: "is cut short", key: "10.0.0.8", value: soundText.slice(0, -5) },
        { name: "is no text", key: "10.0.0.8", value: "\u0000\ufffd\ufffd" },
        { name: "stands under another address", key: "10.0.0.8", value: soundText },
        { name: "has no key", key: "", value: formatInstanceRecord(createRecord("10.0.0.8")) },
        { name: "has no value", key: "10.0.0.8", value: "" },
        { name: "is null", key: "10.0.0.8", value: "null" },
        // Another writer's odd entry ended the nodes that read it, or kept an instance's own records from being taken.
        { name: "is very deeply nested", key: "10.0.0.8", value: "[".repeat(200_000) + "]".repeat(200_000) },
        {
            name: "has a deeply nested field",
            key: "10.0.0.8",
            value: soundText.replace("\"katalog\"", "[".repeat(100_000) + "]".repeat(100_000)),
        },
        { name: "has a port out of range", key: "10.0.0.8", value: formatOdd({ port: 70_000 }) },
        { name: "has a number too large", key: "10.0.0.8", value: formatOdd({ slots: 7 }).replace("7,", "1e999,") },
        {
            name: "has a revision beyond any clock's",
            key: "10.0.0.8",
            value: formatOdd({ revision: Number.MAX_SAFE_INTEGER }),
        },
        {
            name: "has no IP address that can be dialled",
            key: "10.0.0.8\u0000",
            value: formatOdd({ address: "10.0.0.8\u0000" }),
        },
        { name: "has a name for an address", key: "weaver", value: formatOdd({ address: "weaver" }) },
    ];
    for (const { name, key, value } of cases) {
        it(`names nobody when it ${name}, and the others hold`, async () => {
            const { known } = await readRecords([[key, value], [sound.address, soundText], [key, value]]);
            expect([...known.keys()].sort()).deep.equals([own, sound.address]);
            expect(known.get(sound.address)).includes({ slots: sound.slots, revision: sound.revision });
        });
    }

    const leaving = createRecord("10.0.0.8", { leavingEndpoint: "i-7", revision: 9 });
    for (const value of ["{", formatInstanceRecord(leaving)]) {
        it(`under the node's own key that isn't its own is replaced, and says nothing of its endpoint: ${value.length}`, async () => {
            const { restored, appended } = await readRecords([[own, value]]);
            expect(restored).deep.equals([]);
            expect(appended.map(text => parseInstanceRecord(text)?.address)).deep.equals([own]);
        });
    }

    it("counts only if all its fields are there in their types, whatever is changed", async () => {
        const fields = ["address", "port", "service", "dataCentre", "slots", "isTaking"];
        const wrong = fc.constantFrom<unknown>(undefined, null, {}, [], -1, 1.5, "", "x".repeat(200));
        await fc.assert(
            fc.asyncProperty(fc.constantFrom(...fields), wrong, async (field, value) => {
                const text = JSON.stringify({ ...createRecord("10.0.0.8"), [field]: value });
                const { known } = await readRecords([["10.0.0.8", text], [sound.address, soundText]]);
                expect([...known.keys()].sort()).deep.equals([own, sound.address]);
            }),
            readPropertyOptions(60),
        );
    });
});

describe("a page of the log", () => {
    /** Encodes a record as the platform's store keeps it; `keyLength` may lie. */
    const encode = (key: string, value: string, keyLength = key.length): Buffer => {
        const bytes = Buffer.concat([Buffer.alloc(4), Buffer.from([keyLength]), Buffer.from(key + value)]);
        bytes.writeUInt32BE(bytes.length - 4, 0);
        return bytes;
    };
    const whole = encode("a", "1");
    const cases: readonly {
        readonly name: string;
        readonly records: readonly Buffer[];
        readonly keys: readonly string[] | "malformed";
    }[] = [
        { name: "with sound records", records: [whole, encode("b", "2")], keys: ["a", "b"] },
        { name: "with a record shorter than its key", records: [encode("", "x", 200), whole], keys: ["", "a"] },
        { name: "with a record without a byte", records: [Buffer.alloc(4), whole], keys: ["", "a"] },
        { name: "that ends with a record without a byte", records: [whole, Buffer.alloc(4)], keys: ["a", ""] },
        { name: "with a record without a value", records: [encode("b", ""), whole], keys: ["b", "a"] },
        { name: "that is cut", records: [whole, whole.subarray(0, 6)], keys: "malformed" },
    ];
    for (const { name, records, keys } of cases) {
        it(`${name} is read as ${JSON.stringify(keys)}`, async () => {
            const server = createServer((_request, response) =>
                response.end(Buffer.concat([Buffer.alloc(16), ...records]))
            );
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            const { port } = server.address() as AddressInfo;
            const store = new StoreClient("127.0.0.1", port);
            const page = await store.follow(topics.instances, 40, 0, new AbortController().signal);
            server.closeAllConnections();
            server.close();
            expect(page.ok ? page.value.records.map(record => record.key) : page.error.kind).deep.equals(keys);
            expect(page.ok ? page.value.next : 40).equals(40 + (page.ok ? records.length : 0));
        });
    }
});
