/** Serves calls of the local endpoint to other services. Each call continues the action of the run that makes it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createDisconnectSignal, sendAnswer, sendFailureOutcome } from "../connection/httpServer.js";
import type { Clock } from "../process/base/clock.js";
import type { Run, RunTable } from "../process/endpoint/runTable.js";
import type { BodyBudget } from "../process/load/bodyBudget.js";
import type { LearnedThresholds } from "../process/load/learnedThresholds.js";
import type { Directory } from "../process/membership/directory.js";
import type { Metrics } from "../process/telemetry/metrics.js";
import type { ContractState } from "../version/contractStream.js";
import { findContract } from "../version/contractStream.js";
import { computeFingerprint, deriveCallKey, findSingleHeader } from "./action.js";
import { reasonStatus } from "./answer.js";
import { readCountedBody } from "./body.js";
import type { Call } from "./call.js";
import type { Dispatcher } from "./dispatcher.js";
import { copyForwardedHeaders, headerNames } from "./headers.js";
import { RetryBudget } from "./retryBudget.js";

/** Retry-after delay of a call whose body found no room, in milliseconds. */
const noRoomRetryMs = 500;

/** Dependencies of {@link serveOutboundCall}. */
export interface OutboundDependencies {
    readonly clock: Clock;
    readonly maxBodyBytes: number;
    /** Memory for the bodies of requests. */
    readonly bodies: BodyBudget;
    readonly runs: RunTable;
    readonly directory: Directory;
    /** Priority thresholds of the called services, learned from their answers. */
    readonly downstream: LearnedThresholds;
    readonly metrics: Metrics;
    readonly dispatcher: Dispatcher;
    readonly getContracts: () => ContractState | undefined;
}

/** Serves one call of the local endpoint. It is refused unless it names a run in progress and a known service. */
export async function serveOutboundCall(
    dependencies: OutboundDependencies,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const disconnectSignal = createDisconnectSignal(response);
    const body = await readCountedBody(request, response, dependencies);
    if (body === "cut") {
        return;
    }
    if (body === "tooLarge") {
        response.setHeader("connection", "close");
        sendFailureOutcome(response, reasonStatus.bodyTooLarge, "not-run", "bodyTooLarge", undefined);
        return;
    }
    if (body === "noRoom") {
        response.setHeader("connection", "close");
        sendFailureOutcome(response, reasonStatus.overloaded, "not-run", "overloaded", noRoomRetryMs);
        return;
    }
    const run = dependencies.runs.find(findSingleHeader(request.headers, headerNames.run));
    if (run === undefined) {
        const message = `${headerNames.run} must name a run in progress`;
        sendFailureOutcome(response, reasonStatus.badRequest, "not-run", "badRequest", undefined, message);
        return;
    }
    const service = findSingleHeader(request.headers, headerNames.service);
    if (service === undefined || dependencies.directory.listCandidates(service).length === 0) {
        const message = `${headerNames.service} must name a service with announced instances`;
        sendFailureOutcome(response, reasonStatus.unknownService, "not-run", "unknownService", undefined, message);
        return;
    }
    const callClass = findSingleHeader(request.headers, headerNames.class) ?? run.context.actionClass;
    const isIdempotent = findIdempotence(dependencies.getContracts(), run.context.customer, callClass);
    if (isIdempotent === undefined) {
        sendFailureOutcome(response, reasonStatus.unknownClass, "not-run", "unknownClass", undefined);
        return;
    }
    const call = createRunCall(run, {
        service,
        callClass,
        isIdempotent,
        body,
        request,
        disconnectSignal,
    });
    const answer = await dispatchForRun(dependencies, run, call);
    sendAnswer(response, answer);
}

/** Dispatches a call with a part of the run's retry budget, and restores the part that it did not use. */
async function dispatchForRun(dependencies: OutboundDependencies, run: Run, call: Call) {
    const callBudget = call.budget.getRemaining();
    run.startCall();
    const answer = await dependencies.dispatcher.dispatch(call);
    run.endCall();
    run.budget.restoreUnspent(callBudget, answer.unspent);
    dependencies.downstream.record(call.context, answer);
    dependencies.metrics.recordOutboundOutcome(call.service, answer);
    return answer;
}

/** The endpoint's request for a call, with what was read from it. */
interface CallDetails {
    readonly service: string;
    readonly callClass: string;
    readonly isIdempotent: boolean;
    readonly body: Buffer;
    readonly request: IncomingMessage;
    readonly disconnectSignal: AbortSignal;
}

function createRunCall(run: Run, details: CallDetails): Call {
    const { service, callClass, isIdempotent, body, request, disconnectSignal } = details;
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const step = findSingleHeader(request.headers, headerNames.step) ?? "";
    return {
        context: {
            ...run.context,
            key: deriveCallKey(run.context.key, service, method, path, step),
            // 1 unless an earlier run of the action may already have made this call.
            attempt: run.firstCallAttempt,
        },
        service,
        callClass,
        isIdempotent,
        isRoot: false,
        fingerprint: computeFingerprint(service, method, path, body),
        method,
        path,
        headers: copyForwardedHeaders(request.rawHeaders),
        body,
        deadline: run.deadline,
        budget: new RetryBudget(run.budget.takeHalf()),
        signal: AbortSignal.any([disconnectSignal, run.signal]),
    };
}

/**
 * Finds whether a class is idempotent; `undefined` if the contracts are not known, the customer has no contract, or the
 * contract has no such class.
 */
function findIdempotence(
    contracts: ContractState | undefined,
    customer: string,
    className: string,
): boolean | undefined {
    const classes = contracts === undefined ? undefined : findContract(contracts, customer)?.classes;
    return classes !== undefined && Object.hasOwn(classes, className) ? classes[className]?.idempotent : undefined;
}
