/** Serves requests of callers and of the local endpoint: finds the route, forwards, and answers by the deadline. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { PipelineTurn } from "../connection/requestPipeline.js";
import { Cancellation } from "../process/base/cancellation.js";
import type { SpentUnit } from "../process/customers/unitHolder.js";
import type { Origin } from "../process/load/runsInProgress.js";
import type { Customer, CustomerTable } from "../version/customer.js";
import { readBody } from "./body.js";
import type { RequestMetadata } from "./dialect.js";
import { EntryAnswer } from "./entryAnswer.js";
import { logRequest, recordDownstreamOutcome, recordRequestEnd } from "./entryRecords.js";
import type { RoutedEntryDependencies, RoutedRequest } from "./entryRequest.js";
import { computeRetryAfterMs, hasNoRoom, maxRetryShare, minRetryMs, recordRoom, takeReturn } from "./entryReturns.js";
import type { ForwardOutcome, ForwardResult } from "./forwarder.js";
import { createUnsentResult } from "./forwarder.js";
import type { RoutedCall } from "./routedCall.js";

/**
 * Time after the deadline in which the outcome of the cancelled request may still arrive from the instance's node, in
 * milliseconds.
 */
const lateResultWaitMs = 40;
/** Retry-after delay while no configuration is known, in milliseconds. */
const notReadyRetryMs = 500;
/** Status that is logged when the caller disconnects; no answer is sent. */
const callerGoneStatus = 499;
/** Retry-after delay for requests that are refused because a downstream service is overloaded, in milliseconds. */
const overloadedRetryMs = 900;

/** Retry-after delay while this process stops: the time until the next one takes its place, in milliseconds. */
const stoppingRetryMs = 800;

/** Longest time for which a request waits for a unit of its customer's quota, in milliseconds. */
const maxUnitWaitMs = 800;
/** The same as a part of the time to the route's latency target. */
const maxUnitWaitShare = 0.4;

/** Result of a request whose outcome did not arrive in time. */
const timedOutResult: ForwardResult = {
    outcome: { kind: "failed", cause: "timeout" },
    instance: undefined,
    sends: 0,
    runs: 0,
};

/** Result of a request whose service has just refused at as many instances as one request is offered to. */
const noRoomResult = createUnsentResult("noRoom", 0);

/**
 * Serves one request and logs its outcome, unless its body is too large. Nothing is sent or logged if the caller
 * disconnects while it sends the body, or if the connection closes before the request's turn has come.
 */
