/**
 * A request that its entry node forwards to an instance of its service. `RoutedNode` uses it, which takes its routes
 * from the operator's configuration; the node with customers' contracts uses `call.ts`.
 */
import type { Cancellation } from "../process/base/cancellation.js";
import type { BodyShare } from "../process/load/bodyBudget.js";
import type { Origin } from "../process/load/runsInProgress.js";
import type { RouteContract } from "../version/configuration.js";
import type { HeaderList } from "./headers.js";

/** A request with its route and deadline. Times are monotonic, in milliseconds. */
export interface RoutedCall {
    readonly attemptId: string;
    readonly route: RouteContract;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** What the body takes of the budget, if that is counted. Who uses the body for longer than the request lasts retains it. */
    readonly bodyShare?: BodyShare | undefined;
    /**
     * Route and priority of the outside request that the call belongs to, whether the call is part of a retry, its
     * depth below that request, and the number of calls of the same run that were served before it.
     */
    readonly origin: Origin;
    /** Calls that the run which makes the call still has to get served, this one included; 1 for an outside request. */
    readonly callsLeft: number;
    readonly deadline: number;
    /** Time by which the answer meets the target latency of its route. */
    readonly target: number;
    /** Cancelled when nobody waits for the answer any more. */
    readonly cancellation: Cancellation;
}
