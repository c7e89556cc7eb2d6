/**
 * Links to all other nodes. Each is kept open; what was in flight on a link that is lost is sent again over a new one, where the
 * other node recognises it.
 */
import type { Random } from "../process/balancer.js";
import type { Cancellation } from "../process/cancellation.js";
import type { Clock } from "../process/clock.js";
import type { Logger } from "../process/logger.js";
import type { PeerRunRequest } from "../request/runRequest.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import type { HelloMessage, LinkOutcome } from "./link.js";
import { Link, openLinkSocket } from "./link.js";
import type { LinkMessage, LoadReport } from "./linkMessage.js";

/** Time between looks at silent links, in milliseconds. */
const checkIntervalMs = 150;
/** Time between tries to reach a node, in milliseconds; it grows while the node stays away. */
const minRetryMs = 300;
/** Longest time between tries to reach a node, in milliseconds. */
const maxRetryMs = 3000;

/** How a request to another node ended. After `unsent` it never left; after `lost` it may have been passed on. */
export type PeerOutcome = LinkOutcome | { readonly kind: "unsent"; };

/** What the links need from the rest of the node. */
export interface PeerLinksDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly createHello: () => HelloMessage;
    readonly handleHello: (hello: HelloMessage) => void;
    readonly receive: (address: string, message: LinkMessage) => void;
    readonly recordLoad: (address: string, load: LoadReport) => void;
    readonly recordLostLink: (address: string) => void;
    /** Whether an address still belongs to a known instance. */
    readonly isKnownInstance: (address: string) => boolean;
}

/** Connection state of one other node. */
interface Peer {
    readonly address: string;
    port: number;
    link: Link | undefined;
    opening: Promise<Link | undefined> | undefined;
    failures: number;
}

/** Links by address. */
export class PeerLinks {
    private readonly peers = new Map<string, Peer>();
    /** Wakes the task of each node when the link to it is lost. */
    private readonly lossListeners = new Map<string, () => void>();

    constructor(private readonly dependencies: PeerLinksDependencies, private readonly signal: AbortSignal) {}

    /** Keeps a link to an instance from now on. */
    add(record: InstanceRecord): void {
        const known = this.peers.get(record.address);
        if (known !== undefined) {
            known.port = record.port;
            return;
        }
        const peer: Peer = {
            address: record.address,
            port: record.port,
            link: undefined,
            opening: undefined,
            failures: 0,
        };
        this.peers.set(record.address, peer);
        void this.runPeer(peer);
    }

    /** Whether there is an open link to an address. */
    isLinked(address: string): boolean {
        return this.peers.get(address)?.link !== undefined;
    }

    /** Number of open links. */
    countOpenLinks(): number {
        return [...this.peers.values()].filter(peer => peer.link !== undefined).length;
    }

    /** Sends a message to one node, if there is a link to it. */
    post(address: string, message: LinkMessage): void {
        this.peers.get(address)?.link?.post(message);
    }

    /** Sends a message to all nodes that there are links to. */
    postToAll(message: LinkMessage): void {
        for (const peer of this.peers.values()) {
            peer.link?.post(message);
        }
    }

    /** Sends a request to another node and waits for its end. Never rejects. */
    async run(address: string, run: PeerRunRequest, cancellation: Cancellation): Promise<PeerOutcome> {
        const { clock } = this.dependencies;
        const peer = this.peers.get(address);
        let incarnation: number | undefined;
        while (peer !== undefined && !cancellation.isCancelled() && clock.readMonotonic() < run.deadline) {
            const link = peer.link ?? await this.open(peer);
            const isOther = incarnation !== undefined && link !== undefined && link.incarnation !== incarnation;
            if (link === undefined || isOther || cancellation.isCancelled()) {
                break;
            }
            const outcome = await link.run(run, incarnation !== undefined, cancellation);
            if (outcome.kind !== "lost") {
                return outcome;
            }
            incarnation = link.incarnation;
        }
        return { kind: incarnation === undefined ? "unsent" : "lost" };
    }

    /** Looks for silent links until the signal aborts. */
    async runChecks(): Promise<void> {
        const { clock } = this.dependencies;
        while (!this.signal.aborted) {
            await clock.sleep(checkIntervalMs, this.signal);
            for (const peer of this.peers.values()) {
                peer.link?.checkSilence();
            }
        }
    }

    /** Closes all links. */
    close(): void {
        for (const peer of this.peers.values()) {
            peer.link?.close("stopped");
        }
    }

    /** Opens the link to one node again whenever it is lost, for as long as the node is known. */
    private async runPeer(peer: Peer): Promise<void> {
        const { clock, random, isKnownInstance: isWanted } = this.dependencies;
        while (!this.signal.aborted && isWanted(peer.address)) {
            const link = peer.link ?? await this.open(peer);
            if (link !== undefined) {
                await new Promise<void>(resolve => this.lossListeners.set(peer.address, resolve));
                continue;
            }
            const limitMs = Math.min(maxRetryMs, minRetryMs * 2 ** Math.min(10, peer.failures));
            await clock.sleep(limitMs * (0.5 + random() / 2), this.signal);
        }
        peer.link?.close("not wanted");
        this.peers.delete(peer.address);
    }

    /** Opens a link; callers at the same time share one try. */
    private open(peer: Peer): Promise<Link | undefined> {
        peer.opening ??= this.connect(peer).finally(() => peer.opening = undefined);
        return peer.opening;
    }

    private async connect(peer: Peer): Promise<Link | undefined> {
        const { clock, logger, createHello } = this.dependencies;
        const greeted = await openLinkSocket(peer.address, peer.port, createHello());
        if (greeted === undefined || this.signal.aborted) {
            greeted?.socket.destroy();
            peer.failures += 1;
            return undefined;
        }
        peer.failures = 0;
        const { socket, hello } = greeted;
        const link = new Link(clock, socket, hello.incarnation, {
            receive: message => this.dependencies.receive(peer.address, message),
            recordLoad: load => this.dependencies.recordLoad(peer.address, load),
            close: cause => this.recordClose(peer, cause),
        }, () => createHello().version);
        peer.link = link;
        logger.info("linkOpened", { peer: peer.address, incarnation: hello.incarnation });
        this.dependencies.handleHello(hello);
        return link;
    }

    private recordClose(peer: Peer, cause: string): void {
        this.dependencies.logger.info("linkLost", { peer: peer.address, cause });
        peer.link = undefined;
        this.dependencies.recordLostLink(peer.address);
        const listener = this.lossListeners.get(peer.address);
        this.lossListeners.delete(peer.address);
        listener?.();
    }
}
