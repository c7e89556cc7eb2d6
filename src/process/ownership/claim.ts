/**
 * Claims: what the owner of an action's key records about the action, and the rules that limit its retries.
 *
 * An action is what a caller requests under one key. A send is one request of the caller for it: the first one or a
 * resend, with its attempt number. A run is one execution of the action at an endpoint.
 */
import type { ClaimTransfer } from "../../connection/control.js";
import type { Answer, CompletedAnswer } from "../../request/answer.js";
import type { Call } from "../../request/call.js";

/**
 * Relation of this node to a key partition. `owned`: it has all claims of the partition. `inherited`: it owns the
 * partition, but the previous owner may have run actions that it doesn't know. `releasing`: it is handing the partition
 * over. `foreign`: another node owns it.
 */
export type PartitionStatus = "owned" | "inherited" | "releasing" | "foreign";

/** Record of one action, kept until its resend window ends. */
export interface Claim {
    /** Stage of the claim, see the top of claims.ts; `refused` means that the action has not run. */
    state: "running" | ClaimTransfer["state"];
    /** Hash of the request, so that a key that is reused for another request is detected. */
    readonly fingerprint: string;
    readonly isIdempotent: boolean;
    /** Highest attempt number that was refused. This attempt and earlier ones must never run. */
    refusedThrough: number;
    /** Highest attempt number seen. */
    seenThrough: number;
    /** Retries left for resends of the action. */
    budgetLeft: number;
    /** Monotonic time at which the resend window ends, in milliseconds. */
    expiresAt: number;
    /** Answer for resends; kept only for an action that isn't idempotent and has completed. */
    answer: CompletedAnswer | undefined;
    /** Settles when the run in progress ends. */
    runInProgress: Promise<Answer> | undefined;
}

/** Creates the claim of an action that this owner has not seen before; it starts as `refused`, which means not run. */
export function createClaim(call: Call, partitionStatus: PartitionStatus): Claim {
    return {
        state: "refused",
        fingerprint: call.fingerprint,
        isIdempotent: call.isIdempotent,
        refusedThrough: 0,
        seenThrough: Math.max(1, call.context.attempt),
        budgetLeft: computeInitialBudget(call, partitionStatus),
        expiresAt: 0,
        answer: undefined,
        runInProgress: undefined,
    };
}

/**
 * Describes a claim to the new owner of its partition. A run in progress counts as one that may have happened, so its
 * state becomes `repeatable` for an idempotent action and `unknown` for any other.
 */
export function createClaimTransfer(key: string, claim: Claim, now: number): ClaimTransfer {
    const stateAfterRun = claim.isIdempotent ? "repeatable" : "unknown";
    const { answer } = claim;
    return {
        key,
        fingerprint: claim.fingerprint,
        isIdempotent: claim.isIdempotent,
        state: claim.state === "running" ? stateAfterRun : claim.state,
        refusedThrough: claim.refusedThrough,
        seenThrough: claim.seenThrough,
        budgetLeft: claim.budgetLeft,
        expiresInMs: Math.max(0, claim.expiresAt - now),
        ...(answer === undefined
            ? {}
            : { answer: { status: answer.status, headers: [...answer.headers], body: new Uint8Array(answer.body) } }),
    };
}

/** Creates the claim that a previous owner described; `now` is the monotonic time in milliseconds. */
export function createAdoptedClaim(transfer: ClaimTransfer, now: number): Claim {
    const { fingerprint, isIdempotent, state, refusedThrough, seenThrough, budgetLeft, answer } = transfer;
    return {
        state,
        fingerprint,
        isIdempotent,
        refusedThrough,
        seenThrough,
        budgetLeft,
        expiresAt: now + transfer.expiresInMs,
        answer: answer === undefined ? undefined : {
            outcome: "completed",
            status: answer.status,
            headers: answer.headers,
            body: Buffer.from(answer.body),
            isReplayed: true,
            unspent: 0,
            threshold: 0,
        },
        runInProgress: undefined,
    };
}

/**
 * Whether a run of this send counts against the retries of its action. That holds for each send of an idempotent action
 * by the caller that started it, except the send with number 1.
 */
export function isCountedRetry(call: Pick<Call, "isRoot" | "isIdempotent" | "context">): boolean {
    return call.isRoot && call.isIdempotent && call.context.attempt !== 1;
}

/**
 * Whether the attempt, or a later one, was refused. Such an attempt must not run, because its caller was told that it
 * did not. A send without a number may be a refused attempt as soon as any numbered one was refused.
 */
export function isStaleAttempt(call: Call, claim: Claim): boolean {
    const { attempt } = call.context;
    return attempt === 0 ? claim.refusedThrough > 0 : attempt <= claim.refusedThrough;
}

/**
 * Takes one retry from the claim's budget for a resend; false when none is left. Attempt numbers that the owner has not
 * seen count as used, because they may have run while the owner was unreachable, see {@link canRunWithoutOwner}.
 */
export function takeRetry(call: Call, claim: Claim): boolean {
    const { attempt } = call.context;
    const skipped = Math.max(0, attempt - claim.seenThrough - 1);
    claim.budgetLeft = Math.max(0, claim.budgetLeft - skipped);
    claim.seenThrough = Math.max(claim.seenThrough, attempt);
    if (claim.budgetLeft < 1) {
        return false;
    }
    claim.budgetLeft -= 1;
    return true;
}

/**
 * Retries that the first send of an idempotent action may use without the owner of its key: half of `retryBound`, the
 * number of retries that the action may use in all. The owner has the other half.
 */
export function computeFirstSendBudget(retryBound: number): number {
    return Math.floor(retryBound / 2);
}

/**
 * Whether a numbered resend may run once while the owner of its key is unreachable. Each attempt number from 2 on uses
 * one of the owner's retries, so a number beyond them may not run. The owner never grants more than its part of
 * the bound.
 */
export function canRunWithoutOwner(
    call: Pick<Call, "isRoot" | "isIdempotent" | "context">,
    retryBound: number,
): boolean {
    return isCountedRetry(call) && call.context.attempt > 1
        && call.context.attempt <= 1 + retryBound - computeFirstSendBudget(retryBound);
}

/**
 * Retries left for an action that its owner sees for the first time. The first send of an idempotent action does not
 * pass through the owner and takes half of the bound with it. Attempts 2 to `attempt - 1` may have run without the
 * owner, so each counts as one retry. For an unnumbered send on an inherited partition nothing is known to be left.
 */
function computeInitialBudget(call: Call, partitionStatus: PartitionStatus): number {
    const retryBound = call.budget.getRemaining();
    if (!call.isRoot || !call.isIdempotent) {
        return retryBound;
    }
    const { attempt } = call.context;
    if (attempt === 0) {
        return partitionStatus === "inherited" ? 0 : retryBound - computeFirstSendBudget(retryBound);
    }
    return Math.max(0, retryBound - computeFirstSendBudget(retryBound) - Math.max(0, attempt - 2));
}
