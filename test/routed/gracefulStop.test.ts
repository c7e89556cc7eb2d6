/** Steps of a graceful stop, in virtual time, and what the entry does with requests meanwhile. */
import { expect } from "chai";
import { connect } from "node:net";
import { HttpListener } from "../../src/connection/httpServer.js";
import { LinkServer } from "../../src/connection/linkServer.js";
import { SystemClock } from "../../src/process/base/clock.js";
import { decideStopStep, GracefulStop } from "../../src/process/node/gracefulStop.js";
import { InFlightRequests } from "../../src/process/node/inFlightRequests.js";
import { sleep } from "../../standin/processes.js";
import { FakeClock } from "../fakes.js";
import { createAnswer, EntryPlay, formatRequest, waitUntil } from "./entryPlay.js";
import { createRoute, formatConfiguration } from "./samples.js";

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

// LOST: a stopping node took requests up to its end and cut those that upstreams were at work on.
describe("requests that come during a graceful stop", () => {
    /** Grace period of 6 s: the process ends 5.4 s after the signal at the latest. */
    const graceMs = 6000;
    const cases: readonly {
        readonly name: string;
        readonly atMs: number;
        readonly leftMs: number;
        readonly isCall?: boolean;
        readonly isTaken: boolean;
    }[] = [
        { name: "are all taken at first, since callers don't know yet", atMs: 2600, leftMs: 9000, isTaken: true },
        {
            name: "are taken later if they are answered before the end at the latest",
            atMs: 4000,
            leftMs: 1000,
            isTaken: true,
        },
        { name: "are refused if they may last until the end", atMs: 4000, leftMs: 1400, isTaken: false },
        { name: "are refused just before the end", atMs: 5300, leftMs: 250, isTaken: false },
        { name: "are taken if a run in progress makes them", atMs: 4000, leftMs: 2500, isCall: true, isTaken: true },
        {
            name: "are refused near the end though a run makes them",
            atMs: 4600,
            leftMs: 2500,
            isCall: true,
            isTaken: false,
        },
    ];
    for (const { name, atMs, leftMs, isCall = false, isTaken } of cases) {
        it(name, () => {
            const clock = new FakeClock();
            const stop = new GracefulStop(clock, graceMs);
            expect(stop.canTake(clock.readMonotonic() + leftMs, isCall)).equals(true);
            stop.start();
            clock.addTime(atMs);
            expect(stop.canTake(clock.readMonotonic() + leftMs, isCall)).equals(isTaken);
        });
    }

    const limitCases: readonly {
        readonly name: string;
        readonly atMs: number;
        readonly leftMs: number;
        readonly limitedMs: number;
    }[] = [
        { name: "keep a deadline before the end of the stop", atMs: 4000, leftMs: 1200, limitedMs: 1200 },
        { name: "are due before the end of the stop", atMs: 4000, leftMs: 2500, limitedMs: 1300 },
        { name: "are due before it from the signal on", atMs: 0, leftMs: 9000, limitedMs: 5300 },
    ];
    for (const { name, atMs, leftMs, limitedMs } of limitCases) {
        it(`${name}, whoever sends them`, () => {
            const clock = new FakeClock();
            const stop = new GracefulStop(clock, graceMs);
            expect(stop.lowerDeadline(clock.readMonotonic() + 9000)).equals(clock.readMonotonic() + 9000);
            stop.start();
            clock.addTime(atMs);
            expect(stop.lowerDeadline(clock.readMonotonic() + leftMs)).equals(clock.readMonotonic() + limitedMs);
        });
    }

    it("are taken as long as before when the settings change the grace period meanwhile", () => {
        const clock = new FakeClock();
        const stop = new GracefulStop(clock, graceMs);
        stop.setGrace(8000);
        stop.setGrace(graceMs);
        stop.start();
        clock.addTime(2600);
        stop.setGrace(3000);
        const inProgress = { isEndpointClosed: true, hasOtherInstance: true, inProgress: 1 };
        expect(stop.canTake(clock.readMonotonic() + 9000, false)).equals(true);
        expect(stop.decideStep(inProgress)).equals("wait");
    });

    const headers = ["Attempt-Id: a", "Deadline-Ms: 900"];

    it("get the answer that their endpoint gives at the limited deadline, and not the node's own", async () => {
        const play = new EntryPlay();
        await play.start();
        play.holder.adoptIfNewer(formatConfiguration(1, [createRoute()]));
        play.limitedDeadline = performance.now() + 300;
        play.forward = async call => {
            await sleep(call.deadline - performance.now() + 60);
            return createAnswer(call.cancellation.isCancelled() ? "cancelled" : "endpoint");
        };
        const caller = await play.connect();
        caller.write(formatRequest("GET", "/loom/1", headers));
        await caller.waitForAnswers(1);
        expect(caller.listAnswers().map(({ status, body }) => [status, body])).deep.equals([[200, "endpoint"]]);
        expect(play.calls.map(call => call.deadline)).deep.equals([play.limitedDeadline]);
        await play.stop();
    });

    it("are told when to come back if they are refused, and reach no instance", async () => {
        const play = new EntryPlay();
        await play.start();
        play.holder.adoptIfNewer(formatConfiguration(1, [createRoute()]));
        play.isStopping = true;
        play.lastDeadline = performance.now() + 800;
        expect(await play.send(headers)).equals(503);
        expect(play.calls).deep.equals([]);
        await play.stop();
    });

    it("are refused at the end of the process if they still wait then", async () => {
        const play = new EntryPlay();
        await play.start();
        play.holder.adoptIfNewer(formatConfiguration(1, [createRoute()]));
        play.forward = call =>
            new Promise(resolve =>
                call.cancellation.listen(() => resolve({ kind: "refused", cause: "cancelled", retryAfterMs: 0 }))
            );
        const caller = await play.connect();
        caller.write(formatRequest("GET", "/loom/1", headers));
        await waitUntil(() => play.calls.length === 1);
        play.ending.cancel();
        await caller.waitForAnswers(1);
        expect(caller.listAnswers().map(answer => answer.status)).deep.equals([503]);
        await play.stop();
    });
});

