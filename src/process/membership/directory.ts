/**
 * Membership list: the members announced on the shared log, with their health as found by probes (after SWIM).
 *
 * Health only affects the choice of instances. A faulty member stays in the directory and is probed again, so a network
 * partition removes nobody; only the log removes a member.
 */
import type { MemberUpdate, StreamOffsets } from "../../connection/control.js";
import { maxUpdatesPerMessage } from "../../connection/control.js";
import type { Member, SlotName } from "../../version/member.js";
import { formatSlot, isSameMember } from "../../version/member.js";
import type { MemberState } from "../../version/memberStream.js";
import type { Clock } from "../base/clock.js";

/** Time after which a suspect that has not refuted the suspicion becomes faulty, in milliseconds. */
const suspicionTimeoutMs = 3000;
/** An update is gossiped this many times the binary logarithm of the number of members, as in SWIM. */
const retransmitMultiplier = 3;
/** Severity of each health; of two updates with the same incarnation and refutation count, the more severe one wins. */
const healthSeverity: Readonly<Record<MemberUpdate["health"], number>> = {
    alive: 0,
    suspect: 1,
    faulty: 2,
    leaving: 3,
    left: 4,
};

/** Health of a member, from `alive` to `left` in the order of severity. */
export type Health = MemberUpdate["health"];

/** One known member, with the latest update about it. */
interface DirectoryEntry {
    update: MemberUpdate;
    /** Monotonic time at which the member became a suspect, in milliseconds. */
    suspectSince: number;
    /** Number of times that the latest update of the member was gossiped. */
    sends: number;
}

/** All members that this node knows, itself included. */
export class Directory {
    private readonly entries = new Map<SlotName, DirectoryEntry>();

    constructor(private readonly clock: Clock, private self: MemberUpdate) {
        this.entries.set(formatSlot(self.member), { update: self, suspectSince: 0, sends: 0 });
    }

    /** Update that this node gossips about itself. */
    getSelf(): MemberUpdate {
        return this.self;
    }

    /** Changes the update that this node gossips about itself. A change of health is gossiped anew. */
    updateSelf(change: Partial<Pick<MemberUpdate, "health" | "offsets">>): void {
        const isHealthChange = change.health !== undefined && change.health !== this.self.health;
        this.self = { ...this.self, ...change };
        const entry = this.entries.get(formatSlot(this.self.member))!;
        entry.update = this.self;
        if (isHealthChange) {
            entry.sends = 0;
        }
    }

    /** Applies the `members` stream: adds the members that it announces and removes those that it no longer does. */
    applyMembers(state: MemberState): void {
        for (const [slot, entry] of this.entries) {
            const incarnation = state.incarnations[slot];
            const hasLeft = incarnation !== undefined && incarnation >= entry.update.member.incarnation
                && state.members[slot]?.incarnation !== entry.update.member.incarnation;
            if (hasLeft && slot !== formatSlot(this.self.member)) {
                this.entries.delete(slot);
            }
        }
        for (const member of Object.values(state.members)) {
            const update: MemberUpdate = { member, health: "alive", refutation: 0, offsets: unknownOffsets };
            if (this.mergeUpdate(update)) {
                // Every node reads the announcement from the log, so it needs no gossip.
                this.entries.get(formatSlot(member))!.sends = Infinity;
            }
        }
    }

    /** Merges an update from a peer. Returns whether it was newer than what is known, or was refuted by this node. */
    mergeUpdate(update: MemberUpdate): boolean {
        const slot = formatSlot(update.member);
        if (isSameMember(update.member, this.self.member)) {
            return this.refute(update);
        }
        const entry = this.entries.get(slot);
        if (entry === undefined) {
            this.entries.set(slot, { update, suspectSince: this.clock.readMonotonic(), sends: 0 });
            return true;
        }
        if (!isNewer(update, entry.update)) {
            entry.update = { ...entry.update, offsets: mergeOffsets(entry.update.offsets, update.offsets) };
            return false;
        }
        if (update.health === "suspect" && entry.update.health !== "suspect") {
            entry.suspectSince = this.clock.readMonotonic();
        }
        entry.update = { ...update, offsets: mergeOffsets(entry.update.offsets, update.offsets) };
        entry.sends = 0;
        return true;
    }

