/** One large answer whose text tells of HTTP answers: does its node go on answering others? */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { findFolder, hasTrouble, runCase, sleep } from "../lib-2/cluster.mjs";

const bytes = 24_000_000;
/** Lines of equal length; the first kind begins as the head of an HTTP answer does, as in a trace of requests. */
const traceLine = "12:04:31.220 < HTTP/1.1 200 OK, 5120 bytes, oulu-a, cabinet 17\n";
const plainLine = "12:04:31.220 < cabinet 17 answered in time, 5120 bytes, oulu-a\n";
const timeoutMs = 1200;
const lateMs = 500;

const createRoute = (name, pathPrefix, service, repetition, routeTimeoutMs) => ({
    name,
    host: "jepu9.example",
    pathPrefix,
    repetition,
    timeoutMs: routeTimeoutMs,
    targetLatencyMs: 800,
    priority: 1,
    service,
    maxRuns: 2,
});

const configuration = {
    version: 7,
    routes: [
        createRoute("audit-bundle", "/cufi502/", "tarkastus", "idempotentDownload", 3000),
        createRoute("live-status", "/puka111/", "tilanne", "atMostOnce", timeoutMs),
    ],
    services: [
        { name: "tarkastus", healthPath: "/healthz", maxConnections: 1576 },
        { name: "tilanne", healthPath: "/healthz", maxConnections: 658 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
};

await runCase(findFolder(import.meta.url), { limits: { memory_mb: 602, max_fds: 8192 } }, async cluster => {
    const bundle = Buffer.alloc(bytes, hasTrouble ? traceLine : plainLine);
    await cluster.start([
        { name: "tarkastus", count: 1, slots: 172, run: async () => ({ status: 200, body: bundle }) },
        {
            name: "tilanne",
            count: 2,
            slots: 59,
            run: async () => {
                await sleep(54);
                return { status: 200, body: Buffer.from("cold") };
            },
        },
    ], configuration);
    await sleep(4000);
    const [machine] = cluster.machines;
    const sent = [];
    let isOver = false;
    const sendAll = async () => {
        for (let index = 0; !isOver; index += 1) {
            const attempt = `status${String(index).padStart(4, "0")}`;
            sent.push(machine.send({ method: "POST", host: "jepu9.example", path: "/puka111/2f", attempt, deadlineMs: 8000 }));
            await sleep(50);
        }
    };
    const sending = sendAll();
    await sleep(1500);
    const at = performance.now();
    const download = machine.send({ host: "jepu9.example", path: "/cufi502/2f", attempt: "bundle0001", deadlineMs: 3000 });
    // What the platform sees: it asks once a second whether the node is ready.
    for (let turn = 0; turn < 8; turn += 1) {
        const isReady = await Promise.race([machine.isReady(), sleep(1000).then(() => false)]);
        cluster.note("readyz", { answered: isReady, afterMs: Math.round(performance.now() - at) });
        await sleep(isReady ? 1000 : 0);
    }
    await download;
    await sleep(2500);
    isOver = true;
    await sending;
    const answers = await Promise.all(sent);
    const unanswered = answers.filter(({ elapsedMs }) => elapsedMs > timeoutMs);
    const late = unanswered.filter(({ elapsedMs }) => elapsedMs > timeoutMs + lateMs);
    cluster.note("judged", { requests: answers.length, unansweredAtTimeout: unanswered.length, later: late.length });
    return late.length > unanswered.length / 2
        ? [`CONFIG ${late.length} of ${unanswered.length} requests that were unanswered at their route's timeout had no answer 0.5 s later`]
        : [];
});
