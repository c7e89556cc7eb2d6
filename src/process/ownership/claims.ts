/**
 * Claim table of a node, which deduplicates the actions whose keys the node owns.
 *
 * An owner records a claim before it runs an action, and answers every later send of the same action from the claim. A
 * claim goes from `refused` to `running`, and back to `refused` if the action did not run. Otherwise it becomes `done`
 * or `unknown`, both final: an action whose result is unknown is never run again (docs/DESIGN.md names the
 * paper that has this rule). The claim of an idempotent action becomes `repeatable` instead, and resends run again
 * within its bound of retries.
 */
import type { ClaimTransfer } from "../../connection/control.js";
import type { Answer, CompletedAnswer } from "../../request/answer.js";
import { createNotRunAnswer, createUnknownAnswer } from "../../request/answer.js";
import type { Call } from "../../request/call.js";
import { RetryBudget } from "../../request/retryBudget.js";
import { findPartition } from "../../version/memberStream.js";
import type { Clock } from "../base/clock.js";
import type { Claim, PartitionStatus } from "./claim.js";
import {
    createAdoptedClaim,
    createClaim,
    createClaimTransfer,
    isCountedRetry,
    isStaleAttempt,
    takeRetry,
} from "./claim.js";

/** Delay after which a caller may resend an action that the owner refused, in milliseconds. */
const retryAfterMs = 1000;
/** Estimated memory of a claim without the body of its answer, in bytes. */
const claimOverheadBytes = 400;

/** Limits of the claim table: number of claims, and bytes of claims with their answers. */
export interface ClaimLimits {
    readonly maxClaims: number;
    readonly maxBytes: number;
}

/** Claims of the key partitions that this node owns. */
export class Claims {
    private readonly claims = new Map<string, Claim>();
    private bytes = 0;

    constructor(
        private readonly clock: Clock,
        private readonly limits: ClaimLimits,
        /** Finds the current relation of this node to a partition of its service. */
        private readonly findPartitionStatus: (partition: number) => PartitionStatus,
        /** Runs a call once, after its claim was recorded. */
        private readonly run: (call: Call) => Promise<Answer>,
        /** Called when a run ends whose partition is being or has been handed over. */
        private readonly reportLateResult: (key: string, claim: ClaimTransfer) => void,
    ) {}

    /** Number of claims. */
    getSize(): number {
        return this.claims.size;
    }

    /** Estimated memory of all claims and recorded answers, in bytes. */
    getBytes(): number {
        return this.bytes;
    }

    /** Answers one send of an action from its claim, or runs the action if it may. Refuses keys of other owners. */
    async serve(call: Call): Promise<Answer> {
        const partitionStatus = this.findPartitionStatus(findPartition(call.context.key));
        if (partitionStatus === "foreign" || partitionStatus === "releasing") {
            return createNotRunAnswer("moved", retryAfterMs, call.budget.getRemaining());
        }
        if (this.isOutdatedSend(call)) {
            return createUnknownAnswer("staleAttempt", undefined);
        }
        const claim = this.findClaim(call.context.key);
        if (claim !== undefined && claim.fingerprint !== call.fingerprint) {
            return createUnknownAnswer("keyMismatch", undefined);
        }
        if (claim === undefined) {
            return this.serveUnclaimed(call, partitionStatus);
        }
        switch (claim.state) {
            case "done":
                return claim.answer === undefined
                    ? createUnknownAnswer("endpointFailed", undefined)
                    : { ...claim.answer, isReplayed: true };
            case "running":
                return claim.runInProgress ?? createUnknownAnswer("endpointFailed", undefined);
            case "unknown":
                return createUnknownAnswer("endpointFailed", undefined);
            case "repeatable":
                return this.serveResend(call, claim);
            case "refused":
                return isStaleAttempt(call, claim)
                    ? createNotRunAnswer("staleAttempt", retryAfterMs, call.budget.getRemaining())
                    : this.serveResend(call, claim);
        }
    }

