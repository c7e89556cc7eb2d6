/**
 * This node's part in the ownership of keys: which partitions of its service it holds, and handing them over.
 *
 * Partitions move through the log only. Before the record of a handover is appended, the giver stops deciding on the
 * partitions and sends their claims to the next owner; after the append it takes them back only if the append provably had
 * no effect. A run in progress at the handover is told to the next owner when it ends.
 */
import type { ClaimTransfer, ControlCaller, ControlRequest } from "../connection/control.js";
import { maxTransferClaims } from "../connection/control.js";
import type { LogService } from "../connection/logService.js";
import type { Member } from "../version/member.js";
import { formatSlot, isSameMember } from "../version/member.js";
import type { MemberState, Ownership as PartitionOwnership } from "../version/memberStream.js";
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
} from "../version/memberStream.js";
import type { Random } from "./balancer.js";
import type { PartitionStatus } from "./claim.js";
import type { Claims } from "./claims.js";
import type { Clock } from "./clock.js";
import type { Directory } from "./directory.js";
import type { Logger } from "./logger.js";
import type { MemberReplica } from "./streams.js";

/** Time between looks at the balance of partitions, in milliseconds. */
const balanceIntervalMs = 500;
/** Time for one transfer message, in milliseconds. */
const transferTimeoutMs = 3000;
/** Time between reads of the log while the fate of a handover is open, in milliseconds. */
const resolveIntervalMs = 200;

/** What ownership needs from the rest of the node. */
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

/** A partition that this node owns. */
interface Holder {
    readonly epoch: number;
    /** Until when the owner before may be asked about by re-sends, on the monotonic scale; 0 if it told all it knew. */
    readonly inheritedUntil: number;
}

/** Claims that an owner sent ahead of its handover. */
interface Staged {
    /** Claims by partition: a handover moves many partitions with many claims, and each is looked up once. */
    readonly claims: Map<number, ClaimTransfer[]>;
    /** Partitions whose claims have all arrived. */
    readonly complete: Set<number>;
}

/** Partitions of this node's service that it owns. */
export class Ownership {
    private readonly holders = new Map<number, Holder>();
    private readonly releasing = new Set<number>();
    private readonly staged = new Map<string, Staged>();
    private readonly lateResults: { readonly key: string; readonly claim: ClaimTransfer; }[] = [];
    private claims: Claims | undefined;

    constructor(private readonly dependencies: OwnershipDependencies) {
        dependencies.members.addListener(current => this.applyMembers(current.state));
    }

    /** Sets the table of claims; called once when the node is put together. */
    setClaims(claims: Claims): void {
        this.claims = claims;
    }

    /** How this node stands to a partition of its service now. */
    findPartitionStatus(partition: number): PartitionStatus {
        const holder = this.holders.get(partition);
        if (holder === undefined) {
            return "foreign";
        }
        if (this.releasing.has(partition)) {
            return "releasing";
        }
        return holder.inheritedUntil > this.dependencies.clock.readMonotonic() ? "inherited" : "owned";
    }

    /** Number of partitions that this node owns. */
    countOwned(): number {
        return this.holders.size;
    }

    /** Keeps the partitions evenly spread until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.dependencies;
        while (!signal.aborted) {
            await clock.sleep(balanceIntervalMs * (0.75 + this.dependencies.random() / 2), signal);
            await this.balance();
            await this.sendLateResults();
        }
    }

    /** Hands over everything before this node leaves. */
    async handOverAll(): Promise<void> {
        const { self, members } = this.dependencies;
        const state = members.get()?.state;
        if (state === undefined) {
            return;
        }
        const heirs = this.listHeirs(state);
        const shares = new Map<Member, number[]>();
        for (const partition of listOwnedPartitions(state, self.service, createSlotIncarnation(self))) {
            const heir = chooseByRendezvousHash(heirs, String(partition));
            if (heir !== undefined) {
                shares.set(heir, [...shares.get(heir) ?? [], partition]);
            }
        }
        for (const [heir, partitions] of shares) {
            await this.handOver(partitions, heir);
        }
        await this.sendLateResults();
    }

