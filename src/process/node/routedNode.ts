/**
 * Assembles a routed node: it routes requests by host and path, as the operator's configuration says. Nodes exchange
 * their state over links, and share the configuration and the instances through the platform's keyed log.
 */
import { setMaxListeners } from "node:events";
import { EndpointConnectionPool } from "../../connection/endpointConnectionPool.js";
import { isEndpointRunning } from "../../connection/endpointLiveness.js";
import type { KeyedLog } from "../../connection/keyedLog.js";
import type { HelloMessage } from "../../connection/link.js";
import { LinkServer } from "../../connection/linkServer.js";
import { PeerLinks } from "../../connection/peerLinks.js";
import type { Dialect } from "../../request/dialect.js";
import type { RoutedEntryDependencies } from "../../request/entryRequest.js";
import { Forwarder } from "../../request/forwarder.js";
import { Sender } from "../../request/sender.js";
import type { CallerLimits } from "../../version/configuration.js";
import type { InstanceDescription } from "../../version/instanceRecord.js";
import type { Clock } from "../base/clock.js";
import { CustomerQuotas } from "../customers/customerQuotas.js";
import type { QuotaBounds } from "../customers/quotaBound.js";
import { CrashDetector } from "../endpoint/crashDetector.js";
import type { CrashReport } from "../endpoint/crashFlood.js";
import { CrashFlood } from "../endpoint/crashFlood.js";
import { EndpointLifecycle } from "../endpoint/endpointLifecycle.js";
import { EndpointRunner } from "../endpoint/endpointRunner.js";
import { EndpointState } from "../endpoint/endpointState.js";
import { Quarantine } from "../endpoint/quarantine.js";
import { RemoteRuns } from "../endpoint/remoteRuns.js";
import { SuspectExchange } from "../endpoint/suspectExchange.js";
import { BodyBudget } from "../load/bodyBudget.js";
import { EntryThrottle } from "../load/entryThrottle.js";
import { InstanceSelector } from "../load/instanceSelector.js";
import { LoadRefresher } from "../load/loadRefresher.js";
import { Placement } from "../load/placement.js";
import { RepeatOrder } from "../load/repeatOrder.js";
import { ReturnSchedule } from "../load/returnSchedule.js";
import { RunsInProgress } from "../load/runsInProgress.js";
import type { RetryLimits } from "../load/serviceRetryBudget.js";
import { ServiceRetryBudget } from "../load/serviceRetryBudget.js";
import { WeightedRoundRobin } from "../load/weightedRoundRobin.js";
import { ClusterState } from "../membership/clusterState.js";
import { InstanceSubsets } from "../membership/instanceSubset.js";
import { LinkKeeper } from "../membership/linkKeeper.js";
import { computeBodyBytes, computeConnectionLimits } from "../settings/processLimits.js";
import { hasReservedReturns } from "../settings/routedSettings.js";
import type { RoutedSettings, SwitchableDecision } from "../settings/routedSettings.js";
import type { Logger } from "../telemetry/logger.js";
import { RoutedMetrics } from "../telemetry/routedMetrics.js";
import { GracefulStop } from "./gracefulStop.js";
import { InFlightRequests } from "./inFlightRequests.js";
import { PeerMessages } from "./peerMessages.js";
import { addRoutedGauges } from "./routedGauges.js";
import { RoutedListeners } from "./routedListeners.js";

/** Poll interval of the graceful stop, in milliseconds. */
const waitPollMs = 50;
/** Time for the last answers at the end of a stop, in milliseconds. */
const lastAnswersMs = 100;
/** Time after a restart for which other nodes prefer other instances, in milliseconds. */
const stabilisationMs = 3500;
/** Time between removals of the expired outcomes of runs for other nodes, in milliseconds. */
const housekeepingIntervalMs = 1000;
/** Time in which new instances are collected before links to them are chosen, in milliseconds. */
const newInstancesMs = 20;

/** Platform-specific parts: access to the keyed log, and the headers by which requests carry their metadata. */
export interface PlatformAdapters {
    readonly log: KeyedLog;
    /** Names and formats of the platform's headers for request metadata. */
    readonly dialect: Dialect;
}