// LOST: a process ended while callers were still reading the answers that it held.
describe("answers that callers still read", () => {
    const port = 8315;
    const address = `127.1.${1 + process.pid % 250}.1`;
    /** More than the buffers of the system take. */
    const largeAnswer = Buffer.alloc(32_000_000, "rug ");

    it("count as requests in progress until they have left the process, or their caller has", async () => {
        const inFlight = new InFlightRequests(new SystemClock());
        const listener = new HttpListener(
            inFlight.track(async (_request, response) => void response.end(largeAnswer)),
            16_384,
            () => undefined,
        );
        await listener.start(address, port);
        const callers = [connect(port, address), connect(port, address)];
        for (const caller of callers) {
            caller.pause();
            caller.write(formatRequest("GET", "/", []));
        }
        await waitUntil(() => inFlight.getCount() === 2);
        await sleep(100);
        expect(inFlight.getCount()).equals(2);
        callers[0]!.resume();
        await waitUntil(() => inFlight.getCount() === 1);
        callers[1]!.destroy();
        await waitUntil(() => inFlight.getCount() === 0);
        callers[0]!.destroy();
        await listener.stop();
    });

    it("and outcomes on links count until they have left the process", async () => {
        const server = new LinkServer({
            createHello: () => ({
                kind: "hello",
                address,
                incarnation: 1,
                version: 1,
                record: "x",
                suspectCount: undefined,
            }),
            handleHello: () => undefined,
            run: () => undefined,
            cancel: () => undefined,
            admitRun: () => undefined,
            refuseRun: () => undefined,
            handleMessage: () => undefined,
            reportFailure: () => undefined,
        });
        await server.start(address, port);
        const peer = connect(port, address);
        peer.pause();
        await waitUntil(() => peer.readyState === "open");
        expect(server.hasUnsent()).equals(false);
        await waitUntil(() => {
            server.postToAll({ kind: "configuration", text: "x".repeat(8_000_000) });
            return server.hasUnsent();
        });
        peer.resume();
        await waitUntil(() => !server.hasUnsent());
        peer.destroy();
        server.stop();
    });
});

describe("callers at the end of a stop", () => {
    const port = 8316;
    const address = `127.1.${1 + process.pid % 250}.1`;

    it("see their connections closed at once, idle or not, and open no further ones", async () => {
        const received: string[] = [];
        const listener = new HttpListener(
            async request => void received.push(request.url ?? ""),
            16_384,
            () => undefined,
        );
        await listener.start(address, port);
        const [idle, busy] = [connect(port, address), connect(port, address)];
        const closed: string[] = [];
        idle.on("error", () => undefined).once("close", () => closed.push("idle"));
        busy.on("error", () => undefined).once("close", () => closed.push("busy"));
        idle.resume();
        busy.resume();
        busy.write(formatRequest("GET", "/at-work", []));
        await waitUntil(() => received.length === 1 && idle.readyState === "open");
        listener.close();
        await waitUntil(() => closed.length === 2);
        const late = connect(port, address);
        let cause = "";
        late.on("error", (error: NodeJS.ErrnoException) => cause = error.code ?? "");
        await waitUntil(() => cause !== "");
        expect(cause).equals("ECONNREFUSED");
    });
});
