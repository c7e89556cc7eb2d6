/** Which bodies are held while memory is short, and that what they take is counted until it is free. */
import { expect } from "chai";
import fc from "fast-check";
import { BodyBudget, smallBodyBytes } from "../../src/process/load/bodyBudget.js";
import { BodyBuffer } from "../../src/request/bodyBuffer.js";
import { FakeClock, readPropertyOptions } from "../fakes.js";

const largeBytes = 200_000;
/** Room for four large bodies, besides the part for small ones. */
const maxBytes = 4 * largeBytes / 0.75;

/** A body of a play: its size, how long ago its last byte came, and whether it is whole. */
interface HeldBody {
    readonly bytes: number;
    readonly idleMs?: number;
    readonly isWhole?: boolean;
}

describe("memory for bodies", () => {
    const steady = { bytes: largeBytes };
    const whole = { bytes: largeBytes, isWhole: true };
    const cases: readonly {
        readonly name: string;
        readonly held: readonly HeldBody[];
        readonly added: number;
        /** Bodies of those held that are given up, by their places. */
        readonly givenUp: readonly number[];
        readonly isTaken: boolean;
    }[] = [
        { name: "is given while there is room", held: [steady, steady], added: largeBytes, givenUp: [], isTaken: true },
        {
            name: "is taken from the body that has stopped for longest, among equals",
            held: [{ ...steady, idleMs: 500 }, { ...steady, idleMs: 3000 }, steady, steady],
            added: largeBytes,
            givenUp: [1],
            isTaken: true,
        },
        {
            name: "is taken from a large body that has stopped before a small one",
            held: [{ bytes: smallBodyBytes, idleMs: 3000 }, { ...steady, idleMs: 3000 }, steady, steady, steady],
            added: largeBytes,
            givenUp: [1],
            isTaken: true,
        },
        {
            name: "is not taken from bodies that are whole",
            held: [whole, whole, whole, whole],
            added: largeBytes,
            givenUp: [],
            isTaken: false,
        },
        {
            name: "is there for a small body though large ones fill their part",
            held: [whole, whole, whole, whole],
            added: smallBodyBytes,
            givenUp: [],
            isTaken: true,
        },
        {
            name: "is taken from as many as it needs",
            held: [{ bytes: 100_000, idleMs: 900 }, { bytes: 100_000, idleMs: 800 }, steady, steady, steady],
            added: largeBytes,
            givenUp: [0, 1],
            isTaken: true,
        },
    ];
    for (const { name, held, added, givenUp, isTaken } of cases) {
        it(name, () => {
            const clock = new FakeClock();
            const budget = new BodyBudget(clock, maxBytes);
            const ended: number[] = [];
            const mostIdleMs = Math.max(...held.map(body => body.idleMs ?? 0));
            // In the order of their last bytes.
            const order = [...held.keys()].sort((a, b) => (held[b]!.idleMs ?? 0) - (held[a]!.idleMs ?? 0));
            let elapsedMs = 0;
            for (const place of order) {
                const { bytes, idleMs = 0, isWhole = false } = held[place]!;
                clock.addTime(mostIdleMs - idleMs - elapsedMs);
                elapsedMs = mostIdleMs - idleMs;
                const share = budget.open(() => ended.push(place));
                expect(share.add(bytes)).equals(true);
                if (isWhole) {
                    share.finish();
                }
            }
            const share = budget.open(() => ended.push(-1));
            expect(share.add(added)).equals(isTaken);
            expect(ended.sort((a, b) => a - b)).deep.equals(givenUp);
        });
    }

    it("never exceeds its bound, and is all free in the end", () => {
        const step = fc.record({
            body: fc.nat(9),
            action: fc.constantFrom("add", "finish", "retain", "release"),
            bytes: fc.nat(300_000),
            waitMs: fc.nat(500),
        });
        const play = fc.property(fc.array(step, { maxLength: 60 }), steps => {
            const clock = new FakeClock();
            const budget = new BodyBudget(clock, maxBytes);
            const shares = Array.from({ length: 10 }, () => ({ share: budget.open(() => undefined), uses: 1 }));
            for (const { body, action, bytes, waitMs } of steps) {
                clock.addTime(waitMs);
                const { share, uses } = shares[body]!;
                if (action === "add") {
                    share.add(bytes);
                }
                else if (action === "finish") {
                    share.finish();
                }
                else if (uses > 0) {
                    share[action]();
                    shares[body]!.uses += action === "retain" ? 1 : -1;
                }
                expect(budget.getTotal()).within(0, maxBytes);
            }
            for (const { share, uses } of shares) {
                Array.from({ length: uses }, () => share.release());
            }
            expect(budget.getTotal()).equals(0);
            expect(budget.hasRoom(budget.getMaxBodyBytes())).equals(true);
        });
        fc.assert(play, readPropertyOptions(200));
    });
});

describe("a body that comes in pieces", () => {
    it("is whole whatever the pieces are, with a stated length or without", () => {
        const piece = fc.oneof(fc.nat(5), fc.nat(3000), fc.nat(80_000));
        const play = fc.property(fc.array(piece, { minLength: 1, maxLength: 12 }), fc.boolean(), (sizes, isKnown) => {
            const length = sizes.reduce((sum, size) => sum + size, 0);
            const sent = Buffer.from(Array.from({ length }, (_none, index) => index % 251));
            const buffer = new BodyBuffer(isKnown ? length : 2 * length + 1, isKnown);
            let at = 0;
            for (const size of sizes) {
                buffer.take(Buffer.from(sent.subarray(at, at + size)));
                at += size;
            }
            expect(buffer.finish().equals(sent)).equals(true);
        });
        fc.assert(play, readPropertyOptions(200));
    });
});
