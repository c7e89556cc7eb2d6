/** Gauges of a routed node. Their values are read when the metrics are. */
import type { ConnectionRoom } from "../../connection/connectionRoom.js";
import type { HeadBudget } from "../../connection/headBudget.js";
import type { PeerLinks } from "../../connection/peerLinks.js";
import type { StrayAnswers } from "../../connection/strayAnswers.js";
import type { CustomerQuotas } from "../customers/customerQuotas.js";
import type { EndpointRunner } from "../endpoint/endpointRunner.js";
import type { EndpointState } from "../endpoint/endpointState.js";
import type { BodyBudget } from "../load/bodyBudget.js";
import type { ReturnSchedule } from "../load/returnSchedule.js";
import type { ServiceRetryBudget } from "../load/serviceRetryBudget.js";
import type { ClusterState } from "../membership/clusterState.js";
import type { RoutedMetrics } from "../telemetry/routedMetrics.js";

/** Components that the gauges read. */
export interface RoutedGaugeSources {
    readonly callers: {
        readonly room: Pick<ConnectionRoom, "countOpen" | "countClosed">;
        readonly heads: Pick<HeadBudget, "getTotal" | "countClosed">;
    };
    readonly bodies: Pick<BodyBudget, "getTotal" | "countGivenUp">;
    readonly clusterState: Pick<ClusterState, "configurationHolder" | "registry" | "getLogPosition">;
    readonly endpoint: Pick<EndpointState, "getNamedLimit">;
    readonly links: Pick<PeerLinks, "countOpenLinks">;
    readonly quotas: Pick<CustomerQuotas, "listCounts" | "listShares">;
    readonly retryBudget: Pick<ServiceRetryBudget, "counts">;
    readonly returnSchedule: Pick<ReturnSchedule, "counts"> | undefined;
    readonly runner: Pick<EndpointRunner, "getLoad">;
    readonly strayAnswers: Pick<StrayAnswers, "countSkipped" | "countUnasked">;
}

/** Name, help and value of a gauge. */
type Gauge<Source> = readonly [name: string, help: string, read: (source: Source) => number];

const gauges: readonly Gauge<RoutedGaugeSources>[] = [
    ["configuration_version", "Version in force.", node => node.clusterState.configurationHolder.getVersion()],
    [
        "configuration_warnings",
        "Words of the configuration in force that this build does not know.",
        node => node.clusterState.configurationHolder.getTable()?.configuration.warnings.length ?? 0,
    ],
    [
        "log_era",
        "Number of times that the log was restored from an older copy; -1 before the first read.",
        node => node.clusterState.getLogPosition().era,
    ],
    ["repeats_sent", "Repeats that the budget paid for.", node => node.retryBudget.counts.sent],
    ["repeats_refused", "Repeats that the budget had no room for.", node => node.retryBudget.counts.refused],
    ["bodies_bytes", "Memory that bodies of requests take, in bytes.", node => node.bodies.getTotal()],
    [
        "bodies_given_up",
        "Bodies that were not read to their end, because bodies took too much memory together.",
        node => node.bodies.countGivenUp(),
    ],
    ["caller_connections", "Open connections of callers.", node => node.callers.room.countOpen()],
    [
        "caller_connections_closed",
        "Connections of callers that were closed to make room for others.",
        node => node.callers.room.countClosed() + node.callers.heads.countClosed(),
    ],
    [
        "caller_head_bytes",
        "Memory that callers' requests without an answer take apart from their bodies, in bytes.",
        node => node.callers.heads.getTotal(),
    ],
    ["instances_known", "Known instances.", node => node.clusterState.registry.count()],
    ["links_open", "Open links to other nodes.", node => node.links.countOpenLinks()],
    ["endpoint_running", "Requests at the endpoint.", node => node.runner.getLoad().running],
    ["endpoint_waiting", "Requests that wait for the endpoint.", node => node.runner.getLoad().waiting],
    ["endpoint_limit", "Requests that may run at once.", node => node.runner.getLoad().limit],
    [
        "endpoint_shed_share",
        "Share of the recent requests that the endpoint turned away with room to spare.",
        node => node.runner.getLoad().shedShare,
    ],
    [
        "endpoint_named_limit",
        "Requests a second that the endpoint says it takes; -1 if it names no limit.",
        node => node.endpoint.getNamedLimit() ?? -1,
    ],
    [
        "endpoint_answers_skipped",
        "Answers that named another attempt than the request in progress.",
        node => node.strayAnswers.countSkipped(),
    ],
    [
        "endpoint_answers_unasked",
        "Connections to the endpoint that were closed because of bytes without a request.",
        node => node.strayAnswers.countUnasked(),
    ],
];

/** Gauges of a node that reserves times for refused requests. */
const returnGauges: readonly Gauge<ReturnSchedule["counts"]>[] = [
    ["returns_promised", "Refused requests with a reserved time.", counts => counts.promised],
    ["returns_unpromised", "Refused requests for which no time was left.", counts => counts.unpromised],
    ["returns_kept", "Requests that came back at their time.", counts => counts.kept],
    ["returns_early", "Requests that came back before their time.", counts => counts.early],
];

/** Adds all gauges of a routed node to its metrics. */
export function addRoutedGauges(metrics: RoutedMetrics, node: RoutedGaugeSources): void {
    for (const [name, help, read] of gauges) {
        metrics.addGauge(name, help, () => read(node));
    }
    const counts = node.returnSchedule?.counts;
    if (counts !== undefined) {
        returnGauges.forEach(([name, help, read]) => metrics.addGauge(name, help, () => read(counts)));
    }
    addQuotaGauges(metrics, node.quotas);
}

function addQuotaGauges(metrics: RoutedMetrics, quotas: RoutedGaugeSources["quotas"]): void {
    metrics.addLabelledGauge(
        "customer_quota",
        "Quotas by customer and kind: limit (requests a second of all nodes), used and refused (requests at this node), "
            + "granted (units that this node granted).",
        ["customer", "kind"],
        () =>
            quotas.listCounts().flatMap(({ customer, ...counts }) =>
                Object.entries(counts).map(([kind, value]) => ({ labels: { customer, kind }, value }))
            ),
    );
    metrics.addLabelledGauge(
        "quota_group_share",
        "Part of the limits that this node has to grant, by group of customers.",
        ["group"],
        () => quotas.listShares().map((value, group) => ({ labels: { group: String(group) }, value })),
    );
}
