/** One call to a service, from the entry or from a run at the local endpoint, on its way to an instance. */
import type { ActionContext } from "./action.js";
import type { CallMetadata } from "./callMetadata.js";
import type { HeaderList } from "./headers.js";
import { RetryBudget } from "./retryBudget.js";

/** A call that is being routed, claimed or run. */
export interface Call {
    readonly context: ActionContext;
    readonly service: string;
    readonly callClass: string;
    readonly isIdempotent: boolean;
    /** Whether the call comes from outside and starts the action, rather than from a run of it. */
    readonly isRoot: boolean;
    readonly fingerprint: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Monotonic time at which the call has to be over, in milliseconds. */
    readonly deadline: number;
    /** Repeated runs that may happen behind this call. */
    readonly budget: RetryBudget;
    /** Aborts when whoever waits for the answer has gone. */
    readonly signal: AbortSignal;
}

/** Creates the context that travels to another node with a call. */
export function createCallMetadata(call: Call, mode: CallMetadata["mode"], lent: number, now: number): CallMetadata {
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
        budget: lent,
        resendWindowMs: call.context.resendWindowMs,
        issuedAt: call.context.issuedAt,
        fingerprint: call.fingerprint,
    };
}

/** Creates the call that a leg from another node describes. */
export function createCallFromMetadata(
    leg: CallMetadata,
    request: Pick<Call, "method" | "path" | "headers" | "body" | "signal">,
    now: number,
): Call {
    return {
        ...request,
        context: {
            key: leg.key,
            attempt: leg.attempt,
            customer: leg.customer,
            actionClass: leg.actionClass,
            priority: leg.priority,
            resendWindowMs: leg.resendWindowMs,
            issuedAt: leg.issuedAt,
        },
        service: leg.service,
        callClass: leg.callClass,
        isIdempotent: leg.isIdempotent,
        isRoot: leg.isRoot,
        fingerprint: leg.fingerprint,
        deadline: now + leg.deadlineMs,
        budget: new RetryBudget(leg.budget),
    };
}
