/** Endpoints that reject requests and answer some of them a second time, with a success. */
import { expect } from "chai";
import { execFile } from "node:child_process";
import process from "node:process";

/** Longest time that a play takes on a busy machine, in milliseconds. */
const playTimeoutMs = 60_000;

/** Runs a play of the bench of answers. Returns its exit code and what it printed. */
function play(words: readonly string[]): Promise<{ readonly code: number; readonly text: string; }> {
    return new Promise(resolve => {
        const options = { timeout: playTimeoutMs };
        const child = execFile(
            process.execPath,
            ["dist/bench/answerOwnership.js", ...words],
            options,
            (_error, text) => resolve({ code: child.exitCode ?? -1, text }),
        );
    });
}

function readCount(text: string, name: string): number {
    return Number(new RegExp(`${name} (\\d+)`).exec(text)?.[1]);
}

describe("second answers of endpoints", () => {
    it("are no successes of requests that the endpoint rejected and is sent again", async function() {
        this.timeout(playTimeoutMs);
        const { code, text } = await play(
            "--machines 4 --services 2 --rate 60 --seconds 5 --seed 1 --rejected 0.5 --second 0.4".split(" "),
        );
        expect(readCount(text, "sent to one endpoint again"), text).above(10);
        expect(readCount(text, "behind no success"), text).above(10);
        expect(readCount(text, "findings"), text).equals(0);
        expect(code).equals(0);
    });
});
