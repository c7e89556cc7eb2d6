/** Messages between nodes: what is sent arrives, in whatever pieces; what is no message is told apart. */
import { expect } from "chai";
import fc from "fast-check";
import { Packr } from "msgpackr";
import { encodeMessage } from "../../src/connection/linkCodec.js";
import type { LinkMessage, RunMessage } from "../../src/connection/linkMessage.js";
import { MessageReader } from "../../src/connection/messageReader.js";
import { readPropertyOptions } from "../fakes.js";

const load = { running: 3, waiting: 1, limit: 9, failureShare: 0.25, isSettled: false, shedShare: 0.5, slowness: 1.25 };
const samples: readonly LinkMessage[] = [
    {
        kind: "run",
        id: 1,
        attemptId: "a",
        sendNumber: 2,
        isResent: false,
        service: "katalog",
        route: "r",
        method: "POST",
        path: "/loom/1?x",
        headers: ["Host", "katalog.example"],
        body: Buffer.from("body"),
        isIdempotent: true,
        origin: {
            route: "r",
            priority: 2,
            isRepeated: true,
            depth: 3,
            servedBefore: 2,
            customer: "weavers",
        },
        timeLeftMs: 812.5,
        targetLeftMs: -3,
        callerService: "ekspor",
        leavingEndpoint: "i-7",
        usualRunMs: 240,
    },
    {
        kind: "answer",
        id: 1,
        status: 200,
        headers: ["a", "b"],
        body: Buffer.from("x"),
        runMs: 5,
        waitedMs: 0,
        behind: "crowd",
        pressure: 1.25,
        load,
        connection: 7,
    },
    { kind: "refused", id: 2, cause: "full", retryAfterMs: 12, load },
    { kind: "failed", id: 3, cause: "reset", ranMs: 1, load },
    { kind: "cancel", id: 4 },
    {
        kind: "hello",
        address: "10.0.0.1",
        incarnation: 1_764_812_345_678_901,
        version: -1,
        record: "{}",
        suspectCount: 2,
    },
    { kind: "ping", version: 4_294_967_295, era: 2, isFollowing: true },
    { kind: "pong", version: 12, era: -1, isFollowing: false, load },
    { kind: "load", load },
    { kind: "ask", topic: "configuration" },
    { kind: "configuration", text: "{}" },
    { kind: "instances", records: ["{}"] },
    { kind: "crashes", fingerprints: ["f"], incident: "i" },
    {
        kind: "askUnits",
        group: 2,
        session: 4_294_967_295,
        number: 3,
        stamp: "1764812345678901 1000",
        isSupporting: true,
        nodes: 84,
        items: [["weavers", 4, 1, 2]],
    },
    { kind: "grantUnits", group: 2, session: 7, number: 3, stamp: "", items: [["weavers", 5, -1], ["dyers", 0, 60]] },
    { kind: "suspects", items: [["f", 599_000, ["10.0.0.1/1764812345678901/1", "10.0.0.2/1764812345678902/1"]]] },
];

/** A run for a customer whose priority isn't that of the route. */
const prioritisedRun: LinkMessage = {
    ...samples[0] as RunMessage,
    origin: {
        route: "r",
        priority: 1,
        routePriority: 0,
        isRepeated: false,
        depth: 1,
        servedBefore: 0,
        customer: "weavers",
        hasReturned: true,
    },
};

