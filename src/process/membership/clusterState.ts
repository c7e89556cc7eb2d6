/**
 * Cluster state of a routed node: the configuration in force and the known instances, from the keyed log and from other
 * nodes. A routed node works by the operator's configuration; a node that is not routed works by the contracts and
 * members on the shared log.
 */
import type { KeyedLog, KeyedPage } from "../../connection/keyedLog.js";
import type { LinkMessage, LogPosition } from "../../connection/linkMessage.js";
import type { AdoptionResult } from "../../version/configurationHolder.js";
import { ConfigurationHolder } from "../../version/configurationHolder.js";
import type { InstanceDescription, InstanceRecord } from "../../version/instanceRecord.js";
import { formatInstanceRecord, parseInstanceRecord } from "../../version/instanceRecord.js";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { Logger } from "../telemetry/logger.js";
import { InstancePublisher } from "./instancePublisher.js";
import type { RecordSource } from "./instanceRegistry.js";
import { InstanceRegistry } from "./instanceRegistry.js";
import { LogReaders } from "./logReaders.js";
import { LogReading, topics } from "./logReading.js";
import { OwnInstanceRecord } from "./ownInstanceRecord.js";
import { PeerGossip } from "./peerGossip.js";

/** Key of the configuration in its topic. */
const configurationKey = "config";
/** Time after a first start in which no contact with readers of the log is expected, in milliseconds. */
const firstContactMs = 6000;

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
    /** Called with a record of this address, which says what an earlier process of this node knew of the endpoint. */
    readonly restoreFromOwnRecord: (record: InstanceRecord) => void;
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
    private readonly reading: LogReading;
    private readonly ownRecord: OwnInstanceRecord;
    private hasHeardOfItself = false;

    constructor(private readonly dependencies: ClusterStateDependencies) {
        const { clock, random, logger, log, address, dataCentre, isFirstStart, isReachable } = dependencies;
        const { listLinked, ping, post } = dependencies;
        this.ownRecord = new OwnInstanceRecord(dependencies.describeInstance, dependencies.firstRevision);
        this.publisher = new InstancePublisher(clock, random, logger, log, topics.instances, address);
        const contactDelayMs = isFirstStart ? firstContactMs : 0;
        this.readers = new LogReaders(clock, this.registry, address, dataCentre, isReachable, contactDelayMs);
        this.reading = new LogReading({
            clock,
            random,
            logger,
            log,
            readers: this.readers,
            isFirstStart,
            hasConfiguration: () => this.configurationHolder.getVersion() >= 0,
            applyConfigurations: page => this.applyConfigurations(page),
            applyInstanceSnapshot: page => {
                this.publisher.applySnapshot(page);
                this.applyInstances(page, "snapshot");
            },
            applyInstances: page => this.applyInstances(page, "log"),
        });
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
            handleLogPosition: ({ era, isFollowing }) => {
                this.readers.recordContact(isFollowing);
                this.reading.recordEra(era);
            },
        });
        this.configurationHolder.addListener(() => this.gossip.announceVersion());
        this.registry.put(this.ownRecord.update());
    }

    /** Starts to read the keyed log and to publish the record of this node's instance, until the signal aborts. */
    run(signal: AbortSignal): void {
        this.reading.run(signal);
        void this.publisher.run(signal);
        void this.gossip.runContacts(signal);
    }

    /** What this node has of the keyed log. */
    getLogPosition(): LogPosition {
        return {
            version: this.configurationHolder.getVersion(),
            era: this.reading.getEra(),
            isFollowing: this.reading.isFollowing(),
        };
    }

    /** Whether it is known what earlier processes of this node published, from the log or from another node. */
    hasOwnRecord(): boolean {
        return this.reading.hasReadInstances() || this.hasHeardOfItself;
    }

    /** Addresses of the readers of the log with which this node keeps in contact. */
    listReaders(): string[] {
        return this.readers.listContacts();
    }

    /** Updates the record of this node's instance in the registry, on the keyed log and at other nodes. */
    publishOwnRecord(): void {
        const record = this.ownRecord.update();
        this.registry.put(record);
        this.publisher.publish(formatInstanceRecord(record));
        this.gossip.forwardRecord(record);
    }

    /** Formats the record of this node's instance for the keyed log and for links. */
    formatOwnRecord(): string {
        return formatInstanceRecord(this.ownRecord.update());
    }

    private applyConfigurations(page: KeyedPage): void {
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
                this.refuteRecord(value);
            }
            // An empty value means that the record of this address was removed.
            else if (value === "") {
                this.registry.remove(key);
            }
            else {
                this.putRecord(value, source, key);
            }
        }
    }

    /**
     * Publishes this node's record as a newer one if another one of its address is around. What an earlier process of
     * this node knew of the endpoint stays known.
     */
    private refuteRecord(text: string): void {
        this.hasHeardOfItself = true;
        const record = parseInstanceRecord(text);
        if (record?.address !== this.dependencies.address) {
            return;
        }
        this.dependencies.restoreFromOwnRecord(record);
        if (this.ownRecord.refute(text)) {
            this.publishOwnRecord();
        }
    }

    /** Puts a record into the registry. One that can't be read, or stands under the key of another address, names nobody. */
    private putRecord(text: string, source: RecordSource, key?: string): void {
        const record = parseInstanceRecord(text);
        if (record === undefined || (key !== undefined && record.address !== key)) {
            this.dependencies.logger.warn("recordSkipped", { source, text: text.slice(0, 100) });
            return;
        }
        if (record.address === this.dependencies.address) {
            this.refuteRecord(text);
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
