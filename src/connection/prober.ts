/**
 * Probes of peers after SWIM (DSN 2002): each period this node probes one peer, in a shuffled round, and has others probe it
 * when it does not answer. Probes and their answers carry news about members, so the cost for a node does not grow with
 * their number.
 */
import type { Random } from "../process/balancer.js";
import type { Clock } from "../process/clock.js";
import type { Directory } from "../process/directory.js";
import type { Member } from "../version/member.js";
import { formatSlot } from "../version/member.js";
import type { ControlCaller, ControlReply, ControlRequest, MemberUpdate, StreamOffsets } from "./control.js";
import { maxUpdatesPerMessage } from "./control.js";

/** Time between probes, in milliseconds. */
const periodMs = 1000;
/** Time for a direct probe, in milliseconds. */
const probeTimeoutMs = 400;
/** Time for a probe through another member, in milliseconds. */
const indirectTimeoutMs = 900;
/** Members that are asked to probe a silent one. */
const indirectProbers = 3;

/** What the prober needs from the rest of the node. */
export interface ProberDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly directory: Directory;
    readonly control: ControlCaller;
    /** Told what a peer has folded. */
    readonly recordPeerOffsets: (offsets: StreamOffsets) => void;
}

/** Probes peers and spreads news about members. */
export class Prober {
    private round: MemberUpdate[] = [];

    constructor(private readonly dependencies: ProberDependencies) {}

    /** Probes one peer each period until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, directory, random } = this.dependencies;
        while (!signal.aborted) {
            await clock.sleep(periodMs * (0.9 + random() / 5), signal);
            directory.expireSuspicions();
            const target = this.takeTarget();
            if (target !== undefined && !signal.aborted) {
                await this.probeTarget(target);
            }
        }
    }

    /** Answers a probe of a peer. */
    answerProbe(request: ControlRequest<"probe">): ControlReply<"probe"> {
        this.mergeNews([request.from, ...request.updates]);
        this.dependencies.directory.recordAlive(request.from.member);
        return {
            isAlive: true,
            updates: [this.dependencies.directory.getSelf(), ...this.dependencies.directory.pickGossipUpdates()].slice(
                0,
                maxUpdatesPerMessage,
            ),
        };
    }

    /** Probes a member for a peer. */
    async answerIndirectProbe(request: ControlRequest<"probeIndirectly">): Promise<ControlReply<"probeIndirectly">> {
        const isAlive = await this.probeDirectly(request.target);
        return { isAlive, updates: [] };
    }

    /** Tells some peers at once what this node says of itself, for instance that it is leaving. */
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
            this.mergeNews(reply.value.updates);
        }
        return reply.ok;
    }

    private async probeThroughOthers(target: Member): Promise<boolean> {
        const { directory, control, random } = this.dependencies;
        const others = directory.listPeers()
            .filter(update => update.health === "alive" && formatSlot(update.member) !== formatSlot(target))
            .sort(() => random() - 0.5)
            .slice(0, indirectProbers);
        const request = { from: directory.getSelf(), target };
        const replies = await Promise.all(
            others.map(other => control.call(formatSlot(other.member), "probeIndirectly", request, indirectTimeoutMs)),
        );
        return replies.some(reply => reply.ok && reply.value.isAlive);
    }

    private mergeNews(updates: readonly MemberUpdate[]): void {
        for (const update of updates) {
            this.dependencies.directory.mergeUpdate(update);
            this.dependencies.recordPeerOffsets(update.offsets);
        }
    }

    /** Takes the next peer of the round; faulty ones are probed too, so that they can come back. */
    private takeTarget(): Member | undefined {
        if (this.round.length === 0) {
            this.round = this.dependencies.directory.listPeers().filter(update => update.health !== "left");
            shuffle(this.round, this.dependencies.random);
        }
        const update = this.round.pop();
        return update === undefined || this.dependencies.directory.findHealth(formatSlot(update.member)) === undefined
            ? undefined
            : update.member;
    }
}

/** Shuffles in place. */
function shuffle<T>(items: T[], random: Random): void {
    for (let index = items.length - 1; index > 0; index -= 1) {
        const other = Math.floor(random() * (index + 1));
        [items[index], items[other]] = [items[other]!, items[index]!];
    }
}
