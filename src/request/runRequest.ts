/** A request to run at the endpoint of an instance, either the local one or one reached over a link. */
import type { BodyShare } from "../process/load/bodyBudget.js";
import type { Origin } from "../process/load/runsInProgress.js";
import type { HeaderList } from "./headers.js";

/** A request for an endpoint. Times are monotonic, in milliseconds. */
export interface RunRequest {
    readonly attemptId: string;
    readonly service: string;
    readonly route: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** What the body takes of the budget, if that is counted. Who uses the body for longer than the request lasts retains it. */
    readonly bodyShare?: BodyShare | undefined;
    readonly isIdempotent: boolean;
    /** Service of the request's entry node. For a call that a run makes, this is the calling service. */
    readonly callerService: string;
    /** Endpoint's process that the sender knows to leave; it must not run the request. */
    readonly leavingEndpoint: string | undefined;
    readonly origin: Origin;
    /** Usual time of a run of the route at the service's instances, as the sender has seen it, in milliseconds; 0 if unknown. */
    readonly usualRunMs: number;
    /** Time after which the answer is of no use to the caller. */
    readonly deadline: number;
    /** Time by which the answer meets the target latency of its route. */
    readonly target: number;
}

/** One send of a request to an instance, either the local one or one of another node. */
export interface PeerRunRequest extends RunRequest {
    /** Number of this send of the attempt, counted from 1. The attempt id and this number identify the send. */
    readonly sendNumber: number;
}
