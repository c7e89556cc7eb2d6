/** Bodies of requests and of answers at the entry: what is read and kept of them, and what callers are told otherwise. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { freeBody } from "../process/base/ownedMemory.js";
import { smallBodyBytes } from "../process/load/bodyBudget.js";
import type { BodyError } from "./body.js";
import { BodyReading } from "./body.js";
import type { EntryAnswer } from "./entryAnswer.js";
import type { EntryRefusal, TakenRequest } from "./entryChecks.js";
import { createEmptyHeaders, overloadedRetryMs, recordRefusal } from "./entryRefusals.js";
import type { RoutedEntryDependencies, RoutedRequest } from "./entryRequest.js";

/** Longest time for which the body of a request that is refused by its head is read, in milliseconds. */
const maxRefusedBodyMs = 2000;

/** Answers to requests whose bodies were not read to their end, by what ended the reading. */
const unreadBodyAnswers = {
    tooLarge: { status: 413, cause: "bodyTooLarge" },
    noRoom: { status: 503, cause: "noMemory" },
    late: { status: 408, cause: "bodyLate" },
} as const satisfies Partial<Record<BodyError, unknown>>;

/**
 * Reads the body of a request whose head was checked. A request whose body isn't read to its end is refused, and the result is
 * `undefined`, as it is if the caller disconnects. The reader of the result releases its share.
 */
export async function readEntryBody(
    dependencies: RoutedEntryDependencies,
    request: IncomingMessage,
    answer: EntryAnswer,
    checked: TakenRequest | EntryRefusal,
): Promise<Pick<RoutedRequest, "body" | "bodyShare"> | undefined> {
    const { clock, bodies } = dependencies;
    const reading = new BodyReading(request, findMaxBodyBytes(dependencies, checked), bodies);
    const leftMs = checked.kind === "refused" ? maxRefusedBodyMs : checked.deadline - clock.readMonotonic();
    const timer = clock.startTimer(Math.max(0, leftMs), () => reading.fail("late"));
    const body = await reading.result;
    timer.stop();
    if (typeof body === "string") {
        await refuseUnreadBody(dependencies, answer, checked, body);
        return undefined;
    }
    return { body, bodyShare: reading.getShare() };
}

/**
 * Counts an answer until it has left, or its caller has; then its memory is given back. Where memory is short, the connection of the caller that has left most unread for
 * longest is closed; `false` if there is no room even so.
 */
export function keepAnswer({ bodies }: RoutedEntryDependencies, response: ServerResponse, body: Buffer): boolean {
    if (body.length === 0 || response.destroyed) {
        return true;
    }
    const share = bodies.open(() => response.req.socket.destroy());
    response.once("close", () => {
        share.release();
        freeBody(body);
    });
    return share.add(body.length);
}

/**
 * Largest body that is kept, in bytes: by the configuration in force, and by the memory of this process. Of a request that is refused
 * by its head, a small body is kept all the same, since a version that takes the request may come into force meanwhile.
 */
function findMaxBodyBytes(
    { configurationHolder, bodies }: RoutedEntryDependencies,
    checked: TakenRequest | EntryRefusal,
): number {
    const limit = configurationHolder.getTable()?.configuration.limits.maxBodyBytes ?? Infinity;
    return Math.min(limit, checked.kind === "refused" ? smallBodyBytes : bodies.getMaxBodyBytes());
}

/** Refuses a request whose body was not read to its end, and which has not run therefore. */
async function refuseUnreadBody(
    dependencies: RoutedEntryDependencies,
    answer: EntryAnswer,
    checked: TakenRequest | EntryRefusal,
    error: BodyError,
): Promise<void> {
    if (error === "cut") {
        return;
    }
    const refusal = checked.kind === "refused" ? checked : createBodyRefusal(dependencies, checked, error);
    recordRefusal(dependencies, refusal);
    await answer.sendUnread(refusal.status, createEmptyHeaders(refusal.retryAfterMs), dependencies.clock);
}

function createBodyRefusal(
    { random }: RoutedEntryDependencies,
    { attemptId, route, version, customer }: TakenRequest,
    error: keyof typeof unreadBodyAnswers,
): EntryRefusal {
    return {
        kind: "refused",
        ...unreadBodyAnswers[error],
        retryAfterMs: error === "noRoom" ? overloadedRetryMs * (0.75 + random() * 0.5) : undefined,
        route: route.name,
        fields: { request: attemptId, customer: customer?.name, version },
    };
}
