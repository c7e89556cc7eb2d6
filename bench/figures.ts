/** Figures of one replay: goodput and recovery by class, wasted runs, false refusals, and what the nodes used. */
import { build } from "hdr-histogram-js";
import type { RunRecord } from "../standin/endpoint.js";
import type { ActionResult } from "../standin/load.js";
import { isCompleted } from "../standin/load.js";
import type { AdmissionSample } from "./samples.js";
import { computeSeries } from "./samples.js";
import type { TraceEvent } from "./trace.js";
import { findTime } from "./trace.js";

/** Time after the start that is not counted, in milliseconds. */
const warmUpMs = 2000;
/** Time after the cause after which a refusal counts as a false one, in milliseconds. */
const settleMs = 5000;
/** Share of the goodput before the cause at which the system has recovered. */
const recoveredShare = 0.95;
/** Length of the window and steps of the search for the recovery, in milliseconds. */
const recovery = { windowMs: 1000, stepMs: 100 };

/** Figures of one class in one replay. */
interface ClassFigures {
    readonly class: string;
    readonly before: number;
    readonly during: number;
    readonly recoveryMs: number | undefined;
}

/** Figures of one replay. */
export interface Figures {
    readonly trace: string;
    readonly variant: string;
    readonly classes: readonly ClassFigures[];
    readonly goodputDuring: number;
    /** Endpoint runs during the cause that belong to actions that did not complete. */
    readonly wastedRuns: number;
    /** The same by service. */
    readonly wastedByService: Readonly<Record<string, number>>;
    readonly sendsPerAction: number;
    /** Actions outside the cause that did not complete. */
    readonly falseRefusals: number;
    /** Time to a refusal as the caller sees it, in milliseconds. */
    readonly refusalMs: { readonly p50: number; readonly p99: number; };
    readonly nodeCpuShare: number;
    readonly nodeResidentMegabytes: number;
    /** Share of the machine's processor time that other machines of its host took; above 0.02 the figures are disturbed. */
    readonly stolenShare: number;
    readonly causeBeginMs: number;
    readonly causeEndMs: number;
    readonly endMs: number;
    /** Completed actions a second by class, see {@link computeSeries}. */
    readonly series: Readonly<Record<string, readonly number[]>>;
    /** Admission at the deep service. */
    readonly samples: readonly AdmissionSample[];
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

/** Quantiles of times in milliseconds. */
export function computeQuantiles(
    milliseconds: readonly number[],
): { readonly p50: number; readonly p99: number; readonly p999: number; } {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    // The histogram holds whole numbers: microseconds keep the parts of a millisecond.
    for (const each of milliseconds) {
        histogram.recordValue(Math.round(each * 1000));
    }
    const read = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
    return { p50: read(50), p99: read(99), p999: read(99.9) };
}

/** What a replay gave. */
export interface Replay {
    readonly trace: string;
    readonly variant: string;
    readonly events: readonly TraceEvent[];
    readonly results: readonly ActionResult[];
    readonly runs: readonly RunRecord[];
    readonly samples: readonly AdmissionSample[];
    readonly nodeCpuShare: number;
    readonly nodeResidentMegabytes: number;
    readonly stolenShare: number;
}

/** Works the figures out. */
export function computeFigures(replay: Replay): Figures {
    const { events, results, runs } = replay;
    const causeBeginMs = findTime(events, "causeBegins");
    const causeEndMs = findTime(events, "causeEnds");
    const endMs = findTime(events, "end");
    const completed = new Set(results.filter(isCompleted).map(result => result.key));
    const wasted = runs.filter(run => run.event === "start" && !completed.has(run.action));
    const refusals = results.flatMap(result => result.history).filter(told =>
        told.outcome !== "completed" && told.reason === "overloaded"
    );
    const outside = results.filter(result => result.endedAt < causeBeginMs || result.arrivedAt > causeEndMs + settleMs);
    return {
        trace: replay.trace,
        variant: replay.variant,
        classes: computeClasses(results, causeBeginMs, causeEndMs, endMs),
        goodputDuring: countPerSecond(results, causeBeginMs + 1000, causeEndMs),
        wastedRuns: wasted.length,
        wastedByService: countByService(wasted),
        sendsPerAction: results.reduce((sum, result) => sum + result.history.length, 0) / results.length,
        falseRefusals: outside.filter(result => !isCompleted(result)).length,
        refusalMs: computeQuantiles(refusals.map(told => told.milliseconds)),
        nodeCpuShare: replay.nodeCpuShare,
        nodeResidentMegabytes: replay.nodeResidentMegabytes,
        stolenShare: replay.stolenShare,
        causeBeginMs,
        causeEndMs,
        endMs,
        series: computeSeries(results, endMs),
        samples: replay.samples,
    };
}

function countByService(runs: readonly RunRecord[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { service } of runs) {
        counts[service] = (counts[service] ?? 0) + 1;
    }
    return counts;
}

function computeClasses(
    results: readonly ActionResult[],
    causeBeginMs: number,
    causeEndMs: number,
    endMs: number,
): ClassFigures[] {
    return [...new Set(results.map(result => result.flow.class))].map(className => {
        const own = results.filter(result => result.flow.class === className);
        const before = countPerSecond(own, warmUpMs, causeBeginMs);
        return {
            class: className,
            before,
            during: countPerSecond(own, causeBeginMs + 1000, causeEndMs),
            recoveryMs: findRecovery(own, before, causeEndMs, endMs),
        };
    });
}
