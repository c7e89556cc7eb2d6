/** Reports of an endpoint: which are taken, and what one that starts again under its old id is known by. */
import { expect } from "chai";
import fc from "fast-check";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Readable } from "node:stream";
import { serveEndpointReport } from "../../src/process/endpoint/endpointReports.js";
import type { EndpointReport } from "../../src/process/endpoint/endpointState.js";
import { EndpointState } from "../../src/process/endpoint/endpointState.js";
import { FakeClock, readPropertyOptions } from "../fakes.js";

const valid = {
    service: "katalog",
    address: "10.0.0.9:8080",
    dataCentre: "klaten",
    version: "v1",
    slots: 66,
    state: "ready",
    reportNumber: 4,
    born: 1_764_812_345_678,
};

/** Serves one message; returns the status of its answer and what reached the handlers. */
async function serve(
    path: string,
    body: string | Buffer,
    foreign: string[] = [],
): Promise<{ status: number; taken: unknown[]; }> {
    const bytes = Buffer.from(body);
    const headers = { "content-length": String(bytes.length) };
    const request = Object.assign(Readable.from(bytes.length === 0 ? [] : [bytes]), {
        headers,
        method: "POST",
        url: path,
    });
    const taken: unknown[] = [];
    let status = 0;
    const response = { writeHead: (code: number) => status = code, end: () => undefined };
    await serveEndpointReport(
        {
            service: "katalog",
            address: "10.0.0.9:8080",
            report: report => taken.push(report),
            reportForeign: id => foreign.push(id),
            leave: (id, born) => taken.push({ id, born }),
        },
        request as unknown as IncomingMessage,
        response as unknown as ServerResponse,
    );
    return { status, taken };
}

// ROUTE: an upstream of another service that had got the address was taken for the node's own.
describe("who answers at the endpoint's address", () => {
    const report = (state: EndpointState, id: string, reportNumber = 1): unknown =>
        state.applyReport({ id, slots: 10, state: "ready", reportNumber });
    const cases: readonly {
        readonly name: string;
        readonly play: (state: EndpointState) => unknown;
        readonly refusal: "notKnown" | undefined;
        readonly current: string;
    }[] = [
        {
            name: "is nobody's endpoint if it hasn't reported",
            play: state => state.recordOther("b"),
            refusal: "notKnown",
            current: "a",
        },
        {
            name: "is the endpoint again once it reports",
            play: state => {
                state.recordOther("b");
                report(state, "b");
            },
            refusal: undefined,
            current: "b",
        },
        {
            name: "is the endpoint if it has reported before",
            play: state => {
                report(state, "b");
                report(state, "c");
                state.recordOther("b");
            },
            refusal: undefined,
            current: "b",
        },
        {
            name: "is the endpoint if its health check has named it, though a late report names an old one",
            play: state => {
                state.learnIncarnation("b", 10);
                report(state, "c");
                state.recordOther("b");
            },
            refusal: undefined,
            current: "b",
        },
        {
            name: "is the endpoint as before if that goes on reporting",
            play: state => {
                state.recordOther("b");
                report(state, "a", 2);
            },
            refusal: undefined,
            current: "a",
        },
        {
            name: "is of another service if it says so",
            play: state => state.recordForeign("b"),
            refusal: "notKnown",
            current: "a",
        },
        {
            name: "is of another service though its health is good",
            play: state => {
                state.recordForeign("b");
                state.learnIncarnation("b", 10);
            },
            refusal: "notKnown",
            current: "a",
        },
    ];
    for (const { name, play, refusal, current } of cases) {
        it(name, () => {
            const state = new EndpointState(new FakeClock());
            report(state, "a");
            play(state);
            expect([state.findRefusalReason(), state.getIncarnationId()]).deep.equals([refusal, current]);
        });
    }

    it("is told by a report of another service from that address only", async () => {
        const foreign: string[] = [];
        for (const [id, address] of [["i-7", valid.address], ["i-8", "10.0.0.8:8080"]]) {
            await serve(`/endpoint/${id}/report`, JSON.stringify({ ...valid, service: "kas", address }), foreign);
        }
        expect(foreign).deep.equals(["i-7"]);
    });
});

