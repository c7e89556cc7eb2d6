/** Puts a routed node together: routes by host and path, the endpoint beside it, links to the other nodes, the keyed log. */
import { setMaxListeners } from "node:events";
import { EndpointConnectionPool } from "../connection/endpointConnectionPool.js";
import { isEndpointRunning } from "../connection/endpointLiveness.js";
import type { KeyedLog } from "../connection/keyedLog.js";
import type { HelloMessage } from "../connection/link.js";
import { LinkServer } from "../connection/linkServer.js";
import { PeerLinks } from "../connection/peerLinks.js";
import type { Dialect } from "../request/dialect.js";
import { Forwarder } from "../request/forwarder.js";
import type { RoutedEntryDependencies } from "../request/routedEntry.js";
import { Sender } from "../request/sender.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import type { Clock } from "./clock.js";
import { ClusterState } from "./clusterState.js";
import { CrashDetector } from "./crashDetector.js";
import { probeEndpoint } from "./endpointProbe.js";
import { EndpointRunner } from "./endpointRunner.js";
import type { EndpointReport, ReportResult } from "./endpointState.js";
import { EndpointState } from "./endpointState.js";
import { EntryThrottle } from "./entryThrottle.js";
import { decideStopStep } from "./gracefulStop.js";
import { InFlightRequests } from "./inFlightRequests.js";
import type { Logger } from "./logger.js";
import { Placement } from "./placement.js";
import { Quarantine } from "./quarantine.js";
import { RemoteRuns } from "./remoteRuns.js";
import { RoutedListeners } from "./routedListeners.js";
import { RoutedMetrics } from "./routedMetrics.js";
import type { RoutedSettings } from "./routedSettings.js";
import { RunsInProgress } from "./runsInProgress.js";
import type { RetryLimits } from "./serviceRetryBudget.js";
import { ServiceRetryBudget } from "./serviceRetryBudget.js";
import { WeightedRoundRobin } from "./weightedRoundRobin.js";

/** Time between looks at what a waiting task waits for, in milliseconds. */
const checkMs = 50;
/** Time after a restart for which callers prefer other instances, in milliseconds. */
const settlingMs = 3500;
/** Time between removals of what has expired, in milliseconds. */
const housekeepingMs = 1000;
/**
 * Part of the bound on repeats that is used: the busiest window of each node's requests counts, and callers who move from node to
 * node are counted in two of them.
 */
const allowanceShare = 0.9;

/** What the platform brings. */
export interface RoutedNodePorts {
    readonly log: KeyedLog;
    readonly dialect: Dialect;
}

/** One routed node: all that its process holds. */
export class RoutedNode {
    private readonly stopping = new AbortController();
    private readonly knowledge: ClusterState;
    private readonly metrics = new RoutedMetrics();
    private readonly endpoint: EndpointState;
    private readonly pool: EndpointConnectionPool;
    private readonly quarantine: Quarantine;
    private readonly runs = new RunsInProgress();
    private readonly runner: EndpointRunner;
    private readonly remoteRuns: RemoteRuns;
    private readonly placement: Placement;
    private readonly links: PeerLinks;
    private readonly linkServer: LinkServer;
    private readonly allowance: ServiceRetryBudget;
    private readonly work: InFlightRequests;
    private readonly listeners: RoutedListeners;
    private readonly incarnation: number;
    /** On the monotonic clock, in milliseconds. */
    private readonly startedAt: number;
    private graceMs: number;
    private isStopping = false;
    /** Whether the endpoint gets no more work, since this process ends soon. */
    private isClosed = false;

