/**
 * Keeps this node's replicas of the streams of the shared log up to date.
 *
 * In each data centre, rendezvous hashing designates two nodes as readers. They poll the log at the short interval and
 * notify the other nodes of new records. A node that is not a reader reads the log when it is notified, when a probe
 * shows that a peer has applied more records, and otherwise at the long interval. While the log can't be read, a node
 * pulls the state of the streams from its peers, starting with those that have applied most.
 */
import type { Clock } from "../process/base/clock.js";
import type { Directory } from "../process/membership/directory.js";
import { mergeOffsets, unknownOffsets } from "../process/membership/directory.js";
import type { Streams } from "../process/membership/streams.js";
import { catchUpAll, getOffsets, isBehind, streamKeys } from "../process/membership/streams.js";
import type { Logger } from "../process/telemetry/logger.js";
import type { Member } from "../version/member.js";
import { formatSlot, isSameMember } from "../version/member.js";
import { hashText } from "../version/memberStream.js";
import type { ControlCaller, StreamOffsets } from "./control.js";
import type { LogService } from "./logService.js";

/** Number of designated readers in each data centre. */
const readersPerDataCentre = 2;
/** Timeout of a control call, in milliseconds. */
const callTimeoutMs = 1000;
/** Maximum number of peers to pull from while the log can't be read. */
const maxPullPeers = 3;

/** Dependencies of the follower. */
export interface LogFollowerDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly log: LogService;
    readonly streams: Streams;
    readonly directory: Directory;
    readonly control: ControlCaller;
    /** Node slots (address and control port) to pull from while no peer is known. */
    readonly seeds: readonly string[];
    /** Poll interval of designated readers, and of all nodes while the log can't be read, in milliseconds. */
    readonly pollMs: number;
    /** Poll interval of the other nodes, in milliseconds. */
    readonly idlePollMs: number;
}

/** Applies new records of the shared log to the replicas of this node. */
export class LogFollower {
    private wakeController: AbortController = new AbortController();
    private isLogReadable = false;
    private highestOffsets: StreamOffsets = unknownOffsets;

    constructor(private readonly dependencies: LogFollowerDependencies) {}

    /** Whether the last read of the log succeeded. */
    isLogUp(): boolean {
        return this.isLogReadable;
    }

    /** Records the offsets that a peer has applied; ends the wait for the next poll if this node is behind them. */
    recordPeerOffsets(offsets: StreamOffsets): void {
        this.highestOffsets = mergeOffsets(this.highestOffsets, offsets);
        if (isBehind(getOffsets(this.dependencies.streams), offsets)) {
            this.wakeController.abort();
        }
    }

    /** Returns the highest offset of each stream that any node is known to have applied. */
    getHighestOffsets(): StreamOffsets {
        return this.highestOffsets;
    }

    /** Polls the log until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, streams } = this.dependencies;
        while (!signal.aborted) {
            const before = getOffsets(streams);
            await this.refresh();
            const after = getOffsets(streams);
            this.dependencies.directory.updateSelf({ offsets: after });
            if (isBehind(before, after) && this.isDesignatedReader()) {
                void this.notifyDataCentrePeers(after);
            }
            this.wakeController = new AbortController();
            if (!isBehind(after, this.highestOffsets)) {
                await clock.sleep(this.computePollDelayMs(), AbortSignal.any([signal, this.wakeController.signal]));
            }
            else {
                // While this node is behind, the offsets in every probe would wake it, so this delay can't be cut
                // short.
                await clock.sleep(this.dependencies.pollMs, signal);
            }
        }
    }

    /**
     * Reads the log once, or pulls from peers if it can't be read. Returns false if neither the log nor a peer
     * answered.
     */
    async refresh(): Promise<boolean> {
        const { logger, streams, log } = this.dependencies;
        const failure = await catchUpAll(streams, log);
        const isReadable = failure === undefined;
        if (isReadable !== this.isLogReadable) {
            logger.info(isReadable ? "logReadable" : "logUnreadable", { cause: failure });
        }
        this.isLogReadable = isReadable;
        return isReadable || this.pullFromPeers();
    }

    /**
     * Pulls from a few peers, those with the highest applied offsets first, or from the seeds while no peer is known.
     * Returns whether any replied.
     */
    private async pullFromPeers(): Promise<boolean> {
        const { directory, control, streams, seeds } = this.dependencies;
        const peers = directory.listPeers()
            .filter(update => update.health === "alive" || update.health === "leaving")
            .sort((a, b) => b.offsets.contracts - a.offsets.contracts || b.offsets.members - a.offsets.members)
            .map(update => formatSlot(update.member));
        let hasAnyReply = false;
        const slots = (peers.length > 0 ? peers : seeds).slice(0, maxPullPeers);
        for (const slot of slots) {
            const reply = await control.call(slot, "pull", { offsets: getOffsets(streams) }, callTimeoutMs);
            if (!reply.ok) {
                continue;
            }
            hasAnyReply = true;
            for (const update of reply.value.updates) {
                directory.mergeUpdate(update);
                this.highestOffsets = mergeOffsets(this.highestOffsets, update.offsets);
            }
            for (const key of streamKeys) {
                const stream = reply.value[key];
                if (stream !== undefined) {
                    streams[key].adoptIfNewer(stream.through, stream.state);
                }
            }
        }
        return hasAnyReply;
    }

    private computePollDelayMs(): number {
        const { pollMs, idlePollMs } = this.dependencies;
        const hasShortInterval = this.isDesignatedReader() || !this.isLogReadable;
        // Jitter keeps nodes that were started together from reading at the same time.
        return (hasShortInterval ? pollMs : idlePollMs) * (0.75 + Math.random() / 2);
    }

    /** Whether this node is one of the designated readers of its data centre. */
    private isDesignatedReader(): boolean {
        const { directory } = this.dependencies;
        const self = directory.getSelf().member;
        const rank = this.listDataCentrePeers()
            .filter(member => hashText(`duty|${formatSlot(member)}`) > hashText(`duty|${formatSlot(self)}`))
            .length;
        return rank < readersPerDataCentre;
    }

    private listDataCentrePeers(): Member[] {
        const { directory } = this.dependencies;
        const self = directory.getSelf().member;
        return directory.listPeers()
            .filter(update => update.member.dataCentre === self.dataCentre && update.health === "alive")
            .map(update => update.member)
            .filter(member => !isSameMember(member, self));
    }

    private async notifyDataCentrePeers(offsets: StreamOffsets): Promise<void> {
        const { directory, control } = this.dependencies;
        const notice = { from: directory.getSelf(), offsets };
        await Promise.all(
            this.listDataCentrePeers().map(member => control.call(formatSlot(member), "notify", notice, callTimeoutMs)),
        );
    }
}