/** One routed node: everything that runs in its process. */
export class RoutedNode {
    private readonly stopController = new AbortController();
    private readonly clusterState: ClusterState;
    private readonly metrics = new RoutedMetrics();
    private readonly endpoint: EndpointState;
    private readonly endpointLifecycle: EndpointLifecycle;
    private readonly pool: EndpointConnectionPool;
    private readonly quarantine: Quarantine;
    private readonly crashFlood: CrashFlood;
    private readonly suspects: SuspectExchange;
    private readonly bodies: BodyBudget;
    private readonly runs = new RunsInProgress();
    private readonly runner: EndpointRunner;
    private readonly remoteRuns: RemoteRuns;
    private readonly placement: Placement;
    private readonly subsets: InstanceSubsets;
    private readonly loadRefresher: LoadRefresher;
    private readonly linkKeeper: LinkKeeper;
    private readonly links: PeerLinks;
    private readonly linkServer: LinkServer;
    private readonly retryBudget: ServiceRetryBudget;
    /** Times at which refused callers come back; `undefined` where the settings don't call for it. */
    private readonly returnSchedule: ReturnSchedule | undefined;
    private readonly quotas: CustomerQuotas;
    private readonly peerMessages: PeerMessages;
    private readonly inFlightRequests: InFlightRequests;
    private readonly listeners: RoutedListeners;
    /**
     * Incarnation of this node's process: wall-clock time of the start in microseconds, of which the last three digits
     * are random. The endpoint's process has an incarnation of its own.
     */
    private readonly incarnation: number;
    /** Time of the start on the monotonic clock, in milliseconds. */
    private readonly startedAt: number;
    private readonly gracefulStop: GracefulStop;
    /** The stop, once it has begun. */
    private stopped: Promise<void> | undefined;
    /** Whether links are about to be chosen, since instances became known. */
    private isChoosingLinks = false;
    /** Whether the endpoint gets no new runs, since this process ends soon. */
    private isEndpointClosed = false;

