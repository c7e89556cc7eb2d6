/**
 * Metrics of a routed node. Label values are names from the configuration or come from fixed sets.
 *
 * The library for the Prometheus format takes a third of a node's own start, and many nodes are restarted before anybody
 * reads their metrics. So it is loaded when they are first read, or when many requests wait to be counted.
 */
import type { LabelledValue } from "./gauge.js";
import type { PrometheusMetrics } from "./prometheusMetrics.js";
import type { RequestSample } from "./requestSample.js";

/** Most requests that are held until the library is loaded. */
const maxPendingSamples = 10_000;

/** A gauge whose value is read when the metrics are. */
interface GaugeSource {
    readonly name: string;
    readonly help: string;
    readonly read: () => number;
}

/** A gauge with labels, whose values are read when the metrics are. */
interface LabelledGaugeSource {
    readonly name: string;
    readonly help: string;
    readonly labelNames: readonly string[];
    readonly read: () => readonly LabelledValue[];
}

/** Text of the metrics and its content type. */
export interface MetricsPage {
    readonly contentType: string;
    readonly text: string;
}

/** Metrics of one routed node. */
export class RoutedMetrics {
    private readonly gauges: GaugeSource[] = [];
    private readonly labelledGauges: LabelledGaugeSource[] = [];
    private pendingSamples: RequestSample[] = [];
    private loading: Promise<PrometheusMetrics> | undefined;
    private loaded: PrometheusMetrics | undefined;

    /** Counts a request that has ended and records its duration. */
    recordRequestOutcome(route: string, outcome: string, cause: string, milliseconds: number): void {
        const sample = { route, outcome, cause, milliseconds };
        if (this.loaded !== undefined) {
            this.loaded.recordRequest(sample);
            return;
        }
        this.pendingSamples.push(sample);
        if (this.pendingSamples.length >= maxPendingSamples) {
            void this.load();
        }
    }

    /** Adds a gauge whose value is read when the metrics are. Called before the first read. */
    addGauge(name: string, help: string, read: () => number): void {
        this.gauges.push({ name, help, read });
    }

    /** Adds a gauge with labels, whose values are read when the metrics are. Called before the first read. */
    addLabelledGauge(
        name: string,
        help: string,
        labelNames: readonly string[],
        read: () => readonly LabelledValue[],
    ): void {
        this.labelledGauges.push({ name, help, labelNames, read });
    }

    /** Reads all metrics. */
    async read(): Promise<MetricsPage> {
        const { registry } = await this.load();
        return { contentType: registry.contentType, text: await registry.metrics() };
    }

    private load(): Promise<PrometheusMetrics> {
        this.loading ??= import("./prometheusMetrics.js").then(module => {
            const metrics = new module.PrometheusMetrics();
            this.gauges.forEach(({ name, help, read }) => metrics.addGauge(name, help, read));
            this.labelledGauges.forEach(({ name, help, labelNames, read }) =>
                metrics.addLabelledGauge(name, help, labelNames, read)
            );
            this.pendingSamples.forEach(sample => metrics.recordRequest(sample));
            this.pendingSamples = [];
            this.loaded = metrics;
            return metrics;
        });
        return this.loading;
    }
}
