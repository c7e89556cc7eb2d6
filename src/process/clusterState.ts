/**
 * Cluster state of a routed node: the configuration in force and the known instances, from the keyed log and from other
 * nodes. A routed node works by the operator's configuration; a node that is not routed works by the contracts and
 * members on the shared log.
 */
import type { KeyedLog, KeyedPage, LogEra } from "../connection/keyedLog.js";
import { KeyedLogFollower } from "../connection/keyedLogFollower.js";
import type { AdoptionResult } from "../version/configurationHolder.js";
import { ConfigurationHolder } from "../version/configurationHolder.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import { formatInstanceRecord, parseInstanceRecord } from "../version/instanceRecord.js";
import type { Random } from "./balancer.js";
import type { Clock } from "./clock.js";
import { InstancePublisher } from "./instancePublisher.js";
import type { RecordSource } from "./instanceRegistry.js";
import { InstanceRegistry } from "./instanceRegistry.js";
import type { Logger } from "./logger.js";
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

/** Dependencies of the cluster state. */
export interface ClusterStateDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly log: KeyedLog;
    /** Address of this node's instance. */
    readonly address: string;
    /** Creates the current record of this node's instance. */
    readonly createOwnRecord: () => InstanceRecord;
    /** Addresses to which a link is open. */
    readonly listLinked: () => readonly string[];
    /** Sends the version in force to an address, which answers with its own. */
    readonly ping: (address: string) => void;
    /** Called with each well-formed record of another instance, also when it changes nothing. */
    readonly handleInstanceRecord: (record: InstanceRecord) => void;
}

/** Configuration in force and known instances, kept up to date while the node runs. */
export class ClusterState {
    readonly configurationHolder = new ConfigurationHolder();
    readonly registry = new InstanceRegistry();
    readonly gossip: PeerGossip;
    private readonly publisher: InstancePublisher;
    private configurationFollower: KeyedLogFollower | undefined;

    constructor(private readonly dependencies: ClusterStateDependencies) {
        const { clock, random, logger, log, address, listLinked, ping } = dependencies;
        this.publisher = new InstancePublisher(clock, random, logger, log, topics.instances, address);
        this.gossip = new PeerGossip({
            clock,
            random,
            configurationHolder: this.configurationHolder,
            registry: this.registry,
            adoptConfiguration: (text, source) => this.adoptConfiguration(text, source),
            putRecord: (text, source) => this.putRecord(text, source),
            listLinked,
            ping,
        });
        this.configurationHolder.addListener(() => this.gossip.announceVersion());
        this.putOwnRecord();
    }

    /** Starts to follow the keyed log and to publish the record of this node's instance, until the signal aborts. */
    run(signal: AbortSignal): void {
        const { clock, random, logger, log } = this.dependencies;
        this.configurationFollower = new KeyedLogFollower({
            clock,
            random,
            logger,
            log,
            topic: topics.configuration,
            batchDelayMs: 0,
            applySnapshot: page => this.applyConfigurations(page),
            applyPage: page => this.applyConfigurations(page),
        });
        const instanceFollower = new KeyedLogFollower({
            clock,
            random,
            logger,
            log,
            topic: topics.instances,
            batchDelayMs: instanceBatchDelayMs,
            applySnapshot: page => {
                this.publisher.applySnapshot(page);
                this.applyInstances(page);
            },
            applyPage: page => this.applyInstances(page),
        });
        void this.configurationFollower.run(signal);
        void instanceFollower.run(signal);
        void this.publisher.run(signal);
        void this.gossip.runComparisons(signal);
    }

    /** Era of the keyed log as of the last read; -1 before the first. */
    getLogEra(): LogEra {
        return this.configurationFollower?.getEra() ?? -1;
    }

    /** Updates the record of this node's instance in the registry and on the keyed log. */
    publishOwnRecord(): void {
        this.putOwnRecord();
        this.publisher.publish(this.formatOwnRecord());
    }

    /** Formats the record of this node's instance for the keyed log and for links. */
    formatOwnRecord(): string {
        return formatInstanceRecord(this.dependencies.createOwnRecord());
    }

    private putOwnRecord(): void {
        this.registry.put(this.dependencies.createOwnRecord(), "self");
    }

    private applyConfigurations(page: KeyedPage): void {
        for (const record of page.records) {
            if (record.key === configurationKey && record.value !== "") {
                this.adoptConfiguration(record.value, "log");
            }
        }
    }

    private applyInstances(page: KeyedPage): void {
        for (const { key, value } of page.records) {
            if (key === this.dependencies.address) {
                this.publisher.setPublishedRecord(value);
            }
            // An empty value means that the record of this address was removed.
            else if (value === "") {
                this.registry.remove(key);
            }
            else {
                this.putRecord(value, "log");
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
            return;
        }
        if (this.registry.put(record, source)) {
            this.dependencies.logger.debug("instanceKnown", { source, record: text });
        }
        this.dependencies.handleInstanceRecord(record);
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