    constructor(
        private readonly settings: RoutedSettings,
        private readonly platform: PlatformAdapters,
        private readonly clock: Clock,
        private readonly logger: Logger,
    ) {
        const { address, dataCentre, bounds, endpoint } = settings;
        this.gracefulStop = new GracefulStop(clock, bounds.graceSeconds * 1000);
        this.startedAt = clock.readMonotonic();
        // One task for each peer listens to this signal, more than the default limit of listeners allows.
        setMaxListeners(0, this.stopController.signal);
        this.incarnation = Math.floor(clock.readDate().getTime() * 1000 + Math.random() * 1000);
        this.bodies = new BodyBudget(clock, computeBodyBytes(settings));
        this.inFlightRequests = new InFlightRequests(clock);
        this.quarantine = new Quarantine(clock);
        this.crashFlood = new CrashFlood(this.quarantine, report => this.postToOwnService(report));
        this.endpoint = new EndpointState(clock);
        this.pool = new EndpointConnectionPool(
            clock,
            endpoint.address.host,
            endpoint.address.port,
            platform.dialect,
            logger,
            this.bodies,
        );
        this.runner = this.createRunner();
        this.remoteRuns = new RemoteRuns(clock, this.runner, this.bodies);
        const isReachable = (peer: string): boolean => peer === address || this.links.isReachable(peer);
        this.placement = new Placement(clock, Math.random, address, dataCentre, isReachable);
        this.subsets = new InstanceSubsets(address, dataCentre);
        this.loadRefresher = new LoadRefresher({
            clock,
            random: Math.random,
            dataCentre,
            getLoadAgeMs: peer => this.placement.getLoadAgeMs(peer),
            ping: peer => this.links.ping(peer),
        });
        this.links = this.createLinks();
        this.linkServer = this.createLinkServer();
        this.clusterState = new ClusterState({
            clock,
            random: Math.random,
            logger,
            log: platform.log,
            address,
            dataCentre,
            firstRevision: this.incarnation,
            isFirstStart: settings.isFirstStart,
            describeInstance: () => this.describeInstance(),
            listLinked: () => this.links.listLinked(),
            isReachable,
            ping: peer => void this.links.ping(peer),
            post: (peer, message) => this.links.post(peer, message),
            restoreFromOwnRecord: record => this.endpointLifecycle.restoreFromOwnRecord(record),
            handleInstanceRecord: record => {
                if (this.links.add(record)) {
                    this.keepLinksSoon();
                }
            },
        });
        this.suspects = this.createSuspectExchange(isReachable);
        this.endpointLifecycle = new EndpointLifecycle({
            clock,
            logger,
            service: settings.service,
            endpoint: this.endpoint,
            pool: this.pool,
            clusterState: this.clusterState,
            isFirstStart: settings.isFirstStart,
            suspects: this.suspects,
            refuseWaiting: () => this.runner.refuseWaiting("leaving"),
            announceLoad: () => this.announceLoad(),
            announceRecord: () => {
                this.linkServer.postToAll({ kind: "instances", records: [this.clusterState.formatOwnRecord()] });
            },
        });
        const { configurationHolder, registry } = this.clusterState;
        const listReaders = (): readonly string[] => this.clusterState.listReaders();
        this.linkKeeper = new LinkKeeper(clock, settings.service, registry, this.subsets, listReaders);
        this.retryBudget = new ServiceRetryBudget(
            clock,
            createRetryLimits(bounds),
            () => registry.count(),
            settings.isFirstStart,
            this.isOn("repeatOrder") ? new RepeatOrder(clock) : firstComeOrder,
        );
        this.returnSchedule = hasReservedReturns(settings) ? new ReturnSchedule(clock, Math.random) : undefined;
        this.quotas = this.createQuotas();
        this.peerMessages = new PeerMessages({
            clusterState: this.clusterState,
            suspects: this.suspects,
            crashFlood: this.crashFlood,
            quotas: this.quotas,
            getLoad: () => this.runner.getLoad(),
        });
        this.listeners = new RoutedListeners({
            settings,
            logger,
            metrics: this.metrics,
            inFlightRequests: this.inFlightRequests,
            entry: this.createEntryDependencies(),
            reports: {
                service: settings.service,
                address: `${endpoint.address.host}:${endpoint.address.port}`,
                reportForeign: (id, service) => this.endpointLifecycle.recordForeign(id, service),
                report: report => this.endpointLifecycle.applyReport(report),
                leave: (id, born) => this.endpointLifecycle.applyLeave(id, born),
            },
            findNotReadyCause: () => this.findNotReadyCause(),
        });
        configurationHolder.addListener(() =>
            this.applyCallerLimits(configurationHolder.getTable()!.configuration.limits)
        );
        configurationHolder.addListener(() => this.quotas.updateQuotas());
        addRoutedGauges(this.metrics, {
            bodies: this.bodies,
            callers: this.listeners.getCallerRoom(),
            clusterState: this.clusterState,
            endpoint: this.endpoint,
            links: this.links,
            quotas: this.quotas,
            retryBudget: this.retryBudget,
            returnSchedule: this.returnSchedule,
            runner: this.runner,
            strayAnswers: this.pool.strayAnswers,
        });
    }

    /** Binds all listeners and starts the tasks of the process. */
    async start(): Promise<void> {
        const { address, listeners, service, machine, isFirstStart } = this.settings;
        await this.linkServer.start(address, listeners.peerPort);
        await this.listeners.start();
        const { signal } = this.stopController;
        this.clusterState.run(signal);
        void this.links.runLivenessChecks();
        void this.pool.runPruning(signal);
        void this.runHousekeeping(signal);
        void this.quotas.run(signal);
        if (!isFirstStart) {
            void this.endpointLifecycle.restore(signal);
        }
        this.logger.info("started", { machine, service, address, incarnation: this.incarnation, isFirstStart });
    }

    /** Applies changed settings. Only `bounds` take effect while the process runs; all others need a restart. */
    applySettings(settings: RoutedSettings): void {
        this.gracefulStop.setGrace(settings.bounds.graceSeconds * 1000);
        this.retryBudget.setLimits(createRetryLimits(settings.bounds));
        this.quotas.setBounds(createQuotaBounds(settings.bounds));
    }

