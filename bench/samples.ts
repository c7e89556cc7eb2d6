/** Samples of the deep service's admission while a trace plays, to see what the limits did and when. */
import type { Instance } from "../standin/instance.js";
import type { ActionResult } from "../standin/load.js";
import { isCompleted } from "../standin/load.js";

/** Time between samples, in milliseconds. */
const sampleIntervalMs = 250;
/** Width of the columns of goodput, in milliseconds. */
export const columnMs = 500;

/** Admission at one instance at one moment. */
export interface AdmissionSample {
    /** Milliseconds since the trace began. */
    readonly at: number;
    readonly instance: string;
    readonly limit: number;
    readonly running: number;
    readonly queued: number;
    readonly threshold: number;
}

/** Reads the admission of instances again and again until it is stopped. */
export class AdmissionSampler {
    private readonly samples: AdmissionSample[] = [];
    private readonly timer: NodeJS.Timeout;

    constructor(instances: readonly Instance[], readNow: () => number) {
        this.timer = setInterval(() => {
            for (const instance of instances) {
                void this.readSample(instance, readNow);
            }
        }, sampleIntervalMs);
    }

    stop(): readonly AdmissionSample[] {
        clearInterval(this.timer);
        return this.samples;
    }

    private async readSample(instance: Instance, readNow: () => number): Promise<void> {
        const status = await instance.readStatus();
        if (status !== undefined) {
            const { limit, running, queued, threshold } = status.admission;
            this.samples.push({ at: readNow(), instance: instance.name, limit, running, queued, threshold });
        }
    }
}

/** Completed actions a second of each class, in columns of {@link columnMs} since the trace began. */
export function computeSeries(results: readonly ActionResult[], endMs: number): Record<string, number[]> {
    const series: Record<string, number[]> = {};
    for (const result of results.filter(isCompleted)) {
        const columns = series[result.flow.class] ??= new Array<number>(Math.ceil(endMs / columnMs)).fill(0);
        const column = Math.floor(result.endedAt / columnMs);
        if (column < columns.length) {
            columns[column]! += 1000 / columnMs;
        }
    }
    return series;
}
