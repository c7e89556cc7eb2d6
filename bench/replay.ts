/**
 * Replays traces against real daemons and reports goodput, recovery and cost, side by side with baselines in one run.
 *
 * Run with `npm run bench -- [--traces a,b] [--variants adaptive,static,off] [--previous FOLDER]`, where FOLDER holds another
 * build of the daemon. Prints a table and writes JSON lines to reports/bench.jsonl.
 */
import { appendFileSync, mkdirSync, readdirSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { Cluster } from "../standin/cluster.js";
import type { ActionResult } from "../standin/load.js";
import { isCompleted, Load } from "../standin/load.js";
import { createChain, createContract } from "../standin/plans.js";
import { readUsage } from "./processUsage.js";
import type { TraceEvent } from "./trace.js";
import { applyEvent, createTraceFlows, findTime, readTrace } from "./trace.js";

const customers = ["weavers", "treasurers", "clerks"];
/** Time that a run of the deep service takes, in milliseconds, and its slots in each of two instances: 200 runs a second. */
const deep = { serviceMs: 50, slots: 5 };
/** Time after the start that is not counted, in milliseconds. */
const warmUpMs = 2000;
/** Share of the goodput before the cause at which the system has recovered. */
const recoveredShare = 0.95;
/** Length of the window and steps of the search for the recovery, in milliseconds. */
const recovery = { windowMs: 1000, stepMs: 100 };
const tracesFolder = new URL("../../bench/traces/", import.meta.url).pathname;

const { values } = parseArgs({
    options: {
        traces: { type: "string" },
        variants: { type: "string", default: "adaptive,static,off" },
        previous: { type: "string" },
    },
});

/** Figures of one class in one replay. */
interface ClassFigures {
    readonly class: string;
    readonly before: number;
    readonly during: number;
    readonly recoveryMs: number | undefined;
}

/** Figures of one replay. */
interface Figures {
    readonly trace: string;
    readonly variant: string;
    readonly classes: readonly ClassFigures[];
    readonly goodputDuring: number;
    /** Endpoint runs during the cause that belong to actions that did not complete. */
    readonly wastedRuns: number;
    readonly sendsPerAction: number;
    /** Actions outside the cause that did not complete. */
    readonly falseRefusals: number;
    readonly refusalMs: { readonly p50: number; readonly p99: number; };
    readonly nodeCpuShare: number;
    readonly nodeResidentMegabytes: number;
}

function countPerSecond(results: readonly ActionResult[], from: number, to: number): number {
    return results.filter(result => isCompleted(result) && result.endedAt >= from && result.endedAt < to).length * 1000
        / (to - from);
}

/** Time from the end of the cause until goodput stays at its share of what it was before. */
function findRecovery(
    results: readonly ActionResult[],
    before: number,
    causeEnd: number,
    end: number,
): number | undefined {
    let recovered: number | undefined;
    for (let from = causeEnd; from + recovery.windowMs <= end; from += recovery.stepMs) {
        const goodput = countPerSecond(results, from, from + recovery.windowMs);
        // Arrivals are even, so a window may hold one completion fewer than the rate says.
        const isBack = goodput >= Math.floor(before * recoveredShare) - 1;
        recovered = isBack ? recovered ?? from - causeEnd : undefined;
    }
    return recovered;
}

function findQuantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

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
        const cpuBefore = computeNodeCpu(cluster);
        for (const event of trace) {
            await new Promise(resolve => setTimeout(resolve, Math.max(0, event.at - load.now())));
            await applyEvent(cluster, load, event);
        }
        const cpuShare = (computeNodeCpu(cluster) - cpuBefore) / load.now() / cluster.instances.length;
        const resident = Math.max(...cluster.instances.map(instance => readUsage(instance.node?.pid).residentBytes));
        const results = await load.stop();
        const runs = cluster.readRuns();
        return {
            ...computeFigures(name, trace, variant, results, runs),
            nodeCpuShare: cpuShare,
            nodeResidentMegabytes: resident / 2 ** 20,
        };
    }
    finally {
        await cluster.stop();
    }
}

function computeFigures(
    trace: string,
    events: readonly TraceEvent[],
    variant: string,
    results: readonly ActionResult[],
    runs: ReturnType<Cluster["readRuns"]>,
): Omit<Figures, "nodeCpuShare" | "nodeResidentMegabytes"> {
    const causeBegin = findTime(events, "causeBegins");
    const causeEnd = findTime(events, "causeEnds");
    const end = findTime(events, "end");
    const classes = [...new Set(results.map(result => result.flow.class))].map(className => {
        const own = results.filter(result => result.flow.class === className);
        const before = countPerSecond(own, warmUpMs, causeBegin);
        return {
            class: className,
            before,
            during: countPerSecond(own, causeBegin + 1000, causeEnd),
            recoveryMs: findRecovery(own, before, causeEnd, end),
        };
    });
    const completed = new Set(results.filter(isCompleted).map(result => result.key));
    const refusals = results.flatMap(result => result.history).filter(told =>
        told.outcome !== "completed" && told.reason === "overloaded"
    );
    const outside = results.filter(result => result.endedAt < causeBegin || result.arrivedAt > causeEnd + 5000);
    return {
        trace,
        variant,
        classes,
        goodputDuring: countPerSecond(results, causeBegin + 1000, causeEnd),
        wastedRuns: runs.filter(run => run.event === "start" && !completed.has(run.action)).length,
        sendsPerAction: results.reduce((sum, result) => sum + result.history.length, 0) / results.length,
        falseRefusals: outside.filter(result => !isCompleted(result)).length,
        refusalMs: {
            p50: findQuantile(refusals.map(told => told.milliseconds), 0.5),
            p99: findQuantile(refusals.map(told => told.milliseconds), 0.99),
        },
    };
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
    process.stdout.write(
        `  all during ${figures.goodputDuring.toFixed(1)}/s, wasted runs ${figures.wastedRuns}, sends per action ${
            figures.sendsPerAction.toFixed(2)
        }, `
            + `false refusals ${figures.falseRefusals}, refusal p50 ${figures.refusalMs.p50.toFixed(1)} ms p99 ${
                figures.refusalMs.p99.toFixed(1)
            } ms, `
            + `node cpu ${(figures.nodeCpuShare * 100).toFixed(1)}% resident ${
                figures.nodeResidentMegabytes.toFixed(0)
            } MB\n`,
    );
}

const names = values.traces?.split(",") ?? readdirSync(tracesFolder).map(file => file.replace(".jsonl", ""));
const variants = [...values.variants.split(","), ...(values.previous === undefined ? [] : ["previous"])];
mkdirSync("reports", { recursive: true });
process.stdout.write("trace          variant   class         before  during  recovery ms\n");
for (const name of names) {
    const trace = readTrace(`${tracesFolder}${name}.jsonl`);
    for (const variant of variants) {
        const figures = await playTrace(name, trace, variant);
        print(figures);
        appendFileSync("reports/bench.jsonl", JSON.stringify(figures) + "\n");
    }
}
process.exit(0);
