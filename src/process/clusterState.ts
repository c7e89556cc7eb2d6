/**
 * Cluster state of a routed node: the configuration in force and the known instances, from the keyed log and from other
 * nodes. A routed node works by the operator's configuration; a node that is not routed works by the contracts and
 * members on the shared log.
 */
import type { KeyedLog, KeyedPage } from "../connection/keyedLog.js";
import { KeyedLogFollower } from "../connection/keyedLogFollower.js";
import type { LinkMessage, LogPosition } from "../connection/linkMessage.js";
import type { AdoptionResult } from "../version/configurationHolder.js";
import { ConfigurationHolder } from "../version/configurationHolder.js";
import type { InstanceDescription, InstanceRecord } from "../version/instanceRecord.js";
import { formatInstanceRecord, parseInstanceRecord } from "../version/instanceRecord.js";
import type { Random } from "./balancer.js";
import type { Clock } from "./clock.js";
import { InstancePublisher } from "./instancePublisher.js";
import type { RecordSource } from "./instanceRegistry.js";
import { InstanceRegistry } from "./instanceRegistry.js";
import type { Logger } from "./logger.js";
import { LogReaders } from "./logReaders.js";
import { PeerGossip } from "./peerGossip.js";

/** Topics of the keyed log. */
export const topics = {
    /** The operator's configuration, under the key {@link configurationKey}. */
    configuration: "configuration",
    /** Records of the instances, by address. */
    instances: "instances",
} as const;
/** Key of the configuration in its topic. */
const configurationKey = "config";
/** Delay after a read of instance records, so that the next read returns several at once, in milliseconds. */
const instanceBatchDelayMs = 300;
/** Longest wait for a new configuration, in milliseconds. The log may turn away all readers without a sign. */
const maxConfigurationWaitMs = 4000;
/** Longest wait for a changed instance record, in milliseconds. */
const maxInstanceWaitMs = 16_000;
/** Time after a first start in which the other nodes append their records, in milliseconds. */
const firstRecordsMs = 2500;
/** Time after a first start in which no contact with readers of the log is expected, in milliseconds. */
const firstContactMs = 6000;
/** Interval at which a node checks whether it has to follow the log, in milliseconds. */
const followCheckIntervalMs = 300;
/** Average time after which a node that doesn't follow the log reads all instance records again, in milliseconds. */
const rereadIntervalMs = 120_000;
/** Maximum delay of the read that follows a restore of the log, in milliseconds. */
const maxRestoreDelayMs = 1000;

/** Dependencies of the cluster state. */
export interface ClusterStateDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly log: KeyedLog;
    /** Address of this node's instance. */
    readonly address: string;
    readonly dataCentre: string;
    /** First revision of this node's record; higher than those of its earlier processes, if the clock was not set back. */
    readonly firstRevision: number;
    /** Whether all nodes start now for the first time. */
    readonly isFirstStart: boolean;
    /** Describes this node's instance as it is now. */
    readonly describeInstance: () => InstanceDescription;
    /** Addresses to which a link is open. */
    readonly listLinked: () => readonly string[];
    /** Whether a message can be expected to reach an address. */
    readonly isReachable: (address: string) => boolean;
    /** Sends what this node has of the log to an address, which answers with the same. */
    readonly ping: (address: string) => void;
    /** Sends a message on the link to an address. */
    readonly post: (address: string, message: LinkMessage) => void;
    /** Called with each well-formed record of another instance, also when it changes nothing. */
    readonly handleInstanceRecord: (record: InstanceRecord) => void;
}

/** Configuration in force and known instances, kept up to date while the node runs. */
export class ClusterState {
    readonly configurationHolder = new ConfigurationHolder();
    readonly registry = new InstanceRegistry();
    readonly gossip: PeerGossip;
    private readonly publisher: InstancePublisher;
    private readonly readers: LogReaders;
    private readonly configurationFollower: KeyedLogFollower;
    private readonly instanceFollower: KeyedLogFollower;
    private ownRecord: InstanceRecord;
    /** Ends the tasks that follow the log; `undefined` while this node doesn't follow it. */
    private followController: AbortController | undefined;
    /** Highest era of the log that this node has heard of. */
    private knownEra = -1;
    /** Time on the monotonic clock at which all instance records are to be read. */
    private rereadAt: number;

