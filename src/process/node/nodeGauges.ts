/** Gauges of a node. Their values are read when the metrics are. */
import type { NodeView } from "./nodeView.js";

/**
 * Name, help and value of each gauge. Claims are the actions that this node has recorded as the owner of their keys, to
 * answer repeated sends. Partitions are those of the service's action keys. The log is the shared log.
 */
const gauges: readonly (readonly [name: string, help: string, read: (node: NodeView) => number])[] = [
    ["runs_in_progress", "Requests running at the local endpoint.", node => node.admission.getState().running],
    ["runs_queued", "Requests waiting for the local endpoint.", node => node.admission.getState().queued],
    ["concurrency_limit", "Requests that may run at the same time.", node => node.admission.getState().limit],
    ["priority_threshold", "Priority below which requests are refused.", node => node.admission.getThreshold()],
    ["claims", "Actions remembered as owner of their keys.", node => node.claims.getSize()],
    ["claim_bytes", "Memory of remembered actions in bytes.", node => node.claims.getBytes()],
    ["partitions_owned", "Partitions of the service's keys owned.", node => node.ownership.countOwned()],
    ["quarantined_requests", "Requests refused because they crash endpoints.", node => node.quarantine.countRefused()],
    ["members", "Members known.", node => node.directory.listAll().length],
    [
        "contracts_offset",
        "Offset through which contracts are in force.",
        node => node.streams.contracts.getAppliedOffset(),
    ],
    ["log_up", "Whether the last read of the log succeeded.", node => node.follower.isLogUp() ? 1 : 0],
    ["resident_memory_bytes", "Resident memory of the process.", () => process.memoryUsage.rss()],
];

/** Adds all gauges of a node to its metrics. */
export function addNodeGauges(node: NodeView): void {
    for (const [name, help, read] of gauges) {
        node.metrics.addGauge(name, help, () => read(node));
    }
}