    /** Takes claims that another owner hands over. */
    acceptTransfer(request: ControlRequest<"transfer">): void {
        if (!isSameMember(request.to, this.dependencies.self)) {
            throw new Error("the transfer is meant for another incarnation");
        }
        if (request.isLateResult) {
            request.claims.forEach(claim => this.claims?.adoptLateResult(claim));
            return;
        }
        const giver = formatGiver(createSlotIncarnation(request.from));
        const staged: Staged = this.staged.get(giver) ?? { claims: new Map(), complete: new Set() };
        this.staged.set(giver, staged);
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

    /** Keeps the result of a run whose partition is moving or has moved, for the next owner. */
    addLateResult(key: string, claim: ClaimTransfer): void {
        this.lateResults.push({ key, claim });
    }

    private applyMembers(state: MemberState): void {
        const own = createSlotIncarnation(this.dependencies.self);
        const entries = state.partitions[this.dependencies.self.service] ?? [];
        const lost = new Set<number>();
        for (let partition = 0; partition < partitionCount; partition += 1) {
            const entry = entries[partition];
            const holder = this.holders.get(partition);
            if (entry === undefined || !isSameIncarnation(entry.owner, own)) {
                if (holder !== undefined) {
                    this.holders.delete(partition);
                    this.releasing.delete(partition);
                    lost.add(partition);
                }
            }
            else if (holder?.epoch !== entry.epoch) {
                this.holders.set(partition, { epoch: entry.epoch, inheritedUntil: this.takeOver(partition, entry) });
            }
        }
        if (lost.size > 0) {
            this.claims?.removePartitions(lost);
        }
        this.pruneStaged(state);
    }

    /** Adopts the claims sent ahead. Returns until when the partition counts as inherited. */
    private takeOver(partition: number, entry: PartitionOwnership): number {
        if (entry.origin === "first") {
            return 0;
        }
        if (entry.origin === "handover") {
            for (const staged of this.staged.values()) {
                if (staged.complete.delete(partition)) {
                    this.claims?.adopt(staged.claims.get(partition) ?? []);
                    staged.claims.delete(partition);
                    return 0;
                }
            }
        }
        return this.dependencies.clock.readMonotonic() + this.dependencies.getResendWindowMs();
    }

    /** Forgets claims sent ahead by givers that are gone or own nothing any more. */
    private pruneStaged(state: MemberState): void {
        const owners = new Set(
            (state.partitions[this.dependencies.self.service] ?? []).map(entry => formatGiver(entry.owner)),
        );
        for (const giver of this.staged.keys()) {
            if (!owners.has(giver)) {
                this.staged.delete(giver);
            }
        }
    }

    /** Gives partitions to a member that owns less than its share and at least two fewer than this node. */
    async balance(): Promise<void> {
        const { self, members, isLogUp } = this.dependencies;
        const state = members.get()?.state;
        if (state === undefined || !isLogUp() || !isAnnounced(state, self)) {
            return;
        }
        const own = listOwnedPartitions(state, self.service, createSlotIncarnation(self));
        const heirs = this.listHeirs(state)
            .map(member => ({
                member,
                owned: listOwnedPartitions(state, self.service, createSlotIncarnation(member)).length,
            }))
            .filter(heir => heir.owned + 1 < own.length);
        // Several givers that see the same poorest member would give it too much, so each draws one.
        const fair = Math.floor(partitionCount / listServiceMembers(state, self.service).length);
        const poor = heirs.filter(heir => heir.owned < fair);
        const drawn = poor[Math.floor(this.dependencies.random() * poor.length)];
        if (drawn !== undefined) {
            const moving = Math.min(Math.floor((own.length - drawn.owned) / 2), fair - drawn.owned);
            await this.handOver(own.slice(-moving), drawn.member);
        }
    }

    /** Members of the service that may take over partitions. */
    private listHeirs(state: MemberState): Member[] {
        const { self, directory } = this.dependencies;
        return listServiceMembers(state, self.service)
            .filter(member => !isSameMember(member, self) && directory.findHealth(formatSlot(member)) === "alive");
    }

    private async handOver(partitions: readonly number[], heir: Member): Promise<void> {
        const { logger } = this.dependencies;
        partitions.forEach(partition => this.releasing.add(partition));
        const isSent = await this.sendClaims(partitions, heir);
        const isMoved = isSent && await this.appendHandover(partitions, heir);
        partitions.forEach(partition => this.releasing.delete(partition));
        const fields = { partitions: partitions.length, to: formatSlot(heir) };
        if (!isMoved) {
            logger.warn("handoverFailed", { ...fields, stage: isSent ? "append" : "transfer" });
            return;
        }
        logger.info("handoverDone", fields);
    }

    private async sendClaims(partitions: readonly number[], heir: Member): Promise<boolean> {
        const { control, self } = this.dependencies;
        const claims = this.claims?.listTransfers(new Set(partitions)) ?? [];
        const chunks = Math.max(1, Math.ceil(claims.length / maxTransferClaims));
        for (let chunk = 0; chunk < chunks; chunk += 1) {
            const request = {
                from: self,
                to: heir,
                partitions: [...partitions],
                claims: claims.slice(chunk * maxTransferClaims, (chunk + 1) * maxTransferClaims),
                isLast: chunk === chunks - 1,
                isLateResult: false,
            };
            const reply = await control.call(formatSlot(heir), "transfer", request, transferTimeoutMs);
            if (!reply.ok) {
                return false;
            }
        }
        return true;
    }

    /** Appends a handover and waits for its fate. False only if the record provably is not and will not be on the log. */
    private async appendHandover(partitions: readonly number[], heir: Member): Promise<boolean> {
        const { log, members, self, clock, control, directory } = this.dependencies;
        const record = formatMemberRecord({
            kind: "handover",
            service: self.service,
            partitions: [...partitions],
            from: createSlotIncarnation(self),
            to: createSlotIncarnation(heir),
        });
        let isOpen = false;
        for (;;) {
            const appended = await log.append(members.stream, record);
            if (!appended.ok && appended.error.kind !== "answerLost" && !isOpen) {
                return false;
            }
            isOpen = true;
            const caughtUp = await members.catchUp(log);
            if (caughtUp.ok && !partitions.some(partition => this.holders.has(partition))) {
                const offsets = { ...directory.getSelf().offsets, members: members.getAppliedOffset() };
                void control.call(
                    formatSlot(heir),
                    "notify",
                    { from: directory.getSelf(), offsets },
                    transferTimeoutMs,
                );
                return true;
            }
            await clock.sleep(resolveIntervalMs);
        }
    }

    /** Tells the present owners the results of runs that ended after their partitions had moved. */
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
                // The partition is still here or has come back: either still moving, or the claim is at hand.
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

function formatGiver(giver: { readonly slot: string; readonly incarnation: number; }): string {
    return `${giver.slot}#${giver.incarnation}`;
}
