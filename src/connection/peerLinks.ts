/**
 * Links to all other nodes. Each link is reopened when it is lost. Requests that were in flight on a lost link are sent
 * again over the new one; the other node recognises them and doesn't run them twice.
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

/** Interval at which links are checked for nodes that no longer respond, in milliseconds. */
const livenessCheckIntervalMs = 150;
/** Minimum backoff between attempts to connect to a node, in milliseconds; it doubles with each failed attempt. */
const minBackoffMs = 300;
/** Maximum backoff between attempts to connect to a node, in milliseconds. */
const maxBackoffMs = 3000;

/** Outcome of a request to another node. After `unsent` it was not sent; after `lost` it may have run. */
export type PeerOutcome = LinkOutcome | { readonly kind: "unsent"; };

/** Dependencies of the links. */
export interface PeerLinksDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly createHello: () => HelloMessage;
    readonly handleHello: (hello: HelloMessage) => void;
    /** Called with each message that doesn't complete a request. */
    readonly handleMessage: (address: string, message: LinkMessage) => void;
    /** Called with the load that another node reports. */
    readonly recordLoad: (address: string, load: LoadReport) => void;
    /** Called when the link to another node is closed, for whatever cause. */
    readonly recordLostLink: (address: string) => void;
    /** Returns whether an address still belongs to a known instance; if not, a lost link to it isn't reopened. */
    readonly isKnownInstance: (address: string) => boolean;
}

/** State of the connection to one other node. */
interface Peer {
    readonly address: string;
    port: number;
    link: Link | undefined;
    /** The attempt to connect that is in progress. */
    opening: Promise<Link | undefined> | undefined;
    /** Attempts to connect that have failed since the last successful one. */
    consecutiveFailures: number;
}

/** Set of links to other nodes, by address. */
export class PeerLinks {
    private readonly peers = new Map<string, Peer>();
    /** Callbacks by address; each wakes the reconnection task of its node when the link is lost. */
    private readonly lossListeners = new Map<string, () => void>();

    constructor(private readonly dependencies: PeerLinksDependencies, private readonly signal: AbortSignal) {}

    /** Starts to keep a link to an instance open. If its address is known already, only its port is updated. */
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
            consecutiveFailures: 0,
        };
        this.peers.set(record.address, peer);
        void this.runReconnection(peer);
    }

    /** Whether there is an open link to an address. */
    isLinked(address: string): boolean {
        return this.peers.get(address)?.link !== undefined;
    }

    /** Number of open links. */
    countOpenLinks(): number {
        return [...this.peers.values()].filter(peer => peer.link !== undefined).length;
    }

    /** Sends a message to one node. Does nothing if there is no open link to it. */
    post(address: string, message: LinkMessage): void {
        this.peers.get(address)?.link?.post(message);
    }

    /** Sends a message on every open link. */
    postToAll(message: LinkMessage): void {
        for (const peer of this.peers.values()) {
            peer.link?.post(message);
        }
    }

    /**
     * Sends a request to another node and waits for its outcome. If the link is lost, the request is sent again over a
     * new one, but only to the same process: a restarted one doesn't know whether the request ran. Never rejects.
     */
    async run(address: string, request: PeerRunRequest, cancellation: Cancellation): Promise<PeerOutcome> {
        const { clock } = this.dependencies;
        const peer = this.peers.get(address);
        let sentIncarnation: number | undefined;
        while (peer !== undefined && !cancellation.isCancelled() && clock.readMonotonic() < request.deadline) {
            const link = peer.link ?? await this.open(peer);
            const hasRestarted = sentIncarnation !== undefined && link !== undefined
                && link.incarnation !== sentIncarnation;
            if (link === undefined || hasRestarted || cancellation.isCancelled()) {
                break;
            }
            const outcome = await link.run(request, sentIncarnation !== undefined, cancellation);
            if (outcome.kind !== "lost") {
                return outcome;
            }
            sentIncarnation = link.incarnation;
        }
        return { kind: sentIncarnation === undefined ? "unsent" : "lost" };
    }

    /** Pings links on which nothing arrives and closes those whose node doesn't respond, until the signal aborts. */
    async runLivenessChecks(): Promise<void> {
        const { clock } = this.dependencies;
        while (!this.signal.aborted) {
            await clock.sleep(livenessCheckIntervalMs, this.signal);
            for (const peer of this.peers.values()) {
                peer.link?.checkLiveness();
            }
        }
    }

    /** Closes all links. */
    close(): void {
        for (const peer of this.peers.values()) {
            peer.link?.close("stopped");
        }
    }

    /** Reopens the link to one node whenever it is lost, for as long as the instance is known. */
    private async runReconnection(peer: Peer): Promise<void> {
        const { clock, random, isKnownInstance } = this.dependencies;
        while (!this.signal.aborted && isKnownInstance(peer.address)) {
            const link = peer.link ?? await this.open(peer);
            if (link !== undefined) {
                await new Promise<void>(resolve => this.lossListeners.set(peer.address, resolve));
                continue;
            }
            const maxDelayMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(10, peer.consecutiveFailures));
            await clock.sleep(maxDelayMs * (0.5 + random() / 2), this.signal);
        }
        // The cause `not wanted` in the log means that the instance is no longer known.
        peer.link?.close("not wanted");
        this.peers.delete(peer.address);
    }

    /** Opens a link; concurrent callers share one attempt. */
    private open(peer: Peer): Promise<Link | undefined> {
        peer.opening ??= this.connect(peer).finally(() => peer.opening = undefined);
        return peer.opening;
    }

    private async connect(peer: Peer): Promise<Link | undefined> {
        const { clock, logger, createHello } = this.dependencies;
        const opened = await openLinkSocket(peer.address, peer.port, createHello());
        if (opened === undefined || this.signal.aborted) {
            opened?.socket.destroy();
            peer.consecutiveFailures += 1;
            return undefined;
        }
        peer.consecutiveFailures = 0;
        const { socket, hello } = opened;
        const link = new Link(clock, socket, hello.incarnation, {
            receive: message => this.dependencies.handleMessage(peer.address, message),
            recordLoad: load => this.dependencies.recordLoad(peer.address, load),
            handleClose: cause => this.handleLinkClose(peer, cause),
        }, () => createHello().version);
        peer.link = link;
        logger.info("linkOpened", { peer: peer.address, incarnation: hello.incarnation });
        this.dependencies.handleHello(hello);
        return link;
    }

    private handleLinkClose(peer: Peer, cause: string): void {
        this.dependencies.logger.info("linkLost", { peer: peer.address, cause });
        peer.link = undefined;
        this.dependencies.recordLostLink(peer.address);
        const listener = this.lossListeners.get(peer.address);
        this.lossListeners.delete(peer.address);
        listener?.();
    }
}