    constructor(
        private readonly settings: RoutedSettings,
        private readonly ports: RoutedNodePorts,
        private readonly clock: Clock,
        private readonly logger: Logger,
    ) {
        const { address, dataCentre, bounds, endpoint } = settings;
        this.graceMs = bounds.graceSeconds * 1000;
        this.startedAt = clock.readMonotonic();
        // One task for each peer waits on it.
        setMaxListeners(0, this.stopping.signal);
        this.incarnation = Math.floor(clock.readDate().getTime() * 1000 + Math.random() * 1000);
        this.work = new InFlightRequests(clock);
        this.quarantine = new Quarantine(clock);
        this.endpoint = new EndpointState(clock);
        this.pool = new EndpointConnectionPool(clock, endpoint.address.host, endpoint.address.port, ports.dialect);
        this.runner = this.createRunner();
        this.remoteRuns = new RemoteRuns(clock, this.runner);
        const isLinked = (each: string): boolean => each === address || this.links.isLinked(each);
        this.placement = new Placement(clock, Math.random, dataCentre, isLinked);
        this.links = this.createLinks();
        this.linkServer = this.createLinkServer();
        this.knowledge = new ClusterState({
            clock,
            random: Math.random,
            logger,
            log: ports.log,
            address,
            createOwnRecord: () => this.createOwnRecord(),
            post: (peer, message) => this.links.post(peer, message),
            handleInstanceRecord: record => this.links.add(record),
        });
        const { configurationHolder: holder, registry: register } = this.knowledge;
        this.allowance = new ServiceRetryBudget(
            clock,
            createRetryLimits(bounds),
            () => register.count(),
            settings.isFirstStart,
        );
        this.listeners = new RoutedListeners({
            settings,
            logger,
            metrics: this.metrics,
            work: this.work,
            entry: this.createEntry(),
            reports: {
                report: report => this.applyReport(report),
                leave: id => this.applyReportResult(this.endpoint.applyLeave(id), id, "left"),
            },
            findNotReadyCause: () => this.findNotReadyCause(),
        });
        holder.addListener(() =>
            this.listeners.setCallerIdleTimeout(holder.getTable()!.configuration.limits.idleTimeoutMs)
        );
        this.addGauges();
    }

    /** Binds all listeners and starts the tasks of the process. */
    async start(): Promise<void> {
        const { address, listeners, service, machine, isFirstStart } = this.settings;
        await this.linkServer.start(address, listeners.peerPort);
        await this.listeners.start();
        const { signal } = this.stopping;
        this.knowledge.run(signal);
        void this.links.runChecks();
        void this.pool.runPruning(signal);
        void this.runHousekeeping(signal);
        if (!isFirstStart) {
            void this.learnEndpoint(signal);
        }
        this.logger.info("started", { machine, service, address, incarnation: this.incarnation, isFirstStart });
    }

    /** Applies changed settings. Only bounds change while the process runs; addresses need a restart. */
    applySettings(settings: RoutedSettings): void {
        this.graceMs = settings.bounds.graceSeconds * 1000;
        this.allowance.setLimits(createRetryLimits(settings.bounds));
    }

    /** Stops gracefully: says so, lets callers go elsewhere, and finishes what is in progress. */
    async stop(): Promise<void> {
        const startedAt = this.clock.readMonotonic();
        this.isStopping = true;
        this.spreadLoad();
        this.logger.info("stopping", { requests: this.work.getCount(), running: this.runner.getLoad().running });
        for (;;) {
            const step = decideStopStep({
                elapsedMs: this.clock.readMonotonic() - startedAt,
                graceMs: this.graceMs,
                isEndpointClosed: this.isClosed,
                hasOtherInstance: this.hasOtherInstance(),
                inProgress: this.work.getCount() + this.runner.getLoad().running,
            });
            if (step === "end") {
                break;
            }
            if (step === "close") {
                this.close();
            }
            await this.clock.sleep(checkMs);
        }
        this.logger.info("stopped", { requests: this.work.getCount(), running: this.runner.getLoad().running });
        this.stopping.abort();
        this.links.close();
        this.linkServer.stop();
        this.pool.destroy();
    }

