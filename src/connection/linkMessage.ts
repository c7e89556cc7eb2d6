/**
 * Messages on links between nodes. They carry requests to the node whose local endpoint runs them, the outcomes, load
 * and crash reports, the configuration and instance records. Times are durations in milliseconds, so that the clocks of the
 * two machines don't need to be synchronised. `linkCodec.ts` has their form on the wire.
 */
import type { AskUnitsMessage, GrantUnitsMessage } from "../process/customers/unitMessages.js";
import type { SuspectItem } from "../process/endpoint/suspectItem.js";
import type { BodyShare } from "../process/load/bodyBudget.js";
import type { AnsweredRun, FailedRun, RefusedRun } from "../process/load/runOutcome.js";
import type { Origin } from "../process/load/runsInProgress.js";
import type { HeaderList } from "../request/headers.js";

/** Load of a node's local endpoint, sent with the outcome of every request. */
export interface LoadReport {
    /** Number of requests running at the endpoint. */
    readonly running: number;
    /** Number of requests queued in the node. */
    readonly waiting: number;
    /** Concurrency limit of the endpoint; 0 while it accepts no requests. */
    readonly limit: number;
    /** Fraction of the recent runs that failed, from 0 to 1. */
    readonly failureShare: number;
    /** Whether the node is stable: neither just restarted nor about to stop. */
    readonly isSettled: boolean;
    /** Fraction of the recent requests that the endpoint turned away though it had room, from 0 to 1. */
    readonly shedShare: number;
    /** Recent average time of a run at the endpoint over the usual one of its route; 0 when there was none. */
    readonly slowness: number;
}

/** Asks a node for a run, which is one execution of a request at the node's local endpoint. */
export interface RunMessage {
    readonly kind: "run";
    /** Identifier of the request on this link. */
    readonly id: number;
    readonly attemptId: string;
    /** Number of instances that this attempt was sent to so far; together with `attemptId` it identifies one send. */
    readonly sendNumber: number;
    /** Whether the same send was in flight on an earlier link that was lost. */
    readonly isResent: boolean;
    readonly service: string;
    readonly route: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** What a received message takes of the budget for bodies, if it was counted on its way; not sent. */
    readonly bodyShare?: BodyShare | undefined;
    readonly isIdempotent: boolean;
    /** Request of a caller to which this run and all calls made by it belong. */
    readonly origin: Origin;
    /** Time left until the deadline, in milliseconds. */
    readonly timeLeftMs: number;
    /** Time left until the latency target, in milliseconds. */
    readonly targetLeftMs: number;
    /** Service of the instance whose node sends the request. */
    readonly callerService: string;
    /** Endpoint's process at the receiver that the sender knows to leave; it must not run the request. */
    readonly leavingEndpoint: string | undefined;
    /** Usual time of a run of the route, in milliseconds; `undefined` if an earlier build sent it. */
    readonly usualRunMs: number | undefined;
}

/** What a node has of the keyed log. */
export interface LogPosition {
    /** Version of the configuration that the node uses. */
    readonly version: number;
    /** Highest era of the log that the node has heard of; -1 before the first. */
    readonly era: number;
    /** Whether the node follows the log itself, and its last read succeeded. */
    readonly isFollowing: boolean;
}

/** Fields that every message with the outcome of a request carries besides that outcome. */
interface OutcomeFields {
    readonly id: number;
    readonly load: LoadReport;
}

/** Outcome of a request that the endpoint answered. */
export type AnswerMessage = AnsweredRun & OutcomeFields;
/** Outcome of a request that was not run. */
export type RefusedMessage = RefusedRun & OutcomeFields;
/** Outcome of a request that may have run. */
export type FailedMessage = FailedRun & OutcomeFields;

/** A message in either direction. */
export type LinkMessage =
    | RunMessage
    | AnswerMessage
    | RefusedMessage
    | FailedMessage
    | { readonly kind: "cancel"; readonly id: number; }
    | {
        readonly kind: "hello";
        readonly address: string;
        /**
         * Start time of the node process, which identifies it. A restarted process knows nothing of earlier requests.
         */
        readonly incarnation: number;
        /** Version of the configuration that the node uses. */
        readonly version: number;
        /** Record of the sender's instance, as JSON. */
        readonly record: string;
        /**
         * Number of requests that the sender suspects of crashing endpoints of its service; `undefined` if it doesn't know yet,
         * or is of an earlier build. Whoever states it answers when asked for them.
         */
        readonly suspectCount: number | undefined;
    }
    | { readonly kind: "ping"; } & LogPosition
    | { readonly kind: "pong"; readonly load: LoadReport; } & LogPosition
    /** Sent at once when the state of the endpoint changes or the node is about to stop. */
    | { readonly kind: "load"; readonly load: LoadReport; }
    /** Asks for what is sent in a message of that kind; for suspects only where a hello message stated their number. */
    | { readonly kind: "ask"; readonly topic: "configuration" | "instances" | "suspects"; }
    | { readonly kind: "configuration"; readonly text: string; }
    | { readonly kind: "instances"; readonly records: readonly string[]; }
    /** Reports a crash of the sender's endpoint: the fingerprints of the requests lost in it, and its identifier. */
    | { readonly kind: "crashes"; readonly fingerprints: readonly string[]; readonly incident: string; }
    /** Requests that the sender suspects of crashing endpoints, as it was asked. */
    | { readonly kind: "suspects"; readonly items: readonly SuspectItem[]; }
    | AskUnitsMessage
    | GrantUnitsMessage;
