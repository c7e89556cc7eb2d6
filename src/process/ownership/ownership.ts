/**
 * Ownership of key partitions by this node: which partitions of its service it owns, and how it hands them over.
 *
 * Ownership changes only through records of the shared log. Before the owner appends a handover, it stops serving the
 * partitions and sends their claims to the new owner. It resumes serving them only if the append provably had no
 * effect. The result of a run that was in progress at the handover is sent to the new owner when the run ends.
 */
import type { ClaimTransfer, ControlCaller, ControlRequest } from "../../connection/control.js";
import { maxTransferClaims } from "../../connection/control.js";
import type { LogService } from "../../connection/logService.js";
import type { Member } from "../../version/member.js";
import { formatSlot, isSameMember } from "../../version/member.js";
import type { MemberState, Ownership as PartitionOwnership } from "../../version/memberStream.js";
import {
    chooseByRendezvousHash,
    createSlotIncarnation,
    findPartition,
    formatMemberRecord,
    isAnnounced,
    isSameIncarnation,
    listOwnedPartitions,
    listServiceMembers,
    partitionCount,
} from "../../version/memberStream.js";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { Directory } from "../membership/directory.js";
import type { MemberReplica } from "../membership/streams.js";
import type { Logger } from "../telemetry/logger.js";
import type { PartitionStatus } from "./claim.js";
import type { Claims } from "./claims.js";

/** Mean interval at which the balance of partitions is checked, in milliseconds. */
const balanceIntervalMs = 500;
/** Timeout of one transfer message, in milliseconds. */
const transferTimeoutMs = 3000;
/** Delay before the append of a handover with unknown outcome is retried, in milliseconds. */
const handoverRetryDelayMs = 200;

/** Dependencies of the ownership. */
export interface OwnershipDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly self: Member;
    readonly members: MemberReplica;
    readonly log: LogService;
    readonly control: ControlCaller;
    readonly directory: Directory;
    /** Whether the last read of the log succeeded. */
    readonly isLogUp: () => boolean;
    /** Longest resend window of any contract, in milliseconds. */
    readonly getResendWindowMs: () => number;
}

/** Ownership of one partition by this node. */
interface OwnedPartition {
    /** Offset of the log record that made this node the owner. */
    readonly epoch: number;
    /**
     * Monotonic time in milliseconds until which resends may concern actions that the previous owner ran and this one
     * doesn't know; 0 if all claims were handed over.
     */
    readonly inheritedUntil: number;
}

/** Claims that an owner has sent before its handover is on the log. */
interface StagedClaims {
    /** Claims by partition. One handover may move many partitions, whose claims are adopted one partition at a time. */
    readonly claims: Map<number, ClaimTransfer[]>;
    /** Partitions whose claims have all arrived. */
    readonly complete: Set<number>;
}

/** Key partitions of its service that this node owns. The log's entry of a partition is a `PartitionOwnership`. */
export class Ownership {
    private readonly ownedPartitions = new Map<number, OwnedPartition>();
    private readonly releasing = new Set<number>();
    private readonly stagedClaims = new Map<string, StagedClaims>();
    private readonly lateResults: { readonly key: string; readonly claim: ClaimTransfer; }[] = [];
    private claims: Claims | undefined;

    constructor(private readonly dependencies: OwnershipDependencies) {
        dependencies.members.addListener(current => this.applyMembers(current.state));
    }

    /** Sets the claim table, which itself depends on the ownership and so can't be a constructor argument. */
    setClaims(claims: Claims): void {
        this.claims = claims;
    }

    /** Finds the current relation of this node to a partition of its service. */
    findPartitionStatus(partition: number): PartitionStatus {
        const ownedPartition = this.ownedPartitions.get(partition);
        if (ownedPartition === undefined) {
            return "foreign";
        }
        if (this.releasing.has(partition)) {
            return "releasing";
        }
        return ownedPartition.inheritedUntil > this.dependencies.clock.readMonotonic() ? "inherited" : "owned";
    }

    /** Number of partitions that this node owns. */
    countOwned(): number {
        return this.ownedPartitions.size;
    }

    /** Balances the partitions and sends late results at each interval until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.dependencies;
        while (!signal.aborted) {
            await clock.sleep(balanceIntervalMs * (0.75 + this.dependencies.random() / 2), signal);
            await this.balance();
            await this.sendLateResults();
        }
    }

    /** Hands over all partitions to other members before this node leaves. */
    async handOverAll(): Promise<void> {
        const { self, members } = this.dependencies;
        const state = members.get()?.state;
        if (state === undefined) {
            return;
        }
        const candidates = this.listNewOwnerCandidates(state);
        const partitionsByOwner = new Map<Member, number[]>();
        for (const partition of listOwnedPartitions(state, self.service, createSlotIncarnation(self))) {
            const newOwner = chooseByRendezvousHash(candidates, String(partition));
            if (newOwner !== undefined) {
                partitionsByOwner.set(newOwner, [...partitionsByOwner.get(newOwner) ?? [], partition]);
            }
        }
        for (const [newOwner, partitions] of partitionsByOwner) {
            await this.handOver(partitions, newOwner);
        }
        await this.sendLateResults();
    }

