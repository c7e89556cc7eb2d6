/** A request on its way from the node where it entered to an instance. */
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
    /** Aborts when nobody waits for the answer any more. */
    readonly signal: AbortSignal;
}
