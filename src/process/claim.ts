/** What the owner of an action's key remembers of the action, and the rules on repeated runs. */
import type { ClaimTransfer } from "../connection/control.js";
import type { Answer, CompletedAnswer } from "../request/answer.js";
import type { Call } from "../request/call.js";

/** How an owner stands to a partition. */
export type PartitionStatus = "owned" | "inherited" | "releasing" | "foreign";

/** Memory of one action. */
export interface Claim {
    state: "running" | ClaimTransfer["state"];
    readonly fingerprint: string;
    readonly isIdempotent: boolean;
    /** Highest attempt number that was refused; such an attempt must never run. */
    refusedThrough: number;
    /** Highest attempt number seen. */
    seenThrough: number;
    /** Repeated runs that are left for re-sends of the action. */
    budgetLeft: number;
    /** End of the resend window on the monotonic scale, in milliseconds. */
    expiresAt: number;
    answer: CompletedAnswer | undefined;
    /** Settles when the run in progress ends. */
    running: Promise<Answer> | undefined;
}

/** Creates the claim of an action that this owner has not seen before. */
export function createClaim(call: Call, holding: PartitionStatus): Claim {
    return {
        state: "refused",
        fingerprint: call.fingerprint,
        isIdempotent: call.isIdempotent,
        refusedThrough: 0,
        seenThrough: Math.max(1, call.context.attempt),
        budgetLeft: computeInitialBudget(call, holding),
        expiresAt: 0,
        answer: undefined,
        running: undefined,
    };
}

/** Creates what the next owner is told of a claim. A run in progress may have happened, whatever comes of it. */
export function createTransfer(key: string, claim: Claim, now: number): ClaimTransfer {
    const afterRun = claim.isIdempotent ? "repeatable" : "unknown";
    const { answer } = claim;
    return {
        key,
        fingerprint: claim.fingerprint,
        isIdempotent: claim.isIdempotent,
        state: claim.state === "running" ? afterRun : claim.state,
        refusedThrough: claim.refusedThrough,
        seenThrough: claim.seenThrough,
        budgetLeft: claim.budgetLeft,
        expiresInMs: Math.max(0, claim.expiresAt - now),
        ...(answer === undefined
            ? {}
            : { answer: { status: answer.status, headers: [...answer.headers], body: new Uint8Array(answer.body) } }),
    };
}

/** Creates the claim that a former owner described. */
export function createAdopted(transfer: ClaimTransfer, now: number): Claim {
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
        running: undefined,
    };
}

/** Whether a send of an action by its caller counts as one of its repeated runs when it runs. */
export function isCountedResend(call: Pick<Call, "isRoot" | "isIdempotent" | "context">): boolean {
    return call.isRoot && call.isIdempotent && call.context.attempt !== 1;
}

/**
 * An attempt that was refused, or one before it, must not run later: its caller was told so. A send without a number may be
 * such an attempt once a numbered one was refused.
 */
export function isStale(call: Call, claim: Claim): boolean {
    const { attempt } = call.context;
    return attempt === 0 ? claim.refusedThrough > 0 : attempt <= claim.refusedThrough;
}

/**
 * Takes one repeated run for a re-send; false when none is left. Numbers that the owner has not seen may have run without it
 * while it could not be reached, see {@link canRunWithoutOwner}, so they count as used.
 */
export function takeRepeat(call: Call, claim: Claim): boolean {
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

/** Repeated runs that the first send of an idempotent action may spend without its owner. */
export function computeFirstSendBudget(bound: number): number {
    return Math.floor(bound / 2);
}

/**
 * Whether a numbered re-send may run once while the owner of its key can't be reached. Each number up to the owner's part of
 * the bound stands for one repeated run, and the owner never grants more than that part.
 */
export function canRunWithoutOwner(call: Pick<Call, "isRoot" | "isIdempotent" | "context">, bound: number): boolean {
    return isCountedResend(call) && call.context.attempt > 1
        && call.context.attempt <= 1 + bound - computeFirstSendBudget(bound);
}

/**
 * Repeated runs that an action may still have when its owner sees it first. The first send of an idempotent action does not
 * pass through the owner and takes half of the bound with it, and re-sends before this one may have run without the owner.
 */
function computeInitialBudget(call: Call, holding: PartitionStatus): number {
    const bound = call.budget.getRemaining();
    if (!call.isRoot || !call.isIdempotent) {
        return bound;
    }
    const { attempt } = call.context;
    if (attempt === 0) {
        return holding === "inherited" ? 0 : bound - computeFirstSendBudget(bound);
    }
    return Math.max(0, bound - computeFirstSendBudget(bound) - Math.max(0, attempt - 2));
}
