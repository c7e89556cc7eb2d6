import { expect } from "chai";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import type { ControlCaller } from "../src/connection/control.js";
import { SystemClock } from "../src/process/base/clock.js";
import { createSuccess } from "../src/process/base/result.js";
import { CrashReporter } from "../src/process/endpoint/crashReporter.js";
import { LocalEndpoint } from "../src/process/endpoint/localEndpoint.js";
import { Quarantine } from "../src/process/endpoint/quarantine.js";
import { RunTable } from "../src/process/endpoint/runTable.js";
import { Admission } from "../src/process/load/admission.js";
import { LearnedThresholds } from "../src/process/load/learnedThresholds.js";
import type { Answer } from "../src/request/answer.js";
import { createCall, createDirectory, createMember, FakeLog, silentLogger } from "./fakes.js";

/** What an endpoint does with connections once it has cut the answer. */
type Ending = "refuses connections" | "accepts a connection and closes it" | "keeps connections open";

/** Endpoint that cuts its first answer and then behaves as `ending` says. */
async function startEndpoint(ending: Ending): Promise<{ readonly server: Server; readonly url: string; }> {
    let hasCut = false;
    const server = createServer((socket: Socket) => {
        socket.on("error", () => undefined);
        if (hasCut && ending === "accepts a connection and closes it") {
            socket.destroy();
        }
        socket.once("data", () => {
            hasCut = true;
            if (ending === "refuses connections") {
                server.close();
            }
            socket.destroy();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** Runs one call at an endpoint. */
async function runOnce(url: string, reportCrash: (fingerprint: string) => Promise<void>): Promise<Answer> {
    const clock = new SystemClock();
    const endpoint = new LocalEndpoint(url, 1000, {
        clock,
        logger: silentLogger,
        admission: new Admission(clock, "adaptive"),
        runs: new RunTable(),
        quarantine: new Quarantine(clock),
        downstreamThresholds: new LearnedThresholds(clock),
        reportCrash,
    });
    endpoint.acceptAnnouncement({ boot: "first", slots: 4, isDraining: false });
    const answer = await endpoint.run(createCall(clock.readMonotonic() + 5000));
    await endpoint.stop();
    return answer;
}

describe("an endpoint that cuts an answer", () => {
    const cases: readonly { readonly ending: Ending; readonly isCrash: boolean; }[] = [
        { ending: "refuses connections", isCrash: true },
        { ending: "accepts a connection and closes it", isCrash: true },
        { ending: "keeps connections open", isCrash: false },
    ];
    for (const { ending, isCrash } of cases) {
        it(`and ${ending} ${isCrash ? "has" : "has not"} crashed`, async () => {
            const { server, url } = await startEndpoint(ending);
            const reported: string[] = [];
            const answer = await runOnce(url, async fingerprint => void reported.push(fingerprint));
            server.close();
            expect(answer).to.include({ outcome: "unknown", reason: "endpointFailed" });
            expect(reported).to.deep.equal(isCrash ? ["f"] : []);
        });
    }
});

describe("a crash", () => {
    it("is known to the other instances of the service before the caller is answered", async () => {
        const clock = new SystemClock();
        const self = createMember("katalog", 1);
        const others = [createMember("katalog", 2), createMember("katalog", 3), createMember("ekspor", 4)];
        const directory = createDirectory(clock, self, others);
        const events: string[] = [];
        const control = {
            call: async (slot: string) => {
                await clock.sleep(20);
                events.push(`${slot} knows`);
                return createSuccess({});
            },
        } as ControlCaller;
        const quarantine = new Quarantine(clock);
        const dependencies = { clock, logger: silentLogger, self, log: new FakeLog(), control, directory, quarantine };
        const reporter = new CrashReporter(dependencies);
        const { server, url } = await startEndpoint("refuses connections");
        await runOnce(url, fingerprint => reporter.report(fingerprint, "first"));
        events.push("answered");
        server.close();
        expect(events).to.deep.equal(["127.0.0.2:7004 knows", "127.0.0.3:7004 knows", "answered"]);
    });
});
