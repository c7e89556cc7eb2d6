/**
 * Measures the time that the nodes add to a call: each pair is the same call once through a node and once straight to an
 * endpoint, in the same run, the order drawn anew for each pair.
 *
 * Run with `npm run bench:latency -- [--pairs 4000] [--perSecond 200] [--serviceMs 5]`. With a service time of 0 the endpoint's
 * timer, which rounds to whole milliseconds, has no part in the figures.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { sendOnce } from "../standin/caller.js";
import { Cluster } from "../standin/cluster.js";
import type { Instance } from "../standin/instance.js";
import { createContract } from "../standin/plans.js";
import { createRandom } from "../standin/random.js";
import { computeQuantiles } from "./figures.js";

/** Pairs that are not counted, so that connections and compiled code are warm. */
const warmUpPairs = 3000;
const customer = "clerks";
const random = createRandom(1);

const { values } = parseArgs({
    options: {
        pairs: { type: "string", default: "4000" },
        perSecond: { type: "string", default: "200" },
        serviceMs: { type: "string", default: "5" },
    },
});

/** Times of one pair in milliseconds. */
interface Pair {
    readonly direct: number;
    readonly throughNode: number;
}

async function measure(url: string, className: string, key: string): Promise<number> {
    const told = await sendOnce({ url, customer, class: className, key, path: "/work" });
    if (told.status !== 200) {
        throw new Error(`a call through ${url} was not completed: ${told.outcome} ${told.status} ${told.reason}`);
    }
    return told.milliseconds;
}

async function measurePair(instance: Instance, className: string, key: string): Promise<Pair> {
    if (random() < 0.5) {
        const direct = await measure(instance.endpointUrl, className, key);
        return { direct, throughNode: await measure(instance.callerUrl, className, key) };
    }
    const throughNode = await measure(instance.callerUrl, className, key);
    return { direct: await measure(instance.endpointUrl, className, key), throughNode };
}

async function measureClass(instances: readonly Instance[], className: string): Promise<Pair[]> {
    const pairs: Promise<Pair>[] = [];
    const startedAt = performance.now();
    for (let index = 0; index < warmUpPairs + Number(values.pairs); index += 1) {
        const dueAt = startedAt + index * 1000 / Number(values.perSecond);
        await new Promise(resolve => setTimeout(resolve, dueAt - performance.now()));
        pairs.push(measurePair(instances[index % instances.length]!, className, `${className}-${index}`));
    }
    return (await Promise.all(pairs)).slice(warmUpPairs);
}

function formatRow(name: string, milliseconds: readonly number[]): string {
    const { p50, p99, p999 } = computeQuantiles(milliseconds);
    return `${name.padEnd(24)} ${[p50, p99, p999].map(each => each.toFixed(2).padStart(8)).join("")}\n`;
}

const serviceMs = Number(values.serviceMs);
const service = { name: "katalog", slots: 400, serviceMs, calls: [], dataCentres: ["jepara", "pekalongan"] };
const cluster = new Cluster({ services: [service], contracts: [createContract(customer)] });
try {
    await cluster.start();
    process.stdout.write(`milliseconds                  p50     p99   p99.9\n`);
    for (const className of ["lookup", "advance"]) {
        const pairs = await measureClass(cluster.instances, className);
        process.stdout.write(formatRow(`${className}, direct`, pairs.map(pair => pair.direct)));
        process.stdout.write(formatRow(`${className}, through a node`, pairs.map(pair => pair.throughNode)));
        const added = pairs.map(pair => Math.max(0, pair.throughNode - pair.direct));
        process.stdout.write(formatRow(`${className}, added`, added));
    }
}
finally {
    await cluster.stop();
}
process.exit(0);
