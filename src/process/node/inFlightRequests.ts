/** Counts the requests in progress on a node's listeners, so that a graceful stop can wait for them. */
import type { RequestHandler } from "../../connection/httpServer.js";
import type { Clock } from "../base/clock.js";

/** Interval at which a drain checks whether requests are in progress, in milliseconds. */
const drainPollMs = 50;

/** Counts the requests in progress on a node's listeners. */
export class InFlightRequests {
    private requests = 0;

    constructor(private readonly clock: Clock) {}

    /** Number of requests in progress. */
    getCount(): number {
        return this.requests;
    }

    /**
     * Wraps a handler so that its requests are counted, until their answers have left the process or their callers have: what
     * a caller has still to read is lost with the process.
     */
    track(handler: RequestHandler): RequestHandler {
        return (request, response, turn) => {
            this.requests += 1;
            response.once("close", () => this.requests -= 1);
            return handler(request, response, turn);
        };
    }

    /** Waits until no request is in progress. `false` when the timeout (milliseconds) is over first. */
    async drain(timeoutMs: number): Promise<boolean> {
        const deadline = this.clock.readMonotonic() + timeoutMs;
        while (this.requests > 0 && this.clock.readMonotonic() < deadline) {
            await this.clock.sleep(drainPollMs);
        }
        return this.requests === 0;
    }
}
