/** Records how requests ended at their entry: for the runs that made them, the throttle, the metrics and the log. */
import type { DownstreamProblem } from "../process/load/runsInProgress.js";
import { overloadedWaitShare } from "../process/load/runsInProgress.js";
import type { RoutedEntryDependencies, RoutedRequest } from "./entryRequest.js";
import type { ForwardOutcome, ForwardResult } from "./forwarder.js";
import type { RoutedCall } from "./routedCall.js";

/** Reports to the run that made the call, or to the entry throttle, whether a downstream service was overloaded. */
export function recordDownstreamOutcome(
    dependencies: RoutedEntryDependencies,
    routedRequest: RoutedRequest,
    call: RoutedCall,
    outcome: ForwardOutcome,
): void {
    const { waitedMs, pressure: utilisation } = outcome.kind === "answer" ? outcome : { waitedMs: 0, pressure: 0 };
    if (routedRequest.parent !== undefined) {
        const knownUtilisation = Math.max(utilisation, dependencies.findUtilisation(call.service));
        routedRequest.parent.recordCall(describeDownstreamProblem(outcome), waitedMs, knownUtilisation);
        return;
    }
    // Only an error answer can count as overload: for a refusal or a failure, `waitedMs` is 0.
    const hasWaitedLong = waitedMs > (call.deadline - routedRequest.startedAt) * overloadedWaitShare;
    const hasFailed = outcome.kind !== "answer" || outcome.status >= 500;
    const isDownstreamOverload = outcome.kind === "answer" && hasFailed && outcome.behind === "crowd";
    const isOverloaded = isDownstreamOverload || (hasWaitedLong && hasFailed);
    dependencies.entryThrottle.recordAnswer(
        call.route.name,
        call.route.priority,
        { isOverloaded, utilisation },
        routedRequest.startedAt,
    );
}

/** Describes the problem that a call met: "crowd" means that the called service or one downstream was overloaded. */
export function describeDownstreamProblem(outcome: ForwardOutcome): DownstreamProblem {
    switch (outcome.kind) {
        case "answer":
            return outcome.status < 500 ? "none" : outcome.behind === "crowd" ? "crowd" : "failure";
        case "refused":
            return outcome.cause === "full" || outcome.cause === "late" ? "crowd" : "failure";
        case "failed":
            return "failure";
    }
}

export function recordRequestEnd(
    dependencies: RoutedEntryDependencies,
    routedRequest: RoutedRequest,
    call: RoutedCall,
    result: ForwardResult | "gone",
    status: number,
    elapsedMs: number,
): void {
    const outcome = result === "gone" ? { kind: "gone", cause: "callerGone" } as const : result.outcome;
    const { kind } = outcome;
    const cause = outcome.kind === "answer" ? undefined : outcome.cause;
    dependencies.metrics.recordRequestOutcome(call.route.name, kind, cause ?? "", elapsedMs);
    logRequest(dependencies, kind, {
        request: call.attemptId,
        route: call.route.name,
        service: call.service,
        version: routedRequest.version,
        customer: call.origin.customer,
        origin: call.origin.route,
        depth: call.origin.depth,
        ...describeSends(result),
        ...describeSource(dependencies, result),
        status,
        cause,
        returned: routedRequest.hasReturned ? true : undefined,
        ms: Math.round(elapsedMs),
        timeoutMs: Math.round(call.deadline - routedRequest.startedAt),
        callsLeft: call.origin.depth === 0 ? undefined : Math.round(call.callsLeft),
    });
}

/** Creates the log fields on the sends of a request and on its downstream calls. */
export function describeSends(result: ForwardResult | "gone"): Record<string, string | number | undefined> {
    if (result === "gone") {
        return {};
    }
    const { outcome, instance, sends, runs } = result;
    const behind = outcome.kind === "answer" ? outcome.behind : undefined;
    const waitedMs = outcome.kind === "answer" ? Math.round(outcome.waitedMs) : undefined;
    return { instance, sends, runs, behind, waitedMs };
}

/** Creates the log fields on where an answer came from: the instance, the send and connection that it answers, and its signature. */
function describeSource(
    { dialect }: RoutedEntryDependencies,
    result: ForwardResult | "gone",
): Record<string, string | number | undefined> {
    if (result === "gone" || result.source === undefined || result.outcome.kind !== "answer") {
        return {};
    }
    const { instance: answeredBy, sendNumber: send, connection } = result.source;
    return { answeredBy, send, connection, signature: dialect.findSignature(result.outcome.headers) };
}

/** Logs the end of a request. A success is of interest to few, unless it took more than one send. */
export function logRequest(
    dependencies: RoutedEntryDependencies,
    outcome: string,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
): void {
    const isSuccess = outcome === "answer" && (fields["status"] as number) < 500;
    const hasFurtherSends = (fields["sends"] as number | undefined ?? 0) > 1;
    dependencies.logger[isSuccess && !hasFurtherSends ? "debug" : "info"]("requestEnded", { outcome, ...fields });
}