    /** Why the node is not ready for callers; `undefined` when it is. */
    findNotReadyCause(): string | undefined {
        if (this.isStopping) {
            return "stopping";
        }
        return this.knowledge.configurationHolder.getVersion() < 0 ? "no configuration is known" : undefined;
    }

    private createRunner(): EndpointRunner {
        const { clock, logger, settings, ports, quarantine, pool } = this;
        const { service, address } = settings;
        const { host, port } = settings.endpoint.address;
        return new EndpointRunner({
            clock,
            logger,
            service,
            dialect: ports.dialect,
            endpoint: this.endpoint,
            pool,
            runs: this.runs,
            quarantine,
            crashes: new CrashDetector({
                clock,
                logger,
                quarantine,
                address,
                isEndpointRunning: () => isEndpointRunning(host, port),
                reportToPeers: (fingerprints, incident) =>
                    this.links.postToAll({ kind: "crashes", fingerprints, incident }),
            }),
            isClosed: () => this.isClosed,
            isSettled: () => this.isSettled(),
        });
    }

    /** Whether this process is likely to stay: it is not stopping, and has run for a while since a restart. */
    private isSettled(): boolean {
        const isFresh = this.clock.readMonotonic() - this.startedAt < settlingMs;
        return !this.isStopping && (this.settings.isFirstStart || !isFresh);
    }

    private createEntry(): RoutedEntryDependencies {
        const { clock, logger, settings, runs, runner, placement, links, allowance } = this;
        const { address, service } = settings;
        const { configurationHolder: holder, registry: register } = this.knowledge;
        return {
            clock,
            random: Math.random,
            logger,
            metrics: this.metrics,
            dialect: this.ports.dialect,
            configurationHolder: holder,
            serviceSelector: new WeightedRoundRobin(Math.random),
            forwarder: new Forwarder({
                clock,
                logger,
                register,
                placement,
                allowance,
                sender: new Sender({ clock, address, service, placement, links, runner }),
            }),
            runs,
            gate: new EntryThrottle(clock, Math.random),
            findUtilisation: each => placement.computeUtilisation(register.listForService(each)),
            isStopping: () => this.isStopping,
        };
    }

    private createLinks(): PeerLinks {
        return new PeerLinks({
            clock: this.clock,
            random: Math.random,
            logger: this.logger,
            createHello: () => this.createHello(),
            handleHello: hello => this.greet(hello),
            receive: (address, message) =>
                this.knowledge.gossip.handleMessage(message, reply => this.links.post(address, reply)),
            recordLoad: (address, load) => this.placement.recordLoad(address, load),
            recordLostLink: address => this.placement.recordLostLink(address),
            isKnownInstance: address => this.knowledge.registry.get(address) !== undefined,
        }, this.stopping.signal);
    }

    private createLinkServer(): LinkServer {
        return new LinkServer({
            createHello: () => this.createHello(),
            handleHello: hello => this.greet(hello),
            run: (message, link) => this.remoteRuns.start(message, link),
            cancel: (id, link) => this.remoteRuns.cancel(id, link),
            receive: (message, link) => {
                if (message.kind === "ping") {
                    const version = this.knowledge.configurationHolder.getVersion();
                    link.post({ kind: "pong", version, load: this.runner.getLoad() });
                }
                if (message.kind === "crashes") {
                    message.fingerprints.forEach(each => this.quarantine.recordCrash(each, message.incident));
                }
                this.knowledge.gossip.handleMessage(message, link.post);
            },
            reportFailure: (cause, peer) => this.logger.warn("linkRefused", { cause, peer }),
        });
    }

    private greet(hello: HelloMessage): void {
        this.knowledge.gossip.handleHello(hello, message => this.links.post(hello.address, message));
    }

    private createHello(): HelloMessage {
        return {
            kind: "hello",
            address: this.settings.address,
            incarnation: this.incarnation,
            version: this.knowledge.configurationHolder.getVersion(),
            record: this.knowledge.formatOwnRecord(),
        };
    }