export async function serveRoutedRequest(
    dependencies: RoutedEntryDependencies,
    request: IncomingMessage,
    response: ServerResponse,
    turn: PipelineTurn,
): Promise<void> {
    const startedAt = dependencies.clock.readMonotonic();
    const answer = new EntryAnswer(response, turn, dependencies.stop);
    // Bodies of requests that wait for their turn stay unread, so that they take no memory here.
    if (!turn.mayWork() && !await turn.waitForWork()) {
        return;
    }
    const metadata = dependencies.dialect.readRequest(request.rawHeaders);
    // Without a configuration there is no limit. Unless one arrives while the body is read, the request is refused
    // below.
    const maxBodyBytes = dependencies.configurationHolder.getTable()?.configuration.limits.maxBodyBytes ?? Infinity;
    const body = await readBody(request, maxBodyBytes);
    if (body === "cut") {
        return;
    }
    if (body === "tooLarge") {
        response.setHeader("connection", "close");
        sendEmptyAnswer(answer, 413, undefined);
        return;
    }
    if (!turn.isNext() && isAtMostOnce(dependencies, request) && !await turn.waitUntilNext()) {
        return;
    }
    const table = dependencies.configurationHolder.getTable();
    if (table === undefined) {
        sendEmptyAnswer(answer, 503, notReadyRetryMs);
        logRequest(dependencies, "refused", { request: metadata.attemptId, cause: "noConfiguration", status: 503 });
        return;
    }
    const { version } = table.configuration;
    const route = table.find(request.headers.host ?? "", request.url ?? "/");
    if (route === undefined) {
        sendEmptyAnswer(answer, 404, undefined);
        logRequest(dependencies, "refused", { request: metadata.attemptId, cause: "noRoute", version, status: 404 });
        return;
    }
    if (metadata.attemptId === undefined) {
        sendEmptyAnswer(answer, 400, undefined);
        logRequest(dependencies, "refused", { cause: "noAttempt", version, status: 400 });
        return;
    }
    const parent = dependencies.runs.find(dependencies.dialect.findParentAttempt(metadata.attemptId));
    const customer = parent === undefined ? findCustomer(table.customers, metadata.key) : undefined;
    if (parent === undefined && customer === undefined && !route.isPublic && table.configuration.needsKeys) {
        refuseUnknownCaller(dependencies, answer, metadata, {
            request: metadata.attemptId,
            route: route.name,
            version,
        });
        return;
    }
    const deadline = startedAt + Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs);
    if (!dependencies.stop.canTake(deadline, parent !== undefined)) {
        refuseWhileStopping(dependencies, answer, deadline, {
            request: metadata.attemptId,
            route: route.name,
            customer: customer?.name,
            version,
        });
        return;
    }
    const returned = parent === undefined
        ? takeReturn(dependencies, request, metadata, customer, startedAt)
        : undefined;
    const routedRequest: RoutedRequest = {
        request,
        response,
        answer,
        metadata,
        route,
        version,
        body,
        startedAt,
        deadline,
        parent,
        customer,
        target: returned?.target ?? startedAt + route.targetLatencyMs,
        hasReturned: returned?.isDue === true,
    };
    if (parent !== undefined) {
        await forwardRequest(dependencies, routedRequest, metadata.attemptId);
        return;
    }
    if (!routedRequest.hasReturned && !dependencies.entryThrottle.admit(route.name)) {
        refuseAtEntry(dependencies, routedRequest);
        return;
    }
    await forwardWithinQuota(dependencies, routedRequest, metadata.attemptId);
}

/** Refuses a request that might not be answered before this process ends. */
function refuseWhileStopping(
    dependencies: RoutedEntryDependencies,
    answer: EntryAnswer,
    deadline: number,
    fields: { readonly route: string; readonly [name: string]: string | number | undefined; },
): void {
    const leftMs = deadline - dependencies.clock.readMonotonic();
    const spreadMs = stoppingRetryMs * (0.75 + dependencies.random() * 0.5);
    sendEmptyAnswer(answer, 503, Math.max(minRetryMs, Math.min(spreadMs, leftMs * maxRetryShare)));
    dependencies.metrics.recordRequestOutcome(fields.route, "refused", "stopping", 0);
    logRequest(dependencies, "refused", { ...fields, cause: "stopping", status: 503 });
}

/** Refuses a caller's request, before any work was spent on it, because a service behind its route is overloaded. */
function refuseAtEntry(dependencies: RoutedEntryDependencies, routedRequest: RoutedRequest): void {
    const { metadata, route, version, customer } = routedRequest;
    const cause = "crowdedBehind";
    const refusal = { kind: "refused", cause, retryAfterMs: overloadedRetryMs } as const;
    const status = sendOutcome(dependencies, routedRequest, refusal);
    dependencies.metrics.recordRequestOutcome(route.name, "refused", cause, 0);
    logRequest(dependencies, "refused", {
        request: metadata.attemptId,
        route: route.name,
        customer: customer?.name,
        version,
        cause,
        share: dependencies.entryThrottle.getAdmittedFraction(route.name).toFixed(2),
        status,
    });
}

