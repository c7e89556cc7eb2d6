/** Announces this node on the log when it starts, and takes the announcement back when it leaves. */
import type { LogService } from "../connection/logService.js";
import type { Member } from "../version/member.js";
import { formatSlot } from "../version/member.js";
import { formatMemberRecord, isAnnounced } from "../version/memberStream.js";
import type { Clock } from "./clock.js";
import type { Logger } from "./logger.js";
import type { MemberReplica } from "./streams.js";

/** Time between tries, in milliseconds. */
const retryMs = 300;

/** What the announcer needs from the rest of the node. */
export interface AnnouncerDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly self: Member;
    readonly log: LogService;
    readonly members: MemberReplica;
}

/** Appends the announcement until the log shows it. A repeated record changes nothing. */
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
            await clock.sleep(retryMs, signal);
        }
    }
}

/** Appends the leave. Gives up when the log can't be reached in time; the slot's next process supersedes this one anyway. */
export async function withdrawMember(dependencies: AnnouncerDependencies, timeoutMs: number): Promise<void> {
    const { clock, logger, self, log, members } = dependencies;
    const giveUpAt = clock.readMonotonic() + timeoutMs;
    while (isAnnouncedNow(dependencies) && clock.readMonotonic() < giveUpAt) {
        const record = formatMemberRecord({ kind: "leave", slot: formatSlot(self), incarnation: self.incarnation });
        await log.append(members.stream, record);
        await members.catchUp(log);
        if (isAnnouncedNow(dependencies)) {
            await clock.sleep(retryMs);
        }
    }
    logger.info("withdrawn", { isOnLog: !isAnnouncedNow(dependencies) });
}

function isAnnouncedNow(dependencies: AnnouncerDependencies): boolean {
    const state = dependencies.members.get()?.state;
    return state !== undefined && isAnnounced(state, dependencies.self);
}
