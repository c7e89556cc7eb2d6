/**
 * Links to other nodes. A link is opened when it is kept or when a request needs it. Kept links are reopened when they
 * are lost. Requests that were in flight on a lost link are sent again over the new one; the other node recognises them
 * and doesn't run them twice.
 */
import type { Cancellation } from "../process/base/cancellation.js";
import type { Clock } from "../process/base/clock.js";
import type { Random } from "../process/base/random.js";
import type { Logger } from "../process/telemetry/logger.js";
import type { PeerRunRequest } from "../request/runRequest.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import type { HelloMessage, LinkOutcome } from "./link.js";
import { Link, openLinkSocket } from "./link.js";
import type { LinkMessage, LoadReport, LogPosition } from "./linkMessage.js";

/** Interval at which links are checked for nodes that no longer respond, in milliseconds. */
const livenessCheckIntervalMs = 200;
/** Shortest time without received data after which an idle link is pinged, in milliseconds. */
const minIdlePingMs = 1500;
/** Time by which that is longer for each open link, in milliseconds, so that a node sends at most 2 such pings a second. */
const idlePingMsPerLink = 500;
/** Time after which the loss of a link that isn't kept is disregarded, in milliseconds. */
const lossValidMs = 5000;
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
    /** What this node has of the keyed log; pings carry it. */
    readonly getLogPosition: () => LogPosition;
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
    /** Whether the link is to be open also while no request needs it. */
    isKept: boolean;
    /** Whether a task reopens the link when it is lost. */
    isReconnecting: boolean;
    /**
     * Time on the monotonic clock at which the last link was lost or the last attempt to connect failed; `undefined`
     * after a successful one.
     */
    lostAt: number | undefined;
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
    /** Ends of pauses before the next attempt to connect, by address. */
    private readonly pauses = new Map<string, AbortController>();

    constructor(private readonly dependencies: PeerLinksDependencies, private readonly signal: AbortSignal) {}

    /**
     * Adds an instance that links can be opened to. If its address is known already, only its port is updated. Returns whether
     * the address is new.
     */
    add(record: InstanceRecord): boolean {
        const known = this.peers.get(record.address);
        if (known !== undefined) {
            known.port = record.port;
            return false;
        }
        const peer: Peer = {
            address: record.address,
            port: record.port,
            isKept: false,
            isReconnecting: false,
            lostAt: undefined,
            link: undefined,
            opening: undefined,
            consecutiveFailures: 0,
        };
        this.peers.set(record.address, peer);
        return true;
    }

    /** Records that a node has just opened a link to this one: it is up, so a pause before the next attempt to connect ends. */
    recordAlive(address: string): void {
        this.pauses.get(address)?.abort();
    }

    /** Keeps the links to these addresses open from now on, and no others. */
    keep(addresses: ReadonlySet<string>): void {
        for (const peer of this.peers.values()) {
            peer.isKept = addresses.has(peer.address);
            if (peer.isKept && !peer.isReconnecting) {
                peer.isReconnecting = true;
                void this.runReconnection(peer).finally(() => peer.isReconnecting = false);
            }
        }
    }

    /** Whether a request can be expected to reach an address: no link to it was lost and is not open again. */
    isReachable(address: string): boolean {
        const peer = this.peers.get(address);
        if (peer?.lostAt === undefined) {
            return true;
        }
        // Nobody tries to reopen a link that isn't kept, so its loss says less and less.
        return !peer.isKept && this.dependencies.clock.readMonotonic() - peer.lostAt > lossValidMs;
    }

    /** Addresses to which a link is open. */
    listLinked(): string[] {
        return [...this.peers.values()].filter(peer => peer.link !== undefined).map(peer => peer.address);
    }

    /** Whether a link to an address is open. */
    isLinked(address: string): boolean {
        return this.peers.get(address)?.link !== undefined;
    }

    /** Asks a node for its load and version; false if there is no open link to it. */
    ping(address: string): boolean {
        const link = this.peers.get(address)?.link;
        link?.ping();
        return link !== undefined;
    }

    /** Number of open links. */
    countOpenLinks(): number {
        return this.listLinked().length;
    }

    /** Sends a message to one node. Does nothing if there is no open link to it. */
    post(address: string, message: LinkMessage): void {
        this.peers.get(address)?.link?.post(message);
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
            await clock.sleepToTick(livenessCheckIntervalMs, this.signal);
            const idlePingAfterMs = Math.max(minIdlePingMs, this.countOpenLinks() * idlePingMsPerLink);
            for (const peer of this.peers.values()) {
                peer.link?.checkLiveness(idlePingAfterMs);
            }
        }
    }

    /** Closes all links. */
    close(): void {
        for (const peer of this.peers.values()) {
            peer.link?.close("stopped");
        }
    }

    /** Reopens the link to one node whenever it is lost, for as long as it is kept and the instance is known. */
    private async runReconnection(peer: Peer): Promise<void> {
        const { random, isKnownInstance } = this.dependencies;
        while (!this.signal.aborted && peer.isKept && isKnownInstance(peer.address)) {
            const link = peer.link ?? await this.open(peer);
            if (link !== undefined) {
                await new Promise<void>(resolve => this.lossListeners.set(peer.address, resolve));
                continue;
            }
            const maxDelayMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(10, peer.consecutiveFailures));
            await this.waitBeforeRetry(peer.address, maxDelayMs * (0.5 + random() / 2));
        }
        if (!isKnownInstance(peer.address)) {
            // The cause `not wanted` in the log means that the instance is no longer known.
            peer.link?.close("not wanted");
            this.peers.delete(peer.address);
        }
    }

    /** Waits before the next attempt to connect to an address. */
    private async waitBeforeRetry(address: string, milliseconds: number): Promise<void> {
        const pause = new AbortController();
        this.pauses.set(address, pause);
        await this.dependencies.clock.sleep(milliseconds, AbortSignal.any([this.signal, pause.signal]));
        this.pauses.delete(address);
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
            peer.lostAt = clock.readMonotonic();
            return undefined;
        }
        peer.consecutiveFailures = 0;
        peer.lostAt = undefined;
        const { hello } = opened;
        const link = new Link(clock, opened, {
            receive: message => this.dependencies.handleMessage(peer.address, message),
            recordLoad: load => this.dependencies.recordLoad(peer.address, load),
            handleClose: cause => this.handleLinkClose(peer, cause),
        }, this.dependencies.getLogPosition);
        peer.link = link;
        logger.info("linkOpened", { peer: peer.address, incarnation: hello.incarnation });
        this.dependencies.handleHello(hello);
        link.receiveEarly(opened.early);
        return link;
    }

    private handleLinkClose(peer: Peer, cause: string): void {
        this.dependencies.logger.info("linkLost", { peer: peer.address, cause });
        peer.link = undefined;
        peer.lostAt = this.dependencies.clock.readMonotonic();
        this.dependencies.recordLostLink(peer.address);
        const listener = this.lossListeners.get(peer.address);
        this.lossListeners.delete(peer.address);
        listener?.();
        if (cause === "silent") {
            // Others that were open with it may have fallen silent too.
            this.peers.forEach(other => other.link?.ping());
        }
    }
}
