/** Metrics of a routed node in the Prometheus format; loaded by {@link RoutedMetrics} when they are needed. */
import { Counter, Histogram, Registry } from "prom-client";
import type { LabelledValue } from "./gauge.js";
import { addGauge, addLabelledGauge } from "./gauge.js";
import type { RequestSample } from "./requestSample.js";

/** Upper bounds of the buckets of request times, in seconds. */
const secondsBuckets = [0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 5];

/** Counter, histogram and gauges of one routed node. */
export class PrometheusMetrics {
    readonly registry = new Registry();
    private readonly requests = new Counter({
        name: "turmericspoke_requests_total",
        help: "Requests that entered at this node, by route, outcome and cause.",
        labelNames: ["route", "outcome", "cause"] as const,
        registers: [this.registry],
    });
    private readonly requestSeconds = new Histogram({
        name: "turmericspoke_request_seconds",
        help: "Time from a request's headers to its final answer.",
        labelNames: ["outcome"] as const,
        buckets: secondsBuckets,
        registers: [this.registry],
    });

    /** Counts a request that has ended and records its duration. */
    recordRequest({ route, outcome, cause, milliseconds }: RequestSample): void {
        this.requests.inc({ route, outcome, cause });
        this.requestSeconds.observe({ outcome }, milliseconds / 1000);
    }

    /** Adds a gauge whose value is read when the metrics are. */
    addGauge(name: string, help: string, read: () => number): void {
        addGauge(this.registry, name, help, read);
    }

    /** Adds a gauge with labels, whose values are read when the metrics are. */
    addLabelledGauge(
        name: string,
        help: string,
        labelNames: readonly string[],
        read: () => readonly LabelledValue[],
    ): void {
        addLabelledGauge(this.registry, name, help, labelNames, read);
    }
}
