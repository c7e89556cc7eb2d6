/** One call to a service, made by an outside caller at its entry node or by a run at the local endpoint. */
import type { ActionContext } from "./action.js";
import type { CallMetadata } from "./callMetadata.js";
import type { HeaderList } from "./headers.js";
import { RetryBudget } from "./retryBudget.js";

/**
 * A call that is being routed, claimed or run. It is claimed when the owner of its key records a claim for it, see
 * `process/claim.ts`.
 */
export interface Call {
    readonly context: ActionContext;
    readonly service: string;
    readonly callClass: string;
    readonly isIdempotent: boolean;
    /** Whether an outside caller made the call, which starts the action, rather than a run of the action. */
    readonly isRoot: boolean;
    readonly fingerprint: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Monotonic time by which the call must have ended, in milliseconds. */
    readonly deadline: number;
    /** Retries that are allowed for this call and downstream of it. */
    readonly budget: RetryBudget;
    /** Aborted when nobody waits for the answer any more. */
    readonly signal: AbortSignal;
}

/**
 * Creates the metadata that is sent to another node with a call. `budget` is the number of retries passed on with it.
 * `now` is monotonic, in milliseconds.
 */
export function createCallMetadata(call: Call, mode: CallMetadata["mode"], budget: number, now: number): CallMetadata {
    return {
        mode,
        service: call.service,
        key: call.context.key,
        attempt: call.context.attempt,
        customer: call.context.customer,
        callClass: call.callClass,
        actionClass: call.context.actionClass,
        isIdempotent: call.isIdempotent,
        isRoot: call.isRoot,
        priority: call.context.priority,
        deadlineMs: Math.max(0, call.deadline - now),
        budget,
        resendWindowMs: call.context.resendWindowMs,
        issuedAt: call.context.issuedAt,
        fingerprint: call.fingerprint,
    };
}

/** Creates a call from the request and metadata that another node sent. `now` is monotonic, in milliseconds. */
export function createCallFromMetadata(
    metadata: CallMetadata,
    request: Pick<Call, "method" | "path" | "headers" | "body" | "signal">,
    now: number,
): Call {
    return {
        ...request,
        context: {
            key: metadata.key,
            attempt: metadata.attempt,
            customer: metadata.customer,
            actionClass: metadata.actionClass,
            priority: metadata.priority,
            resendWindowMs: metadata.resendWindowMs,
            issuedAt: metadata.issuedAt,
        },
        service: metadata.service,
        callClass: metadata.callClass,
        isIdempotent: metadata.isIdempotent,
        isRoot: metadata.isRoot,
        fingerprint: metadata.fingerprint,
        deadline: now + metadata.deadlineMs,
        budget: new RetryBudget(metadata.budget),
    };
}
