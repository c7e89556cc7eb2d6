/** Requests of callers and of the endpoint beside this node: finds the route, forwards, and answers in time. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Cancellation } from "../process/cancellation.js";
import type { Clock } from "../process/clock.js";
import type { EntryThrottle } from "../process/entryThrottle.js";
import type { Logger } from "../process/logger.js";
import type { RoutedMetrics } from "../process/routedMetrics.js";
import type { DownstreamProblem, Origin, RunInProgress, RunsInProgress } from "../process/runsInProgress.js";
import { overloadedWaitShare } from "../process/runsInProgress.js";
import type { WeightedRoundRobin } from "../process/weightedRoundRobin.js";
import type { RouteContract } from "../version/configuration.js";
import type { ConfigurationHolder } from "../version/configurationHolder.js";
import { readBody } from "./body.js";
import type { Dialect, RequestMetadata } from "./dialect.js";
import type { Forwarder, ForwardOutcome, ForwardResult } from "./forwarder.js";
import type { RoutedCall } from "./routedCall.js";

/** Time for the other nodes to say how a request ended that was given up at its deadline, in milliseconds. */
const lastWordMs = 40;
/** Retry advice while no configuration is known, in milliseconds. */
const notReadyRetryMs = 500;
/** Shortest retry advice, in milliseconds. */
const minRetryMs = 150;
/** Part of the time that is left to the caller up to which a retry may be advised. */
const maxRetryShare = 1 / 3;
/** Status that stands in logs for a caller that left; nothing is sent. */
const goneStatus = 499;
/** Retry advice for what is turned away for a crowded service behind, in milliseconds. */
const crowdedRetryMs = 900;

/** End of a request on which no word came in time. */
const endLate: ForwardResult = {
    outcome: { kind: "failed", cause: "timeout" },
    instance: undefined,
    sends: 0,
    runs: 0,
};

/** What the entry needs from the rest of the node. */
export interface RoutedEntryDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly metrics: RoutedMetrics;
    readonly dialect: Dialect;
    readonly configurationHolder: ConfigurationHolder;
    readonly serviceSelector: WeightedRoundRobin;
    readonly forwarder: Forwarder;
    /** Runs of the endpoint beside this node, whose calls enter here too. */
    readonly runs: RunsInProgress;
    readonly gate: EntryThrottle;
    /** Part of the places of a service that is taken, as far as it is known here. */
    readonly findUtilisation: (service: string) => number;
    readonly isStopping: () => boolean;
}

/** A request that was read and has a route. */
interface Entered {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly facts: RequestMetadata;
    readonly route: RouteContract;
    readonly version: number;
    readonly body: Buffer;
    readonly startedAt: number;
    /** The run that makes the call; `undefined` for a request of a caller. */
    readonly parent: RunInProgress | undefined;
}

/** Serves one request. */
export async function serveRoutedRequest(
    dependencies: RoutedEntryDependencies,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const startedAt = dependencies.clock.readMonotonic();
    if (dependencies.isStopping()) {
        response.setHeader("connection", "close");
    }
    const facts = dependencies.dialect.readRequest(request.rawHeaders);
    const maxBodyBytes = dependencies.configurationHolder.getTable()?.configuration.limits.maxBodyBytes ?? Infinity;
    const body = await readBody(request, maxBodyBytes);
    if (body === "cut") {
        return;
    }
    if (body === "tooLarge") {
        response.setHeader("connection", "close");
        sendOwn(response, 413, undefined);
        return;
    }
    const table = dependencies.configurationHolder.getTable();
    if (table === undefined) {
        sendOwn(response, 503, notReadyRetryMs);
        logEntry(dependencies, "refused", { request: facts.attemptId, cause: "noConfiguration", status: 503 });
        return;
    }
    const { version } = table.configuration;
    const route = table.find(request.headers.host ?? "", request.url ?? "/");
    if (route === undefined) {
        sendOwn(response, 404, undefined);
        logEntry(dependencies, "refused", { request: facts.attemptId, cause: "noRoute", version, status: 404 });
        return;
    }
    if (facts.attemptId === undefined) {
        sendOwn(response, 400, undefined);
        logEntry(dependencies, "refused", { cause: "noAttempt", version, status: 400 });
        return;
    }
    const parent = dependencies.runs.find(dependencies.dialect.findParentAttempt(facts.attemptId));
    const entered: Entered = { request, response, facts, route, version, body, startedAt, parent };
    if (parent === undefined && !dependencies.gate.admit(route.name)) {
        const refusal = { kind: "refused", cause: "crowdedBehind", retryAfterMs: crowdedRetryMs } as const;
        const status = sendOutcome(dependencies, response, entered, refusal);
        dependencies.metrics.recordRequestOutcome(route.name, "refused", refusal.cause, 0);
        const share = dependencies.gate.getAdmittedShare(route.name).toFixed(2);
        logEntry(dependencies, "refused", {
            request: facts.attemptId,
            route: route.name,
            cause: refusal.cause,
            share,
            status,
        });
        return;
    }
    await forwardEntered(dependencies, entered, facts.attemptId);
}

