/** The outcome of one request, in the form that the layers of a node exchange. */
import type { HeaderList } from "./headers.js";

/** Why a request was refused or its outcome is unknown. The set is fixed, so the values can serve as metric labels. */
export const reasons = [
    "badRequest",
    "unknownCustomer",
    "unknownClass",
    "unknownService",
    "bodyTooLarge",
    /** The customer exceeded the request rate of its contract. */
    "allowance",
    "overloaded",
    "deadline",
    /** The instance is shutting down. */
    "leaving",
    "notReady",
    "quarantined",
    /** The action has no retries left. */
    "retryBound",
    "keyMismatch",
    "staleAttempt",
    /** No owner of the action's key is reachable. */
    "noOwner",
    /** The node asked does not own the action's key, for instance after a handover. */
    "moved",
    "connectionLost",
    "endpointFailed",
    "cancelled",
] as const;

/** One of {@link reasons}. */
export type Reason = (typeof reasons)[number];

/** Fields that every answer returns to the previous hop. */
interface AnswerBase {
    /** Retries of the budget passed on with the call that were not used. */
    readonly unspent: number;
    /** Priority below which the callee, or a service downstream of it, currently refuses this class of action. */
    readonly threshold: number;
}

/** The endpoint answered; `body` is complete. */
export interface CompletedAnswer extends AnswerBase {
    readonly outcome: "completed";
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Whether this is the recorded answer to an earlier send of the same action. */
    readonly isReplayed: boolean;
}

/**
 * This send did not run and cannot run any more. A caller receives this outcome only if the same is known of all earlier
 * sends of the action.
 */
export interface NotRunAnswer extends AnswerBase {
    readonly outcome: "notRun";
    readonly reason: Reason;
    /** Delay after which the caller may resend, in milliseconds; `undefined` if a resend cannot succeed. */
    readonly retryAfterMs: number | undefined;
}

/** The action may or may not have run. */
export interface UnknownAnswer extends AnswerBase {
    readonly outcome: "unknown";
    readonly reason: Reason;
    readonly retryAfterMs: number | undefined;
}

/** Final outcome of one request. */
export type Answer = CompletedAnswer | NotRunAnswer | UnknownAnswer;

/** Creates the answer to a request that was refused before it ran. */
export function createNotRunAnswer(
    reason: Reason,
    retryAfterMs: number | undefined,
    unspent: number,
    threshold = 0,
): NotRunAnswer {
    return { outcome: "notRun", reason, retryAfterMs, unspent, threshold };
}

/** Creates the answer to a request that may have run. The retry budget passed on with a lost call counts as used. */
export function createUnknownAnswer(reason: Reason, retryAfterMs: number | undefined, threshold = 0): UnknownAnswer {
    return { outcome: "unknown", reason, retryAfterMs, unspent: 0, threshold };
}

/** HTTP status of a request that did not run, for each reason. */
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
/** HTTP status of a request whose outcome is unknown, for all reasons. */
export const unknownStatus = 504;
