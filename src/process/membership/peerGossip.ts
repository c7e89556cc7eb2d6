/**
 * Gossip of the configuration and of instance records between nodes, for nodes that can't read the keyed log.
 *
 * Hello messages, pings and pongs carry the version in force. A node that sees a newer version requests it from the
 * sender, and a node that adopts a new version announces it to a few others at once. A node that learns a new instance
 * record, other than with the newest records of the whole log, forwards it to a few others. Besides, each node keeps in
 * contact with a few readers of the log and asks them for their version several times a second.
 */
import type { HelloMessage } from "../../connection/link.js";
import type { LinkMessage, LogPosition } from "../../connection/linkMessage.js";
import type { AdoptionResult, ConfigurationHolder } from "../../version/configurationHolder.js";
import type { InstanceRecord } from "../../version/instanceRecord.js";
import { formatInstanceRecord } from "../../version/instanceRecord.js";
import type { Clock } from "../base/clock.js";
import { pickSome } from "../base/random.js";
import type { Random } from "../base/random.js";
import type { InstanceRegistry } from "./instanceRegistry.js";

/** Number of nodes to which a new version is announced at once. */
const versionFanout = 3;
/** Number of nodes to which a new record is forwarded. */
const recordFanout = 4;
/** Time for which new records are collected before they are forwarded together, in milliseconds. */
const recordBatchMs = 100;
/** Average time between two questions to a reader of the log, in milliseconds. */
const contactIntervalMs = 450;
/** Time after which an unanswered request for the configuration may be repeated, in milliseconds. */
const requestTimeoutMs = 250;

/** Sends a message to the node that a received message came from. */
export type Reply = (message: LinkMessage) => void;

/** Dependencies of the gossip. */
export interface PeerGossipDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly configurationHolder: ConfigurationHolder;
    readonly registry: InstanceRegistry;
    /** Adopts a configuration if it is newer than the one in force. */
    readonly adoptConfiguration: (text: string, source: string) => AdoptionResult;
    /** Parses an instance record and puts it into the registry. */
    readonly putRecord: (text: string) => void;
    /** Addresses to which a link is open. */
    readonly listLinked: () => readonly string[];
    /** Sends what this node has of the log to an address, which answers with the same. */
    readonly ping: (address: string) => void;
    /** Sends a message on the link to an address. */
    readonly post: (address: string, message: LinkMessage) => void;
    /** Addresses of the readers of the log with which this node keeps in contact. */
    readonly listReaders: () => readonly string[];
    /** Called with what another node has of the log. */
    readonly handleLogPosition: (position: LogPosition) => void;
}

/** Exchanges the configuration and instance records with other nodes. */
export class PeerGossip {
    private requestedVersion = -1;
    private requestedAt = -Infinity;
    private hasRequestedInstances = false;
    /** Records that will be forwarded together, by address. */
    private newRecords = new Map<string, InstanceRecord>();

    constructor(private readonly dependencies: PeerGossipDependencies) {}

    /** Handles a hello message: stores the sender's record and requests what this node lacks. */
    handleHello(hello: HelloMessage, reply: Reply): void {
        this.dependencies.putRecord(hello.record);
        this.requestIfNewer(hello.version, reply);
        // A node that starts while the log is unreachable learns of other instances from its first peer.
        if (!this.hasRequestedInstances) {
            this.hasRequestedInstances = true;
            reply({ kind: "ask", topic: "instances" });
        }
    }

    /** Handles a message that carries a version, or that requests or brings a configuration or instance records. */
    handleMessage(message: LinkMessage, reply: Reply): void {
        switch (message.kind) {
            case "ping":
            case "pong":
                this.dependencies.handleLogPosition(message);
                this.requestIfNewer(message.version, reply);
                return;
            case "ask":
                this.answerRequest(message.topic, reply);
                return;
            case "configuration":
                this.dependencies.adoptConfiguration(message.text, "peer");
                return;
            case "instances":
                for (const record of message.records) {
                    this.dependencies.putRecord(record);
                }
                return;
            default:
                return;
        }
    }

    /** Announces the version in force to a few randomly chosen nodes. */
    announceVersion(): void {
        this.chooseLinked(versionFanout).forEach(this.dependencies.ping);
    }

    /** Forwards a new record to a few randomly chosen nodes, together with others that are new. */
    forwardRecord(record: InstanceRecord): void {
        if (this.newRecords.size === 0) {
            this.dependencies.clock.startTimer(recordBatchMs, () => this.sendNewRecords());
        }
        this.newRecords.set(record.address, record);
    }

    /** Asks the readers of the log in turn for their version, until the signal aborts. */
    async runContacts(signal: AbortSignal): Promise<void> {
        const { clock, random, ping, listReaders } = this.dependencies;
        for (let turn = 0; !signal.aborted; turn += 1) {
            await clock.sleepToTick(contactIntervalMs * (0.75 + random() / 2), signal);
            const readers = listReaders();
            if (readers.length > 0) {
                ping(readers[turn % readers.length]!);
            }
        }
    }

    private sendNewRecords(): void {
        const records = [...this.newRecords.values()].map(formatInstanceRecord);
        this.newRecords = new Map();
        for (const address of this.chooseLinked(recordFanout)) {
            this.dependencies.post(address, { kind: "instances", records });
        }
    }

    /** Chooses some of the nodes to which links are open, at random. */
    private chooseLinked(count: number): string[] {
        const { random, listLinked } = this.dependencies;
        return pickSome(listLinked(), count, random);
    }

    /** Requests the configuration if `version` is newer than the one in force and no request is pending. */
    private requestIfNewer(version: number, reply: Reply): void {
        const now = this.dependencies.clock.readMonotonic();
        const isRequestPending = this.requestedVersion >= version && now - this.requestedAt < requestTimeoutMs;
        if (version > this.dependencies.configurationHolder.getVersion() && !isRequestPending) {
            this.requestedVersion = version;
            this.requestedAt = now;
            reply({ kind: "ask", topic: "configuration" });
        }
    }

    private answerRequest(topic: "configuration" | "instances" | "suspects", reply: Reply): void {
        const { configurationHolder, registry } = this.dependencies;
        if (topic === "instances") {
            reply({ kind: "instances", records: registry.list().map(formatInstanceRecord) });
        }
        else if (topic === "configuration" && configurationHolder.getVersion() >= 0) {
            reply({ kind: "configuration", text: configurationHolder.getText() });
        }
    }
}