describe("a report of an endpoint", () => {
    const { slots, state, reportNumber, born } = valid;
    const takenCases: readonly { readonly name: string; readonly body: unknown; readonly born: number | undefined; }[] =
        [
            { name: "with its start", body: valid, born },
            { name: "without its start", body: { ...valid, born: undefined }, born: undefined },
            { name: "with fields that nobody knows", body: { ...valid, colour: { is: "red" } }, born },
        ];
    for (const { name, body, born: start } of takenCases) {
        it(`is taken ${name}`, async () => {
            const { status, taken } = await serve("/endpoint/i-7/report", JSON.stringify(body));
            expect(status).equals(200);
            expect(taken).deep.equals([{ id: "i-7", born: start, slots, state, reportNumber }]);
        });
    }

    const refusedCases: readonly { readonly name: string; readonly body: string | Buffer; readonly path?: string; }[] =
        [
            { name: "of another service", body: JSON.stringify({ ...valid, service: "kas" }) },
            { name: "with a state that nobody knows", body: JSON.stringify({ ...valid, state: "asleep" }) },
            { name: "whose start is no whole number", body: JSON.stringify({ ...valid, born: 17.5 }) },
            { name: "whose start is a text", body: JSON.stringify({ ...valid, born: "1764812345678" }) },
            { name: "whose number is negative", body: JSON.stringify({ ...valid, reportNumber: -1 }) },
            { name: "that is cut short", body: JSON.stringify(valid).slice(0, -9) },
            { name: "of bytes that are no text", body: Buffer.from([0xff, 0x00, 0xc3]) },
            { name: "without a body", body: "" },
            { name: "that is a list", body: JSON.stringify([valid]) },
            {
                name: "with an id too long for a record",
                body: JSON.stringify(valid),
                path: `/endpoint/${"i".repeat(101)}/report`,
            },
        ];
    for (const { name, body, path } of refusedCases) {
        it(`changes nothing ${name}`, async () => {
            const { status, taken } = await serve(path ?? "/endpoint/i-7/report", body);
            expect([status === 400 || status === 404, taken]).deep.equals([true, []]);
        });
    }

    it("changes nothing with any field missing or of another type", async () => {
        const fields = Object.keys(valid).filter(field => field !== "born");
        const wrong = fc.constantFrom<unknown>(undefined, null, true, {}, [], -1, 1.5, "", "x".repeat(200));
        await fc.assert(
            fc.asyncProperty(fc.constantFrom(...fields), wrong, async (field, value) => {
                const { status, taken } = await serve(
                    "/endpoint/i-7/report",
                    JSON.stringify({ ...valid, [field]: value }),
                );
                expect([status, taken]).deep.equals([400, []]);
            }),
            readPropertyOptions(200),
        );
    });

    it("never fails the node, whatever bytes it has", async () => {
        const mutated = fc.tuple(fc.nat(300), fc.nat(255)).map(([position, byte]) => {
            const bytes = Buffer.from(JSON.stringify(valid));
            bytes[position % bytes.length] = byte;
            return bytes;
        });
        const bodies = fc.oneof(mutated, fc.uint8Array({ maxLength: 60 }).map(bytes => Buffer.from(bytes)));
        await fc.assert(
            fc.asyncProperty(bodies, fc.constantFrom("report", "leave"), async (body, operation) => {
                const { status, taken } = await serve(`/endpoint/i-7/${operation}`, body);
                expect(status).equals(taken.length === 1 ? 200 : 400);
            }),
            readPropertyOptions(300),
        );
    });

    const leaveCases: readonly { readonly body: string; readonly taken: readonly unknown[]; }[] = [
        { body: "", taken: [{ id: "i-7", born: undefined }] },
        { body: "{}", taken: [{ id: "i-7", born: undefined }] },
        { body: JSON.stringify({ born }), taken: [{ id: "i-7", born }] },
        { body: JSON.stringify({ born: "soon" }), taken: [] },
        { body: JSON.stringify({ service: "kas" }), taken: [] },
        { body: "{\"born\":", taken: [] },
    ];
    for (const { body, taken } of leaveCases) {
        it(`that it leaves is ${taken.length === 0 ? "not taken" : "taken"} with ${body || "no body"}`, async () => {
            expect(await serve("/endpoint/i-7/leave", body)).deep.equals({
                status: taken.length === 0 ? 400 : 200,
                taken,
            });
        });
    }
});

