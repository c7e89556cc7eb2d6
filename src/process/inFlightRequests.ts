/** Counts the requests in progress on a node's listeners, so that a graceful stop can wait for them. */
import type { RequestHandler } from "../connection/httpServer.js";
import type { Clock } from "./clock.js";

/** Time between looks at what is still in progress, in milliseconds. */
const drainIntervalMs = 50;

/** Requests in progress. */
export class InFlightRequests {
    private requests = 0;

    constructor(private readonly clock: Clock) {}

    /** Number of requests in progress. */
    getCount(): number {
        return this.requests;
    }

    /** Makes a handler count its requests. */
    track(handler: RequestHandler): RequestHandler {
        return async (request, response) => {
            this.requests += 1;
            try {
                await handler(request, response);
            }
            finally {
                this.requests -= 1;
            }
        };
    }

    /** Waits until nothing is in progress. False when the time is over first. */
    async drain(timeoutMs: number): Promise<boolean> {
        const giveUpAt = this.clock.readMonotonic() + timeoutMs;
        while (this.requests > 0 && this.clock.readMonotonic() < giveUpAt) {
            await this.clock.sleep(drainIntervalMs);
        }
        return this.requests === 0;
    }
}