async function forwardEntered(
    dependencies: RoutedEntryDependencies,
    entered: Entered,
    attemptId: string,
): Promise<void> {
    const { request, response, route, startedAt, body } = entered;
    const waitMs = Math.min(entered.facts.deadlineMs ?? Infinity, route.timeoutMs);
    const call: RoutedCall = {
        attemptId,
        route,
        service: dependencies.serviceSelector.chooseService(route),
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: dependencies.dialect.copyRequestHeaders(request.rawHeaders),
        body,
        origin: createOrigin(entered),
        deadline: startedAt + waitMs,
        target: startedAt + route.targetLatencyMs,
        cancellation: new Cancellation(),
    };
    const result = await forwardInTime(dependencies, call, response);
    const elapsedMs = dependencies.clock.readMonotonic() - startedAt;
    if (result === "gone") {
        recordEnd(dependencies, entered, call, result, goneStatus, elapsedMs);
        return;
    }
    noteBehind(dependencies, entered, call, result.outcome);
    const status = sendOutcome(dependencies, response, entered, result.outcome);
    recordEnd(dependencies, entered, call, result, status, elapsedMs);
}

/**
 * Forwards a request until it ends, its caller leaves or its deadline is there. At the deadline it is given up, and the last word
 * of who has it counts, if it comes at once.
 */
function forwardInTime(
    dependencies: RoutedEntryDependencies,
    call: RoutedCall,
    response: ServerResponse,
): Promise<ForwardResult | "gone"> {
    const { clock, forwarder } = dependencies;
    return new Promise(resolve => {
        let timer = clock.startTimer(Math.max(0, call.deadline - clock.readMonotonic()), () => {
            call.cancellation.cancel();
            timer = clock.startTimer(lastWordMs, () => resolve(endLate));
        });
        response.once("close", () => {
            if (!response.writableFinished) {
                timer.stop();
                call.cancellation.cancel();
                resolve("gone");
            }
        });
        void forwarder.forward(call).then(result => {
            timer.stop();
            resolve(result);
        });
    });
}

/** Sends the final answer and returns its status. */
function sendOutcome(
    dependencies: RoutedEntryDependencies,
    response: ServerResponse,
    entered: Entered,
    outcome: ForwardOutcome,
): number {
    if (outcome.kind === "answer") {
        const length = ["Content-Length", String(outcome.body.length)];
        response.writeHead(outcome.status, [...outcome.headers, ...length]);
        response.end(outcome.body);
        return outcome.status;
    }
    if (outcome.kind === "refused") {
        sendOwn(response, 503, computeRetryMs(dependencies, entered, outcome.retryAfterMs));
        return 503;
    }
    const status = outcome.cause === "timeout" || outcome.cause === "noAnswer" ? 504 : 502;
    sendOwn(response, status, undefined);
    return status;
}

/** When to come back: once there is likely room, spread so that callers don't return together, and early enough to be served. */
function computeRetryMs(dependencies: RoutedEntryDependencies, entered: Entered, estimateMs: number): number {
    const spent = dependencies.clock.readMonotonic() - entered.startedAt;
    const leftMs = (entered.facts.deadlineMs ?? entered.route.timeoutMs) - spent;
    const spreadMs = Math.max(minRetryMs, estimateMs) * (0.75 + dependencies.random() * 0.75);
    return Math.max(50, Math.min(spreadMs, leftMs * maxRetryShare));
}