    constructor(private readonly dependencies: ClusterStateDependencies) {
        const { clock, random, logger, log, address, dataCentre, isFirstStart, isReachable } = dependencies;
        const { listLinked, ping, post } = dependencies;
        this.ownRecord = { ...dependencies.describeInstance(), revision: dependencies.firstRevision };
        this.publisher = new InstancePublisher(clock, random, logger, log, topics.instances, address);
        const contactDelayMs = isFirstStart ? firstContactMs : 0;
        this.readers = new LogReaders(clock, this.registry, address, dataCentre, isReachable, contactDelayMs);
        this.rereadAt = clock.readMonotonic() + (isFirstStart ? firstRecordsMs * (1 + random() / 4) : 0);
        this.gossip = new PeerGossip({
            clock,
            random,
            configurationHolder: this.configurationHolder,
            registry: this.registry,
            adoptConfiguration: (text, source) => this.adoptConfiguration(text, source),
            putRecord: text => this.putRecord(text, "peer"),
            listLinked,
            ping,
            post,
            listReaders: () => this.readers.listContacts(),
            handleLogPosition: position => this.handleLogPosition(position),
        });
        this.configurationHolder.addListener(() => this.gossip.announceVersion());
        const followed = { clock, random, logger, log };
        this.configurationFollower = new KeyedLogFollower({
            ...followed,
            topic: topics.configuration,
            batchDelayMs: 0,
            maxWaitMs: maxConfigurationWaitMs,
            applySnapshot: page => this.applyConfigurations(page),
            applyPage: page => this.applyConfigurations(page),
        });
        this.instanceFollower = new KeyedLogFollower({
            ...followed,
            topic: topics.instances,
            batchDelayMs: instanceBatchDelayMs,
            maxWaitMs: maxInstanceWaitMs,
            applySnapshot: page => this.applyInstanceSnapshot(page),
            applyPage: page => this.applyInstances(page, "log"),
        });
        this.registry.put(this.ownRecord);
    }

    /** Starts to read the keyed log and to publish the record of this node's instance, until the signal aborts. */
    run(signal: AbortSignal): void {
        void this.runReading(signal);
        void this.publisher.run(signal);
        void this.gossip.runContacts(signal);
    }

    /** What this node has of the keyed log. */
    getLogPosition(): LogPosition {
        return {
            version: this.configurationHolder.getVersion(),
            era: this.knownEra,
            isFollowing: this.followController !== undefined && this.configurationFollower.isHealthy(),
        };
    }

    /** Addresses of the readers of the log with which this node keeps in contact. */
    listReaders(): string[] {
        return this.readers.listContacts();
    }

    /** Updates the record of this node's instance in the registry, on the keyed log and at other nodes. */
    publishOwnRecord(): void {
        const record = this.updateOwnRecord();
        this.publisher.publish(formatInstanceRecord(record));
        this.gossip.forwardRecord(record);
    }

    /** Formats the record of this node's instance for the keyed log and for links. */
    formatOwnRecord(): string {
        return formatInstanceRecord(this.updateOwnRecord());
    }

    /** Reads the configuration until one is known, then all instance records, then what this node's part requires. */
    private async runReading(signal: AbortSignal): Promise<void> {
        const { clock } = this.dependencies;
        void this.readFirstConfiguration(signal);
        while (!signal.aborted) {
            if (clock.readMonotonic() >= this.rereadAt) {
                this.stopFollowing();
                this.rereadAt = clock.readMonotonic() + rereadIntervalMs * (0.75 + this.dependencies.random() / 2);
                await this.instanceFollower.readNewest(signal);
            }
            if (this.instanceFollower.hasRead() && this.readers.isFollowerNeeded()) {
                this.startFollowing(signal);
            }
            else {
                this.stopFollowing();
            }
            await clock.sleep(followCheckIntervalMs, signal);
        }
        this.stopFollowing();
    }

    private async readFirstConfiguration(signal: AbortSignal): Promise<void> {
        const found = new AbortController();
        const stop = (): void => found.abort();
        signal.addEventListener("abort", stop);
        this.configurationHolder.addListener(stop);
        await this.configurationFollower.run(found.signal);
        signal.removeEventListener("abort", stop);
        if (this.followController !== undefined) {
            await this.configurationFollower.run(this.followController.signal);
        }
    }

    private startFollowing(signal: AbortSignal): void {
        if (this.followController !== undefined) {
            return;
        }
        this.followController = new AbortController();
        signal.addEventListener("abort", () => this.stopFollowing(), { signal: this.followController.signal });
        // Until the first configuration is known, every node follows that topic.
        if (this.configurationHolder.getVersion() >= 0) {
            void this.configurationFollower.run(this.followController.signal);
        }
        void this.instanceFollower.run(this.followController.signal);
        this.dependencies.logger.info("logFollowed", { contacts: this.listReaders().length });
    }

