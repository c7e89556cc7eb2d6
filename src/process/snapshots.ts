/**
 * Writes snapshots of the streams before their records expire.
 *
 * Any node may write one at any time: a reader takes the newest one that is complete, so neither several writers nor a
 * writer that was paused do harm. Ranks by hash keep all nodes from writing at once.
 */
import type { LogService } from "../connection/logService.js";
import { formatSlot } from "../version/member.js";
import { hashText } from "../version/memberStream.js";
import { formatSnapshot } from "../version/streamReducer.js";
import type { Clock } from "./clock.js";
import type { Directory } from "./directory.js";
import type { Logger } from "./logger.js";
import type { Streams } from "./streams.js";
import { streamKeys } from "./streams.js";

/** Share of the retention after which a snapshot is due. */
const dueShare = 0.25;
/** Share of the retention that each further rank waits. */
const rankShare = 0.05;
/** Checks in each retention. */
const checksPerRetention = 40;

/** What the writer needs from the rest of the node. */
export interface SnapshotDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly log: LogService;
    readonly streams: Streams;
    readonly directory: Directory;
    readonly retentionMs: number;
}

/** Writes snapshots when they are due, until the signal aborts. */
export async function runSnapshotWriter(dependencies: SnapshotDependencies, signal: AbortSignal): Promise<void> {
    const startedAt = dependencies.clock.readDate().getTime();
    while (!signal.aborted) {
        await dependencies.clock.sleep(dependencies.retentionMs / checksPerRetention, signal);
        for (const key of streamKeys) {
            if (isDue(dependencies, key, startedAt)) {
                await writeSnapshot(dependencies, key);
            }
        }
    }
}

function isDue(dependencies: SnapshotDependencies, key: (typeof streamKeys)[number], startedAt: number): boolean {
    const replica = dependencies.streams[key];
    if (replica.getAppliedOffset() < 0) {
        return false;
    }
    const age = dependencies.clock.readDate().getTime() - (replica.getSnapshotTime() ?? startedAt);
    return age > dependencies.retentionMs * (dueShare + rankShare * findRank(dependencies.directory, key));
}

/** Position of this node in the order in which nodes write snapshots of a stream. */
function findRank(directory: Directory, key: string): number {
    const own = hashText(`${key}|${formatSlot(directory.getSelf().member)}`);
    return directory.listPeers()
        .filter(update => update.health === "alive" && hashText(`${key}|${formatSlot(update.member)}`) > own)
        .length;
}

async function writeSnapshot(dependencies: SnapshotDependencies, key: (typeof streamKeys)[number]): Promise<void> {
    const replica = dependencies.streams[key];
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