    /**
     * Whether more than half of the resend window has passed since the send was issued. After such a delay, for
     * instance in a paused node, the claim of the action may already have expired.
     */
    private isOutdatedSend(call: Call): boolean {
        return this.clock.readDate().getTime() - call.context.issuedAt > call.context.resendWindowMs / 2;
    }

    private serveUnclaimed(call: Call, partitionStatus: PartitionStatus): Promise<Answer> | Answer {
        if (this.claims.size >= this.limits.maxClaims && !this.removeExpired()) {
            return this.createTableFullAnswer(call, partitionStatus);
        }
        const claim = createClaim(call, partitionStatus);
        this.claims.set(call.context.key, claim);
        this.bytes += claimOverheadBytes;
        this.extendExpiry(claim, call);
        // The previous owner may have run the action unless this is provably its first send.
        if (partitionStatus === "inherited" && call.context.attempt !== 1 && !call.isIdempotent) {
            claim.state = "unknown";
            return createUnknownAnswer("noOwner", undefined);
        }
        return isCountedRetry(call)
            ? this.serveResend(call, claim)
            : this.startRun(call, claim, claim.budgetLeft);
    }

    /**
     * Answers a send that the full claim table has no room for. "Not run" is certain only if this owner would have the
     * claim of an earlier send, or if this is provably the first send.
     */
    private createTableFullAnswer(call: Call, partitionStatus: PartitionStatus): Answer {
        const isKnownNotRun = partitionStatus === "owned" || call.context.attempt === 1;
        return isKnownNotRun
            ? createNotRunAnswer("overloaded", retryAfterMs, call.budget.getRemaining())
            : createUnknownAnswer("overloaded", retryAfterMs);
    }

    /**
     * Runs an action that has not run, or an idempotent one again. A counted resend runs within the bound of retries,
     * and the calls of its run to other services get no retries.
     */
    private serveResend(call: Call, claim: Claim): Promise<Answer> | Answer {
        if (!isCountedRetry(call)) {
            return this.startRun(call, claim, call.isRoot ? claim.budgetLeft : call.budget.getRemaining());
        }
        if (!takeRetry(call, claim)) {
            return createUnknownAnswer(
                "retryBound",
                Math.max(0, Math.round(claim.expiresAt - this.clock.readMonotonic())),
            );
        }
        return this.startRun(call, claim, 0);
    }

    /**
     * Starts a run whose calls to other services may use `lentBudget` retries. These are taken from the claim, as far
     * as it has them; the unused ones are added to the claim when the run ends.
     */
    private startRun(call: Call, claim: Claim, lentBudget: number): Promise<Answer> {
        const hasRunBefore = claim.state === "repeatable";
        claim.state = "running";
        claim.budgetLeft -= Math.min(claim.budgetLeft, lentBudget);
        claim.runInProgress = this.runAndRecord({ ...call, budget: new RetryBudget(lentBudget) }, claim, hasRunBefore);
        return claim.runInProgress;
    }

    /** Runs the call, and records the result and the unspent retries in the claim. */
    private async runAndRecord(call: Call, claim: Claim, hasRunBefore: boolean): Promise<Answer> {
        const answer = await this.run(call);
        claim.runInProgress = undefined;
        claim.budgetLeft += answer.unspent;
        this.extendExpiry(claim, call);
        switch (answer.outcome) {
            case "completed":
                claim.state = call.isIdempotent ? "repeatable" : "done";
                this.recordAnswer(claim, call, answer);
                break;
            case "unknown":
                claim.state = call.isIdempotent ? "repeatable" : "unknown";
                break;
            case "notRun":
                claim.state = hasRunBefore ? "repeatable" : "refused";
                claim.refusedThrough = Math.max(claim.refusedThrough, call.context.attempt);
                claim.budgetLeft += isCountedRetry(call) ? 1 : 0;
                break;
        }
        const partitionStatus = this.findPartitionStatus(findPartition(call.context.key));
        if (partitionStatus === "foreign" || partitionStatus === "releasing") {
            this.reportLateResult(
                call.context.key,
                createClaimTransfer(call.context.key, claim, this.clock.readMonotonic()),
            );
        }
        return answer.outcome === "notRun" && hasRunBefore
            ? createUnknownAnswer(answer.reason, answer.retryAfterMs, answer.threshold)
            : answer;
    }