    private stopFollowing(): void {
        if (this.followController !== undefined) {
            this.followController.abort();
            this.followController = undefined;
            this.dependencies.logger.info("logLeftToReaders", { contacts: this.listReaders().length });
        }
    }

    private handleLogPosition({ era, isFollowing }: LogPosition): void {
        this.readers.recordContact(isFollowing);
        this.recordEra(era);
    }

    /** Records the era of the log that a read or another node names. After a rise this node's record may be lost. */
    private recordEra(era: number): void {
        const isRestored = this.knownEra >= 0 && era > this.knownEra;
        this.knownEra = Math.max(this.knownEra, era);
        if (isRestored) {
            const delayMs = this.dependencies.random() * maxRestoreDelayMs;
            this.rereadAt = Math.min(this.rereadAt, this.dependencies.clock.readMonotonic() + delayMs);
        }
    }

    private updateOwnRecord(): InstanceRecord {
        const description = this.dependencies.describeInstance();
        if (!isSameDescription(description, this.ownRecord)) {
            this.ownRecord = { ...description, revision: this.ownRecord.revision + 1 };
            this.registry.put(this.ownRecord);
        }
        return this.ownRecord;
    }

    /** Makes this node's record newer than a different one of its address, such as that of an earlier process. */
    private refuteOwnRecord(text: string): void {
        const other = parseInstanceRecord(text);
        if (other === undefined || text === this.formatOwnRecord() || other.revision < this.ownRecord.revision) {
            return;
        }
        this.ownRecord = { ...this.ownRecord, revision: other.revision + 1 };
        this.registry.put(this.ownRecord);
        this.publishOwnRecord();
    }

    private applyInstanceSnapshot(page: KeyedPage): void {
        this.knownEra = Math.max(this.knownEra, page.era);
        this.publisher.applySnapshot(page);
        this.applyInstances(page, "snapshot");
    }

    private applyConfigurations(page: KeyedPage): void {
        this.recordEra(page.era);
        for (const record of page.records) {
            if (record.key === configurationKey && record.value !== "") {
                this.adoptConfiguration(record.value, "log");
            }
        }
    }

    private applyInstances(page: KeyedPage, source: "snapshot" | "log"): void {
        for (const { key, value } of page.records) {
            if (key === this.dependencies.address) {
                this.publisher.setPublishedRecord(value);
                this.refuteOwnRecord(value);
            }
            // An empty value means that the record of this address was removed.
            else if (value === "") {
                this.registry.remove(key);
            }
            else {
                this.putRecord(value, source);
            }
        }
    }

    private putRecord(text: string, source: RecordSource): void {
        const record = parseInstanceRecord(text);
        if (record === undefined) {
            this.dependencies.logger.warn("recordSkipped", { source, text: text.slice(0, 100) });
            return;
        }
        if (record.address === this.dependencies.address) {
            this.refuteOwnRecord(text);
            return;
        }
        const isNew = this.registry.put(record);
        this.dependencies.handleInstanceRecord(record);
        if (isNew) {
            this.dependencies.logger.debug("instanceKnown", { source, record: text });
        }
        // Each node reads the newest records of the log by itself.
        if (isNew && source !== "snapshot") {
            this.gossip.forwardRecord(record);
        }
    }

    /** Adopts a configuration if it is newer than the one in force; a malformed one is skipped with a warning. */
    private adoptConfiguration(text: string, source: string): AdoptionResult {
        const result = this.configurationHolder.adoptIfNewer(text);
        if (result.kind === "adopted") {
            this.dependencies.logger.info("configurationAdopted", { version: result.version, source });
            for (const warning of this.configurationHolder.getTable()!.configuration.warnings) {
                this.dependencies.logger.warn("configurationWarning", { version: result.version, ...warning });
            }
        }
        if (result.kind === "invalid") {
            this.dependencies.logger.warn("configurationSkipped", { cause: result.cause, source });
        }
        return result;
    }
}

function isSameDescription(description: InstanceDescription, record: InstanceRecord): boolean {
    return description.address === record.address && description.port === record.port
        && description.service === record.service && description.dataCentre === record.dataCentre
        && description.slots === record.slots && description.isTaking === record.isTaking;
}