describe("an endpoint that starts again under the id that it had", () => {
    const first: EndpointReport = { id: "a", born: 1000, slots: 10, state: "ready", reportNumber: 7 };
    const second: EndpointReport = { ...first, born: 2000, reportNumber: 1, slots: 5 };
    const cases: readonly {
        readonly name: string;
        readonly play: (state: EndpointState) => unknown;
        readonly result: unknown;
        readonly slots: number;
        readonly refusal: string | undefined;
    }[] = [
        {
            name: "counts its reports anew",
            play: state => state.applyReport(second),
            result: "started",
            slots: 5,
            refusal: undefined,
        },
        {
            name: "gets work though it left before",
            play: state => {
                state.applyReport({ ...first, reportNumber: 8, state: "draining" });
                state.applyLeave("a", 1000);
                return state.applyReport(second);
            },
            result: "started",
            slots: 5,
            refusal: undefined,
        },
        {
            name: "isn't undone by a late report of before",
            play: state => {
                state.applyReport(second);
                return state.applyReport({ ...first, reportNumber: 9, state: "draining" });
            },
            result: "stale",
            slots: 5,
            refusal: undefined,
        },
        {
            name: "isn't taken away by a late leave message of before",
            play: state => {
                state.applyReport(second);
                return state.applyLeave("a", 1000);
            },
            result: "stale",
            slots: 5,
            refusal: undefined,
        },
        {
            name: "isn't taken away by a node that knows only of before",
            play: state => {
                state.applyReport(second);
                return state.recordLeaving("a 1000");
            },
            result: "stale",
            slots: 5,
            refusal: undefined,
        },
        {
            name: "leaves when its own message says so",
            play: state => {
                state.applyReport(second);
                return state.applyLeave("a", 2000);
            },
            result: "changed",
            slots: 5,
            refusal: "leaving",
        },
        {
            name: "leaves when its answer says so, which names no start",
            play: state => {
                state.applyReport(second);
                return state.recordLeaving("a");
            },
            result: "changed",
            slots: 5,
            refusal: "leaving",
        },
        {
            name: "leaves when that is the first word of it",
            play: state => state.applyLeave("a", 2000),
            result: "changed",
            slots: 0,
            refusal: "leaving",
        },
        {
            name: "is the one that its answers named before it reported",
            play: state => {
                const restarted = new EndpointState(new FakeClock());
                restarted.learnIncarnation("a", 10);
                const result = restarted.applyReport(second);
                state.applyReport(second);
                return result;
            },
            result: "changed",
            slots: 5,
            refusal: undefined,
        },
    ];
    for (const { name, play, result, slots, refusal } of cases) {
        it(name, () => {
            const state = new EndpointState(new FakeClock());
            state.applyReport(first);
            expect(play(state)).equals(result);
            expect([state.getSlots(), state.findRefusalReason()]).deep.equals([slots, refusal]);
        });
    }

    it("is told apart by later processes of its node", () => {
        const before = new EndpointState(new FakeClock());
        before.applyReport(first);
        before.recordNamedLimit("a", 40);
        const namedLimit = before.describeNamedLimit()!;
        before.applyLeave("a", 1000);
        const later = new EndpointState(new FakeClock());
        later.recordLeaving(before.getLeavingId()!);
        later.restoreNamedLimit(namedLimit);
        later.learnIncarnation("a", 10);
        expect([later.findRefusalReason(), later.getNamedLimit()]).deep.equals(["leaving", 40]);
        later.applyReport(second);
        expect([later.findRefusalReason(), later.getNamedLimit()]).deep.equals([undefined, undefined]);
    });

    it("has the state of its latest start, in whatever order reports arrive", () => {
        const drawn = fc.record({
            id: fc.constant("a"),
            born: fc.constantFrom(1000, 2000, 3000),
            slots: fc.integer({ min: 1, max: 99 }),
            state: fc.constantFrom("ready" as const, "draining" as const),
            reportNumber: fc.nat(9),
        });
        fc.assert(
            fc.property(fc.array(drawn, { minLength: 1, maxLength: 20 }), reports => {
                const state = new EndpointState(new FakeClock());
                let newest: EndpointReport | undefined;
                let isLeaving = false;
                for (const report of reports) {
                    const isStarted = newest === undefined || report.born > newest.born!;
                    if (isStarted || (report.born === newest?.born && report.reportNumber > newest.reportNumber)) {
                        isLeaving = report.state === "draining" || (!isStarted && isLeaving);
                        newest = report;
                    }
                    state.applyReport(report);
                    expect(state.getSlots()).equals(newest!.slots);
                    expect(state.findRefusalReason()).equals(isLeaving ? "leaving" : undefined);
                }
            }),
            readPropertyOptions(300),
        );
    });
});
