/**
 * Keeps this node's copies of the log streams up to date.
 *
 * In each data centre the two nodes with the highest hash are on duty: they read the log often and tell the others when
 * something is new. The others read the log when they are told, when a probe shows that a peer knows more, and seldom
 * otherwise. While the log can't be read, a node that is behind asks the peer that knows more.
 */
import type { Clock } from "../process/clock.js";
import type { Directory } from "../process/directory.js";
import { mergeOffsets, unknownOffsets } from "../process/directory.js";
import type { Logger } from "../process/logger.js";
import type { Streams } from "../process/streams.js";
import { catchUpAll, getOffsets, isBehind, streamKeys } from "../process/streams.js";
import type { Member } from "../version/member.js";
import { formatSlot, isSameMember } from "../version/member.js";
import { hashText } from "../version/memberStream.js";
import type { ControlCaller, StreamOffsets } from "./control.js";
import type { LogService } from "./logService.js";

/** Nodes on duty in each data centre. */
const nodesOnDuty = 2;
/** Time for a control call, in milliseconds. */
const callTimeoutMs = 1000;
/** Peers that are asked when the log can't be read. */
const maxPullPeers = 3;

/** What the follower needs from the rest of the node. */
export interface FollowerDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly log: LogService;
    readonly streams: Streams;
    readonly directory: Directory;
    readonly control: ControlCaller;
    readonly seeds: readonly string[];
    readonly pollMs: number;
    readonly idlePollMs: number;
}

/** Follows the log. */
export class LogFollower {
    private wake: AbortController = new AbortController();
    private isLogReadable = false;
    private seen: StreamOffsets = unknownOffsets;

    constructor(private readonly dependencies: FollowerDependencies) {}

    /** Whether the last read of the log succeeded. */
    isLogUp(): boolean {
        return this.isLogReadable;
    }

    /** Notes what a peer has folded; wakes the follower if that is more than what is folded here. */
    recordPeerOffsets(offsets: StreamOffsets): void {
        this.seen = mergeOffsets(this.seen, offsets);
        if (isBehind(getOffsets(this.dependencies.streams), offsets)) {
            this.wake.abort();
        }
    }

    /** Highest offsets that any node is known to have folded. */
    getHighestOffsets(): StreamOffsets {
        return this.seen;
    }

    /** Follows the log until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, streams } = this.dependencies;
        while (!signal.aborted) {
            const before = getOffsets(streams);
            await this.refresh();
            const after = getOffsets(streams);
            this.dependencies.directory.updateSelf({ offsets: after });
            if (isBehind(before, after) && this.isOnDuty()) {
                void this.notifyDataCentre(after);
            }
            this.wake = new AbortController();
            if (!isBehind(after, this.seen)) {
                await clock.sleep(this.computePauseMs(), AbortSignal.any([signal, this.wake.signal]));
            }
            else {
                await clock.sleep(this.dependencies.pollMs, signal);
            }
        }
    }

    /** Reads the log once, or asks peers if it can't be read. False when neither answered. */
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

    /** Asks a few peers, those that know most first, and the seeds while no peer is known. */
    private async pullFromPeers(): Promise<boolean> {
        const { directory, control, streams, seeds } = this.dependencies;
        const peers = directory.listPeers()
            .filter(update => update.health === "alive" || update.health === "leaving")
            .sort((a, b) => b.offsets.contracts - a.offsets.contracts || b.offsets.members - a.offsets.members)
            .map(update => formatSlot(update.member));
        let isAnyHeard = false;
        const slots = (peers.length > 0 ? peers : seeds).slice(0, maxPullPeers);
        for (const slot of slots) {
            const reply = await control.call(slot, "pull", { offsets: getOffsets(streams) }, callTimeoutMs);
            if (!reply.ok) {
                continue;
            }
            isAnyHeard = true;
            for (const update of reply.value.updates) {
                directory.mergeUpdate(update);
                this.seen = mergeOffsets(this.seen, update.offsets);
            }
            for (const key of streamKeys) {
                const stream = reply.value[key];
                if (stream !== undefined) {
                    streams[key].adoptIfNewer(stream.through, stream.state);
                }
            }
        }
        return isAnyHeard;
    }

    private computePauseMs(): number {
        const { pollMs, idlePollMs } = this.dependencies;
        const isHurried = this.isOnDuty() || !this.isLogReadable;
        // Jitter spreads the reads of nodes that were started together.
        return (isHurried ? pollMs : idlePollMs) * (0.75 + Math.random() / 2);
    }

    /** Whether this node is one of those that read the log often for its data centre. */
    private isOnDuty(): boolean {
        const { directory } = this.dependencies;
        const self = directory.getSelf().member;
        const rank = this.listDataCentre()
            .filter(member => hashText(`duty|${formatSlot(member)}`) > hashText(`duty|${formatSlot(self)}`))
            .length;
        return rank < nodesOnDuty;
    }

    private listDataCentre(): Member[] {
        const { directory } = this.dependencies;
        const self = directory.getSelf().member;
        return directory.listPeers()
            .filter(update => update.member.dataCentre === self.dataCentre && update.health === "alive")
            .map(update => update.member)
            .filter(member => !isSameMember(member, self));
    }

    private async notifyDataCentre(offsets: StreamOffsets): Promise<void> {
        const { directory, control } = this.dependencies;
        const notice = { from: directory.getSelf(), offsets };
        await Promise.all(
            this.listDataCentre().map(member => control.call(formatSlot(member), "notify", notice, callTimeoutMs)),
        );
    }
}