    private recordAnswer(claim: Claim, call: Call, answer: CompletedAnswer): void {
        if (call.isIdempotent) {
            return;
        }
        const size = answer.body.length;
        if (this.bytes + size > this.limits.maxBytes) {
            this.removeExpired();
        }
        if (this.bytes + size > this.limits.maxBytes) {
            // The answer can't be kept and the action must not run again, so resends are answered "unknown".
            claim.state = "unknown";
            return;
        }
        claim.answer = answer;
        this.bytes += size;
    }

    private extendExpiry(claim: Claim, call: Call): void {
        claim.expiresAt = this.clock.readMonotonic() + call.context.resendWindowMs;
    }

    private findClaim(key: string): Claim | undefined {
        const claim = this.claims.get(key);
        if (claim !== undefined && claim.state !== "running" && claim.expiresAt < this.clock.readMonotonic()) {
            this.removeClaim(key, claim);
            return undefined;
        }
        return claim;
    }

    /** Removes claims whose resend window has passed; true if any was removed. */
    removeExpired(): boolean {
        const now = this.clock.readMonotonic();
        let isAnyRemoved = false;
        for (const [key, claim] of this.claims) {
            if (claim.state !== "running" && claim.expiresAt < now) {
                this.removeClaim(key, claim);
                isAnyRemoved = true;
            }
        }
        return isAnyRemoved;
    }

    private removeClaim(key: string, claim: Claim): void {
        this.claims.delete(key);
        this.bytes -= claimOverheadBytes + (claim.answer?.body.length ?? 0);
    }

    /** Describes the claims of some partitions to their new owner, see {@link createClaimTransfer}. */
    listTransfers(partitions: ReadonlySet<number>): ClaimTransfer[] {
        const transfers: ClaimTransfer[] = [];
        for (const [key, claim] of this.claims) {
            if (partitions.has(findPartition(key))) {
                transfers.push(createClaimTransfer(key, claim, this.clock.readMonotonic()));
            }
        }
        return transfers;
    }

    /** Adds the claims that the previous owner sent, in place of claims with the same keys. */
    adopt(transfers: readonly ClaimTransfer[]): void {
        for (const transfer of transfers) {
            this.adoptClaim(transfer);
        }
    }

    /**
     * Adopts the result of a run that was in progress at the previous owner when the partition moved. The result is
     * ignored unless the claim here is `unknown`, which that of an idempotent action never is, and has the same
     * fingerprint.
     */
    adoptLateResult(transfer: ClaimTransfer): void {
        const claim = this.claims.get(transfer.key);
        if (claim?.state === "unknown" && claim.fingerprint === transfer.fingerprint) {
            this.adoptClaim(transfer);
        }
    }

    /** Removes the claims of partitions that have moved to another node, except those of runs in progress. */
    removePartitions(partitions: ReadonlySet<number>): void {
        for (const [key, claim] of this.claims) {
            if (claim.state !== "running" && partitions.has(findPartition(key))) {
                this.removeClaim(key, claim);
            }
        }
    }

    private adoptClaim(transfer: ClaimTransfer): void {
        const existing = this.claims.get(transfer.key);
        if (existing !== undefined) {
            this.removeClaim(transfer.key, existing);
        }
        const claim = createAdoptedClaim(transfer, this.clock.readMonotonic());
        this.claims.set(transfer.key, claim);
        this.bytes += claimOverheadBytes + (claim.answer?.body.length ?? 0);
    }
}
