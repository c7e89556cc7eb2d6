import { expect } from "chai";
import fc from "fast-check";
import { Packr } from "msgpackr";
import { controlMethods, decodeControlRequest } from "../src/connection/control.js";
import type { LogRecord } from "../src/connection/logService.js";
import { parseSettings } from "../src/process/settings/settings.js";
import { parseAction } from "../src/request/action.js";
import { decodeCallMetadata, decodeReplyMetadata } from "../src/request/callMetadata.js";
import { headerNames } from "../src/request/headers.js";
import { parseContract } from "../src/version/contract.js";
import { contractReducer, formatPublication } from "../src/version/contractStream.js";
import { formatMemberRecord, memberReducer } from "../src/version/memberStream.js";
import { formatQuarantineRecord, quarantineReducer } from "../src/version/quarantineStream.js";
import type { StreamReducer, StreamState } from "../src/version/streamReducer.js";
import { applyPage, formatSnapshot } from "../src/version/streamReducer.js";
import { formatContract } from "../standin/plans.js";
import { createContract, readPropertyOptions } from "./fakes.js";

const options = readPropertyOptions(500);
const codec = new Packr({ useRecords: false });

const contractText = formatContract(createContract("weavers"));
const settingsText = `service = "katalog"
dataCentre = "klaten"
address = "127.0.0.1"
listeners = { caller = 7001, outbound = 7002, peer = 7003, control = 7004, admin = 7005 }
endpoint = { url = "http://127.0.0.1:8000" }
log = { url = "http://127.0.0.1:7000" }
`;
const member = {
    address: "127.0.0.1",
    peerPort: 7003,
    controlPort: 7004,
    adminPort: 7005,
    service: "katalog",
    dataCentre: "klaten",
    incarnation: 1,
};
const slot = { slot: "127.0.0.1:7004", incarnation: 1 };
const publication = formatPublication({
    kind: "publish",
    id: "a",
    operator: "sari",
    baseVersion: 0,
    contract: createContract("weavers"),
});

/** Any text, and a good text with a part of it replaced. */
function createTexts(good: string): fc.Arbitrary<string> {
    const mutated = fc.tuple(fc.nat(good.length), fc.nat(12), fc.string()).map(
        ([at, length, text]) => good.slice(0, at) + text + good.slice(at + length),
    );
    return fc.oneof(fc.string(), fc.string({ unit: "binary" }), mutated);
}

/** JSON values with the names that a careless parser trips over. */
const anyValue = fc.oneof(
    fc.jsonValue(),
    fc.dictionary(fc.constantFrom("kind", "through", "state", "__proto__", "constructor", "contract"), fc.jsonValue()),
);

const textParsers: readonly {
    readonly name: string;
    readonly good: string;
    readonly parse: (text: string) => { readonly ok: boolean; };
}[] = [
    { name: "contract", good: contractText, parse: parseContract },
    { name: "settings", good: settingsText, parse: text => parseSettings("node.toml", text) },
    {
        name: "caller's headers",
        good: "weavers",
        parse: text =>
            parseAction(
                {
                    [headerNames.customer]: text,
                    [headerNames.class]: text,
                    [headerNames.key]: text,
                    [headerNames.attempt]: text,
                    [headerNames.deadline]: text,
                },
                {
                    contracts: {
                        weavers: { version: 1, offset: 0, publicationId: "a", contract: createContract("weavers") },
                    },
                    verdicts: [],
                },
                new Date(0),
            ),
    },
];

describe("parsers", () => {
    for (const { name, good, parse } of textParsers) {
        it(`give a result for any ${name}`, () => {
            fc.assert(fc.property(createTexts(good), text => typeof parse(text).ok === "boolean"), options);
        });
    }

    it("take no peer's request that the schemas don't allow, and fail on none", () => {
        const bytes = fc.oneof(
            fc.uint8Array({ maxLength: 200 }).map(array => Buffer.from(array)),
            anyValue.map(value => codec.pack(value)),
        );
        fc.assert(
            fc.property(fc.constantFrom(...controlMethods), bytes, (method, message) => {
                expect(decodeControlRequest(method, message)).to.equal(undefined);
            }),
            options,
        );
    });

    it("fail on no context of a call, and on no reply", () => {
        const headers = fc.oneof(fc.string(), anyValue.map(value => codec.pack(value).toString("base64")));
        fc.assert(
            fc.property(headers, text => {
                expect(decodeCallMetadata(text)).to.equal(undefined);
                expect(decodeReplyMetadata(text)).to.equal(undefined);
            }),
            options,
        );
    });
});

/** A stream's rules and good records of each kind. */
interface StreamCase {
    readonly name: string;
    readonly reducer: StreamReducer<unknown, unknown>;
    readonly good: readonly string[];
}

const streams: readonly StreamCase[] = [
    { name: "contracts", reducer: contractReducer as StreamReducer<unknown, unknown>, good: [publication] },
    {
        name: "members",
        reducer: memberReducer as StreamReducer<unknown, unknown>,
        good: [
            formatMemberRecord({ kind: "join", member }),
            formatMemberRecord({ kind: "handover", service: "katalog", partitions: [1], from: slot, to: slot }),
            formatMemberRecord({ kind: "retire", slot: slot.slot, operator: "sari" }),
        ],
    },
    {
        name: "quarantine",
        reducer: quarantineReducer as StreamReducer<unknown, unknown>,
        good: [formatQuarantineRecord({ kind: "release", fingerprint: "f", operator: "sari" })],
    },
];

/** Records of a log, most of them hostile. */
function createRecords({ reducer, good }: StreamCase): fc.Arbitrary<LogRecord[]> {
    const snapshot = formatSnapshot({ through: 1, state: reducer.createState() });
    const body = fc.oneof(
        fc.constantFrom(...good),
        fc.constantFrom(...good, snapshot).chain(createTexts),
        anyValue.map(value => JSON.stringify(value)),
        anyValue.map(state => JSON.stringify({ kind: "snapshot", through: 0, state })),
    );
    return fc.array(body, { maxLength: 12 }).map(bodies =>
        bodies.map((text, offset) => ({ offset, at: offset, body: text }))
    );
}

describe("folds of hostile records", () => {
    for (const stream of streams) {
        it(`of ${stream.name} give the same state in one page as in two, and one that a snapshot carries`, () => {
            const { reducer: rules } = stream;
            fc.assert(
                fc.property(createRecords(stream), fc.nat(12), (records, cut) => {
                    const fold = (part: readonly LogRecord[], current: StreamState<unknown> | undefined) =>
                        applyPage(rules, current, { first: 0, next: records.length, records: part }).current;
                    const readAll = () => fold(records, undefined);
                    const whole = readAll();
                    const halves = fold(records.slice(cut), fold(records.slice(0, cut), undefined));
                    expect(halves).to.deep.equal(whole);
                    expect(rules.parseState(JSON.parse(JSON.stringify(whole?.state)))).to.deep.equal(whole?.state);
                }),
                options,
            );
        });
    }
});
