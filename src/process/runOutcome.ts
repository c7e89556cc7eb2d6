/** How one send of a request to an instance ended. */
import type { HeaderList } from "../request/headers.js";
import type { DownstreamProblem } from "./runsInProgress.js";

/** Why the node beside an endpoint turned a request away before the endpoint ran it. */
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

/** Why it isn't known whether a request ran to its end. */
export type FailureCause = "reset" | "closed" | "garbled" | "cutShort" | "unsigned" | "noAnswer" | "linkLost";

/** The endpoint's whole answer. */
export interface AnsweredRun {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Time at the endpoint, in milliseconds. */
    readonly runMs: number;
    /** Time for which it and its calls waited for places, in milliseconds. */
    readonly waitedMs: number;
    /** What the calls of the run met. */
    readonly behind: DownstreamProblem;
    /** Part of the places that is taken at the fullest service behind; above 1 requests wait there. */
    readonly pressure: number;
}

/** The request was not run and never will be by this send. */
export interface RefusedRun {
    readonly kind: "refused";
    readonly cause: RefusalCause;
    /** When a free place is likely, in milliseconds. */
    readonly retryAfterMs: number;
}

/** The request may have run. */
export interface FailedRun {
    readonly kind: "failed";
    readonly cause: FailureCause;
    /** Time until it was lost, in milliseconds. */
    readonly ranMs: number;
}

/** Outcome of a send. Only a refusal proves that the request has not run. */
export type RunOutcome = AnsweredRun | RefusedRun | FailedRun;
