/**
 * The `members` stream: announcements of nodes, and which node owns which action keys.
 *
 * The keys of each service are divided into {@link partitionCount} partitions, each with one owner at a time. Ownership
 * moves only through records on the shared log which prove that the owner has given it up: the owner hands it over or
 * leaves, a newer incarnation starts in the owner's slot, or an operator retires the slot. Timeouts never move it, so a
 * paused process, a network partition or an outage of the shared log cannot produce two owners.
 */
import { createHash } from "node:crypto";
import * as v from "valibot";
import type { Member, SlotName } from "./member.js";
import { formatSlot, isSameMember, memberSchema } from "./member.js";
import { createIntegerSchema, parseWith, shortTextSchema } from "./schema.js";
import type { StreamReducer } from "./streamReducer.js";

/** Name of the stream on the log service. */
export const memberStreamName = "members";
/** Number of partitions of the key space of each service. */
export const partitionCount = 64;

/** Slot name recorded as the owner of a partition without an owner. */
const vacantSlot: SlotName = "vacant";

const partitionSchema = createIntegerSchema(0, partitionCount - 1);
const slotIncarnationSchema = v.object({ slot: shortTextSchema, incarnation: v.pipe(v.number(), v.integer()) });

/** One incarnation of a node slot. */
export type SlotIncarnation = v.InferOutput<typeof slotIncarnationSchema>;

const recordSchema = v.variant("kind", [
    v.object({ kind: v.literal("join"), member: memberSchema }),
    v.object({ kind: v.literal("leave"), slot: shortTextSchema, incarnation: v.number() }),
    v.object({
        kind: v.literal("handover"),
        service: shortTextSchema,
        partitions: v.pipe(v.array(partitionSchema), v.maxLength(partitionCount)),
        from: slotIncarnationSchema,
        to: slotIncarnationSchema,
    }),
    v.object({ kind: v.literal("retire"), slot: shortTextSchema, operator: shortTextSchema }),
]);

/** A record of the stream. */
export type MemberRecord = v.InferOutput<typeof recordSchema>;

const ownershipSchema = v.object({
    owner: slotIncarnationSchema,
    /** Offset of the record that assigned this owner. It increases with each change of owner. */
    epoch: v.number(),
    /**
     * How the owner was assigned: as the `first` member of its service, by `handover` together with the table of
     * claims, or by `inheritance` from a removed owner, which may have run actions that the new owner does not know of.
     */
    origin: v.picklist(["first", "handover", "inheritance"]),
});

/** Owner of a partition. */
export type Ownership = v.InferOutput<typeof ownershipSchema>;

const stateSchema = v.object({
    members: v.record(v.string(), memberSchema),
    /** Owners by service, with one entry for each partition. */
    partitions: v.record(v.string(), v.array(ownershipSchema)),
    /** Highest known incarnation of each slot, including slots that have left. */
    incarnations: v.record(v.string(), v.number()),
});

/** State of the stream: announced members, owners of partitions, and known incarnations. */
export type MemberState = v.InferOutput<typeof stateSchema>;

/** Reducer of the stream. */
export const memberReducer: StreamReducer<MemberState, MemberRecord> = {
    createState: () => ({ members: {}, partitions: {}, incarnations: {} }),
    parseRecord: body => parseWith(recordSchema, body),
    parseState: raw => parseWith(stateSchema, raw),
    apply: applyMemberRecord,
};

function applyMemberRecord(state: MemberState, record: MemberRecord, offset: number): MemberState {
    switch (record.kind) {
        case "join":
            return applyJoin(state, record.member, offset);
        case "leave":
            return applyLeave(state, record, offset);
        case "handover":
            return applyHandover(state, record, offset);
        case "retire":
            return removeSlot(state, record.slot, offset);
    }
}

/** Applies a join. A newer incarnation proves that the older one of its slot has ended, and inherits its partitions. */
function applyJoin(state: MemberState, member: Member, offset: number): MemberState {
    const slot = formatSlot(member);
    const knownIncarnation = state.incarnations[slot] ?? 0;
    if (member.incarnation <= knownIncarnation) {
        return state;
    }
    const owner: SlotIncarnation = { slot, incarnation: member.incarnation };
    const existing = state.partitions[member.service];
    const partitions = existing === undefined || existing.length !== partitionCount
        ? createPartitions(owner, offset)
        : existing.map(entry =>
            canInherit(entry, slot) ? { owner, epoch: offset, origin: "inheritance" as const } : entry
        );
    return {
        members: { ...state.members, [slot]: member },
        partitions: { ...state.partitions, [member.service]: partitions },
        incarnations: { ...state.incarnations, [slot]: member.incarnation },
    };
}

function canInherit(entry: Ownership, slot: SlotName): boolean {
    return entry.owner.slot === slot || entry.owner.slot === vacantSlot;
}