/** Sends an answer of the system itself. */
function sendOwn(response: ServerResponse, status: number, retryAfterMs: number | undefined): void {
    if (response.destroyed || response.headersSent) {
        return;
    }
    const headers: Record<string, string> = { "Content-Length": "0" };
    if (retryAfterMs !== undefined) {
        headers["Retry-After"] = (retryAfterMs / 1000).toFixed(3);
    }
    response.writeHead(status, headers);
    response.end();
}

/** A call takes the rank of the request that it goes back to. */
function createOrigin(entered: Entered): Origin {
    const { route, parent } = entered;
    return parent === undefined
        ? { route: route.name, priority: route.priority, isRepeated: false, depth: 0, servedBefore: 0 }
        : { ...parent.origin, depth: parent.origin.depth + 1, servedBefore: parent.getServedCalls() };
}

/** Tells the run that made the call, or the gate of the route, whether it met a service without room. */
function noteBehind(
    dependencies: RoutedEntryDependencies,
    entered: Entered,
    call: RoutedCall,
    outcome: ForwardOutcome,
): void {
    const { waitedMs, pressure } = outcome.kind === "answer" ? outcome : { waitedMs: 0, pressure: 0 };
    if (entered.parent !== undefined) {
        const known = Math.max(pressure, dependencies.findUtilisation(call.service));
        entered.parent.recordCall(describeBehind(outcome), waitedMs, known);
        return;
    }
    const isLate = waitedMs > (call.deadline - entered.startedAt) * overloadedWaitShare;
    const hasFailed = outcome.kind !== "answer" || outcome.status >= 500;
    const isLostToCrowd = outcome.kind === "answer" && hasFailed && outcome.behind === "crowd";
    const isCrowded = isLostToCrowd || (isLate && hasFailed);
    dependencies.gate.recordAnswer(
        call.route.name,
        { isOverloaded: isCrowded, utilisation: pressure },
        entered.startedAt,
    );
}

function describeBehind(outcome: ForwardOutcome): DownstreamProblem {
    switch (outcome.kind) {
        case "answer":
            return outcome.status < 500 ? "none" : outcome.behind === "crowd" ? "crowd" : "failure";
        case "refused":
            return outcome.cause === "full" || outcome.cause === "late" ? "crowd" : "failure";
        case "failed":
            return "failure";
    }
}

function recordEnd(
    dependencies: RoutedEntryDependencies,
    entered: Entered,
    call: RoutedCall,
    result: ForwardResult | "gone",
    status: number,
    elapsedMs: number,
): void {
    const outcome = result === "gone" ? { kind: "gone", cause: "callerGone" } as const : result.outcome;
    const { kind } = outcome;
    const cause = outcome.kind === "answer" ? undefined : outcome.cause;
    dependencies.metrics.recordRequestOutcome(call.route.name, kind, cause ?? "", elapsedMs);
    logEntry(dependencies, kind, {
        request: call.attemptId,
        route: call.route.name,
        service: call.service,
        version: entered.version,
        origin: call.origin.route,
        depth: call.origin.depth,
        ...describeWay(result),
        status,
        cause,
        ms: Math.round(elapsedMs),
        timeoutMs: Math.round(call.deadline - entered.startedAt),
    });
}

/** Fields of the log line that tell which instances a request met, and what its calls did. */
function describeWay(result: ForwardResult | "gone"): Record<string, string | number | undefined> {
    if (result === "gone") {
        return {};
    }
    const { outcome, instance, sends, runs } = result;
    const behind = outcome.kind === "answer" ? outcome.behind : undefined;
    const waitedMs = outcome.kind === "answer" ? Math.round(outcome.waitedMs) : undefined;
    return { instance, sends, runs, behind, waitedMs };
}

function logEntry(
    dependencies: RoutedEntryDependencies,
    outcome: string,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
): void {
    const isUsual = outcome === "answer" && (fields["status"] as number) < 500;
    dependencies.logger[isUsual ? "debug" : "info"]("requestEnded", { outcome, ...fields });
}
