/** Serves requests of callers and of the local endpoint: finds the route, forwards, and answers by the deadline. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { PipelineTurn } from "../connection/requestPipeline.js";
import { Cancellation } from "../process/base/cancellation.js";
import type { SpentUnit } from "../process/customers/unitHolder.js";
import type { Origin } from "../process/load/runsInProgress.js";
import { findBodyLength } from "./body.js";
import { EntryAnswer } from "./entryAnswer.js";
import { keepAnswer, readEntryBody } from "./entryBodies.js";
import { checkRequest } from "./entryChecks.js";
import { logRequest, recordDownstreamOutcome, recordRequestEnd } from "./entryRecords.js";
import { overloadedRetryMs, sendEmptyAnswer, sendRefusal } from "./entryRefusals.js";
import type { RoutedEntryDependencies, RoutedRequest } from "./entryRequest.js";
import { computeRetryAfterMs, hasNoRoom, recordRoom, takeReturn } from "./entryReturns.js";
import type { ForwardOutcome, ForwardResult } from "./forwarder.js";
import { createUnsentResult } from "./forwarder.js";
import type { RoutedCall } from "./routedCall.js";

/**
 * Time after the deadline in which the outcome of the cancelled request may still arrive from the instance's node, in
 * milliseconds.
 */
const lateResultWaitMs = 40;
/** Status that is logged when the caller disconnects; no answer is sent. */
const callerGoneStatus = 499;
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
 * Serves one request and logs its outcome. Nothing is sent or logged if the caller disconnects while it sends the body, or if the
 * connection closes before the request's turn has come.
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
    if (findBodyLength(request) === 0) {
        await serveRead(dependencies, { request, response, turn, answer, metadata, startedAt, ...noBody });
        return;
    }
    const checked = checkRequest(dependencies, request, metadata, startedAt);
    const read = await readEntryBody(dependencies, request, answer, checked);
    if (read === undefined) {
        return;
    }
    try {
        await serveRead(dependencies, { request, response, turn, answer, metadata, startedAt, ...read });
    }
    finally {
        read.bodyShare?.release();
    }
}

/** A request whose body was read. */
type ReadRequest =
    & Pick<RoutedRequest, "request" | "response" | "answer" | "metadata" | "startedAt" | "body" | "bodyShare">
    & { readonly turn: PipelineTurn; };

const noBody = { body: Buffer.alloc(0), bodyShare: undefined } as const;

/** Serves a request whose body was read. */
async function serveRead(dependencies: RoutedEntryDependencies, read: ReadRequest): Promise<void> {
    const { request, answer, metadata, startedAt, turn } = read;
    if (!turn.isNext() && isAtMostOnce(dependencies, request) && !await turn.waitUntilNext()) {
        return;
    }
    // Another version may have come into force, or the stop may have begun, while the body was read.
    const checked = checkRequest(dependencies, request, metadata, startedAt);
    if (checked.kind === "refused") {
        sendRefusal(dependencies, answer, checked);
        return;
    }
    const { attemptId, ...taken } = checked;
    const returned = taken.parent === undefined
        ? takeReturn(dependencies, request, metadata, taken.customer, startedAt)
        : undefined;
    const routedRequest: RoutedRequest = {
        ...read,
        ...taken,
        target: returned?.target ?? startedAt + taken.route.targetLatencyMs,
        hasReturned: returned?.isDue === true,
    };
    if (taken.parent !== undefined) {
        await forwardRequest(dependencies, routedRequest, attemptId);
        return;
    }
    if (!routedRequest.hasReturned && !dependencies.entryThrottle.admit(taken.route.name)) {
        refuseAtEntry(dependencies, routedRequest);
        return;
    }
    await forwardWithinQuota(dependencies, routedRequest, attemptId);
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
        bodyShare: routedRequest.bodyShare,
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
    const { answer, response } = routedRequest;
    if (outcome.kind === "answer") {
        if (!keepAnswer(dependencies, response, outcome.body)) {
            sendEmptyAnswer(answer, 502, undefined);
            return 502;
        }
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
