/** Prometheus gauges whose value is read when the metrics are. */
import type { Registry } from "prom-client";
import { Gauge } from "prom-client";

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
