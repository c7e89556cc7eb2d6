/** One service of a cluster of stand-ins. */
import type { EndpointBehaviour } from "./endpoint.js";

/** A service, its instances and how their endpoints behave. */
export interface ServicePlan extends EndpointBehaviour {
    readonly name: string;
    readonly slots: number;
    readonly dataCentres: readonly string[];
}