    /** Refutes a suspicion about this node by a higher refutation count. Returns whether there was one to refute. */
    private refute(update: MemberUpdate): boolean {
        const isSuspected = update.health === "suspect" || update.health === "faulty";
        if (!isSuspected || update.refutation < this.self.refutation) {
            return false;
        }
        this.self = { ...this.self, refutation: update.refutation + 1 };
        const entry = this.entries.get(formatSlot(this.self.member))!;
        entry.update = this.self;
        entry.sends = 0;
        return true;
    }

    /** Records that a member answered or sent a probe, which ends a suspicion about it on this node only. */
    recordAlive(member: Member): void {
        const entry = this.entries.get(formatSlot(member));
        const health = entry?.update.health;
        if (entry !== undefined && (health === "suspect" || health === "faulty")) {
            entry.update = { ...entry.update, health: "alive" };
            entry.sends = 0;
        }
    }

    /** Makes a member a suspect that answered neither this node's probe nor indirect probes. */
    recordUnresponsive(member: Member): void {
        const entry = this.entries.get(formatSlot(member));
        if (entry?.update.health === "alive") {
            this.mergeUpdate({ ...entry.update, health: "suspect" });
        }
    }

    /** Records that the member in a node slot has answered that it is leaving. */
    recordLeaving(slot: SlotName): void {
        const entry = this.entries.get(slot);
        if (entry !== undefined) {
            this.mergeUpdate({ ...entry.update, health: "leaving" });
        }
    }

    /** Makes suspects faulty that have not refuted the suspicion in time. */
    expireSuspicions(): void {
        const now = this.clock.readMonotonic();
        for (const entry of this.entries.values()) {
            if (entry.update.health === "suspect" && now - entry.suspectSince > suspicionTimeoutMs) {
                this.mergeUpdate({ ...entry.update, health: "faulty" });
            }
        }
    }

    /** Picks the updates to gossip with the next message, the least often sent first, and counts the sends. */
    pickGossipUpdates(): MemberUpdate[] {
        const maxSends = retransmitMultiplier * Math.ceil(Math.log2(this.entries.size + 1));
        const pending = [...this.entries.values()].filter(entry => entry.sends < maxSends);
        pending.sort((a, b) => a.sends - b.sends);
        const chosen = pending.slice(0, maxUpdatesPerMessage);
        for (const entry of chosen) {
            entry.sends += 1;
        }
        return chosen.map(entry => entry.update);
    }

    /** Lists the updates of all members, this node included. */
    listAll(): MemberUpdate[] {
        return [...this.entries.values()].map(entry => entry.update);
    }

    /** Lists the updates of all members except this node. */
    listPeers(): MemberUpdate[] {
        return this.listAll().filter(update => !isSameMember(update.member, this.self.member));
    }

    /** Finds the health of the member in a node slot; `undefined` if none is known there. */
    findHealth(slot: SlotName): Health | undefined {
        return this.entries.get(slot)?.update.health;
    }

    /**
     * Lists the members of a service that may get requests. When at least half of them look faulty, the probes are more
     * likely to be wrong than the members, so the faulty ones are listed too.
     */
    listCandidates(service: string): Member[] {
        const remaining = this.listAll().filter(update =>
            update.member.service === service && update.health !== "leaving" && update.health !== "left"
        );
        const notFaulty = remaining.filter(update => update.health !== "faulty");
        return (notFaulty.length * 2 > remaining.length ? notFaulty : remaining).map(update => update.member);
    }
}

/** Applied offsets of a member about whose streams nothing is known. */
export const unknownOffsets: StreamOffsets = { contracts: -1, members: -1, quarantine: -1 };

/** Takes the higher offset of each stream. */
export function mergeOffsets(a: StreamOffsets, b: StreamOffsets): StreamOffsets {
    return {
        contracts: Math.max(a.contracts, b.contracts),
        members: Math.max(a.members, b.members),
        quarantine: Math.max(a.quarantine, b.quarantine),
    };
}

/** Whether an update replaces the known one: by incarnation, then refutation count, then severity. */
function isNewer(update: MemberUpdate, known: MemberUpdate): boolean {
    if (update.member.incarnation !== known.member.incarnation) {
        return update.member.incarnation > known.member.incarnation;
    }
    if (update.refutation !== known.refutation) {
        return update.refutation > known.refutation && known.health !== "leaving" && known.health !== "left";
    }
    return healthSeverity[update.health] > healthSeverity[known.health];
}
