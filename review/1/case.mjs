/**
 * Upstreams reject a part of their requests (503 with Not-Executed) while their health check is good, and one of them is faulty
 * besides: a few of its answers come a second time, late, when the next request is on the connection. A request that must run
 * once at most is offered to the same upstream again after all have rejected it. The late copy of its first rejection then
 * stands for the answer to its second offer, which the upstream runs.
 */
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfiguration, Deployment, runCase, sleep } from "../lib/deployment.mjs";

/** Part of the requests that the upstreams reject. */
const rejectedShare = 0.5;
/** One of so many answers of the faulty upstream comes twice: 3 in 100. */
const answersForOneExtra = 34;
const perSecond = 60;
/** Each phase of trouble lasts 5 s; quiet phases stand between them. */
const phases = 8;
const troubledMs = 5000;
const quietMs = 3000;

const random = createRandom(7);
const runs = new Map();
let isRejecting = false;

function createRandom(seed) {
    let state = seed;
    return () => {
        state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
        return state / 4_294_967_296;
    };
}

function createBehaviour(isFaulty) {
    let answers = 0;
    return {
        slots: 39,
        workMs: () => 20 + random() * 30,
        createBody: () => Buffer.from("ok"),
        rejects: () => {
            answers += 1;
            return isRejecting && random() < rejectedShare;
        },
        repeatsRejection: () => {
            if (!isFaulty || !isRejecting || answers < answersForOneExtra) {
                return false;
            }
            answers -= answersForOneExtra;
            return true;
        },
        onRun: ({ attempt, upstream }) => runs.set(attempt, [...runs.get(attempt) ?? [], upstream.id]),
    };
}

const plans = [
    { zone: "klaten", service: "mutu", behaviour: createBehaviour(true) },
    { zone: "klaten", service: "mutu", behaviour: createBehaviour(false) },
    { zone: "klaten", service: "katalog", behaviour: createBehaviour(false) },
];

await runCase(
    dirname(fileURLToPath(import.meta.url)),
    folder => new Deployment(folder, plans),
    async (deployment, isTroubled) => {
        const route = {
            name: "nilai-mutu",
            host: "mutu.example",
            pathPrefix: "/nilai/",
            repetition: "atMostOnce",
            timeoutMs: 1000,
            targetLatencyMs: 500,
            service: "mutu",
        };
        await deployment.start(createConfiguration(1, [route], ["mutu", "katalog"]));
        const requests = [];
        const endAt = Date.now() + phases * (troubledMs + quietMs);
        const startAt = Date.now();
        const entry = deployment.listMachines("katalog")[0];
        for (let number = 0; Date.now() < endAt; number += 1) {
            isRejecting = isTroubled && (Date.now() - startAt) % (troubledMs + quietMs) < troubledMs;
            requests.push(sendRequest(entry, `a${String(number).padStart(5, "0")}`));
            await sleep(1000 / perSecond);
        }
        const ended = await Promise.all(requests);
        await sleep(500);
        return findBroken(ended);
    },
);

async function sendRequest(entry, attempt) {
    const request = { method: "DELETE", host: "mutu.example", path: `/nilai/${attempt}`, deadlineMs: 2000 };
    return { attempt, answer: await entry.request(attempt, request, undefined) };
}

/** TWICE: runs more than once. REFUSED: answered 408, 421, 429 or 503 and has run. */
function findBroken(ended) {
    const findings = [];
    for (const { attempt, answer } of ended) {
        const ran = runs.get(attempt) ?? [];
        if (ran.length > 1) {
            findings.push(`TWICE: ${attempt} ran ${ran.length} times, at ${ran.join(" and ")}; answered ${answer.status}`);
        }
        if ([408, 421, 429, 503].includes(answer.status) && ran.length > 0) {
            findings.push(`REFUSED: ${attempt} was answered ${answer.status} and ran at ${ran.join(" and ")}`);
        }
    }
    return findings;
}
