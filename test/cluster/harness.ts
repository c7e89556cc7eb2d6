/** What the tests with real processes share. */
import { Cluster } from "../../standin/cluster.js";
import type { ClusterPlan } from "../../standin/cluster.js";
import type { ActionResult, Flow } from "../../standin/load.js";
import { isCompleted } from "../../standin/load.js";
import { createChain, createContract } from "../../standin/plans.js";

/** Bound of repeated runs in the tests' contracts. */
export const bound = 4;

const customers = ["weavers", "treasurers", "clerks", "inspectors"];

/** Creates a cluster of the chain ekspor, kas-benang, katalog. */
export function createCluster(change: Partial<ClusterPlan> = {}, serviceMs = 5, slots = 30): Cluster {
    const contracts = customers.map(name => createContract(name, undefined, bound));
    return new Cluster({ contracts, services: createChain(serviceMs, slots), ...change });
}

/** Creates a flow of actions that enter at any instance of a service. */
export function createFlow(
    cluster: Cluster,
    customer: string,
    className: string,
    service: string,
    perSecond: number,
    sends = 5,
): Flow {
    const urls = cluster.listService(service).map(instance => instance.callerUrl);
    const body = `{"customer":"${customer}"}`;
    return {
        customer,
        class: className,
        urls,
        perSecond,
        body,
        path: "/work",
        persistence: { sends, pauseMs: 200, isHard: true },
    };
}

/** Creates a flow of each kind at the service where it belongs. */
export function createFlows(cluster: Cluster, perSecond: number, sends = 5): Flow[] {
    return [
        createFlow(cluster, "weavers", "browse", "katalog", perSecond, sends),
        createFlow(cluster, "treasurers", "advance", "kas-benang", perSecond, sends),
        createFlow(cluster, "clerks", "certificate", "ekspor", perSecond, sends),
    ];
}

/** Lists what the last word on each action that failed was. */
export function listFailures(results: readonly ActionResult[]): string[] {
    return results.filter(result => !isCompleted(result))
        .map(result => `${result.flow.class} ${result.told.outcome} ${result.told.status} ${result.told.reason}`);
}
