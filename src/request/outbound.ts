/** Calls of the local endpoint to other services. They carry on the action of the run that they belong to. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createCloseSignal, sendAnswer, sendRefusal } from "../connection/httpServer.js";
import type { Clock } from "../process/clock.js";
import type { Directory } from "../process/directory.js";
import type { LearnedThresholds } from "../process/learnedThresholds.js";
import type { Metrics } from "../process/metrics.js";
import type { Run, RunTable } from "../process/runTable.js";
import type { ContractState } from "../version/contractStream.js";
import { findContract } from "../version/contractStream.js";
import { computeFingerprint, deriveCallKey, findHeader } from "./action.js";
import { reasonStatus } from "./answer.js";
import { readBody } from "./body.js";
import { RetryBudget } from "./budget.js";
import type { Call } from "./call.js";
import type { Dispatcher } from "./dispatcher.js";
import { copyPassingHeaders, headerNames } from "./headers.js";

/** What the outbound side needs from the rest of the node. */
export interface OutboundParts {
    readonly clock: Clock;
    readonly maxBodyBytes: number;
    readonly runs: RunTable;
    readonly directory: Directory;
    readonly downstream: LearnedThresholds;
    readonly metrics: Metrics;
    readonly dispatcher: Dispatcher;
    readonly getContracts: () => ContractState | undefined;
}

/** Serves one call of the local endpoint. */
export async function serveOutbound(
    parts: OutboundParts,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const closeSignal = createCloseSignal(response);
    const body = await readBody(request, parts.maxBodyBytes);
    if (body === "cut") {
        return;
    }
    if (body === "tooLarge") {
        response.setHeader("connection", "close");
        sendRefusal(response, reasonStatus.bodyTooLarge, "not-run", "bodyTooLarge", undefined);
        return;
    }
    const run = parts.runs.find(findHeader(request.headers, headerNames.run));
    if (run === undefined) {
        const message = `${headerNames.run} must name a run in progress`;
        sendRefusal(response, reasonStatus.badRequest, "not-run", "badRequest", undefined, message);
        return;
    }
    const service = findHeader(request.headers, headerNames.service);
    if (service === undefined || parts.directory.listCandidates(service).length === 0) {
        const message = `${headerNames.service} must name a service with announced instances`;
        sendRefusal(response, reasonStatus.unknownService, "not-run", "unknownService", undefined, message);
        return;
    }
    const callClass = findHeader(request.headers, headerNames.class) ?? run.context.actionClass;
    const isIdempotent = findIdempotence(parts.getContracts(), run.context.customer, callClass);
    if (isIdempotent === undefined) {
        sendRefusal(response, reasonStatus.unknownClass, "not-run", "unknownClass", undefined);
        return;
    }
    const call = createRunCall(run, { service, callClass, isIdempotent, body, request, closeSignal });
    const answer = await dispatchForRun(parts, run, call);
    sendAnswer(response, answer);
}

/** Sends the call with a part of the run's retry budget, and takes back what it did not use. */
async function dispatchForRun(parts: OutboundParts, run: Run, call: Call) {
    const lent = call.budget.getRemaining();
    run.startCall();
    const answer = await parts.dispatcher.dispatch(call);
    run.endCall();
    run.budget.takeBack(lent, answer.unspent);
    parts.downstream.record(call.context, answer);
    parts.metrics.recordOutbound(call.service, answer);
    return answer;
}

/** What the endpoint's request says of a call. */
interface CallRequest {
    readonly service: string;
    readonly callClass: string;
    readonly isIdempotent: boolean;
    readonly body: Buffer;
    readonly request: IncomingMessage;
    readonly closeSignal: AbortSignal;
}

function createRunCall(run: Run, details: CallRequest): Call {
    const { service, callClass, isIdempotent, body, request, closeSignal } = details;
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const step = findHeader(request.headers, headerNames.step) ?? "";
    return {
        context: {
            ...run.context,
            key: deriveCallKey(run.context.key, service, method, path, step),
            attempt: run.callAttempt,
        },
        service,
        callClass,
        isIdempotent,
        isRoot: false,
        fingerprint: computeFingerprint(service, method, path, body),
        method,
        path,
        headers: copyPassingHeaders(request.rawHeaders),
        body,
        deadline: run.deadline,
        budget: new RetryBudget(run.budget.lend()),
        signal: AbortSignal.any([closeSignal, run.signal]),
    };
}

function findIdempotence(
    contracts: ContractState | undefined,
    customer: string,
    className: string,
): boolean | undefined {
    const classes = contracts === undefined ? undefined : findContract(contracts, customer)?.classes;
    return classes !== undefined && Object.hasOwn(classes, className) ? classes[className]?.idempotent : undefined;
}
