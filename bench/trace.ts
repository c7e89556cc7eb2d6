/** Recorded traces: one JSON line for each event, replayed against real daemons. */
import { readFileSync } from "node:fs";
import type { Cluster } from "../standin/cluster.js";
import type { Flow, Load } from "../standin/load.js";

/** One event of a trace; `at` is in milliseconds since its start. */
export type TraceEvent =
    & { readonly at: number; }
    & (
        | {
            readonly kind: "rate";
            readonly customer: string;
            readonly class: string;
            readonly service: string;
            readonly perSecond: number;
        }
        | { readonly kind: "slow"; readonly service: string; readonly factor: number; readonly index?: number; }
        | { readonly kind: "kill" | "restart"; readonly service: string; readonly index: number; }
        | { readonly kind: "log"; readonly isDown: boolean; }
        | { readonly kind: "causeBegins" | "causeEnds" | "end"; }
    );

/** Reads a trace file. */
export function readTrace(file: string): TraceEvent[] {
    const lines = readFileSync(file, "utf8").split("\n").filter(line => line !== "");
    return lines.map(line => JSON.parse(line) as TraceEvent).sort((a, b) => a.at - b.at);
}

/** Time of the first event of a kind, in milliseconds. */
export function findTime(trace: readonly TraceEvent[], kind: TraceEvent["kind"]): number {
    return trace.find(event => event.kind === kind)?.at ?? 0;
}

/** Flows of a trace with the rates they start with; callers re-send hard, three times at most. */
export function createTraceFlows(cluster: Cluster, trace: readonly TraceEvent[]): Flow[] {
    return trace.flatMap(event =>
        event.kind === "rate" && event.at === 0
            ? [{
                customer: event.customer,
                class: event.class,
                urls: cluster.listService(event.service).map(instance => instance.callerUrl),
                perSecond: event.perSecond,
                path: "/work",
                persistence: { sends: 3, pauseMs: 100, isHard: true },
            }]
            : []
    );
}

/** Brings an event about. */
export async function applyEvent(cluster: Cluster, load: Load, event: TraceEvent): Promise<void> {
    switch (event.kind) {
        case "rate":
            load.setRate(flow => flow.customer === event.customer && flow.class === event.class, event.perSecond);
            return;
        case "slow": {
            const instances = cluster.listService(event.service).filter((_, index) =>
                event.index === undefined || index === event.index
            );
            await Promise.all(
                instances.map(each => each.changeEndpoint({ serviceMs: each.plan.serviceMs * event.factor })),
            );
            return;
        }
        case "kill": {
            const instance = cluster.listService(event.service)[event.index]!;
            instance.endpoint?.kill("SIGKILL");
            instance.node?.kill("SIGKILL");
            return;
        }
        case "restart":
            await cluster.listService(event.service)[event.index]!.start();
            return;
        case "log":
            await cluster.changeLog({ isDown: event.isDown });
            return;
        case "causeBegins":
        case "causeEnds":
        case "end":
            return;
    }
}
