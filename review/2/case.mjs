/**
 * An upstream ends for good and its machine goes to an upstream of another service: the platform sends SIGTERM to the node after
 * its upstream has ended, and `reuse_after` later an upstream of the other service starts at the address. The node of before is
 * still in its grace. The new upstream answers 421 to what names the one before; the node takes the id in that answer for a new
 * incarnation of its own upstream and sends the request again under that id.
 */
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfiguration, Deployment, runCase, sleep } from "../lib/deployment.mjs";

/** Bound `reuse_after`, and a little more. */
const reuseAfterMs = 2050;
const perSecond = 20;

const runs = [];

function createBehaviour() {
    return {
        slots: 40,
        workMs: () => 40,
        createBody: ({ path }) => Buffer.from(`answer to ${path}`),
        onRun: ({ attempt, upstream, request }) => runs.push({ attempt, service: upstream.service, path: request.path }),
    };
}

const plans = [
    { zone: "pekalongan", service: "kas-benang", behaviour: createBehaviour() },
    { zone: "klaten", service: "katalog", behaviour: createBehaviour() },
    { zone: "jepara", service: "katalog", behaviour: createBehaviour() },
];

await runCase(
    dirname(fileURLToPath(import.meta.url)),
    folder => new Deployment(folder, plans),
    async (deployment, isTroubled) => {
        const routes = [
            { name: "uang-muka", host: "kas.example", pathPrefix: "/uang/", repetition: "atMostOnce", service: "kas-benang" },
            { name: "katalog-lihat", host: "katalog.example", pathPrefix: "/lihat/", repetition: "idempotent", service: "katalog" },
        ];
        await deployment.start(createConfiguration(1, routes, ["kas-benang", "katalog"]));
        const [machine, entry] = deployment.machines;
        let isOver = false;
        const load = runLoad(entry, () => isOver);
        await sleep(3000);
        if (isTroubled) {
            machine.upstream.end();
            machine.signal("SIGTERM");
            await sleep(reuseAfterMs);
            await machine.upstream.start("katalog");
            await sleep(4000);
        }
        else {
            await sleep(6000);
        }
        isOver = true;
        await load;
        // Only the route of kas-benang is asked; no configuration sends it to katalog.
        return runs.filter(run => run.service !== "kas-benang")
            .map(run => `ROUTE: ${run.attempt} ${run.path} of the route uang-muka ran at an upstream of ${run.service}`);
    },
);

async function runLoad(entry, isOver) {
    const requests = [];
    for (let number = 0; !isOver(); number += 1) {
        const attempt = `b${String(number).padStart(5, "0")}`;
        const request = { method: "POST", host: "kas.example", path: `/uang/${attempt}`, deadlineMs: 3000 };
        requests.push(entry.request(attempt, request, "amount=100"));
        await sleep(1000 / perSecond);
    }
    await Promise.all(requests);
}