/** Forwards a request with a unit of its customer's quota, and gives the unit back if it reached no endpoint. */
async function forwardWithinQuota(
    dependencies: RoutedEntryDependencies,
    routedRequest: RoutedRequest,
    attemptId: string,
): Promise<void> {
    const { customer } = routedRequest;
    if (customer?.quota === undefined) {
        await forwardRequest(dependencies, routedRequest, attemptId);
        return;
    }
    const unit = await takeUnit(dependencies, routedRequest, customer.name);
    if (unit === undefined) {
        return;
    }
    const result = await forwardRequest(dependencies, routedRequest, attemptId);
    if (result !== "gone" && result.outcome.kind === "refused" && result.runs === 0) {
        dependencies.quotas.releaseUnit(unit);
    }
}

/**
 * Takes a unit of the customer's quota. Without one, the request is refused. Returns `undefined` if the request has ended.
 */
async function takeUnit(
    dependencies: RoutedEntryDependencies,
    routedRequest: RoutedRequest,
    customer: string,
): Promise<SpentUnit | undefined> {
    const { response, answer, route, metadata, version, startedAt } = routedRequest;
    const leftMs = startedAt + (metadata.deadlineMs ?? Infinity) - dependencies.clock.readMonotonic();
    const maxWaitMs = Math.min(maxUnitWaitMs, route.targetLatencyMs * maxUnitWaitShare, leftMs);
    const taken = await dependencies.quotas.take(customer, maxWaitMs);
    if (taken.kind === "granted") {
        if (!response.destroyed) {
            return taken.unit;
        }
        dependencies.quotas.releaseUnit(taken.unit);
        return undefined;
    }
    // Only a used quota is the customer's own limit. Where no unit could be asked for, it may have much of it left.
    const status = taken.cause === "quota" ? 429 : 503;
    sendEmptyAnswer(answer, status, taken.retryAfterMs * (1 + dependencies.random() / 2));
    dependencies.metrics.recordRequestOutcome(route.name, "refused", taken.cause, 0);
    logRequest(dependencies, "refused", {
        request: metadata.attemptId,
        route: route.name,
        customer,
        cause: taken.cause,
        version,
        status,
    });
    return undefined;
}

/**
 * Whether a request may run only once, by the version in force. Such a request waits for all answers before it on its
 * connection: if one of them closes the connection, the caller sends the request again.
 */
function isAtMostOnce({ configurationHolder }: RoutedEntryDependencies, request: IncomingMessage): boolean {
    const route = configurationHolder.getTable()?.find(request.headers.host ?? "", request.url ?? "/");
    return route?.repetition === "atMostOnce";
}

async function forwardRequest(
    dependencies: RoutedEntryDependencies,
    routedRequest: RoutedRequest,
    attemptId: string,
): Promise<ForwardResult | "gone"> {
    const { request, route, startedAt, deadline, body } = routedRequest;
    const call: RoutedCall = {
        attemptId,
        route,
        service: dependencies.serviceSelector.chooseService(route),
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: dependencies.dialect.copyRequestHeaders(request.rawHeaders),
        body,
        origin: createOrigin(routedRequest),
        callsLeft: routedRequest.parent?.getCallsLeft() ?? 1,
        deadline: dependencies.stop.lowerDeadline(deadline),
        target: routedRequest.target,
        cancellation: new Cancellation(),
    };
    const result = hasNoRoom(dependencies, routedRequest, call)
        ? noRoomResult
        : await forwardUntilDeadline(dependencies, routedRequest, call);
    const elapsedMs = dependencies.clock.readMonotonic() - startedAt;
    if (result === "gone") {
        recordRequestEnd(dependencies, routedRequest, call, result, callerGoneStatus, elapsedMs);
        return result;
    }
    if (result !== noRoomResult) {
        recordDownstreamOutcome(dependencies, routedRequest, call, result.outcome);
    }
    recordRoom(dependencies, routedRequest, call, result.outcome, elapsedMs);
    const status = sendOutcome(dependencies, routedRequest, result.outcome);
    recordRequestEnd(dependencies, routedRequest, call, result, status, elapsedMs);
    return result;
}

/**
 * Forwards a request until it ends, its caller disconnects, its caller's deadline passes or this process ends. At the deadline, and at
 * the end of the process, the request is cancelled; its actual outcome still counts if it arrives within
 * {@link lateResultWaitMs}. Returns "gone" if the caller disconnected.
 */
