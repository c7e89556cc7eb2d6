/** Ticks at which the repeating tasks of one process wake it together. */
import { expect } from "chai";
import { findTick } from "../../src/process/base/clock.js";

describe("the tick nearest to the end of a pause", () => {
    const cases: readonly { readonly now: number; readonly pauseMs: number; readonly tick: number; }[] = [
        { now: 1000, pauseMs: 100, tick: 1100 },
        { now: 1000.8, pauseMs: 100, tick: 1100 },
        { now: 1049, pauseMs: 100, tick: 1100 },
        { now: 1000, pauseMs: 150, tick: 1200 },
        { now: 1010, pauseMs: 300, tick: 1300 },
        { now: 1099, pauseMs: 10, tick: 1100 },
        { now: 1100, pauseMs: 0, tick: 1200 },
    ];
    for (const { now, pauseMs, tick } of cases) {
        it(`of ${pauseMs} ms at ${now} is at ${tick}`, () => {
            expect(findTick(now, pauseMs)).equals(tick);
        });
    }

    it("keeps the pace of a task whose timers expire late", () => {
        let now = 0;
        for (let turn = 0; turn < 50; turn += 1) {
            now = findTick(now, 100) + 1.7;
        }
        expect(Math.floor(now)).equals(5001);
    });
});
