/**
 * Announces this node on the shared log when it starts, and withdraws the announcement when it leaves.
 *
 * A node slot is the address and control port of a node. Successive processes in a slot have increasing incarnations.
 */
import type { LogService } from "../../connection/logService.js";
import type { Member } from "../../version/member.js";
import { formatSlot } from "../../version/member.js";
import { formatMemberRecord, isAnnounced } from "../../version/memberStream.js";
import type { Clock } from "../base/clock.js";
import type { Logger } from "../telemetry/logger.js";
import type { MemberReplica } from "./streams.js";

/** Delay before an append that has not taken effect is retried, in milliseconds. */
const retryDelayMs = 300;

/** Dependencies of {@link announceMember} and {@link withdrawMember}. */
export interface AnnouncerDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly self: Member;
    readonly log: LogService;
    readonly members: MemberReplica;
}

/**
 * Appends a `join` record until it is read back from the log; a duplicate record has no effect. Nothing is appended before
 * the stream was read once. Stops when the signal aborts, or with an error in the log output when a newer incarnation
 * holds the node slot.
 */
export async function announceMember(dependencies: AnnouncerDependencies, signal: AbortSignal): Promise<void> {
    const { clock, logger, self, log, members } = dependencies;
    while (!signal.aborted) {
        await members.catchUp(log);
        const state = members.get()?.state;
        if (state !== undefined && isAnnounced(state, self)) {
            logger.info("announced", { slot: formatSlot(self), incarnation: self.incarnation });
            return;
        }
        if (state !== undefined && (state.incarnations[formatSlot(self)] ?? 0) > self.incarnation) {
            logger.error("superseded", { slot: formatSlot(self), incarnation: self.incarnation });
            return;
        }
        if (state !== undefined) {
            await log.append(members.stream, formatMemberRecord({ kind: "join", member: self }));
            await members.catchUp(log);
        }
        if (!isAnnouncedNow(dependencies)) {
            await clock.sleep(retryDelayMs, signal);
        }
    }
}

/**
 * Appends a `leave` record until it is read back, for at most `timeoutMs` milliseconds. Giving up is safe, because the
 * next process in the node slot supersedes this one. The event `withdrawn` is logged in both cases; its field `isOnLog`
 * is false if this node is still announced in the state that was last read from the log.
 */
export async function withdrawMember(dependencies: AnnouncerDependencies, timeoutMs: number): Promise<void> {
    const { clock, logger, self, log, members } = dependencies;
    const giveUpAt = clock.readMonotonic() + timeoutMs;
    while (isAnnouncedNow(dependencies) && clock.readMonotonic() < giveUpAt) {
        const record = formatMemberRecord({ kind: "leave", slot: formatSlot(self), incarnation: self.incarnation });
        await log.append(members.stream, record);
        await members.catchUp(log);
        if (isAnnouncedNow(dependencies)) {
            await clock.sleep(retryDelayMs);
        }
    }
    logger.info("withdrawn", { isOnLog: !isAnnouncedNow(dependencies) });
}

function isAnnouncedNow(dependencies: AnnouncerDependencies): boolean {
    const state = dependencies.members.get()?.state;
    return state !== undefined && isAnnounced(state, dependencies.self);
}