describe("messages between nodes", () => {
    it("arrive as they were sent, in whatever pieces", () => {
        const sent = [...samples, prioritisedRun];
        const bytes = Buffer.concat(sent.map(encodeMessage));
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 1, maxLength: 20 }), sizes => {
                const reader = new MessageReader();
                const received: LinkMessage[] = [];
                let position = 0;
                for (let index = 0; position < bytes.length; index += 1) {
                    const size = sizes[index % sizes.length]!;
                    received.push(...reader.read(bytes.subarray(position, position + size)) ?? expect.fail());
                    position += size;
                }
                expect(received).deep.equals(sent);
            }),
            readPropertyOptions(50),
        );
    });

    const earlier: readonly {
        readonly name: string;
        readonly sample: LinkMessage;
        /** Removes what the earlier build does not send, or adds what only it does. */
        readonly cut: (items: unknown[]) => unknown[];
        readonly change: object;
    }[] = [
        {
            name: "a run without the leaving endpoint and the usual run time",
            sample: samples[0]!,
            cut: items => items.slice(0, -2),
            change: { leavingEndpoint: undefined, usualRunMs: undefined },
        },
        {
            name: "an answer that lists the services behind",
            sample: samples[1]!,
            cut: items => [...items.slice(0, -2), [["mutu", 8, 4, 55, 120]]],
            change: { connection: undefined },
        },
        {
            name: "a hello without the number of suspects",
            sample: samples[5]!,
            cut: items => items.slice(0, -1),
            change: { suspectCount: undefined },
        },
        {
            name: "a hello with a field that this build doesn't know, as the number of suspects is to earlier ones",
            sample: samples[5]!,
            cut: items => [...items, ["unknown", 1]],
            change: {},
        },
        {
            name: "an answer without the connection that it came on",
            sample: samples[1]!,
            cut: items => items.slice(0, -2),
            change: { connection: undefined },
        },
        {
            name: "a run with a plan for its repeats",
            sample: samples[0]!,
            cut: items => items.map(item => Array.isArray(item) && item.includes("weavers") ? [...item, 2] : item),
            change: {},
        },
        {
            name: "a load without the share that is turned away and the slowness",
            sample: { kind: "load", load },
            cut: ([kind, fields]) => [kind, (fields as number[]).slice(0, -2)],
            change: { load: { ...load, shedShare: 0, slowness: 0 } },
        },
        {
            name: "a load with a run time",
            sample: { kind: "load", load },
            cut: ([kind, fields]) => [kind, (fields as number[]).map((item, index) => index === 5 ? 42 : item)],
            change: {},
        },
    ];
    for (const { name, sample, cut, change } of earlier) {
        it(`of another build are taken: ${name}`, () => {
            const packr = new Packr({ useRecords: false });
            const packed = packr.pack(cut(packr.unpack(encodeMessage(sample).subarray(4)) as unknown[]));
            const framed = Buffer.concat([Buffer.alloc(4), packed]);
            framed.writeUInt32BE(packed.length, 0);
            expect(new MessageReader().read(framed)).deep.equals([{ ...sample, ...change }]);
        });
    }

    for (const field of ["customer", "servedBefore"] as const) {
        it(`of an earlier build, whose origin ends before ${field}, are taken`, () => {
            const packr = new Packr({ useRecords: false });
            const items = packr.unpack(encodeMessage(samples[0]!).subarray(4)) as unknown[];
            const origin = items.find(item => Array.isArray(item) && item.includes("weavers")) as unknown[];
            const end = field === "customer" ? 5 : 4;
            const packed = packr.pack(items.map(item => item === origin ? origin.slice(0, end) : item));
            const framed = Buffer.concat([Buffer.alloc(4), packed]);
            framed.writeUInt32BE(packed.length, 0);
            const [message] = new MessageReader().read(framed) ?? expect.fail();
            const read = message?.kind === "run" ? message.origin : expect.fail();
            const servedBefore = field === "customer" ? 2 : 0;
            const lacking = { customer: undefined, servedBefore };
            expect(read).deep.equals({ route: "r", priority: 2, isRepeated: true, depth: 3, ...lacking });
        });
    }

    it("with a request without a customer arrive as they were sent", () => {
        const { origin, ...rest } = samples[0] as Extract<LinkMessage, { readonly kind: "run"; }>;
        const sent: LinkMessage = { ...rest, origin: { ...origin, customer: undefined } };
        expect(new MessageReader().read(encodeMessage(sent))).deep.equals([sent]);
    });

    // MIXED: an answer whose status is none in the protocol was passed on to the caller.
    for (const status of [0, 99, 103, 600, 999, 200.5, -200, "200", undefined]) {
        it(`with the answer to a request whose status is ${status} say that its outcome isn't known`, () => {
            const odd = { ...samples[1], status } as unknown as LinkMessage;
            const [received] = new MessageReader().read(encodeMessage(odd)) ?? expect.fail();
            expect(received).deep.equals({ kind: "failed", id: 1, cause: "garbled", ranMs: 5, load });
        });
    }

    it("that are malformed never fail the reader", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
                const framed = Buffer.alloc(4 + bytes.length);
                framed.writeUInt32BE(bytes.length, 0);
                framed.set(bytes, 4);
                new MessageReader().read(framed);
            }),
            readPropertyOptions(500),
        );
    });

    it("that claim to be longer than any message end the stream", () => {
        expect(new MessageReader().read(Buffer.from([0xff, 0xff, 0xff, 0xff]))).equals(undefined);
    });
});
