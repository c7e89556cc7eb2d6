/**
 * Claims of actions, kept by the owner of their keys.
 *
 * An owner records a claim before it lets an action run, and answers every later send of the same action from the claim. The
 * state of a claim only ever goes forward: `refused` to `running`, and `running` to `done` or `unknown`, both final. An
 * unknown action is never run again (the idea of the journal in the related paper, see docs/DESIGN.md). An idempotent action
 * that is sent again becomes `repeatable` instead, and runs again within its bound of repeated runs.
 */
import type { ClaimTransfer } from "../connection/control.js";
import type { Answer, CompletedAnswer } from "../request/answer.js";
import { createNotRunAnswer, createUnknownAnswer } from "../request/answer.js";
import type { Call } from "../request/call.js";
import { RetryBudget } from "../request/retryBudget.js";
import { findPartition } from "../version/memberStream.js";
import type { Claim, PartitionStatus } from "./claim.js";
import { createAdopted, createClaim, createTransfer, isCountedResend, isStale, takeRepeat } from "./claim.js";
import type { Clock } from "./clock.js";

/** Time after which a send that the owner does not take on may be tried again, in milliseconds. */
const retryAfterMs = 1000;
/** Memory counted for a claim beside its answer, in bytes. */
const claimOverheadBytes = 400;

/** Limits of the memory. */
export interface ClaimLimits {
    readonly maxClaims: number;
    readonly maxBytes: number;
}

/** Claims of the partitions that this node owns. */
export class Claims {
    private readonly claims = new Map<string, Claim>();
    private bytes = 0;

    constructor(
        private readonly clock: Clock,
        private readonly limits: ClaimLimits,
        /** How this node stands to a partition of its service now. */
        private readonly findHolding: (partition: number) => PartitionStatus,
        /** Runs a claimed call once. */
        private readonly run: (call: Call) => Promise<Answer>,
        /** Told when a run ends whose partition was handed over in the meantime. */
        private readonly reportLateResult: (key: string, claim: ClaimTransfer) => void,
    ) {}

    /** Number of claims. */
    getSize(): number {
        return this.claims.size;
    }

    /** Memory of recorded answers, in bytes. */
    getBytes(): number {
        return this.bytes;
    }

    /** Decides one send of an action whose key this node owns, and runs the action if it may. */
    async serve(call: Call): Promise<Answer> {
        const holding = this.findHolding(findPartition(call.context.key));
        if (holding === "foreign" || holding === "releasing") {
            return createNotRunAnswer("moved", retryAfterMs, call.budget.getRemaining());
        }
        if (this.isOutdated(call)) {
            return createUnknownAnswer("staleAttempt", undefined);
        }
        const claim = this.findClaim(call.context.key);
        if (claim !== undefined && claim.fingerprint !== call.fingerprint) {
            return createUnknownAnswer("keyMismatch", undefined);
        }
        if (claim === undefined) {
            return this.serveUnclaimed(call, holding);
        }
        switch (claim.state) {
            case "done":
                return claim.answer === undefined
                    ? createUnknownAnswer("endpointFailed", undefined)
                    : { ...claim.answer, isReplayed: true };
            case "running":
                return claim.running ?? createUnknownAnswer("endpointFailed", undefined);
            case "unknown":
                return createUnknownAnswer("endpointFailed", undefined);
            case "repeatable":
                return this.serveResend(call, claim);
            case "refused":
                return isStale(call, claim)
                    ? createNotRunAnswer("staleAttempt", retryAfterMs, call.budget.getRemaining())
                    : this.serveResend(call, claim);
        }
    }

    /** A send that was held up for long, for instance in a paused node, may belong to an action that is forgotten. */
    private isOutdated(call: Call): boolean {
        return this.clock.readDate().getTime() - call.context.issuedAt > call.context.resendWindowMs / 2;
    }

    private serveUnclaimed(call: Call, holding: PartitionStatus): Promise<Answer> | Answer {
        if (this.claims.size >= this.limits.maxClaims && !this.removeExpired()) {
            return this.createRefusal(call, holding);
        }
        const claim = createClaim(call, holding);
        this.claims.set(call.context.key, claim);
        this.bytes += claimOverheadBytes;
        this.extend(claim, call);
        // The owner before may have run the action unless this is provably its first send.
        if (holding === "inherited" && call.context.attempt !== 1 && !call.isIdempotent) {
            claim.state = "unknown";
            return createUnknownAnswer("noOwner", undefined);
        }
        return isCountedResend(call)
            ? this.serveResend(call, claim)
            : this.startRun(call, claim, claim.budgetLeft);
    }

