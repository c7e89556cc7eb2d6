/** This node's replicas of the three streams of the shared log. */
import type { StreamOffsets } from "../../connection/control.js";
import type { LogService } from "../../connection/logService.js";
import type { ContractState, Publication } from "../../version/contractStream.js";
import { contractReducer, contractStreamName } from "../../version/contractStream.js";
import type { MemberRecord, MemberState } from "../../version/memberStream.js";
import { memberReducer, memberStreamName } from "../../version/memberStream.js";
import type { QuarantineRecord, QuarantineState } from "../../version/quarantineStream.js";
import { quarantineReducer, quarantineStreamName } from "../../version/quarantineStream.js";
import { Replica } from "../../version/replica.js";
import type { Logger } from "../telemetry/logger.js";

/** Replica of the `members` stream. */
export type MemberReplica = Replica<MemberState, MemberRecord>;

/** Replicas of all streams. */
export interface Streams {
    readonly contracts: Replica<ContractState, Publication>;
    readonly members: MemberReplica;
    readonly quarantine: Replica<QuarantineState, QuarantineRecord>;
}

/** Keys of the streams in {@link Streams}, in the order in which the streams are read. */
export const streamKeys = ["contracts", "members", "quarantine"] as const;

/** Creates empty replicas. A malformed record is skipped with a warning in the log output. */
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

/** Applied offsets of the replicas. */
export function getOffsets(streams: Streams): StreamOffsets {
    return {
        contracts: streams.contracts.getAppliedOffset(),
        members: streams.members.getAppliedOffset(),
        quarantine: streams.quarantine.getAppliedOffset(),
    };
}

/** Whether `other` has a higher offset than `own` for any stream. */
export function isBehind(own: StreamOffsets, other: StreamOffsets): boolean {
    return streamKeys.some(key => other[key] > own[key]);
}

/** Reads all streams to the end of the log. Returns the message of the first failure, after which it stops. */
export async function catchUpAll(streams: Streams, log: LogService): Promise<string | undefined> {
    for (const key of streamKeys) {
        const result = await streams[key].catchUp(log);
        if (!result.ok) {
            return result.error.kind === "gap" ? result.error.message : result.error.error.message;
        }
    }
    return undefined;
}
