/** Crashes of the endpoint beside a node, told from lost answers. */
import { expect } from "chai";
import { CrashDetector } from "../../src/process/endpoint/crashDetector.js";
import { Quarantine } from "../../src/process/endpoint/quarantine.js";
import { FakeClock, silentLogger } from "../fakes.js";

describe("watch for crashes", () => {
    const cases: readonly {
        readonly name: string;
        readonly isRunning: boolean;
        readonly suspects: readonly string[];
    }[] = [
        { name: "suspects what was lost when the endpoint is gone", isRunning: false, suspects: ["a", "b"] },
        { name: "suspects nothing when only connections were lost", isRunning: true, suspects: [] },
    ];
    for (const { name, isRunning, suspects } of cases) {
        it(name, async () => {
            const reported: string[] = [];
            const detector = new CrashDetector({
                clock: new FakeClock(),
                logger: silentLogger,
                quarantine: new Quarantine(new FakeClock()),
                nodeId: "10.0.0.1",
                isEndpointRunning: () => Promise.resolve(isRunning),
                reportToPeers: fingerprints => reported.push(...fingerprints),
            });
            detector.recordLost("a");
            detector.recordLost("b");
            await new Promise(resolve => setImmediate(resolve));
            expect(reported).deep.equals(suspects);
        });
    }
});