    /**
     * Stops gracefully: announces the stop to the other nodes, lets callers move to other instances, and finishes
     * requests in progress. Further calls wait for the same stop.
     */
    stop(): Promise<void> {
        return this.stopped ??= this.stopGracefully();
    }

    /** Why the node is not ready for callers; `undefined` when it is. */
    findNotReadyCause(): string | undefined {
        if (this.gracefulStop.hasStarted()) {
            return "stopping";
        }
        if (this.clusterState.configurationHolder.getVersion() < 0) {
            return "no configuration is known";
        }
        return this.endpointLifecycle.isRestored() ? undefined : "what was known before is not read";
    }

    private async stopGracefully(): Promise<void> {
        this.gracefulStop.start();
        this.announceLoad();
        this.logger.info("stopping", {
            requests: this.inFlightRequests.getCount(),
            running: this.runner.getLoad().running,
        });
        for (;;) {
            const step = this.gracefulStop.decideStep({
                isEndpointClosed: this.isEndpointClosed,
                hasOtherInstance: this.hasOtherInstance(),
                inProgress: this.inFlightRequests.getCount() + this.runner.getLoad().running
                    + (this.linkServer.hasUnsent() ? 1 : 0),
            });
            if (step === "end") {
                break;
            }
            if (step === "close") {
                this.closeEndpoint();
            }
            await this.clock.sleep(waitPollMs);
        }
        this.gracefulStop.ending.cancel();
        await this.inFlightRequests.drain(lastAnswersMs);
        const requests = this.inFlightRequests.getCount();
        // Callers learn at once that nothing more is read; the end of the process may take a while.
        this.listeners.closeCallers();
        this.logger.info("stopped", {
            requests,
            running: this.runner.getLoad().running,
        });
        this.stopController.abort();
        this.links.close();
        this.linkServer.stop();
        this.pool.destroy();
    }

    private createRunner(): EndpointRunner {
        const { clock, logger, settings, platform, quarantine, pool } = this;
        const { service, address } = settings;
        const { host, port } = settings.endpoint.address;
        return new EndpointRunner({
            clock,
            logger,
            service,
            dialect: platform.dialect,
            endpoint: this.endpoint,
            pool,
            runs: this.runs,
            quarantine,
            crashes: new CrashDetector({
                clock,
                logger,
                quarantine,
                nodeId: `${address}/${this.incarnation}`,
                isEndpointRunning: () => isEndpointRunning(host, port),
                reportToPeers: (fingerprints, incident) => this.crashFlood.report({ fingerprints, incident }),
            }),
            recordLeaving: id => this.endpointLifecycle.recordLeaving(id),
            recordNamedLimit: (id, perSecond) => this.endpointLifecycle.recordNamedLimit(id, perSecond),
            isRestored: () => this.endpointLifecycle.isRestored(),
            isEndpointClosed: () => this.isEndpointClosed,
            lowerDeadline: deadline => this.gracefulStop.lowerDeadline(deadline),
            findCustomerWeight: customer =>
                this.clusterState.configurationHolder.getTable()?.customers.getWeight(customer) ?? 1,
            isSettled: () => this.isSettled(),
            isReporting: { slowness: this.isOn("reportedSlowness"), shedShare: this.isOn("shedAvoidance") },
        });
    }

    private createSuspectExchange(isReachable: (peer: string) => boolean): SuspectExchange {
        const { logger, settings, quarantine, subsets, clusterState } = this;
        const { address, service, isFirstStart } = settings;
        const { registry } = clusterState;
        return new SuspectExchange({
            logger,
            quarantine,
            isFirstStart,
            arePeersKnown: () => clusterState.hasOwnRecord(),
            listPeers: () =>
                subsets.choose(registry.listForService(service)).map(each => each.address).filter(each =>
                    each !== address
                ),
            isPeer: peer => peer !== address && registry.get(peer)?.service === service,
            isReachable,
        });
    }

    private isOn(decision: SwitchableDecision): boolean {
        return !this.settings.decisions.off.includes(decision);
    }

    /**
     * Whether this process is neither stopping nor just restarted. Other nodes prefer instances for which it is true.
     */
    private isSettled(): boolean {
        const isJustStarted = this.clock.readMonotonic() - this.startedAt < stabilisationMs;
        return !this.gracefulStop.hasStarted() && (this.settings.isFirstStart || !isJustStarted);
    }

