/** Prometheus gauges whose value is read when the metrics are. */
import type { Registry } from "prom-client";
import { Gauge } from "prom-client";

/** One value of a gauge with labels. */
export interface LabelledValue {
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

/** Adds a gauge with labels named `turmericspoke_NAME`. `read` is called each time that the metrics are read. */
export function addLabelledGauge(
    registry: Registry,
    name: string,
    help: string,
    labelNames: readonly string[],
    read: () => readonly LabelledValue[],
): void {
    new Gauge({
        name: `turmericspoke_${name}`,
        help,
        labelNames,
        registers: [registry],
        collect() {
            this.reset();
            read().forEach(({ labels, value }) => this.set(labels, value));
        },
    });
}

/** Adds a gauge named `turmericspoke_NAME` to a registry. `read` is called each time that the metrics are read. */
export function addGauge(registry: Registry, name: string, help: string, read: () => number): void {
    new Gauge({
        name: `turmericspoke_${name}`,
        help,
        registers: [registry],
        collect() {
            this.set(read());
        },
    });
}