    /** The claim table is full: only what is provably a first send is known not to have run. */
    private createRefusal(call: Call, holding: PartitionStatus): Answer {
        const isKnown = holding === "owned" || call.context.attempt === 1;
        return isKnown
            ? createNotRunAnswer("overloaded", retryAfterMs, call.budget.getRemaining())
            : createUnknownAnswer("overloaded", retryAfterMs);
    }

    /** Runs an action that was refused before, or an idempotent one again, within the action's bound of repeated runs. */
    private serveResend(call: Call, claim: Claim): Promise<Answer> | Answer {
        if (!isCountedResend(call)) {
            return this.startRun(call, claim, call.isRoot ? claim.budgetLeft : call.budget.getRemaining());
        }
        if (!takeRepeat(call, claim)) {
            return createUnknownAnswer(
                "retryBound",
                Math.max(0, Math.round(claim.expiresAt - this.clock.readMonotonic())),
            );
        }
        return this.startRun(call, claim, 0);
    }

    private startRun(call: Call, claim: Claim, budget: number): Promise<Answer> {
        const hasRun = claim.state === "repeatable";
        claim.state = "running";
        claim.budgetLeft -= Math.min(claim.budgetLeft, budget);
        claim.running = this.finishRun({ ...call, budget: new RetryBudget(budget) }, claim, hasRun);
        return claim.running;
    }

    private async finishRun(call: Call, claim: Claim, hasRun: boolean): Promise<Answer> {
        const answer = await this.run(call);
        claim.running = undefined;
        claim.budgetLeft += answer.unspent;
        this.extend(claim, call);
        switch (answer.outcome) {
            case "completed":
                claim.state = call.isIdempotent ? "repeatable" : "done";
                this.recordAnswer(claim, call, answer);
                break;
            case "unknown":
                claim.state = call.isIdempotent ? "repeatable" : "unknown";
                break;
            case "notRun":
                claim.state = hasRun ? "repeatable" : "refused";
                claim.refusedThrough = Math.max(claim.refusedThrough, call.context.attempt);
                claim.budgetLeft += isCountedResend(call) ? 1 : 0;
                break;
        }
        const holding = this.findHolding(findPartition(call.context.key));
        if (holding === "foreign" || holding === "releasing") {
            this.reportLateResult(
                call.context.key,
                createTransfer(call.context.key, claim, this.clock.readMonotonic()),
            );
        }
        return answer.outcome === "notRun" && hasRun
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
            // A re-send will be told "unknown": the answer can't be kept, and the action must not run again.
            claim.state = "unknown";
            return;
        }
        claim.answer = answer;
        this.bytes += size;
    }

    private extend(claim: Claim, call: Call): void {
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

    /** Lists the claims of some partitions for their next owner. A run in progress is handed over as unknown. */
    listTransfers(partitions: ReadonlySet<number>): ClaimTransfer[] {
        const transfers: ClaimTransfer[] = [];
        for (const [key, claim] of this.claims) {
            if (partitions.has(findPartition(key))) {
                transfers.push(createTransfer(key, claim, this.clock.readMonotonic()));
            }
        }
        return transfers;
    }

    /** Takes over claims from the owner before. */
    adopt(transfers: readonly ClaimTransfer[]): void {
        for (const transfer of transfers) {
            this.adoptOne(transfer);
        }
    }

    /** Takes the result of a run that was in progress at the owner before when the partition moved. */
    adoptLateResult(transfer: ClaimTransfer): void {
        const claim = this.claims.get(transfer.key);
        if (claim?.state === "unknown" && claim.fingerprint === transfer.fingerprint) {
            this.adoptOne(transfer);
        }
    }

    /** Forgets the claims of partitions that have moved away; runs in progress stay until they end. */
    removePartitions(partitions: ReadonlySet<number>): void {
        for (const [key, claim] of this.claims) {
            if (claim.state !== "running" && partitions.has(findPartition(key))) {
                this.removeClaim(key, claim);
            }
        }
    }

    private adoptOne(transfer: ClaimTransfer): void {
        const known = this.claims.get(transfer.key);
        if (known !== undefined) {
            this.removeClaim(transfer.key, known);
        }
        const claim = createAdopted(transfer, this.clock.readMonotonic());
        this.claims.set(transfer.key, claim);
        this.bytes += claimOverheadBytes + (claim.answer?.body.length ?? 0);
    }
}
