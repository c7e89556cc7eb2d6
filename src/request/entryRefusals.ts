/** Answers of the entry itself, which have no body, and the record of requests that it refuses. */
import type { EntryAnswer } from "./entryAnswer.js";
import type { EntryRefusal } from "./entryChecks.js";
import { logRequest } from "./entryRecords.js";
import type { RoutedEntryDependencies } from "./entryRequest.js";

/** Retry-after delay for requests that are refused because a service or this process has too much to do, in milliseconds. */
export const overloadedRetryMs = 900;

/** Sends a refusal and records it. */
export function sendRefusal(dependencies: RoutedEntryDependencies, answer: EntryAnswer, refusal: EntryRefusal): void {
    sendEmptyAnswer(answer, refusal.status, refusal.retryAfterMs);
    recordRefusal(dependencies, refusal);
}

/** Counts and logs a refusal. */
export function recordRefusal(
    dependencies: RoutedEntryDependencies,
    { route, cause, status, fields }: EntryRefusal,
): void {
    if (route !== undefined) {
        dependencies.metrics.recordRequestOutcome(route, "refused", cause, 0);
    }
    logRequest(dependencies, "refused", { ...fields, route, cause, status });
}

/** Sends an answer of the node itself, with an empty body. */
export function sendEmptyAnswer(answer: EntryAnswer, status: number, retryAfterMs: number | undefined): void {
    answer.send(status, createEmptyHeaders(retryAfterMs));
}

/** Headers of an answer of the node itself, with an empty body. */
export function createEmptyHeaders(retryAfterMs: number | undefined): Readonly<Record<string, string>> {
    return {
        "Content-Length": "0",
        ...(retryAfterMs === undefined ? {} : { "Retry-After": (retryAfterMs / 1000).toFixed(3) }),
    };
}
