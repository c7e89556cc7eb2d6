/** Health check of the endpoint beside this node, by which a node that restarts learns the endpoint's incarnation at once. */
import type { EndpointConnectionPool } from "../connection/endpointConnectionPool.js";
import { Cancellation } from "./cancellation.js";
import type { Clock } from "./clock.js";

/** Time for the answer, in milliseconds. */
const probeTimeoutMs = 1500;

/** What a health check found. */
export interface ProbeResult {
    readonly isHealthy: boolean;
    readonly endpointId: string | undefined;
    readonly slots: number | undefined;
}

/** Asks the endpoint for its health. Never rejects. */
export async function probeEndpoint(
    clock: Clock,
    pool: EndpointConnectionPool,
    healthPath: string,
): Promise<ProbeResult> {
    const request = {
        method: "GET",
        path: healthPath,
        headers: ["Host", "endpoint"],
        body: Buffer.alloc(0),
        attemptId: undefined,
    };
    const cancellation = new Cancellation();
    const timer = clock.startTimer(probeTimeoutMs, () => cancellation.cancel());
    const result = await pool.send(request, true, cancellation);
    timer.stop();
    if (result.kind !== "answered") {
        return { isHealthy: false, endpointId: undefined, slots: undefined };
    }
    const { status, facts } = result.answer;
    return { isHealthy: status === 200, endpointId: facts.endpointId, slots: facts.load?.slots };
}
