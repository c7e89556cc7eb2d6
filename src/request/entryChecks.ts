/**
 * Decides from the head of a request whether it is taken at all. That doesn't need the body, so a caller without a route or a key
 * costs no memory for one.
 */
import type { IncomingMessage } from "node:http";
import type { RunInProgress } from "../process/load/runsInProgress.js";
import type { RouteContract } from "../version/configuration.js";
import type { Customer, CustomerTable } from "../version/customer.js";
import type { RequestMetadata } from "./dialect.js";
import type { RoutedEntryDependencies } from "./entryRequest.js";
import { maxRetryShare, minRetryMs } from "./entryReturns.js";

/** Retry-after delay while no configuration is known, in milliseconds. */
const notReadyRetryMs = 500;
/** Retry-after delay while this process stops: the time until the next one takes its place, in milliseconds. */
const stoppingRetryMs = 800;

/** Fields of a log line. */
type Fields = Readonly<Record<string, string | number | undefined>>;

/** Why a request is not taken, and what its caller is told. */
export interface EntryRefusal {
    readonly kind: "refused";
    readonly status: number;
    readonly cause: string;
    readonly retryAfterMs: number | undefined;
    /** Route of the request; `undefined` if it is not known, and then the metrics don't count the request. */
    readonly route: string | undefined;
    /** Further fields of the log line. */
    readonly fields: Fields;
}

/** A request that is taken. */
export interface TakenRequest {
    readonly kind: "taken";
    readonly attemptId: string;
    readonly route: RouteContract;
    readonly version: number;
    /** The run that makes the call; `undefined` for a request of an outside caller. */
    readonly parent: RunInProgress | undefined;
    readonly customer: Customer | undefined;
    /** Monotonic time by which the request is answered in any case, in milliseconds. */
    readonly deadline: number;
}

/** Decides by the configuration in force whether a request is taken, which began at `startedAt` (monotonic, in milliseconds). */
export function checkRequest(
    dependencies: RoutedEntryDependencies,
    request: IncomingMessage,
    metadata: RequestMetadata,
    startedAt: number,
): TakenRequest | EntryRefusal {
    const { attemptId } = metadata;
    const table = dependencies.configurationHolder.getTable();
    if (table === undefined) {
        return createRefusal(503, "noConfiguration", { request: attemptId }, undefined, notReadyRetryMs);
    }
    const { version } = table.configuration;
    const route = table.find(request.headers.host ?? "", request.url ?? "/");
    if (route === undefined) {
        return createRefusal(404, "noRoute", { request: attemptId, version });
    }
    if (attemptId === undefined) {
        return createRefusal(400, "noAttempt", { version });
    }
    const parent = dependencies.runs.find(dependencies.dialect.findParentAttempt(attemptId));
    const customer = parent === undefined ? findCustomer(table.customers, metadata.key) : undefined;
    if (parent === undefined && customer === undefined && !route.isPublic && table.configuration.needsKeys) {
        return createUnknownCallerRefusal(dependencies, metadata, route, { request: attemptId, version });
    }
    const deadline = startedAt + Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs);
    if (!dependencies.stop.canTake(deadline, parent !== undefined)) {
        const fields = { request: attemptId, customer: customer?.name, version };
        return createRefusal(503, "stopping", fields, route.name, computeStoppingRetryMs(dependencies, deadline));
    }
    return { kind: "taken", attemptId, route, version, parent, customer, deadline };
}

function createRefusal(
    status: number,
    cause: string,
    fields: Fields,
    route?: string,
    retryAfterMs?: number,
): EntryRefusal {
    return { kind: "refused", status, cause, fields, route, retryAfterMs };
}

function findCustomer(customers: CustomerTable, key: string | undefined): Customer | undefined {
    return key === undefined ? undefined : customers.findByKey(key);
}

/**
 * Refuses a request that comes without a known key. A call of a run that is not known here carries none: the node was
 * started again while the endpoint ran on, or the run was given up. That says nothing against the caller, so it is told
 * to come again.
 */
function createUnknownCallerRefusal(
    { dialect }: RoutedEntryDependencies,
    { attemptId, key }: RequestMetadata,
    route: RouteContract,
    fields: Fields,
): EntryRefusal {
    const isCall = key === undefined && dialect.findParentAttempt(attemptId ?? "") !== undefined;
    return isCall
        ? createRefusal(503, "unknownRun", fields, route.name, notReadyRetryMs)
        : createRefusal(401, "unknownKey", fields, route.name);
}

/** Retry-after delay of a request that might not be answered before this process ends, in milliseconds. */
function computeStoppingRetryMs(dependencies: RoutedEntryDependencies, deadline: number): number {
    const leftMs = deadline - dependencies.clock.readMonotonic();
    const spreadMs = stoppingRetryMs * (0.75 + dependencies.random() * 0.5);
    return Math.max(minRetryMs, Math.min(spreadMs, leftMs * maxRetryShare));
}
