/**
 * What this node knows of all members: who is announced on the log, and what the probes say of their health.
 *
 * Health only steers the choice of instances. A member that looks faulty stays in the directory and is probed again, so a
 * cut between regions evicts nobody; only the log removes a member.
 */
import type { MemberUpdate, StreamOffsets } from "../connection/control.js";
import { maxUpdatesPerMessage } from "../connection/control.js";
import type { Member, SlotName } from "../version/member.js";
import { formatSlot, isSameMember } from "../version/member.js";
import type { MemberState } from "../version/memberStream.js";
import type { Clock } from "./clock.js";

/** Time for which a member is suspect before it counts as faulty, in milliseconds. */
const suspicionMs = 3000;
/** Times that a piece of news is sent on, for each doubling of the number of members. */
const sendsPerDoubling = 3;
/** Severity of each health within one incarnation and refutation count; the worse one wins. */
const severity: Readonly<Record<MemberUpdate["health"], number>> = {
    alive: 0,
    suspect: 1,
    faulty: 2,
    leaving: 3,
    left: 4,
};

/** Health of a member. */
export type Health = MemberUpdate["health"];

/** One known member. */
interface Entry {
    update: MemberUpdate;
    suspectSince: number;
    /** Times that the latest news about the member was sent on. */
    sends: number;
}

/** All members that this node knows, itself included. */
export class Directory {
    private readonly entries = new Map<SlotName, Entry>();

    constructor(private readonly clock: Clock, private self: MemberUpdate) {
        this.entries.set(formatSlot(self.member), { update: self, suspectSince: 0, sends: 0 });
    }

    /** What this node says of itself. */
    getSelf(): MemberUpdate {
        return this.self;
    }

    /** Changes what this node says of itself. */
    updateSelf(change: Partial<Pick<MemberUpdate, "health" | "offsets">>): void {
        const isNews = change.health !== undefined && change.health !== this.self.health;
        this.self = { ...this.self, ...change };
        const entry = this.entries.get(formatSlot(this.self.member))!;
        entry.update = this.self;
        if (isNews) {
            entry.sends = 0;
        }
    }

    /** Takes over what the log says: adds the announced members and removes those that left. */
    mergeAnnounced(state: MemberState): void {
        for (const [slot, entry] of this.entries) {
            const incarnation = state.incarnations[slot];
            const isGone = incarnation !== undefined && incarnation >= entry.update.member.incarnation
                && state.members[slot]?.incarnation !== entry.update.member.incarnation;
            if (isGone && slot !== formatSlot(this.self.member)) {
                this.entries.delete(slot);
            }
        }
        for (const member of Object.values(state.members)) {
            const update: MemberUpdate = { member, health: "alive", refutation: 0, offsets: unknownOffsets };
            if (this.mergeUpdate(update)) {
                // Every node reads the announcement itself, so it is no news to send on.
                this.entries.get(formatSlot(member))!.sends = Infinity;
            }
        }
    }

    /** Takes over news from a peer. Returns whether it changed anything. */
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

    /** A suspicion about this node is answered with a higher refutation count. */
    private refute(update: MemberUpdate): boolean {
        const isDoubted = update.health === "suspect" || update.health === "faulty";
        if (!isDoubted || update.refutation < this.self.refutation) {
            return false;
        }
        this.self = { ...this.self, refutation: update.refutation + 1 };
        const entry = this.entries.get(formatSlot(this.self.member))!;
        entry.update = this.self;
        entry.sends = 0;
        return true;
    }

    /** Notes that a member answered this node. */
    recordAlive(member: Member): void {
        const entry = this.entries.get(formatSlot(member));
        const health = entry?.update.health;
        if (entry !== undefined && (health === "suspect" || health === "faulty")) {
            entry.update = { ...entry.update, health: "alive" };
            entry.sends = 0;
        }
    }

    /** Notes that a member did not answer, neither this node nor others. */
    recordUnresponsive(member: Member): void {
        const entry = this.entries.get(formatSlot(member));
        if (entry?.update.health === "alive") {
            this.mergeUpdate({ ...entry.update, health: "suspect" });
        }
    }

    /** Notes that a member itself said that it is leaving. */
    recordLeaving(slot: SlotName): void {
        const entry = this.entries.get(slot);
        if (entry !== undefined) {
            this.mergeUpdate({ ...entry.update, health: "leaving" });
        }
    }

    /** Turns suspicions that nobody refuted in time into faults. */
    expireSuspicions(): void {
        const now = this.clock.readMonotonic();
        for (const entry of this.entries.values()) {
            if (entry.update.health === "suspect" && now - entry.suspectSince > suspicionMs) {
                this.mergeUpdate({ ...entry.update, health: "faulty" });
            }
        }
    }

    /** Lists the news to send with the next message, least often sent first. */
    pickGossipUpdates(): MemberUpdate[] {
        const limit = sendsPerDoubling * Math.ceil(Math.log2(this.entries.size + 1));
        const fresh = [...this.entries.values()].filter(entry => entry.sends < limit);
        fresh.sort((a, b) => a.sends - b.sends);
        const chosen = fresh.slice(0, maxUpdatesPerMessage);
        for (const entry of chosen) {
            entry.sends += 1;
        }
        return chosen.map(entry => entry.update);
    }

    /** Lists everything that is known, for a node that has just started. */
    listAll(): MemberUpdate[] {
        return [...this.entries.values()].map(entry => entry.update);
    }

    /** Lists all members but this node. */
    listPeers(): MemberUpdate[] {
        return this.listAll().filter(update => !isSameMember(update.member, this.self.member));
    }

    /** Finds the health of a slot. */
    findHealth(slot: SlotName): Health | undefined {
        return this.entries.get(slot)?.update.health;
    }

    /**
     * Lists the members of a service that may get requests. When at least half of them look faulty, the fault is likelier
     * to lie in the probes, so the faulty ones are listed too.
     */
    listCandidates(service: string): Member[] {
        const staying = this.listAll().filter(update =>
            update.member.service === service && update.health !== "leaving" && update.health !== "left"
        );
        const healthy = staying.filter(update => update.health !== "faulty");
        return (healthy.length * 2 > staying.length ? healthy : staying).map(update => update.member);
    }
}

/** Offsets of a member of which nothing is known. */
export const unknownOffsets: StreamOffsets = { contracts: -1, members: -1, quarantine: -1 };

/** The higher offset of each stream. */
export function mergeOffsets(a: StreamOffsets, b: StreamOffsets): StreamOffsets {
    return {
        contracts: Math.max(a.contracts, b.contracts),
        members: Math.max(a.members, b.members),
        quarantine: Math.max(a.quarantine, b.quarantine),
    };
}

/** Whether news goes before what is known: by incarnation, then refutation count, then severity. */
function isNewer(update: MemberUpdate, known: MemberUpdate): boolean {
    if (update.member.incarnation !== known.member.incarnation) {
        return update.member.incarnation > known.member.incarnation;
    }
    if (update.refutation !== known.refutation) {
        return update.refutation > known.refutation && known.health !== "leaving" && known.health !== "left";
    }
    return severity[update.health] > severity[known.health];
}
