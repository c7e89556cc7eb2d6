/** Serves requests of outside callers: checks them against the contracts and refuses excess load early. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createDisconnectSignal, sendAnswer, sendFailureOutcome } from "../connection/httpServer.js";
import type { Clock } from "../process/base/clock.js";
import type { CustomerRateLimiter } from "../process/customers/customerRateLimiter.js";
import type { Quarantine } from "../process/endpoint/quarantine.js";
import type { BodyBudget } from "../process/load/bodyBudget.js";
import type { LearnedThresholds } from "../process/load/learnedThresholds.js";
import { computeFirstSendBudget } from "../process/ownership/claim.js";
import type { Metrics } from "../process/telemetry/metrics.js";
import type { ContractState } from "../version/contractStream.js";
import type { Action } from "./action.js";
import { computeFingerprint, parseAction } from "./action.js";
import type { Answer, Reason } from "./answer.js";
import { createNotRunAnswer, createUnknownAnswer, reasonStatus } from "./answer.js";
import { readCountedBody } from "./body.js";
import type { Call } from "./call.js";
import type { Dispatcher } from "./dispatcher.js";
import { copyForwardedHeaders, headerNames } from "./headers.js";
import { RetryBudget } from "./retryBudget.js";

/** Retry-after delay for a request that was refused at its entry node, in milliseconds. */
const retryAfterMs = 500;

/** Dependencies of {@link serveCaller}. */
export interface EntryDependencies {
    readonly clock: Clock;
    readonly service: string;
    readonly maxBodyBytes: number;
    /** Memory for the bodies of requests. */
    readonly bodies: BodyBudget;
    readonly metrics: Metrics;
    readonly quarantine: Quarantine;
    /** Request rates that the contracts allow the customers. */
    readonly allowances: CustomerRateLimiter;
    /** Priority thresholds of the services downstream of this one. */
    readonly downstream: LearnedThresholds;
    /** Priority thresholds of this service, learned from the answers to requests that entered here. */
    readonly ownService: LearnedThresholds;
    readonly dispatcher: Dispatcher;
    /** Returns the contracts in force; `undefined` while they are not known or may be out of date. */
    readonly getContracts: () => Promise<ContractState | undefined>;
}

/** Serves one request of an outside caller. If the caller disconnects before the end of the body, nothing is sent. */
export async function serveCaller(
    dependencies: EntryDependencies,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const startedAt = dependencies.clock.readMonotonic();
    const arrivedAt = dependencies.clock.readDate();
    const body = await readCountedBody(request, response, dependencies);
    if (body === "cut") {
        return;
    }
    if (body === "noRoom") {
        response.setHeader("connection", "close");
        sendAnswer(response, createRefusal(isFirstSend(request), "overloaded", retryAfterMs));
        return;
    }
    if (body === "tooLarge") {
        response.setHeader("connection", "close");
        sendFailureOutcome(
            response,
            reasonStatus.bodyTooLarge,
            "not-run",
            "bodyTooLarge",
            undefined,
            `at most ${dependencies.maxBodyBytes} bytes`,
        );
        return;
    }
    const contracts = await dependencies.getContracts();
    if (contracts === undefined) {
        sendAnswer(response, createRefusal(isFirstSend(request), "notReady", retryAfterMs));
        return;
    }
    const parsed = parseAction(request.headers, contracts, arrivedAt);
    if (!parsed.ok) {
        const { reason, message } = parsed.error;
        sendFailureOutcome(response, reasonStatus[reason], "not-run", reason, undefined, message);
        return;
    }
    const action = parsed.value;
    const answer = findLoadRefusal(dependencies, action)
        ?? await dispatchRoot(
            dependencies,
            createRootCall(dependencies, action, request, body, startedAt, createDisconnectSignal(response)),
        );
    dependencies.metrics.recordRequestOutcome(action, answer, dependencies.clock.readMonotonic() - startedAt);
    sendAnswer(response, answer);
}

/** Whether a request whose action isn't parsed is a first send: only an explicit attempt number 1 marks one. */
function isFirstSend(request: IncomingMessage): boolean {
    return request.headers[headerNames.attempt] === "1";
}

/** Dispatches a call unless it is quarantined, and records the threshold that its answer reports. */
async function dispatchRoot(dependencies: EntryDependencies, call: Call): Promise<Answer> {
    if (dependencies.quarantine.isRefused(call.fingerprint)) {
        return createRefusal(call.context.attempt === 1, "quarantined", undefined);
    }
    const answer = await dependencies.dispatcher.dispatch(call);
    dependencies.ownService.record(call.context, answer);
    return answer;
}

function createRootCall(
    dependencies: EntryDependencies,
    action: Action,
    request: IncomingMessage,
    body: Buffer,
    startedAt: number,
    signal: AbortSignal,
): Call {
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const { bound } = action.contract.retries;
    // The first send of an idempotent action leaves a part of the retry bound to the owner of its key, for resends.
    const budget = action.isIdempotent && action.attempt === 1 ? computeFirstSendBudget(bound) : bound;
    return {
        context: action,
        service: dependencies.service,
        callClass: action.actionClass,
        isIdempotent: action.isIdempotent,
        isRoot: true,
        fingerprint: computeFingerprint(dependencies.service, method, path, body),
        method,
        path,
        headers: copyForwardedHeaders(request.rawHeaders),
        body,
        deadline: startedAt + action.deadlineMs,
        budget: new RetryBudget(budget),
        signal,
    };
}

/**
 * Sheds load before the request is dispatched and an endpoint spends work on it; most requests to an overloaded service
 * are refused here. Sends of non-idempotent actions that may be resends are left to the owner of the key.
 */
function findLoadRefusal(dependencies: EntryDependencies, action: Action): Answer | undefined {
    if (!action.isIdempotent && action.attempt !== 1) {
        return undefined;
    }
    const waitMs = dependencies.allowances.take(action.contract);
    if (waitMs > 0) {
        return createRefusal(action.attempt === 1, "allowance", waitMs);
    }
    if (!dependencies.downstream.admit(action) || !dependencies.ownService.admit(action)) {
        return createRefusal(action.attempt === 1, "overloaded", retryAfterMs);
    }
    return undefined;
}

/** Creates a refusal. Only for a first send is it known here that no other send has run. */
function createRefusal(isFirstSend: boolean, reason: Reason, waitMs: number | undefined): Answer {
    return isFirstSend ? createNotRunAnswer(reason, waitMs, 0) : createUnknownAnswer(reason, waitMs);
}
