/**
 * A node gets SIGTERM in a data centre where it is the only one, so that its clients go on sending to it (readiness takes it out
 * only while half of the zone's nodes are in). It goes on taking requests until its own end and then cuts those whose upstreams
 * are at work.
 */
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";
import { createConfiguration, Deployment, runCase, sleep } from "../lib/deployment.mjs";

/** Requests of the clients of the machine, a second; each takes the upstream a quarter of a second. */
const perSecond = 20;
const workMs = 250;
const graceMs = 6000;
/** Length of the load after the SIGTERM: until 1 s after `grace`. */
const watchedMs = graceMs + 1000;

const arrivals = new Map();
let termAt = Infinity;

function createBehaviour() {
    return {
        slots: 40,
        workMs: () => workMs,
        createBody: ({ path }) => Buffer.from(`answer to ${path}`),
        onRun: ({ attempt }) => arrivals.set(attempt, performance.now()),
    };
}

const plans = [
    { zone: "pekalongan", service: "katalog", behaviour: createBehaviour() },
    { zone: "klaten", service: "ekspor", behaviour: createBehaviour() },
    { zone: "jepara", service: "ekspor", behaviour: createBehaviour() },
];

await runCase(
    dirname(fileURLToPath(import.meta.url)),
    folder => new Deployment(folder, plans),
    async (deployment, isTroubled) => {
        const route = {
            name: "sertifikat-ekspor",
            host: "ekspor.example",
            pathPrefix: "/sertifikat/",
            repetition: "atMostOnce",
            timeoutMs: 1000,
            targetLatencyMs: 500,
            service: "ekspor",
        };
        await deployment.start(createConfiguration(1, [route], ["katalog", "ekspor"]));
        const [machine] = deployment.machines;
        const startedAt = performance.now();
        const requests = [];
        const isTermDue = () => performance.now() - startedAt > 3000;
        const endAt = () => (termAt === Infinity ? startedAt + 3000 : termAt) + watchedMs;
        for (let number = 0; performance.now() < endAt(); number += 1) {
            if (isTroubled && termAt === Infinity && isTermDue()) {
                termAt = performance.now();
                machine.signal("SIGTERM");
            }
            requests.push(sendRequest(machine, `c${String(number).padStart(5, "0")}`));
            await sleep(1000 / perSecond);
        }
        const ended = await Promise.all(requests);
        return ended.flatMap(describeLoss);
    },
);

async function sendRequest(machine, attempt) {
    const sentAt = performance.now();
    const request = { method: "PUT", host: "ekspor.example", path: `/sertifikat/${attempt}`, deadlineMs: 2000 };
    const answer = await machine.request(attempt, request, "certificate");
    return { attempt, sentAt, endedAt: performance.now(), answer };
}

/**
 * LOST: a whole request was read and passed on to an upstream, and its connection ends without a complete answer, around a
 * SIGTERM of the machine that took it. Not counted: the deadline or the timeout was reached, or the upstream was still at work in
 * the last sixth of `grace` on a request that was sent no later than 3 s after the SIGTERM.
 */
function describeLoss({ attempt, sentAt, endedAt, answer }) {
    const arrivedAt = arrivals.get(attempt);
    const hasTimedOut = endedAt - sentAt >= 1000;
    const isExcused = sentAt - termAt <= 3000 && endedAt - termAt >= graceMs * 5 / 6;
    if (answer.status !== 0 || arrivedAt === undefined || hasTimedOut || isExcused) {
        return [];
    }
    const after = ((sentAt - termAt) / 1000).toFixed(2);
    const cut = ((endedAt - termAt) / 1000).toFixed(2);
    return [`LOST: ${attempt}, sent ${after} s after the SIGTERM, ran at an upstream and was cut ${cut} s after the SIGTERM`];
}