    private createEntryDependencies(): RoutedEntryDependencies {
        const { clock, logger, settings, runs, runner, placement, links, retryBudget } = this;
        const { address, service } = settings;
        const { configurationHolder, registry } = this.clusterState;
        return {
            clock,
            random: Math.random,
            logger,
            metrics: this.metrics,
            dialect: this.platform.dialect,
            configurationHolder,
            serviceSelector: new WeightedRoundRobin(Math.random),
            forwarder: new Forwarder({
                clock,
                logger,
                placement,
                instanceSelector: this.createInstanceSelector(),
                retryBudget,
                sender: new Sender({
                    clock,
                    isHedging: this.isOn("hedging"),
                    address,
                    service,
                    placement,
                    links,
                    runner,
                    findLeavingEndpoint: peer => registry.findLeavingEndpoint(peer),
                }),
            }),
            runs,
            entryThrottle: this.isOn("entryThrottle") ? new EntryThrottle(clock, Math.random) : openThrottle,
            returnSchedule: this.returnSchedule,
            findUtilisation: serviceName => placement.computeUtilisation(registry.listForService(serviceName)),
            quotas: this.quotas,
            bodies: this.bodies,
            stop: this.gracefulStop,
        };
    }

    private applyCallerLimits(limits: CallerLimits): void {
        this.listeners.setCallerLimits(limits);
        const maxHeldBytes = this.bodies.getMaxBodyBytes();
        if (limits.maxBodyBytes > maxHeldBytes) {
            this.logger.warn("bodyLimitLowered", { maxBodyBytes: limits.maxBodyBytes, maxHeldBytes });
        }
    }

    private createQuotas(): CustomerQuotas {
        const { clock, settings, links, incarnation } = this;
        const { configurationHolder, registry } = this.clusterState;
        return new CustomerQuotas({
            clock,
            random: Math.random,
            address: settings.address,
            processId: String(incarnation),
            isFirstStart: settings.isFirstStart,
            registry,
            listLimited: () => configurationHolder.getTable()?.customers.listLimited() ?? [],
            findQuota: customer => configurationHolder.getTable()?.customers.findByName(customer)?.quota,
            isLinked: peer => links.isLinked(peer),
            post: (peer, message) => links.post(peer, message),
        }, createQuotaBounds(settings.bounds));
    }

    private createInstanceSelector(): InstanceSelector {
        const { settings, placement, runner, subsets, loadRefresher, linkKeeper } = this;
        return new InstanceSelector({
            random: Math.random,
            registry: this.clusterState.registry,
            subsets,
            placement,
            loadRefresher,
            linkKeeper,
            keepLinks: () => this.keepLinks(),
            refreshOwnLoad: service => {
                if (service === settings.service) {
                    placement.recordLoad(settings.address, runner.getLoad());
                }
            },
        });
    }

    /** Sends a report of a crash to this node's subset of its own service, whose nodes pass it on. */
    private postToOwnService(report: CrashReport): void {
        const { registry } = this.clusterState;
        for (const { address } of this.subsets.choose(registry.listForService(this.settings.service))) {
            this.links.post(address, { kind: "crashes", ...report });
        }
    }

    private keepLinks(): void {
        const { address } = this.settings;
        const kept = new Set([...this.linkKeeper.chooseAddresses(), ...this.quotas.listLinkedAddresses()]);
        kept.delete(address);
        this.links.keep(kept);
    }

    /**
     * Keeps the links to new instances without waiting for the next housekeeping: a node that has just started can't ask for units
     * of quotas, nor send, before they are open.
     */
    private keepLinksSoon(): void {
        if (this.isChoosingLinks) {
            return;
        }
        this.isChoosingLinks = true;
        this.clock.startTimer(newInstancesMs, () => {
            this.isChoosingLinks = false;
            this.keepLinks();
        });
    }

