/** Samples that the tests of the routed node share. */
import type { Configuration, RouteContract } from "../../src/version/configuration.js";
import type { InstanceRecord } from "../../src/version/instanceRecord.js";

/** Route to one service; `change` replaces fields. */
export function createRoute(change: Partial<RouteContract> = {}): RouteContract {
    return {
        name: "r",
        host: "katalog.example",
        pathPrefix: "/loom/",
        repetition: "idempotent",
        timeoutMs: 1000,
        targetLatencyMs: 500,
        isPublic: false,
        maxRuns: 2,
        priority: 1,
        shares: [{ service: "katalog", weight: 1 }],
        ...change,
    };
}

/** Record of an instance of katalog in klaten; `change` replaces fields. */
export function createRecord(address: string, change: Partial<InstanceRecord> = {}): InstanceRecord {
    return {
        address,
        port: 7600,
        service: "katalog",
        dataCentre: "klaten",
        slots: 10,
        isTaking: true,
        revision: 1,
        ...change,
    };
}

/** Customers of a configuration, in one of the shapes that an operator may write. */
export type CustomerSample = Readonly<Record<string, unknown>>;

/** Text of a configuration, as an operator would publish it; `customers` stay out if there are none. */
export function formatConfiguration(
    version: number,
    routes: readonly RouteContract[],
    customers?: readonly CustomerSample[],
): string {
    const names = new Set(routes.flatMap(route => route.shares.map(share => share.service)));
    const services = [...names].map(name => ({ name, healthPath: "/healthz", maxConnections: 100 }));
    const limits: Configuration["limits"] = {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
    };
    return JSON.stringify({ version, routes, services, limits, customers });
}
