/**
 * Writes snapshots of the log's streams before their records expire.
 *
 * Any node may write a snapshot at any time: readers use the newest complete one, so neither concurrent writers nor a
 * writer that was paused do harm. Nodes wait according to their rank by hash, so that they don't all write at once.
 */
import type { LogService } from "../../connection/logService.js";
import { formatSlot } from "../../version/member.js";
import { hashText } from "../../version/memberStream.js";
import { formatSnapshot } from "../../version/streamReducer.js";
import type { Clock } from "../base/clock.js";
import type { Logger } from "../telemetry/logger.js";
import type { Directory } from "./directory.js";
import type { Streams } from "./streams.js";
import { streamKeys } from "./streams.js";

/** Fraction of the retention after which the node with the first rank writes a snapshot. */
const dueRetentionFraction = 0.25;
/** Fraction of the retention that each further rank waits longer. */
const rankRetentionFraction = 0.05;
/** Number of checks for due snapshots in one retention. */
const checksPerRetention = 40;

/** Dependencies of the snapshot writer. */
export interface SnapshotDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly log: LogService;
    readonly streams: Streams;
    readonly directory: Directory;
    readonly retentionMs: number;
}

/** Writes snapshots of all streams when they are due, until the signal aborts. */
export async function runSnapshotWriter(dependencies: SnapshotDependencies, signal: AbortSignal): Promise<void> {
    // While no snapshot is known, its age is counted from the start of this node.
    const startedAt = dependencies.clock.readDate().getTime();
    while (!signal.aborted) {
        await dependencies.clock.sleep(dependencies.retentionMs / checksPerRetention, signal);
        for (const streamKey of streamKeys) {
            if (isSnapshotDue(dependencies, streamKey, startedAt)) {
                await writeSnapshot(dependencies, streamKey);
            }
        }
    }
}

function isSnapshotDue(
    dependencies: SnapshotDependencies,
    streamKey: (typeof streamKeys)[number],
    startedAt: number,
): boolean {
    const replica = dependencies.streams[streamKey];
    if (replica.getAppliedOffset() < 0) {
        return false;
    }
    const age = dependencies.clock.readDate().getTime() - (replica.getSnapshotTime() ?? startedAt);
    return age
        > dependencies.retentionMs
            * (dueRetentionFraction + rankRetentionFraction * findRank(dependencies.directory, streamKey));
}

/** Finds the rank of this node among the alive nodes for snapshots of a stream; rank 0 writes first. */
function findRank(directory: Directory, streamKey: string): number {
    const own = hashText(`${streamKey}|${formatSlot(directory.getSelf().member)}`);
    return directory.listPeers()
        .filter(update => update.health === "alive" && hashText(`${streamKey}|${formatSlot(update.member)}`) > own)
        .length;
}

async function writeSnapshot(
    dependencies: SnapshotDependencies,
    streamKey: (typeof streamKeys)[number],
): Promise<void> {
    const replica = dependencies.streams[streamKey];
    const caughtUp = await replica.catchUp(dependencies.log);
    const current = replica.get();
    if (!caughtUp.ok || current === undefined) {
        return;
    }
    const appended = await dependencies.log.append(replica.stream, formatSnapshot(current));
    await replica.catchUp(dependencies.log);
    dependencies.logger.info("snapshotWritten", {
        stream: replica.stream,
        through: current.through,
        isAcknowledged: appended.ok,
    });
}
