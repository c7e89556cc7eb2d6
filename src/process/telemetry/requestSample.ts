/** What the metrics of a routed node count of one request. */

/** A request that has ended. */
export interface RequestSample {
    readonly route: string;
    readonly outcome: string;
    readonly cause: string;
    /** Time from the request's headers to its final answer. */
    readonly milliseconds: number;
}
