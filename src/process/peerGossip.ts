/**
 * Passes the configuration and the instances between nodes, for those that the keyed log turns away.
 *
 * Greetings and probes carry the version in force. Who sees a newer one asks for it; who adopts one tells a few others at once.
 */
import type { HelloMessage } from "../connection/link.js";
import type { LinkMessage } from "../connection/linkMessage.js";
import type { AdoptionResult, ConfigurationHolder } from "../version/configurationHolder.js";
import { formatInstanceRecord } from "../version/instanceRecord.js";
import type { Random } from "./balancer.js";
import type { Clock } from "./clock.js";
import type { InstanceRegistry, RecordSource } from "./instanceRegistry.js";

/** Nodes that are told at once of a new version. */
const toldAtOnce = 3;
/** Time after which an unanswered question is asked again, in milliseconds. */
const askAgainMs = 250;

/** Sends a message back to where one came from. */
export type Reply = (message: LinkMessage) => void;

/** What the news need from the rest of the node. */
export interface PeerGossipDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly holder: ConfigurationHolder;
    readonly register: InstanceRegistry;
    readonly offerConfiguration: (text: string, source: string) => AdoptionResult;
    readonly putRecord: (text: string, source: RecordSource) => void;
    readonly post: (address: string, message: LinkMessage) => void;
    readonly address: string;
}

/** Exchange of news with other nodes. */
export class PeerGossip {
    private askedVersion = -1;
    private askedAt = -Infinity;
    private hasAskedInstances = false;

    constructor(private readonly dependencies: PeerGossipDependencies) {}

    /** Takes a greeting into account. */
    handleHello(hello: HelloMessage, reply: Reply): void {
        this.dependencies.putRecord(hello.record, "self");
        this.noticeVersion(hello.version, reply);
        // Whoever starts while the log is away knows nobody; the first that finds it tells it of the others.
        if (!this.hasAskedInstances) {
            this.hasAskedInstances = true;
            reply({ kind: "ask", topic: "instances" });
        }
    }

    /** Takes a message into account that ends no request. */
    handleMessage(message: LinkMessage, reply: Reply): void {
        switch (message.kind) {
            case "ping":
            case "pong":
                this.noticeVersion(message.version, reply);
                return;
            case "ask":
                this.answer(message.topic, reply);
                return;
            case "configuration":
                this.dependencies.offerConfiguration(message.text, "peer");
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

    /** Tells a few others of the version in force. */
    spreadVersion(): void {
        const { register, random, post, holder, address } = this.dependencies;
        const others = register.list().filter(record => record.address !== address);
        for (let told = 0; told < toldAtOnce && others.length > 0; told += 1) {
            const [chosen] = others.splice(Math.floor(random() * others.length), 1);
            post(chosen!.address, { kind: "ping", version: holder.getVersion() });
        }
    }

    private noticeVersion(version: number, reply: Reply): void {
        const now = this.dependencies.clock.readMonotonic();
        const isAsked = this.askedVersion >= version && now - this.askedAt < askAgainMs;
        if (version > this.dependencies.holder.getVersion() && !isAsked) {
            this.askedVersion = version;
            this.askedAt = now;
            reply({ kind: "ask", topic: "configuration" });
        }
    }

    private answer(topic: "configuration" | "instances", reply: Reply): void {
        const { holder, register } = this.dependencies;
        if (topic === "instances") {
            reply({ kind: "instances", records: register.list().map(formatInstanceRecord) });
        }
        else if (holder.getVersion() >= 0) {
            reply({ kind: "configuration", text: holder.getText() });
        }
    }
}
