/** Outcome of one send of a request to an instance. */
import type { HeaderList } from "../../request/headers.js";
import type { DownstreamProblem } from "./runsInProgress.js";

/**
 * Why an instance's node refused a request before the endpoint ran it.
 *
 * - `full`: the estimated wait in its queue is too long.
 * - `late`: too little time is left before the deadline.
 * - `leaving`: the node or its endpoint is stopping.
 * - `away`: the instance's node could not be reached, or its endpoint refused a connection.
 * - `notKnown`: the endpoint has not reported its state yet.
 * - `wrongService`: the instance belongs to another service.
 * - `shed`: the endpoint itself answered that it did not run the request.
 * - `cancelled`: nobody waits for the answer any more.
 * - `quarantined`: the same request crashed endpoints before.
 */
export type RefusalCause =
    | "full"
    | "late"
    | "leaving"
    | "away"
    | "wrongService"
    | "shed"
    | "cancelled"
    | "quarantined"
    | "notKnown";

/**
 * Why it is unknown whether a request ran to its end.
 *
 * - `reset`, `closed`: the connection to the endpoint ended without an answer.
 * - `garbled`, `cutShort`: the answer could not be parsed, or ended early.
 * - `unsigned`: the answer does not carry the endpoint's signature header; the header's value is not checked.
 * - `noAnswer`: the run was aborted while it waited for the answer.
 * - `linkLost`: the link to the instance's node was lost.
 * - `noRoom`: there was no memory for the answer.
 */
export type FailureCause =
    | "reset"
    | "closed"
    | "garbled"
    | "cutShort"
    | "unsigned"
    | "noAnswer"
    | "linkLost"
    | "noRoom";

/** The endpoint answered; the answer is complete. */
export interface AnsweredRun {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Run time at the endpoint, in milliseconds. */
    readonly runMs: number;
    /** Time for which the request and its calls waited in queues, in milliseconds. */
    readonly waitedMs: number;
    /** What the calls of the run met downstream. */
    readonly behind: DownstreamProblem;
    /** Utilisation of the fullest downstream service; above 1, requests wait there. */
    readonly pressure: number;
    /** Number of the connection to the endpoint, counted from 1 in its node's process; `undefined` if an earlier build ran it. */
    readonly connection?: number | undefined;
}

/** The request was not run, and this send of it never will be. */
export interface RefusedRun {
    readonly kind: "refused";
    readonly cause: RefusalCause;
    /** Time until a concurrency slot is likely to be free, in milliseconds. */
    readonly retryAfterMs: number;
}

/** The request may have run. */
export interface FailedRun {
    readonly kind: "failed";
    readonly cause: FailureCause;
    /** Time from the start of the run until it was lost, in milliseconds; 0 when it isn't known. */
    readonly ranMs: number;
}

/** Outcome of a send. Only a refusal proves that the request has not run. */
export type RunOutcome = AnsweredRun | RefusedRun | FailedRun;