    /** Accepts claims or late results from another owner. Throws if they are addressed to another incarnation. */
    acceptTransfer(request: ControlRequest<"transfer">): void {
        if (!isSameMember(request.to, this.dependencies.self)) {
            throw new Error("the transfer is meant for another incarnation");
        }
        if (request.isLateResult) {
            request.claims.forEach(claim => this.claims?.adoptLateResult(claim));
            return;
        }
        const previousOwner = formatOwner(createSlotIncarnation(request.from));
        const staged: StagedClaims = this.stagedClaims.get(previousOwner) ?? { claims: new Map(), complete: new Set() };
        this.stagedClaims.set(previousOwner, staged);
        for (const claim of request.claims) {
            const partition = findPartition(claim.key);
            const claims = staged.claims.get(partition) ?? [];
            staged.claims.set(partition, claims);
            claims.push(claim);
        }
        if (request.isLast) {
            request.partitions.forEach(partition => staged.complete.add(partition));
        }
    }

    /** Queues the result of a run whose partition is moving or has moved, for its new owner. */
    addLateResult(key: string, claim: ClaimTransfer): void {
        this.lateResults.push({ key, claim });
    }

    private applyMembers(state: MemberState): void {
        const ownIncarnation = createSlotIncarnation(this.dependencies.self);
        const entries = state.partitions[this.dependencies.self.service] ?? [];
        const lostPartitions = new Set<number>();
        for (let partition = 0; partition < partitionCount; partition += 1) {
            const entry = entries[partition];
            const ownedPartition = this.ownedPartitions.get(partition);
            if (entry === undefined || !isSameIncarnation(entry.owner, ownIncarnation)) {
                if (ownedPartition !== undefined) {
                    this.ownedPartitions.delete(partition);
                    this.releasing.delete(partition);
                    lostPartitions.add(partition);
                }
            }
            else if (ownedPartition?.epoch !== entry.epoch) {
                this.ownedPartitions.set(partition, {
                    epoch: entry.epoch,
                    inheritedUntil: this.adoptStagedClaims(partition, entry),
                });
            }
        }
        if (lostPartitions.size > 0) {
            this.claims?.removePartitions(lostPartitions);
        }
        this.pruneStagedClaims(state);
    }

    /**
     * Adopts the claims of a partition that was handed over, from the first sender that has sent all of them. Returns
     * the monotonic time in milliseconds until which the partition counts as inherited; 0 if no claims can be missing.
     */
    private adoptStagedClaims(partition: number, entry: PartitionOwnership): number {
        // The first owner of a partition has no predecessor that could have run anything.
        if (entry.origin === "first") {
            return 0;
        }
        if (entry.origin === "handover") {
            for (const staged of this.stagedClaims.values()) {
                if (staged.complete.delete(partition)) {
                    this.claims?.adopt(staged.claims.get(partition) ?? []);
                    staged.claims.delete(partition);
                    return 0;
                }
            }
        }
        return this.dependencies.clock.readMonotonic() + this.dependencies.getResendWindowMs();
    }

    /** Removes staged claims whose sender no longer owns any partition. */
    private pruneStagedClaims(state: MemberState): void {
        const owners = new Set(
            (state.partitions[this.dependencies.self.service] ?? []).map(entry => formatOwner(entry.owner)),
        );
        for (const previousOwner of this.stagedClaims.keys()) {
            if (!owners.has(previousOwner)) {
                this.stagedClaims.delete(previousOwner);
            }
        }
    }

    /** Hands partitions over to a member that owns less than its fair share and at least two fewer than this node. */
    async balance(): Promise<void> {
        const { self, members, isLogUp } = this.dependencies;
        const state = members.get()?.state;
        if (state === undefined || !isLogUp() || !isAnnounced(state, self)) {
            return;
        }
        const ownPartitions = listOwnedPartitions(state, self.service, createSlotIncarnation(self));
        const candidates = this.listNewOwnerCandidates(state)
            .map(member => ({
                member,
                ownedCount: listOwnedPartitions(state, self.service, createSlotIncarnation(member)).length,
            }))
            .filter(candidate => candidate.ownedCount + 1 < ownPartitions.length);
        // The new owner is chosen at random: several owners that chose the one with the fewest partitions would give it
        // too many.
        const fairShare = Math.floor(partitionCount / listServiceMembers(state, self.service).length);
        const underloaded = candidates.filter(candidate => candidate.ownedCount < fairShare);
        const chosen = underloaded[Math.floor(this.dependencies.random() * underloaded.length)];
        if (chosen !== undefined) {
            const moveCount = Math.min(
                Math.floor((ownPartitions.length - chosen.ownedCount) / 2),
                fairShare - chosen.ownedCount,
            );
            await this.handOver(ownPartitions.slice(-moveCount), chosen.member);
        }
    }

