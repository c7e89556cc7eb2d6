/** The node's copies of the three log streams. */
import type { StreamOffsets } from "../connection/control.js";
import type { LogService } from "../connection/logService.js";
import type { ContractState, Publication } from "../version/contractStream.js";
import { contractReducer, contractStreamName } from "../version/contractStream.js";
import type { MemberRecord, MemberState } from "../version/memberStream.js";
import { memberReducer, memberStreamName } from "../version/memberStream.js";
import type { QuarantineRecord, QuarantineState } from "../version/quarantineStream.js";
import { quarantineReducer, quarantineStreamName } from "../version/quarantineStream.js";
import { Replica } from "../version/replica.js";
import type { Logger } from "./logger.js";

/** Copy of the `members` stream. */
export type MemberReplica = Replica<MemberState, MemberRecord>;

/** Copies of all streams. */
export interface Streams {
    readonly contracts: Replica<ContractState, Publication>;
    readonly members: MemberReplica;
    readonly quarantine: Replica<QuarantineState, QuarantineRecord>;
}

/** Names of the streams, in the order in which they are read. */
export const streamKeys = ["contracts", "members", "quarantine"] as const;

/** Creates empty copies. */
export function createStreams(logger: Logger): Streams {
    const reportSkipped = (stream: string, offset: number): void => {
        logger.warn("recordSkipped", { stream, offset });
    };
    return {
        contracts: new Replica(contractStreamName, contractReducer, reportSkipped),
        members: new Replica(memberStreamName, memberReducer, reportSkipped),
        quarantine: new Replica(quarantineStreamName, quarantineReducer, reportSkipped),
    };
}

/** Offsets through which the copies are folded. */
export function getOffsets(streams: Streams): StreamOffsets {
    return {
        contracts: streams.contracts.getAppliedOffset(),
        members: streams.members.getAppliedOffset(),
        quarantine: streams.quarantine.getAppliedOffset(),
    };
}

/** Whether offsets go beyond what is folded here, in any stream. */
export function isBehind(own: StreamOffsets, seen: StreamOffsets): boolean {
    return streamKeys.some(key => seen[key] > own[key]);
}

/** Reads all streams to the end of the log. Returns the first failure, in words. */
export async function catchUpAll(streams: Streams, log: LogService): Promise<string | undefined> {
    for (const key of streamKeys) {
        const result = await streams[key].catchUp(log);
        if (!result.ok) {
            return result.error.kind === "gap" ? result.error.message : result.error.error.message;
        }
    }
    return undefined;
}
