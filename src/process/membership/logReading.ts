/**
 * Reads the keyed log as far as this node's part requires: the configuration until one is known, all instance records once
 * and again from time to time, and what is appended while this node is a reader of the log.
 */
import type { KeyedLog, KeyedPage, LogEra } from "../../connection/keyedLog.js";
import { KeyedLogFollower } from "../../connection/keyedLogFollower.js";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { Logger } from "../telemetry/logger.js";
import type { LogReaders } from "./logReaders.js";

/** Topics of the keyed log. */
export const topics = {
    /** The operator's configuration. */
    configuration: "configuration",
    /** Records of the instances, by address. */
    instances: "instances",
} as const;
/** Delay after a read of instance records, so that the next read returns several at once, in milliseconds. */
const instanceBatchDelayMs = 300;
/**
 * Longest wait for a new configuration, in milliseconds. A connection to the log can fall silent without a sign, at all
 * readers at once, and a new version that was appended since must still be in force in time.
 */
const maxConfigurationWaitMs = 1200;
/** Longest wait for a changed instance record, in milliseconds. */
const maxInstanceWaitMs = 16_000;
/** Time after a first start in which the other nodes append their records, in milliseconds. */
const firstRecordsMs = 2500;
/** Interval at which a node checks whether it has to follow the log, in milliseconds. */
const checkIntervalMs = 300;
/** Average time after which all instance records are read again, in milliseconds. */
const rereadIntervalMs = 120_000;
/** Maximum delay of the read that follows a restore of the log, in milliseconds. */
const maxRestoreDelayMs = 1000;

/** Dependencies of the reading. */
export interface LogReadingDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly log: KeyedLog;
    readonly readers: Pick<LogReaders, "isFollowerNeeded">;
    /** Whether all nodes start now for the first time. */
    readonly isFirstStart: boolean;
    readonly hasConfiguration: () => boolean;
    readonly applyConfigurations: (page: KeyedPage) => void;
    /** Called with the newest record of each instance. */
    readonly applyInstanceSnapshot: (page: KeyedPage) => void;
    /** Called with instance records that were appended later. */
    readonly applyInstances: (page: KeyedPage) => void;
}

/** Tasks that read the keyed log. */
export class LogReading {
    private readonly configurationFollower: KeyedLogFollower;
    private readonly instanceFollower: KeyedLogFollower;
    private isFollowingInstances = false;
    /** Highest era of the log that this node has heard of; -1 before the first. */
    private knownEra: LogEra = -1;
    /** Time on the monotonic clock at which all instance records are to be read. */
    private rereadAt: number;

    constructor(private readonly dependencies: LogReadingDependencies) {
        const { clock, random, logger, log, isFirstStart } = dependencies;
        const { applyConfigurations, applyInstanceSnapshot, applyInstances } = dependencies;
        this.rereadAt = clock.readMonotonic() + (isFirstStart ? firstRecordsMs * (1 + random() / 4) : 0);
        const followed = { clock, random, logger, log };
        this.configurationFollower = new KeyedLogFollower({
            ...followed,
            topic: topics.configuration,
            batchDelayMs: 0,
            maxWaitMs: maxConfigurationWaitMs,
            applySnapshot: page => this.applyPage(page, applyConfigurations),
            applyPage: page => this.applyPage(page, applyConfigurations),
        });
        this.instanceFollower = new KeyedLogFollower({
            ...followed,
            topic: topics.instances,
            batchDelayMs: instanceBatchDelayMs,
            maxWaitMs: maxInstanceWaitMs,
            applySnapshot: page => {
                // The era needs no further read: this is the read that follows its rise.
                this.knownEra = Math.max(this.knownEra, page.era);
                applyInstanceSnapshot(page);
            },
            applyPage: applyInstances,
        });
    }

    /** Starts the tasks; they end when the signal aborts. */
    run(signal: AbortSignal): void {
        void this.runConfigurations(signal);
        void this.runInstances(signal);
    }

    /** Highest era of the log that this node has heard of; -1 before the first. */
    getEra(): LogEra {
        return this.knownEra;
    }

    /** Whether the records of all instances were read once. */
    hasReadInstances(): boolean {
        return this.instanceFollower.hasRead();
    }

    /** Whether this node follows the log, and its last read of the configuration succeeded. */
    isFollowing(): boolean {
        return this.isFollowingInstances && this.configurationFollower.isHealthy();
    }

    /** Records the era that a read or another node names. After a rise all instance records are read again. */
    recordEra(era: LogEra): void {
        const { clock, random } = this.dependencies;
        const isRestored = this.knownEra >= 0 && era > this.knownEra;
        this.knownEra = Math.max(this.knownEra, era);
        if (isRestored) {
            this.rereadAt = Math.min(this.rereadAt, clock.readMonotonic() + random() * maxRestoreDelayMs);
        }
    }

    private applyPage(page: KeyedPage, apply: (page: KeyedPage) => void): void {
        this.recordEra(page.era);
        apply(page);
    }

    private async runConfigurations(signal: AbortSignal): Promise<void> {
        const isWanted = (): boolean => !this.dependencies.hasConfiguration() || this.isFollower();
        while (!signal.aborted) {
            await this.followWhile(this.configurationFollower, isWanted, signal);
            await this.dependencies.clock.sleepToTick(checkIntervalMs, signal);
        }
    }

    private async runInstances(signal: AbortSignal): Promise<void> {
        const { clock, logger, random } = this.dependencies;
        const isWanted = (): boolean => this.isFollower() && clock.readMonotonic() < this.rereadAt;
        while (!signal.aborted) {
            if (clock.readMonotonic() >= this.rereadAt) {
                this.rereadAt = clock.readMonotonic() + rereadIntervalMs * (0.75 + random() / 2);
                await this.instanceFollower.readNewest(signal);
            }
            if (isWanted()) {
                this.isFollowingInstances = true;
                logger.info("logFollowed");
                await this.followWhile(this.instanceFollower, isWanted, signal);
                this.isFollowingInstances = false;
                logger.info("logLeftToReaders");
            }
            await clock.sleepToTick(checkIntervalMs, signal);
        }
    }

    /** A node that has not read the instance records yet doesn't know the other readers. */
    private isFollower(): boolean {
        return this.instanceFollower.hasRead() && this.dependencies.readers.isFollowerNeeded();
    }

    private async followWhile(
        follower: KeyedLogFollower,
        isWanted: () => boolean,
        signal: AbortSignal,
    ): Promise<void> {
        const controller = new AbortController();
        const stop = (): void => controller.abort();
        signal.addEventListener("abort", stop);
        void this.cancelWhenUnwanted(isWanted, controller);
        await follower.run(controller.signal, isWanted);
        signal.removeEventListener("abort", stop);
        controller.abort();
    }

    private async cancelWhenUnwanted(isWanted: () => boolean, controller: AbortController): Promise<void> {
        while (isWanted() && !controller.signal.aborted) {
            await this.dependencies.clock.sleepToTick(checkIntervalMs, controller.signal);
        }
        controller.abort();
    }
}
