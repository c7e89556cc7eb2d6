/**
 * Replays traces against real daemons and reports goodput, recovery and cost, side by side with baselines in one run.
 *
 * Run with `npm run bench -- [--traces a,b] [--variants adaptive,static,off] [--previous FOLDER]`, where FOLDER holds another
 * build of the daemon. Prints a table and writes JSON lines to reports/bench.jsonl and
 * curves to reports/bench.html.
 */
import { appendFileSync, mkdirSync, readdirSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { Cluster } from "../standin/cluster.js";
import { Load } from "../standin/load.js";
import { createChain, createContract } from "../standin/plans.js";
import type { Figures } from "./figures.js";
import { computeFigures } from "./figures.js";
import { readMachineTime, readUsage } from "./processUsage.js";
import { writeReport } from "./report.js";
import { AdmissionSampler } from "./samples.js";
import type { TraceEvent } from "./trace.js";
import { applyEvent, createTraceFlows, readTrace } from "./trace.js";

const customers = ["weavers", "treasurers", "clerks"];
/** Time that a run of the deep service takes, in milliseconds, and its slots in each of two instances: 200 runs a second. */
const deep = { serviceMs: 50, slots: 5 };
const tracesFolder = new URL("../../bench/traces/", import.meta.url).pathname;

const { values } = parseArgs({
    options: {
        traces: { type: "string" },
        variants: { type: "string", default: "adaptive,static,off" },
        previous: { type: "string" },
    },
});

function createCluster(variant: string): Cluster {
    const [mutu, ...chain] = [
        {
            name: "mutu",
            slots: 400,
            serviceMs: 5,
            calls: [{ service: "ekspor", path: "/check" }],
            dataCentres: ["klaten", "jepara"],
        },
        ...createChain(5, 400),
    ];
    const services = [mutu!, ...chain.map(service => service.name === "katalog" ? { ...service, ...deep } : service)];
    return new Cluster({
        services,
        contracts: customers.map(name => createContract(name)),
        nodeSettings: variant === "previous" ? "" : `[control]\nadmission = "${variant}"\n`,
        ...(variant === "previous" ? { daemonRoot: values.previous! } : {}),
    });
}

function computeNodeCpu(cluster: Cluster): number {
    return cluster.instances.reduce((sum, instance) => sum + readUsage(instance.node?.pid).cpuMs, 0);
}

async function playTrace(name: string, trace: readonly TraceEvent[], variant: string): Promise<Figures> {
    const cluster = createCluster(variant);
    try {
        await cluster.start();
        const load = new Load(createTraceFlows(cluster, trace));
        const sampler = new AdmissionSampler(cluster.listService("katalog"), () => load.now());
        const machineBefore = readMachineTime();
        const cpuBefore = computeNodeCpu(cluster);
        for (const event of trace) {
            await new Promise(resolve => setTimeout(resolve, Math.max(0, event.at - load.now())));
            await applyEvent(cluster, load, event);
        }
        const cpuShare = (computeNodeCpu(cluster) - cpuBefore) / load.now() / cluster.instances.length;
        const resident = Math.max(...cluster.instances.map(instance => readUsage(instance.node?.pid).residentBytes));
        const machine = readMachineTime();
        const samples = sampler.stop();
        const results = await load.stop();
        return computeFigures({
            trace: name,
            variant,
            events: trace,
            results,
            runs: cluster.readRuns(),
            samples,
            nodeCpuShare: cpuShare,
            nodeResidentMegabytes: resident / 2 ** 20,
            stolenShare: (machine.stolen - machineBefore.stolen) / (machine.total - machineBefore.total),
        });
    }
    finally {
        await cluster.stop();
    }
}

function print(figures: Figures): void {
    for (const each of figures.classes) {
        process.stdout.write(
            [
                figures.trace.padEnd(14),
                figures.variant.padEnd(9),
                each.class.padEnd(12),
                each.before.toFixed(1).padStart(7),
                each.during.toFixed(1).padStart(7),
                String(each.recoveryMs ?? "never").padStart(7),
            ].join(" ") + "\n",
        );
    }
    const { refusalMs, stolenShare } = figures;
    const parts = [
        `all during ${figures.goodputDuring.toFixed(1)}/s`,
        `wasted runs ${figures.wastedRuns}`,
        `sends per action ${figures.sendsPerAction.toFixed(2)}`,
        `false refusals ${figures.falseRefusals}`,
        `refusal p50 ${refusalMs.p50.toFixed(1)} ms p99 ${refusalMs.p99.toFixed(1)} ms`,
        `node cpu ${(figures.nodeCpuShare * 100).toFixed(1)}%`,
        `resident ${figures.nodeResidentMegabytes.toFixed(0)} MB`,
        `stolen ${(stolenShare * 100).toFixed(1)}%`,
    ];
    process.stdout.write(`  ${parts.join(", ")}\n`);
}

const names = values.traces?.split(",") ?? readdirSync(tracesFolder).map(file => file.replace(".jsonl", ""));
const variants = [...values.variants.split(","), ...(values.previous === undefined ? [] : ["previous"])];
mkdirSync("reports", { recursive: true });
process.stdout.write("trace          variant   class         before  during  recovery ms\n");
const all: Figures[] = [];
for (const name of names) {
    const trace = readTrace(`${tracesFolder}${name}.jsonl`);
    for (const variant of variants) {
        const figures = await playTrace(name, trace, variant);
        print(figures);
        all.push(figures);
        appendFileSync("reports/bench.jsonl", JSON.stringify(figures) + "\n");
        writeReport("reports/bench.html", all);
    }
}
process.exit(0);
