/** A request on its way from the node where it entered to an instance. */
import type { Cancellation } from "../process/cancellation.js";
import type { Origin } from "../process/runsInProgress.js";
import type { RouteContract } from "../version/configuration.js";
import type { HeaderList } from "./headers.js";

/** A request on its way. Times are on the monotonic clock. */
export interface RoutedCall {
    readonly attemptId: string;
    readonly route: RouteContract;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    readonly origin: Origin;
    readonly deadline: number;
    readonly target: number;
    /** Says when nobody waits for the answer any more. */
    readonly cancellation: Cancellation;
}