    private createLinks(): PeerLinks {
        return new PeerLinks({
            clock: this.clock,
            random: Math.random,
            logger: this.logger,
            createHello: () => this.createHello(),
            getLogPosition: () => this.clusterState.getLogPosition(),
            handleHello: hello => this.peerMessages.handleHello(hello, reply => this.links.post(hello.address, reply)),
            handleMessage: (address, message) =>
                this.peerMessages.handleOnOwnLink(address, message, reply => this.links.post(address, reply)),
            recordLoad: (address, load) => {
                this.placement.recordLoad(address, load);
                this.loadRefresher.recordLoad(address);
            },
            recordLostLink: address => this.placement.recordLostLink(address),
            isKnownInstance: address => this.clusterState.registry.get(address) !== undefined,
        }, this.stopController.signal);
    }

    private createLinkServer(): LinkServer {
        return new LinkServer({
            createHello: () => this.createHello(),
            handleHello: (hello, link) => {
                this.peerMessages.handleHello(hello, link.post);
                this.links.recordAlive(hello.address);
            },
            run: (message, link) => this.remoteRuns.start(message, link),
            cancel: (id, link) => this.remoteRuns.cancel(id, link),
            admitRun: bytes => this.remoteRuns.admit(bytes),
            refuseRun: (id, link) => this.remoteRuns.refuse(id, link),
            handleMessage: (message, link) =>
                this.peerMessages.handleOnAcceptedLink(link.getPeerAddress(), message, link.post),
            reportFailure: (cause, peer) => this.logger.warn("linkRefused", { cause, peer }),
        }, computeConnectionLimits(this.settings).unnamedLinks);
    }

    private createHello(): HelloMessage {
        return {
            kind: "hello",
            address: this.settings.address,
            incarnation: this.incarnation,
            version: this.clusterState.configurationHolder.getVersion(),
            record: this.clusterState.formatOwnRecord(),
            suspectCount: this.suspects.countSuspects(),
        };
    }

    private describeInstance(): InstanceDescription {
        const { address, service, dataCentre, listeners } = this.settings;
        return {
            address,
            port: listeners.peerPort,
            service,
            dataCentre,
            slots: this.endpoint.getSlots(),
            leavingEndpoint: this.endpoint.getLeavingId(),
            namedLimit: this.endpoint.describeNamedLimit(),
            isTaking: this.endpoint.getIncarnationId() !== undefined && this.endpoint.findRefusalReason() !== "leaving",
        };
    }

    /** Whether another instance of the same service takes work. The node's own instance is excluded from the choice. */
    private hasOtherInstance(): boolean {
        const { service, address } = this.settings;
        const instances = this.clusterState.registry.listForService(service);
        return this.placement.choose(instances, new Set([address])) !== undefined;
    }

    /** Closes the endpoint to new runs, refuses the waiting ones, and announces it to the other nodes. */
    private closeEndpoint(): void {
        this.isEndpointClosed = true;
        this.logger.info("closed", { running: this.runner.getLoad().running });
        this.runner.refuseWaiting("leaving");
        this.announceLoad();
    }

    /** Sends the endpoint's load on every link that other nodes opened, and records it for the node's own placement. */
    private announceLoad(): void {
        const load = this.runner.getLoad();
        this.linkServer.postToAll({ kind: "load", load });
        this.placement.recordLoad(this.settings.address, load);
    }

    private async runHousekeeping(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleepToTick(housekeepingIntervalMs, signal);
            this.remoteRuns.prune();
            this.keepLinks();
        }
    }
}

/** Throttle that admits all requests. */
const openThrottle: RoutedEntryDependencies["entryThrottle"] = {
    admit: () => true,
    getAdmittedFraction: () => 1,
    recordAnswer: () => undefined,
};

/** Order of repeats in which whoever comes first gets them. */
const firstComeOrder: Pick<RepeatOrder, "recordWish"> = { recordWish: () => 0 };

function createRetryLimits(bounds: RoutedSettings["bounds"]): RetryLimits {
    return {
        ratio: bounds.retryRatio,
        slack: bounds.retrySlack,
        windowMs: bounds.retryWindowSeconds * 1000,
    };
}

function createQuotaBounds(bounds: RoutedSettings["bounds"]): QuotaBounds {
    return {
        windowMs: bounds.quotaWindowSeconds * 1000,
        overage: bounds.quotaOverage,
        slack: bounds.quotaSlack,
    };
}