/**
 * Assigns all partitions of a service to a member that joins: the first member of the service, or one that joins while
 * the stored list does not have {@link partitionCount} entries. The origin is "first" in both cases, but only in the
 * first case no other node can have run actions of the service before.
 */
function createPartitions(owner: SlotIncarnation, epoch: number): Ownership[] {
    return Array.from({ length: partitionCount }, () => ({ owner, epoch, origin: "first" as const }));
}

/** Applies a leave. A member appends it after its last run, so its remaining partitions can move to other members. */
function applyLeave(state: MemberState, record: { slot: SlotName; incarnation: number; }, offset: number): MemberState {
    return state.members[record.slot]?.incarnation === record.incarnation
        ? removeSlot(state, record.slot, offset)
        : state;
}

/** Moves those of the listed partitions that the sender owns at this point of the shared log. */
function applyHandover(
    state: MemberState,
    record: Extract<MemberRecord, { kind: "handover"; }>,
    offset: number,
): MemberState {
    const partitions = state.partitions[record.service];
    if (partitions === undefined) {
        return state;
    }
    const moving = new Set(record.partitions);
    const moved = partitions.map((entry, index) =>
        moving.has(index) && isSameIncarnation(entry.owner, record.from)
            ? { owner: record.to, epoch: offset, origin: "handover" as const }
            : entry
    );
    return { ...state, partitions: { ...state.partitions, [record.service]: moved } };
}

/** Removes a slot whose process has provably ended. Its partitions move to the remaining members of the service. */
function removeSlot(state: MemberState, slot: SlotName, offset: number): MemberState {
    const { [slot]: _removed, ...members } = state.members;
    const partitions: Record<string, Ownership[]> = {};
    for (const [service, entries] of Object.entries(state.partitions)) {
        const candidates = listServiceMembers({ ...state, members }, service);
        partitions[service] = entries.map((entry, index) =>
            entry.owner.slot === slot
                ? createInheritedOwnership(chooseByRendezvousHash(candidates, String(index)), offset)
                : entry
        );
    }
    return { ...state, members, partitions };
}

/** Creates an inherited ownership. Without a candidate the partition is vacant until a member of the service joins. */
function createInheritedOwnership(candidate: Member | undefined, epoch: number): Ownership {
    const owner = candidate === undefined ? { slot: vacantSlot, incarnation: 0 } : createSlotIncarnation(candidate);
    return { owner, epoch, origin: "inheritance" };
}

/** Creates the slot and incarnation of a member. */
export function createSlotIncarnation(member: Member): SlotIncarnation {
    return { slot: formatSlot(member), incarnation: member.incarnation };
}

/** Whether both are the same incarnation of the same slot. */
export function isSameIncarnation(a: SlotIncarnation, b: SlotIncarnation): boolean {
    return a.slot === b.slot && a.incarnation === b.incarnation;
}

/** Lists the announced members of a service, ordered by slot. */
export function listServiceMembers(state: MemberState, service: string): Member[] {
    return Object.values(state.members)
        .filter(member => member.service === service)
        .sort((a, b) => formatSlot(a) < formatSlot(b) ? -1 : 1);
}

/** Chooses a member for a key by rendezvous hashing, so that most choices stay the same when members change. */
export function chooseByRendezvousHash(members: readonly Member[], key: string): Member | undefined {
    let best: Member | undefined;
    let bestScore = -1;
    for (const member of members) {
        const score = hashText(`${formatSlot(member)}|${key}`);
        if (score > bestScore) {
            best = member;
            bestScore = score;
        }
    }
    return best;
}

/** Finds the partition of an action key. */
export function findPartition(key: string): number {
    return hashText(key) % partitionCount;
}

/** Finds the member that owns an action key; `undefined` unless it is announced in the owning incarnation. */
export function findOwner(state: MemberState, service: string, key: string): Member | undefined {
    const entry = state.partitions[service]?.[findPartition(key)];
    const member = entry === undefined ? undefined : state.members[entry.owner.slot];
    return entry !== undefined && member?.incarnation === entry.owner.incarnation ? member : undefined;
}

/** Lists the partitions of a service that an incarnation owns. */
export function listOwnedPartitions(state: MemberState, service: string, owner: SlotIncarnation): number[] {
    const entries = state.partitions[service] ?? [];
    return entries.flatMap((entry, index) => isSameIncarnation(entry.owner, owner) ? [index] : []);
}

/** Whether a member is announced in exactly this incarnation. */
export function isAnnounced(state: MemberState, member: Member): boolean {
    const announced = state.members[formatSlot(member)];
    return announced !== undefined && isSameMember(announced, member);
}

/** Computes a uniformly distributed 32-bit hash of a text, the same on every node. */
export function hashText(text: string): number {
    return createHash("sha1").update(text).digest().readUInt32BE(0);
}

/** Formats a record for the shared log. */
export function formatMemberRecord(record: MemberRecord): string {
    return JSON.stringify(record);
}
