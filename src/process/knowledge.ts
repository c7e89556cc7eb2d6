/**
 * What a routed node knows of the whole system: the configuration in force and the instances, from the keyed log and from other
 * nodes.
 */
import { KeyedFollower } from "../connection/keyedFollower.js";
import type { KeyedLog, KeyedPage } from "../connection/keyedLog.js";
import type { LinkMessage } from "../connection/linkMessage.js";
import type { OfferResult } from "../version/configurationHolder.js";
import { ConfigurationHolder } from "../version/configurationHolder.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import { formatInstanceRecord, parseInstanceRecord } from "../version/instanceRecord.js";
import type { Random } from "./balancer.js";
import type { Clock } from "./clock.js";
import { InstancePublisher } from "./instancePublisher.js";
import type { RecordSource } from "./instanceRegister.js";
import { InstanceRegister } from "./instanceRegister.js";
import type { Logger } from "./logger.js";
import { PeerNews } from "./peerNews.js";

/** Topics of the keyed log. */
export const topics = {
    /** The operator's configuration, under the key {@link configurationKey}. */
    configuration: "configuration",
    /** Records of the instances, by address. */
    instances: "instances",
} as const;
const configurationKey = "config";
/** Time to let more instance records come in after a read, in milliseconds. */
const instanceRestMs = 300;

/** What the knowledge needs from the rest of the node. */
export interface KnowledgeParts {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly log: KeyedLog;
    /** Address of the own instance. */
    readonly address: string;
    /** Record of the own instance as it is now. */
    readonly createOwnRecord: () => InstanceRecord;
    readonly post: (address: string, message: LinkMessage) => void;
    /** Called with each record of another instance that arrives. */
    readonly noticeInstance: (record: InstanceRecord) => void;
}

/** Configuration and instances. */
export class Knowledge {
    readonly holder = new ConfigurationHolder();
    readonly register = new InstanceRegister();
    readonly news: PeerNews;
    private readonly publisher: InstancePublisher;

    constructor(private readonly parts: KnowledgeParts) {
        const { clock, random, logger, log, address, post } = parts;
        this.publisher = new InstancePublisher(clock, random, logger, log, topics.instances, address);
        this.news = new PeerNews({
            clock,
            random,
            holder: this.holder,
            register: this.register,
            offerConfiguration: (text, source) => this.offerConfiguration(text, source),
            putRecord: (text, source) => this.putRecord(text, source),
            post,
            address,
        });
        this.holder.listen(() => this.news.spreadVersion());
        this.putOwnRecord();
    }

    /** Follows the keyed log until the signal aborts. */
    run(signal: AbortSignal): void {
        const { clock, random, logger, log } = this.parts;
        const configuration = new KeyedFollower({
            clock,
            random,
            logger,
            log,
            topic: topics.configuration,
            restMs: 0,
            applyPage: page => this.applyConfigurations(page),
        });
        const instances = new KeyedFollower({
            clock,
            random,
            logger,
            log,
            topic: topics.instances,
            restMs: instanceRestMs,
            applyPage: page => this.applyInstances(page),
        });
        void configuration.run(signal);
        void instances.run(signal);
        void this.publisher.run(signal);
    }

    /** Tells the others of a change of the own instance. */
    publishOwnRecord(): void {
        this.putOwnRecord();
        this.publisher.publish(this.formatOwnRecord());
    }

    /** Record of the own instance, as it is sent. */
    formatOwnRecord(): string {
        return formatInstanceRecord(this.parts.createOwnRecord());
    }

    private putOwnRecord(): void {
        this.register.put(this.parts.createOwnRecord(), "self");
    }

    private applyConfigurations(page: KeyedPage): void {
        for (const record of page.records) {
            if (record.key === configurationKey && record.value !== "") {
                this.offerConfiguration(record.value, "log");
            }
        }
    }

    private applyInstances(page: KeyedPage): void {
        for (const { key, value } of page.records) {
            if (key === this.parts.address) {
                this.publisher.noticePublished(value);
            }
            else if (value === "") {
                this.register.remove(key);
            }
            else {
                this.putRecord(value, "log");
            }
        }
    }

    private putRecord(text: string, source: RecordSource): void {
        const record = parseInstanceRecord(text);
        if (record === undefined) {
            this.parts.logger.warn("recordSkipped", { source, text: text.slice(0, 100) });
            return;
        }
        if (record.address === this.parts.address) {
            return;
        }
        if (this.register.put(record, source)) {
            this.parts.logger.debug("instanceKnown", { source, record: text });
        }
        this.parts.noticeInstance(record);
    }

    private offerConfiguration(text: string, source: string): OfferResult {
        const result = this.holder.offer(text);
        if (result.kind === "adopted") {
            this.parts.logger.info("configurationAdopted", { version: result.version, source });
        }
        if (result.kind === "invalid") {
            this.parts.logger.warn("configurationSkipped", { cause: result.cause, source });
        }
        return result;
    }
}
