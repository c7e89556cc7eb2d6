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

    /** Wraps a handler so that its requests are counted. */
    track(handler: RequestHandler): RequestHandler {
        return async (request, response, turn) => {
            this.requests += 1;
            try {
                await handler(request, response, turn);
            }
            finally {
                this.requests -= 1;
            }
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
