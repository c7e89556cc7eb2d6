/**
 * Gossip of the configuration and of instance records between nodes, for nodes that can't read the keyed log.
 *
 * Hello messages, pings and pongs carry the version in force. A node that sees a newer version requests it from the
 * sender, and a node that adopts a new version announces it to a few others at once. Besides, each node compares its
 * version with one other from time to time, so that a version reaches all in about log2 of their number of rounds.
 */
import type { HelloMessage } from "../connection/link.js";
import type { LinkMessage } from "../connection/linkMessage.js";
import type { AdoptionResult, ConfigurationHolder } from "../version/configurationHolder.js";
import { formatInstanceRecord } from "../version/instanceRecord.js";
import type { Random } from "./balancer.js";
import type { Clock } from "./clock.js";
import type { InstanceRegistry, RecordSource } from "./instanceRegistry.js";

/** Number of nodes to which a new version is announced at once. */
const gossipFanout = 3;
/** Average time between two comparisons of the version with another node, in milliseconds. */
const comparisonIntervalMs = 500;
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
    readonly putRecord: (text: string, source: RecordSource) => void;
    /** Addresses to which a link is open. */
    readonly listLinked: () => readonly string[];
    /** Sends the version in force to an address, which answers with its own. */
    readonly ping: (address: string) => void;
}

/** Exchanges the configuration and instance records with other nodes. */
export class PeerGossip {
    private requestedVersion = -1;
    private requestedAt = -Infinity;
    private hasRequestedInstances = false;

    constructor(private readonly dependencies: PeerGossipDependencies) {}

    /** Handles a hello message: stores the sender's record and requests what this node lacks. */
    handleHello(hello: HelloMessage, reply: Reply): void {
        this.dependencies.putRecord(hello.record, "self");
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
                    this.dependencies.putRecord(record, "peer");
                }
                return;
            default:
                return;
        }
    }

    /** Announces the version in force to a few randomly chosen nodes. */
    announceVersion(): void {
        this.pingRandom(gossipFanout);
    }

    /** Compares the version with that of a randomly chosen node again and again, until the signal aborts. */
    async runComparisons(signal: AbortSignal): Promise<void> {
        const { clock, random } = this.dependencies;
        while (!signal.aborted) {
            await clock.sleep(comparisonIntervalMs * (0.5 + random()), signal);
            this.pingRandom(1);
        }
    }

    private pingRandom(count: number): void {
        const { random, ping, listLinked } = this.dependencies;
        const linked = [...listLinked()];
        for (let pinged = 0; pinged < count && linked.length > 0; pinged += 1) {
            const [chosen] = linked.splice(Math.floor(random() * linked.length), 1);
            ping(chosen!);
        }
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

    private answerRequest(topic: "configuration" | "instances", reply: Reply): void {
        const { configurationHolder, registry } = this.dependencies;
        if (topic === "instances") {
            reply({ kind: "instances", records: registry.list().map(formatInstanceRecord) });
        }
        else if (configurationHolder.getVersion() >= 0) {
            reply({ kind: "configuration", text: configurationHolder.getText() });
        }
    }
}
