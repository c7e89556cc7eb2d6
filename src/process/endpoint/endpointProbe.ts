/** Health check of the local endpoint, by which a restarted node learns the endpoint's incarnation at once. */
import type { EndpointConnectionPool } from "../../connection/endpointConnectionPool.js";
import { Cancellation } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";

/** Timeout of the health check, in milliseconds. */
const probeTimeoutMs = 1500;

/** Result of a health check. The incarnation and the concurrency slots are those that the answer named, if it did. */
export interface ProbeResult {
    readonly isHealthy: boolean;
    readonly endpointId: string | undefined;
    readonly slots: number | undefined;
}

/** Sends a health check to the endpoint; any status but 200, no answer or a timeout is unhealthy. Never rejects. */
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
    // A health check is idempotent, so it may use an idle connection.
    const result = await pool.send(request, true, cancellation);
    timer.stop();
    if (result.kind !== "answered") {
        return { isHealthy: false, endpointId: undefined, slots: undefined };
    }
    const { status, metadata: facts } = result.answer;
    return { isHealthy: status === 200, endpointId: facts.endpointId, slots: facts.load?.slots };
}
