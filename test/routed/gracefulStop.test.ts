/** Steps of a graceful stop, in virtual time. */
import { expect } from "chai";
import { decideStopStep } from "../../src/process/node/gracefulStop.js";

/** A stop, as a list of what holds until when. */
interface StopCase {
    readonly name: string;
    readonly graceMs: number;
    /** Time from which another instance takes work, in milliseconds. */
    readonly otherInstanceFromMs: number;
    /** Time for which runs and requests go on after the endpoint is closed, in milliseconds. */
    readonly lastWorkMs: number;
    readonly closedAtRange: readonly [number, number];
    readonly endsAtRange: readonly [number, number];
}

/** Plays a stop in steps of 50 ms. */
function runStop(stop: StopCase): { closedAt: number; endsAt: number; } {
    let closedAt = -1;
    for (let elapsedMs = 0;; elapsedMs += 50) {
        const isClosed = closedAt >= 0;
        const step = decideStopStep({
            elapsedMs,
            graceMs: stop.graceMs,
            isEndpointClosed: isClosed,
            hasOtherInstance: elapsedMs >= stop.otherInstanceFromMs,
            inProgress: isClosed && elapsedMs >= closedAt + stop.lastWorkMs ? 0 : 3,
        });
        if (step === "end") {
            return { closedAt, endsAt: elapsedMs };
        }
        if (step === "close") {
            closedAt = elapsedMs;
        }
    }
}

describe("graceful stop", () => {
    const cases: readonly StopCase[] = [
        {
            name: "closes the endpoint once callers had time to go, and ends with the last run",
            graceMs: 6000,
            otherInstanceFromMs: 0,
            lastWorkMs: 400,
            closedAtRange: [2200, 2300],
            endsAtRange: [2600, 2700],
        },
        {
            name: "keeps the only instance of a service open until another takes work",
            graceMs: 6000,
            otherInstanceFromMs: 3000,
            lastWorkMs: 400,
            closedAtRange: [3000, 3050],
            endsAtRange: [3400, 3450],
        },
        {
            name: "leaves time for the last runs though no other instance takes work",
            graceMs: 6000,
            otherInstanceFromMs: Infinity,
            lastWorkMs: 1000,
            closedAtRange: [3800, 4000],
            endsAtRange: [4800, 5000],
        },
        {
            name: "ends before it is killed though work goes on",
            graceMs: 6000,
            otherInstanceFromMs: 0,
            lastWorkMs: Infinity,
            closedAtRange: [2200, 2300],
            endsAtRange: [5300, 5450],
        },
        {
            name: "ends at once when there is no time",
            graceMs: 500,
            otherInstanceFromMs: 0,
            lastWorkMs: 100,
            closedAtRange: [-1, -1],
            endsAtRange: [0, 0],
        },
    ];
    for (const stop of cases) {
        it(stop.name, () => {
            const { closedAt, endsAt } = runStop(stop);
            expect(closedAt).within(...stop.closedAtRange);
            expect(endsAt).within(...stop.endsAtRange);
        });
    }
});