    private createOwnRecord(): InstanceRecord {
        const { address, service, dataCentre, listeners } = this.settings;
        return {
            address,
            port: listeners.peerPort,
            service,
            dataCentre,
            slots: this.endpoint.getSlots(),
            isTaking: this.endpoint.getIncarnationId() !== undefined && this.endpoint.findRefusalReason() !== "leaving",
        };
    }

    private applyReport(report: EndpointReport): void {
        this.applyReportResult(this.endpoint.applyReport(report), report.id, report.state);
    }

    private applyReportResult(result: ReportResult, id: string, state: string): void {
        if (result === "unchanged" || result === "stale") {
            return;
        }
        this.logger.info("endpointChanged", { endpoint: id, state, result, slots: this.endpoint.getSlots() });
        if (result === "started") {
            this.pool.clear();
        }
        if (this.endpoint.findRefusalReason() !== undefined) {
            this.runner.refuseWaiting("leaving");
        }
        this.knowledge.publishOwnRecord();
        this.spreadLoad();
    }

    /** After a restart, asks the endpoint itself which incarnation it is instead of waiting for its next report. */
    private async learnEndpoint(signal: AbortSignal): Promise<void> {
        const { configurationHolder: holder } = this.knowledge;
        while (holder.getVersion() < 0 && !signal.aborted) {
            await this.clock.sleep(checkMs, signal);
        }
        const facts = holder.getTable()?.configuration.services.get(this.settings.service);
        if (facts === undefined || this.endpoint.getIncarnationId() !== undefined) {
            return;
        }
        const found = await probeEndpoint(this.clock, this.pool, facts.healthPath);
        this.logger.info("endpointProbed", { ...found });
        if (found.isHealthy && found.endpointId !== undefined && this.endpoint.getIncarnationId() === undefined) {
            this.endpoint.learnIncarnation(found.endpointId, found.slots);
            this.knowledge.publishOwnRecord();
            this.spreadLoad();
        }
    }

    /** Whether another instance of the own service takes work. */
    private hasOtherInstance(): boolean {
        const { service, address } = this.settings;
        const instances = this.knowledge.registry.listForService(service);
        return this.placement.choose(instances, new Set([address])) !== undefined;
    }

    /** Gives the endpoint no more work, and tells the others. */
    private close(): void {
        this.isClosed = true;
        this.logger.info("closed", { running: this.runner.getLoad().running });
        this.runner.refuseWaiting("leaving");
        this.spreadLoad();
    }

    private spreadLoad(): void {
        const load = this.runner.getLoad();
        this.linkServer.postToAll({ kind: "load", load });
        this.placement.recordLoad(this.settings.address, load);
    }

    private async runHousekeeping(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleep(housekeepingMs, signal);
            this.remoteRuns.prune();
        }
    }

    private addGauges(): void {
        const { metrics, runner, knowledge, links } = this;
        metrics.addGauge(
            "configuration_version",
            "Version in force.",
            () => knowledge.configurationHolder.getVersion(),
        );
        metrics.addGauge("instances_known", "Known instances.", () => knowledge.registry.count());
        metrics.addGauge("links_open", "Open links to other nodes.", () => links.countOpenLinks());
        metrics.addGauge("endpoint_running", "Requests at the endpoint.", () => runner.getLoad().running);
        metrics.addGauge("endpoint_waiting", "Requests that wait for the endpoint.", () => runner.getLoad().waiting);
        metrics.addGauge("endpoint_limit", "Requests that may run at once.", () => runner.getLoad().limit);
    }
}

function createRetryLimits(bounds: RoutedSettings["bounds"]): RetryLimits {
    return {
        ratio: bounds.retryRatio * allowanceShare,
        slack: bounds.retrySlack * allowanceShare,
        windowMs: bounds.retryWindowSeconds * 1000,
    };
}
