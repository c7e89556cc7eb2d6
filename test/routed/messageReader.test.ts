/** Large messages between nodes: read from whatever pieces come, as earlier builds wrote and read them, or skipped. */
import { expect } from "chai";
import fc from "fast-check";
import { Packr } from "msgpackr";
import { encodeMessage } from "../../src/connection/linkCodec.js";
import type { LinkMessage, RunMessage } from "../../src/connection/linkMessage.js";
import { MessageReader } from "../../src/connection/messageReader.js";
import { BodyBudget } from "../../src/process/load/bodyBudget.js";
import { FakeClock, readPropertyOptions } from "../fakes.js";

const packr = new Packr({ useRecords: false });

function createRun(id: number, bodyBytes: number): RunMessage {
    return {
        kind: "run",
        id,
        attemptId: `attempt${id}`,
        sendNumber: 1,
        isResent: false,
        service: "katalog",
        route: "r",
        method: "POST",
        path: "/loom/1",
        headers: ["Host", "katalog.example"],
        body: Buffer.from(Array.from({ length: bodyBytes }, (_none, index) => (index + id) % 251)),
        isIdempotent: true,
        origin: { route: "r", priority: 0, isRepeated: false, depth: 0, servedBefore: 0, customer: undefined },
        timeLeftMs: 1000,
        targetLeftMs: 500,
        callerService: "ekspor",
        leavingEndpoint: undefined,
        usualRunMs: 20,
    };
}

/** Cuts bytes into pieces; each is a buffer of its own, as a socket hands them out. */
function sendInPieces(bytes: Buffer, sizes: readonly number[]): Buffer[] {
    const pieces: Buffer[] = [];
    let at = 0;
    for (const size of sizes) {
        pieces.push(Buffer.from(bytes.subarray(at, at + size)));
        at += size;
    }
    return [...pieces, Buffer.from(bytes.subarray(at))].filter(piece => piece.length > 0);
}

function releaseShare(message: LinkMessage): LinkMessage {
    const { bodyShare, ...rest } = message as RunMessage;
    bodyShare?.release();
    return rest;
}

describe("large messages between nodes", () => {
    it("have the bytes that earlier builds wrote", () => {
        const message = createRun(70_000, 100_000);
        const bytes = encodeMessage(message);
        expect(bytes.readUInt32BE(0)).equals(bytes.length - 4);
        const items = packr.unpack(bytes.subarray(4)) as unknown[];
        expect(bytes.subarray(4).equals(packr.pack(items))).equals(true);
        expect(items[1]).equals(70_000);
        expect(message.body.equals(items[10] as Buffer)).equals(true);
    });

    it("arrive whole between small ones, whatever the pieces are, and free their memory", () => {
        const sizes = fc.array(fc.oneof(fc.integer({ min: 1, max: 40 }), fc.nat(90_000)), { maxLength: 12 });
        const bodies = fc.array(fc.constantFrom(0, 10, 65_535, 65_536, 90_000, 200_000), {
            minLength: 1,
            maxLength: 4,
        });
        const play = fc.property(bodies, sizes, (bodyBytes, pieceBytes) => {
            const budget = new BodyBudget(new FakeClock(), 10_000_000);
            const reader = new MessageReader(bytes => {
                const share = budget.open(() => undefined);
                return share.add(bytes) ? share : undefined;
            });
            const sent = bodyBytes.map((bytes, index) => createRun(index + 1, bytes));
            const received = sendInPieces(Buffer.concat(sent.map(encodeMessage)), pieceBytes)
                .flatMap(piece => reader.read(piece) ?? expect.fail("malformed"));
            expect(received.map(releaseShare)).deep.equals(sent);
            expect([budget.getTotal(), reader.takeSkippedRuns()]).deep.equals([0, []]);
        });
        fc.assert(play, readPropertyOptions(60));
    });

    it("that find no room are skipped by their ids, and what stands behind them is read", () => {
        const sizes = fc.array(fc.oneof(fc.integer({ min: 1, max: 40 }), fc.nat(90_000)), { maxLength: 12 });
        const play = fc.property(fc.integer({ min: 1, max: 2 ** 40 }), sizes, (id, pieceBytes) => {
            const reader = new MessageReader(() => undefined);
            const answer = { kind: "cancel", id: 5 } as const;
            const bytes = Buffer.concat(
                [createRun(id, 150_000), answer, createRun(7, 70_000), answer].map(encodeMessage),
            );
            const received = sendInPieces(bytes, pieceBytes).flatMap(piece =>
                reader.read(piece) ?? expect.fail("malformed")
            );
            expect(received).deep.equals([answer, answer]);
            expect(reader.takeSkippedRuns()).deep.equals([id, 7]);
        });
        fc.assert(play, readPropertyOptions(60));
    });

    it("that are cut off by the end of their link free their memory", () => {
        const budget = new BodyBudget(new FakeClock(), 10_000_000);
        const reader = new MessageReader(bytes => {
            const share = budget.open(() => undefined);
            return share.add(bytes) ? share : undefined;
        });
        reader.read(encodeMessage(createRun(1, 150_000)).subarray(0, 70_000));
        expect(budget.getTotal()).above(150_000);
        reader.close();
        expect(budget.getTotal()).equals(0);
    });
});