    /** Lists the other members of the service that are alive and so may become new owners. */
    private listNewOwnerCandidates(state: MemberState): Member[] {
        const { self, directory } = this.dependencies;
        return listServiceMembers(state, self.service)
            .filter(member => !isSameMember(member, self) && directory.findHealth(formatSlot(member)) === "alive");
    }

    /**
     * Hands partitions over. If that fails, this node serves them again, because then the handover record provably has
     * no effect.
     */
    private async handOver(partitions: readonly number[], newOwner: Member): Promise<void> {
        const { logger } = this.dependencies;
        partitions.forEach(partition => this.releasing.add(partition));
        const isSent = await this.sendClaims(partitions, newOwner);
        const isMoved = isSent && await this.appendHandover(partitions, newOwner);
        partitions.forEach(partition => this.releasing.delete(partition));
        const fields = { partitions: partitions.length, to: formatSlot(newOwner) };
        if (!isMoved) {
            logger.warn("handoverFailed", { ...fields, stage: isSent ? "append" : "transfer" });
            return;
        }
        logger.info("handoverDone", fields);
    }

    private async sendClaims(partitions: readonly number[], newOwner: Member): Promise<boolean> {
        const { control, self } = this.dependencies;
        const claims = this.claims?.listTransfers(new Set(partitions)) ?? [];
        const chunks = Math.max(1, Math.ceil(claims.length / maxTransferClaims));
        for (let chunk = 0; chunk < chunks; chunk += 1) {
            const request = {
                from: self,
                to: newOwner,
                partitions: [...partitions],
                claims: claims.slice(chunk * maxTransferClaims, (chunk + 1) * maxTransferClaims),
                isLast: chunk === chunks - 1,
                isLateResult: false,
            };
            const reply = await control.call(formatSlot(newOwner), "transfer", request, transferTimeoutMs);
            if (!reply.ok) {
                return false;
            }
        }
        return true;
    }

    /** Appends a handover until its outcome is known. False only if the record provably isn't and won't be on the log. */
    private async appendHandover(partitions: readonly number[], newOwner: Member): Promise<boolean> {
        const { log, members, self, clock, control, directory } = this.dependencies;
        const record = formatMemberRecord({
            kind: "handover",
            service: self.service,
            partitions: [...partitions],
            from: createSlotIncarnation(self),
            to: createSlotIncarnation(newOwner),
        });
        let mayBeAppended = false;
        for (;;) {
            const appended = await log.append(members.stream, record);
            if (!appended.ok && appended.error.kind !== "answerLost" && !mayBeAppended) {
                return false;
            }
            mayBeAppended = true;
            const caughtUp = await members.catchUp(log);
            if (caughtUp.ok && !partitions.some(partition => this.ownedPartitions.has(partition))) {
                const offsets = { ...directory.getSelf().offsets, members: members.getAppliedOffset() };
                void control.call(
                    formatSlot(newOwner),
                    "notify",
                    { from: directory.getSelf(), offsets },
                    transferTimeoutMs,
                );
                return true;
            }
            await clock.sleep(handoverRetryDelayMs);
        }
    }

    /** Sends the current owners the results of runs that ended after their partitions had moved. */
    private async sendLateResults(): Promise<void> {
        const { control, self, members } = this.dependencies;
        const state = members.get()?.state;
        for (const result of this.lateResults.splice(0)) {
            const partition = findPartition(result.key);
            const entry = state?.partitions[self.service]?.[partition];
            const owner = entry === undefined ? undefined : state?.members[entry.owner.slot];
            if (owner === undefined) {
                continue;
            }
            if (isSameMember(owner, self)) {
                // The result is kept while a handover is in progress. Otherwise this node has the claim itself.
                if (this.releasing.has(partition)) {
                    this.lateResults.push(result);
                }
                continue;
            }
            const request = {
                from: self,
                to: owner,
                partitions: [partition],
                claims: [result.claim],
                isLast: true,
                isLateResult: true,
            };
            await control.call(formatSlot(owner), "transfer", request, transferTimeoutMs);
        }
    }
}

function formatOwner(owner: { readonly slot: string; readonly incarnation: number; }): string {
    return `${owner.slot}#${owner.incarnation}`;
}
