/** What becomes of one request, as the layers of a node hand it to each other. */
import type { HeaderList } from "./headers.js";

/** Why a request was refused or its outcome is unknown. The set is closed, so it may label metrics. */
export const reasons = [
    "badRequest",
    "unknownCustomer",
    "unknownClass",
    "unknownService",
    "bodyTooLarge",
    "allowance",
    "overloaded",
    "deadline",
    "leaving",
    "notReady",
    "quarantined",
    "retryBound",
    "keyMismatch",
    "staleAttempt",
    "noOwner",
    "moved",
    "connectionLost",
    "endpointFailed",
    "cancelled",
] as const;

/** One of {@link reasons}. */
export type Reason = (typeof reasons)[number];

/** What every answer carries back to the hop before. */
interface AnswerBase {
    /** Retries that were lent to this call and not used. */
    readonly unspent: number;
    /** Priority below which the callee, or a service behind it, now refuses this class of action. */
    readonly threshold: number;
}

/** The endpoint answered; `body` is the whole of its answer. */
export interface CompletedAnswer extends AnswerBase {
    readonly outcome: "completed";
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Whether the answer was recorded by an earlier send of the same action. */
    readonly isReplayed: boolean;
}

/** No attempt of the action ran because of this send, and none of it can still run. */
export interface NotRunAnswer extends AnswerBase {
    readonly outcome: "notRun";
    readonly reason: Reason;
    /** When a re-send makes sense, in milliseconds; `undefined` when it never does. */
    readonly retryAfterMs: number | undefined;
}

/** The action may have run. */
export interface UnknownAnswer extends AnswerBase {
    readonly outcome: "unknown";
    readonly reason: Reason;
    readonly retryAfterMs: number | undefined;
}

/** Final outcome of one request. */
export type Answer = CompletedAnswer | NotRunAnswer | UnknownAnswer;

/** Creates the answer to a request that was refused before anything ran. */
export function createNotRunAnswer(
    reason: Reason,
    retryAfterMs: number | undefined,
    unspent: number,
    threshold = 0,
): NotRunAnswer {
    return { outcome: "notRun", reason, retryAfterMs, unspent, threshold };
}

/** Creates the answer to a request that may have run. Retries lent to a call that was lost count as used. */
export function createUnknownAnswer(reason: Reason, retryAfterMs: number | undefined, threshold = 0): UnknownAnswer {
    return { outcome: "unknown", reason, retryAfterMs, unspent: 0, threshold };
}

/** HTTP status of each reason when it is told to a caller. */
export const reasonStatus: Readonly<Record<Reason, number>> = {
    badRequest: 400,
    unknownCustomer: 403,
    unknownClass: 403,
    unknownService: 404,
    bodyTooLarge: 413,
    allowance: 429,
    overloaded: 503,
    deadline: 503,
    leaving: 503,
    notReady: 503,
    quarantined: 403,
    retryBound: 429,
    keyMismatch: 422,
    staleAttempt: 409,
    noOwner: 503,
    moved: 503,
    connectionLost: 502,
    endpointFailed: 502,
    cancelled: 499,
};
/** HTTP status of an unknown outcome. */
export const unknownStatus = 504;
