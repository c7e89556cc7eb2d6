/** A request as it is handed to the endpoint of an instance, here or over a link. */
import type { Origin } from "../process/runsInProgress.js";
import type { HeaderList } from "./headers.js";

/** A request for an endpoint. Times are on the monotonic clock, in milliseconds. */
export interface RunRequest {
    readonly attemptId: string;
    readonly service: string;
    readonly route: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    readonly isIdempotent: boolean;
    /** Service of the instance where the request began. */
    readonly callerService: string;
    readonly origin: Origin;
    /** Time by which its answer has lost its worth to the caller. */
    readonly deadline: number;
    /** Time by which its answer has its full worth. */
    readonly target: number;
}

/** One send of a request to another node. */
export interface PeerRunRequest extends RunRequest {
    /** Counts the instances that this attempt was sent to; with the attempt it names one send. */
    readonly sendNumber: number;
}
