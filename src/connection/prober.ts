/**
 * Failure detector after the SWIM protocol (DSN 2002). Once per interval, this node probes one peer, taken from a
 * shuffled round over all peers, and asks other members to probe it if it doesn't answer. Member updates are
 * piggybacked on probes and their replies (gossip), so the load on a node doesn't grow with the number of members.
 */
import type { Clock } from "../process/base/clock.js";
import type { Random } from "../process/base/random.js";
import type { Directory } from "../process/membership/directory.js";
import type { Member } from "../version/member.js";
import { formatSlot } from "../version/member.js";
import type { ControlCaller, ControlReply, ControlRequest, MemberUpdate, StreamOffsets } from "./control.js";
import { maxUpdatesPerMessage } from "./control.js";

/** Average interval between probes, in milliseconds. */
const probeIntervalMs = 1000;
/** Timeout of a direct probe, in milliseconds. */
const probeTimeoutMs = 400;
/** Timeout of a probe through another member, in milliseconds. */
const indirectTimeoutMs = 900;
/** Number of members that are asked to probe a peer that doesn't answer. */
const indirectProberCount = 3;

/** Dependencies of the prober. */
export interface ProberDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly directory: Directory;
    readonly control: ControlCaller;
    /** Called with the log offsets that a peer has applied. */
    readonly recordPeerOffsets: (offsets: StreamOffsets) => void;
}

/** Probes peers and exchanges member updates with them. */
export class Prober {
    private remainingTargets: MemberUpdate[] = [];

    constructor(private readonly dependencies: ProberDependencies) {}

    /** Probes one peer per interval until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, directory, random } = this.dependencies;
        while (!signal.aborted) {
            await clock.sleep(probeIntervalMs * (0.9 + random() / 5), signal);
            directory.expireSuspicions();
            const target = this.takeTarget();
            if (target !== undefined && !signal.aborted) {
                await this.probeTarget(target);
            }
        }
    }

    /** Answers a probe by a peer with member updates that this node knows, the one about itself first. */
    answerProbe(request: ControlRequest<"probe">): ControlReply<"probe"> {
        this.mergeUpdates([request.from, ...request.updates]);
        this.dependencies.directory.recordAlive(request.from.member);
        return {
            isAlive: true,
            updates: [this.dependencies.directory.getSelf(), ...this.dependencies.directory.pickGossipUpdates()].slice(
                0,
                maxUpdatesPerMessage,
            ),
        };
    }

    /** Probes a member on behalf of a peer. */
    async answerIndirectProbe(request: ControlRequest<"probeIndirectly">): Promise<ControlReply<"probeIndirectly">> {
        const isAlive = await this.probeDirectly(request.target);
        return { isAlive, updates: [] };
    }

    /** Sends the update about this node to members at once, for example when it is leaving. Never rejects. */
    async sendSelfUpdate(members: readonly Member[]): Promise<void> {
        await Promise.all(members.map(member => this.probeDirectly(member)));
    }

    private async probeTarget(target: Member): Promise<void> {
        const { directory } = this.dependencies;
        if (await this.probeDirectly(target)) {
            directory.recordAlive(target);
            return;
        }
        if (await this.probeThroughOthers(target)) {
            return;
        }
        directory.recordUnresponsive(target);
    }

    private async probeDirectly(target: Member): Promise<boolean> {
        const { directory, control } = this.dependencies;
        const request = { from: directory.getSelf(), updates: directory.pickGossipUpdates() };
        const reply = await control.call(formatSlot(target), "probe", request, probeTimeoutMs);
        if (reply.ok) {
            this.mergeUpdates(reply.value.updates);
        }
        return reply.ok;
    }

    private async probeThroughOthers(target: Member): Promise<boolean> {
        const { directory, control, random } = this.dependencies;
        const indirectProbers = directory.listPeers()
            .filter(update => update.health === "alive" && formatSlot(update.member) !== formatSlot(target))
            .sort(() => random() - 0.5)
            .slice(0, indirectProberCount);
        const request = { from: directory.getSelf(), target };
        const replies = await Promise.all(
            indirectProbers.map(prober =>
                control.call(formatSlot(prober.member), "probeIndirectly", request, indirectTimeoutMs)
            ),
        );
        return replies.some(reply => reply.ok && reply.value.isAlive);
    }

    private mergeUpdates(updates: readonly MemberUpdate[]): void {
        for (const update of updates) {
            this.dependencies.directory.mergeUpdate(update);
            this.dependencies.recordPeerOffsets(update.offsets);
        }
    }

    /**
     * Takes the next peer of the round. Returns `undefined` if there is none or if it was removed since the round
     * began. Faulty peers are probed too, so that they can become alive again.
     */
    private takeTarget(): Member | undefined {
        if (this.remainingTargets.length === 0) {
            this.remainingTargets = this.dependencies.directory.listPeers().filter(update => update.health !== "left");
            shuffle(this.remainingTargets, this.dependencies.random);
        }
        const update = this.remainingTargets.pop();
        return update === undefined || this.dependencies.directory.findHealth(formatSlot(update.member)) === undefined
            ? undefined
            : update.member;
    }
}

/** Shuffles the items in place (Fisher-Yates). */
function shuffle<T>(items: T[], random: Random): void {
    for (let index = items.length - 1; index > 0; index -= 1) {
        const swapIndex = Math.floor(random() * (index + 1));
        [items[index], items[swapIndex]] = [items[swapIndex]!, items[index]!];
    }
}