function forwardUntilDeadline(
    dependencies: RoutedEntryDependencies,
    { response, deadline }: RoutedRequest,
    call: RoutedCall,
): Promise<ForwardResult | "gone"> {
    const { clock, forwarder, stop } = dependencies;
    return new Promise(resolve => {
        const giveUp = (): void => {
            timer.stop();
            call.cancellation.cancel();
            timer = clock.startTimer(lateResultWaitMs, () => finish(timedOutResult));
        };
        let timer = clock.startTimer(Math.max(0, deadline - clock.readMonotonic()), giveUp);
        const finish = (result: ForwardResult | "gone"): void => {
            timer.stop();
            stop.ending.removeListener(giveUp);
            resolve(result);
        };
        stop.ending.listen(giveUp);
        response.once("close", () => {
            if (!response.writableFinished) {
                call.cancellation.cancel();
                finish("gone");
            }
        });
        void forwarder.forward(call).then(finish);
    });
}

/** Sends the final answer and returns its HTTP status. */
function sendOutcome(
    dependencies: RoutedEntryDependencies,
    routedRequest: RoutedRequest,
    outcome: ForwardOutcome,
): number {
    const { answer } = routedRequest;
    if (outcome.kind === "answer") {
        const length = ["Content-Length", String(outcome.body.length)];
        answer.send(outcome.status, [...outcome.headers, ...length], outcome.body);
        return outcome.status;
    }
    if (outcome.kind === "refused") {
        sendEmptyAnswer(answer, 503, computeRetryAfterMs(dependencies, routedRequest, outcome.retryAfterMs));
        return 503;
    }
    const status = outcome.cause === "timeout" || outcome.cause === "noAnswer" ? 504 : 502;
    sendEmptyAnswer(answer, status, undefined);
    return status;
}

/** Sends an answer of the node itself, with an empty body. */
function sendEmptyAnswer(answer: EntryAnswer, status: number, retryAfterMs: number | undefined): void {
    answer.send(status, {
        "Content-Length": "0",
        ...(retryAfterMs === undefined ? {} : { "Retry-After": (retryAfterMs / 1000).toFixed(3) }),
    });
}

function findCustomer(customers: CustomerTable, key: string | undefined): Customer | undefined {
    return key === undefined ? undefined : customers.findByKey(key);
}

/**
 * Refuses a request that comes without a known key. A call of a run that is not known here carries none: the node was
 * started again while the endpoint ran on, or the run was given up. That says nothing against the caller, so it is told
 * to come again.
 */
function refuseUnknownCaller(
    dependencies: RoutedEntryDependencies,
    answer: EntryAnswer,
    { attemptId, key }: RequestMetadata,
    fields: { readonly request: string; readonly route: string; readonly version: number; },
): void {
    const isCall = key === undefined && dependencies.dialect.findParentAttempt(attemptId ?? "") !== undefined;
    const [status, cause] = isCall ? [503, "unknownRun"] as const : [401, "unknownKey"] as const;
    sendEmptyAnswer(answer, status, isCall ? notReadyRetryMs : undefined);
    dependencies.metrics.recordRequestOutcome(fields.route, "refused", cause, 0);
    logRequest(dependencies, "refused", { ...fields, cause, status });
}

/** Creates the origin of a request. A call of a run inherits the route and priority of the outside request. */
function createOrigin(routedRequest: RoutedRequest): Origin {
    const { route, parent, customer } = routedRequest;
    if (parent !== undefined) {
        return { ...parent.origin, depth: parent.origin.depth + 1, servedBefore: parent.getServedCalls() };
    }
    return {
        route: route.name,
        priority: customer?.priority ?? route.priority,
        ...(customer?.priority === undefined ? {} : { routePriority: route.priority }),
        customer: customer?.name,
        isRepeated: false,
        depth: 0,
        servedBefore: 0,
        ...(routedRequest.hasReturned ? { hasReturned: true } : {}),
    };
}
