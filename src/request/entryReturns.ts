/** When refused callers of the entry come back: the delays that they are told, and the times that are reserved for them. */
import type { IncomingMessage } from "node:http";
import type { ReturnSchedule } from "../process/load/returnSchedule.js";
import type { Customer } from "../version/customer.js";
import type { RequestMetadata } from "./dialect.js";
import type { RoutedEntryDependencies, RoutedRequest } from "./entryRequest.js";
import type { ForwardOutcome } from "./forwarder.js";
import type { RoutedCall } from "./routedCall.js";

/** Shortest retry-after delay, in milliseconds. */
export const minRetryMs = 50;
/** Lower bound of the estimated retry-after delay before it is spread, in milliseconds. */
const minRetryEstimateMs = 150;
/** Longest retry-after delay, as a share of the time that the caller has left. */
export const maxRetryShare = 1 / 3;

/**
 * Computes the retry-after delay in milliseconds: long enough that capacity is likely free, spread randomly so that
 * callers do not return together, and short enough that a retry can still meet the caller's deadline, but at least 50 ms.
 */
export function computeRetryAfterMs(
    dependencies: RoutedEntryDependencies,
    routedRequest: RoutedRequest,
    estimateMs: number,
): number {
    const reservedMs = offerReturn(dependencies, routedRequest, estimateMs);
    if (reservedMs !== undefined) {
        return Math.max(minRetryMs, reservedMs);
    }
    const spent = dependencies.clock.readMonotonic() - routedRequest.startedAt;
    const leftMs = (routedRequest.metadata.deadlineMs ?? routedRequest.route.timeoutMs) - spent;
    const spreadMs = Math.max(minRetryEstimateMs, estimateMs) * (0.75 + dependencies.random() * 0.75);
    return Math.max(minRetryMs, Math.min(spreadMs, leftMs * maxRetryShare));
}

/** Finds the promise that a request of a caller was given when it was refused. Without a stated end it isn't known again. */
export function takeReturn(
    { returnSchedule }: RoutedEntryDependencies,
    request: IncomingMessage,
    { deadlineMs }: RequestMetadata,
    customer: Customer | undefined,
    startedAt: number,
): ReturnType<ReturnSchedule["take"]> {
    return returnSchedule === undefined || deadlineMs === undefined
        ? undefined
        : returnSchedule.take(describeSubject(request, customer), startedAt + deadlineMs);
}

/** Reserves a time at which the caller shall come back; `undefined` if times are not reserved for this request. */
export function offerReturn(
    { returnSchedule }: RoutedEntryDependencies,
    routedRequest: RoutedRequest,
    estimateMs: number,
): number | undefined {
    const { request, route, customer, parent, metadata, startedAt, target } = routedRequest;
    if (returnSchedule === undefined || parent !== undefined || metadata.deadlineMs === undefined) {
        return undefined;
    }
    return returnSchedule.offerReturn({
        subject: describeSubject(request, customer),
        service: route.shares[0]!.service,
        route: route.name,
        priority: customer?.priority ?? route.priority,
        deadline: startedAt + metadata.deadlineMs,
        target,
    }, estimateMs);
}

/** Describes what a caller asks for; equal for all attempts of a request. */
export function describeSubject(request: IncomingMessage, customer: Customer | undefined): string {
    return `${customer?.name ?? ""} ${request.method} ${request.headers.host}${request.url}`;
}

/** Whether the service of a new request has just refused another wherever it was offered, so that no node needs to be asked. */
export function hasNoRoom(
    { returnSchedule }: RoutedEntryDependencies,
    { parent, hasReturned }: RoutedRequest,
    { service, origin }: RoutedCall,
): boolean {
    return returnSchedule !== undefined && parent === undefined && !hasReturned
        && returnSchedule.hasNoRoom(service, origin.customer, origin.priority);
}

/** Records whether a service had room for a request of a caller. */
export function recordRoom(
    { returnSchedule }: RoutedEntryDependencies,
    { parent, route, hasReturned }: RoutedRequest,
    { service, origin }: RoutedCall,
    outcome: ForwardOutcome,
    elapsedMs: number,
): void {
    if (returnSchedule === undefined || parent !== undefined) {
        return;
    }
    if (outcome.kind === "answer" && outcome.status < 500) {
        returnSchedule.recordServed(route.shares[0]!.service, route.name, elapsedMs);
    }
    if (outcome.kind === "refused" && outcome.cause === "full" && !hasReturned) {
        returnSchedule.recordNoRoom(service, origin.customer, origin.priority);
    }
}
