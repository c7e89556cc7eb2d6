/** Puts a routed node together: routes by host and path, the endpoint beside it, links to the other nodes, the keyed log. */
import { EndpointPool } from "../connection/endpointPool.js";
import { HttpListener } from "../connection/httpServer.js";
import { KeyedFollower } from "../connection/keyedFollower.js";
import type { KeyedLog, KeyedPage } from "../connection/keyedLog.js";
import type { HelloMessage } from "../connection/link.js";
import { LinkServer } from "../connection/linkServer.js";
import { PeerLinks } from "../connection/peerLinks.js";
import type { Dialect } from "../request/dialect.js";
import { Forwarder } from "../request/forwarder.js";
import type { RoutedEntryParts } from "../request/routedEntry.js";
import { serveRouted } from "../request/routedEntry.js";
import type { OfferResult } from "../version/configurationHolder.js";
import { ConfigurationHolder } from "../version/configurationHolder.js";
import { formatInstanceRecord, parseInstanceRecord } from "../version/instanceRecord.js";
import type { Clock } from "./clock.js";
import { CrashWatch } from "./crashWatch.js";
import { probeEndpoint } from "./endpointProbe.js";
import { serveEndpointReport } from "./endpointReports.js";
import { EndpointRunner } from "./endpointRunner.js";
import { EntryGate } from "./entryGate.js";
import { InstancePublisher } from "./instancePublisher.js";
import type { RecordSource } from "./instanceRegister.js";
import { InstanceRegister } from "./instanceRegister.js";
import type { Logger } from "./logger.js";
import type { EndpointReport, ReportResult } from "./ownEndpoint.js";
import { OwnEndpoint } from "./ownEndpoint.js";
import { PeerNews } from "./peerNews.js";
import { Placement } from "./placement.js";
import { Quarantine } from "./quarantine.js";
import { RemoteRuns } from "./remoteRuns.js";
import type { RetryLimits } from "./retryAllowance.js";
import { RetryAllowance } from "./retryAllowance.js";
import { RoutedMetrics } from "./routedMetrics.js";
import type { RoutedSettings } from "./routedSettings.js";
import { RunsInProgress } from "./runsInProgress.js";
import { ShareDraw } from "./shareDraw.js";
import { WorkInProgress } from "./workInProgress.js";

/** Topics of the keyed log. */
export const topics = {
    /** The operator's configuration, under the key `config`. */
    configuration: "configuration",
    /** Records of the instances, by address. */
    instances: "instances",
} as const;

/** Time that callers are given to go elsewhere before a graceful stop closes their connections, in milliseconds. */
const leaveMs = 2200;
/** Time for the last runs before a stop gives up waiting, in milliseconds. */
const lastRunsMs = 1500;
/** Time before the end of the grace period at which a stop gives up waiting, in milliseconds. */
const stopMarginMs = 600;
/** Time between looks during a graceful stop, in milliseconds. */
const stopCheckMs = 50;
/** Time between removals of what has expired, in milliseconds. */
const housekeepingMs = 1000;
/** Longest header section of a request, in bytes. */
const maxHeaderBytes = 65_536;
/** Part of the bound on repeats that is used: windows of nodes don't begin together. */
const allowanceShare = 0.8;
/** Time to let more instance records come in after a read, in milliseconds. */
const instanceRestMs = 300;

/** What the platform brings. */
export interface RoutedNodePorts {
    readonly log: KeyedLog;
    readonly dialect: Dialect;
}

function createRetryLimits(bounds: RoutedSettings["bounds"]): RetryLimits {
    return {
        ratio: bounds.retryRatio * allowanceShare,
        slack: bounds.retrySlack * allowanceShare,
        windowMs: bounds.retryWindowSeconds * 1000,
    };
}

/** One routed node: all that its process holds. */
export class RoutedNode {
    readonly holder = new ConfigurationHolder();
    readonly register = new InstanceRegister();
    readonly metrics = new RoutedMetrics();
    private readonly stopping = new AbortController();
    private readonly endpoint: OwnEndpoint;
    private readonly pool: EndpointPool;
    private readonly runner: EndpointRunner;
    private readonly remoteRuns: RemoteRuns;
    private readonly placement: Placement;
    private readonly links: PeerLinks;
    private readonly linkServer: LinkServer;
    private readonly news: PeerNews;
    private readonly publisher: InstancePublisher;
    private readonly followers: readonly KeyedFollower[];
    private readonly runs = new RunsInProgress();
    private readonly quarantine: Quarantine;
    private readonly draw = new ShareDraw(Math.random);
    private readonly work: WorkInProgress;
    private readonly entry: RoutedEntryParts;
    private readonly listeners: { readonly host: string; readonly port: number; readonly listener: HttpListener; }[];
    private readonly callerListener: HttpListener;
    private readonly incarnation: number;
    private readonly allowance: RetryAllowance;
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
        const { address, service, dataCentre, bounds, endpoint, listeners } = settings;
        const { dialect, log } = ports;
        this.graceMs = bounds.graceSeconds * 1000;
        this.incarnation = Math.floor(clock.readDate().getTime() * 1000 + Math.random() * 1000);
        this.work = new WorkInProgress(clock);
        this.quarantine = new Quarantine(clock);
        this.endpoint = new OwnEndpoint(clock);
        this.pool = new EndpointPool(clock, endpoint.address.host, endpoint.address.port, dialect);
        this.runner = new EndpointRunner({
            clock,
            logger,
            service,
            dialect,
            endpoint: this.endpoint,
            pool: this.pool,
            runs: this.runs,
            quarantine: this.quarantine,
            crashes: new CrashWatch({
                clock,
                logger,
                quarantine: this.quarantine,
                address,
                isReachable: () => this.pool.isReachable(),
                spread: (fingerprints, incident) => this.links.postToAll({ kind: "crashes", fingerprints, incident }),
            }),
            isClosed: () => this.isClosed,
        });
        this.remoteRuns = new RemoteRuns(clock, this.runner);
        this.placement = new Placement(
            clock,
            Math.random,
            dataCentre,
            each => each === address || this.links.isLinked(each),
        );
        this.links = this.createLinks();
        this.linkServer = this.createLinkServer();
        this.news = new PeerNews({
            clock,
            random: Math.random,
            holder: this.holder,
            register: this.register,
            offerConfiguration: (text, source) => this.offerConfiguration(text, source),
            putRecord: (text, source) => this.putRecord(text, source),
            post: (peer, message) => this.links.post(peer, message),
            address,
        });
        this.publisher = new InstancePublisher(clock, Math.random, logger, log, topics.instances, address);
        this.followers = this.createFollowers();
        this.allowance = new RetryAllowance(clock, createRetryLimits(bounds), () => this.register.count());
        const forwarder = new Forwarder({
            clock,
            logger,
            address,
            service,
            register: this.register,
            placement: this.placement,
            allowance: this.allowance,
            links: this.links,
            runner: this.runner,
        });
        this.entry = {
            clock,
            random: Math.random,
            logger,
            metrics: this.metrics,
            dialect,
            holder: this.holder,
            draw: this.draw,
            forwarder,
            runs: this.runs,
            gate: new EntryGate(clock, Math.random),
            isStopping: () => this.isStopping,
        };
        this.callerListener = this.createCallerListener();
        this.listeners = [
            { ...listeners.caller, listener: this.callerListener },
            { ...listeners.ready, listener: this.createReadyListener() },
            { ...listeners.report, listener: this.createReportListener() },
            { host: address, port: listeners.metricsPort, listener: this.createMetricsListener() },
        ];
        this.holder.listen(() => this.applyConfiguration());
        this.addGauges();
    }

    /** Binds all listeners and starts the tasks of the process. */
    async start(): Promise<void> {
        const { address, listeners, service, machine, isFirstStart } = this.settings;
        await this.linkServer.start(address, listeners.peerPort);
        for (const { host, port, listener } of this.listeners) {
            await listener.start(host, port);
        }
        const { signal } = this.stopping;
        for (const follower of this.followers) {
            void follower.run(signal);
        }
        void this.links.runChecks();
        void this.pool.runPruning(signal);
        void this.publisher.run(signal);
        void this.runHousekeeping(signal);
        this.putRecord(this.formatOwnRecord(), "self");
        if (!isFirstStart) {
            void this.learnEndpoint();
        }
        this.logger.info("started", { machine, service, address, incarnation: this.incarnation, isFirstStart });
    }

    /** Applies changed settings. Only bounds change while the process runs; addresses need a restart. */
    applySettings(settings: RoutedSettings): void {
        this.graceMs = settings.bounds.graceSeconds * 1000;
        this.allowance.setLimits(createRetryLimits(settings.bounds));
    }

    /**
     * Stops gracefully: says so, lets callers go elsewhere, and finishes what is in progress.
     *
     * The endpoint goes on without its node and is out of reach until the node is back, so it is closed as late as its runs
     * allow, and later still while no other instance of its service takes work.
     */
    async stop(): Promise<void> {
        const startedAt = this.clock.readMonotonic();
        this.isStopping = true;
        this.logger.info("stopping", { requests: this.work.getCount(), running: this.runner.getLoad().running });
        const giveUpAt = startedAt + Math.max(0, this.graceMs - stopMarginMs);
        for (let now = startedAt; now < giveUpAt; now = this.clock.readMonotonic()) {
            const isDue = now - startedAt >= leaveMs && (this.hasOtherInstance() || giveUpAt - now < lastRunsMs);
            if (isDue && !this.isClosed) {
                this.close();
            }
            if (this.isClosed && this.work.getCount() === 0 && this.runner.getLoad().running === 0) {
                break;
            }
            await this.clock.sleep(stopCheckMs);
        }
        this.logger.info("stopped", { requests: this.work.getCount(), running: this.runner.getLoad().running });
        this.stopping.abort();
        this.links.close();
        this.linkServer.stop();
        this.pool.destroy();
    }

    /** Whether another instance of the own service takes work. */
    private hasOtherInstance(): boolean {
        const { service, address } = this.settings;
        return this.placement.choose(this.register.listOfService(service), new Set([address])) !== undefined;
    }

    /** Gives the endpoint no more work, and tells the others. */
    private close(): void {
        this.isClosed = true;
        this.logger.info("closed", { running: this.runner.getLoad().running });
        this.runner.refuseWaiting("leaving");
        this.spreadLoad();
    }

    /** Why the node is not ready for callers; `undefined` when it is. */
    findNotReadyCause(): string | undefined {
        if (this.isStopping) {
            return "stopping";
        }
        if (this.holder.getVersion() < 0) {
            return "no configuration is known";
        }
        return undefined;
    }

    private createLinks(): PeerLinks {
        return new PeerLinks({
            clock: this.clock,
            random: Math.random,
            logger: this.logger,
            createHello: () => this.createHello(),
            greet: hello => this.news.greet(hello, message => this.links.post(hello.address, message)),
            receive: (address, message) => this.news.receive(message, reply => this.links.post(address, reply)),
            recordLoad: (address, load) => this.placement.recordLoad(address, load),
            recordLost: address => {
                this.placement.forgetLoad(address);
                this.placement.avoid(address);
            },
            isWanted: address => this.register.get(address) !== undefined,
        }, this.stopping.signal);
    }

    private createLinkServer(): LinkServer {
        return new LinkServer({
            createHello: () => this.createHello(),
            greet: hello => this.news.greet(hello, message => this.links.post(hello.address, message)),
            run: (message, link) => this.remoteRuns.start(message, link),
            cancel: (id, link) => this.remoteRuns.cancel(id, link),
            receive: (message, link) => {
                if (message.kind === "ping") {
                    link.post({ kind: "pong", version: this.holder.getVersion(), load: this.runner.getLoad() });
                }
                if (message.kind === "crashes") {
                    message.fingerprints.forEach(each => this.quarantine.recordCrash(each, message.incident));
                }
                this.news.receive(message, link.post);
            },
            reportFailure: (cause, peer) => this.logger.warn("linkRefused", { cause, peer }),
        });
    }

    private createFollowers(): KeyedFollower[] {
        const shared = { clock: this.clock, random: Math.random, logger: this.logger, log: this.ports.log };
        return [
            new KeyedFollower({
                ...shared,
                topic: topics.configuration,
                restMs: 0,
                applyPage: page => {
                    for (const record of page.records.filter(each => each.key === "config" && each.value !== "")) {
                        this.offerConfiguration(record.value, "log");
                    }
                },
            }),
            new KeyedFollower({
                ...shared,
                topic: topics.instances,
                restMs: instanceRestMs,
                applyPage: page => this.applyInstances(page),
            }),
        ];
    }

    private applyInstances(page: KeyedPage): void {
        for (const { key, value } of page.records) {
            if (key === this.settings.address) {
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
            this.logger.warn("recordSkipped", { source, text: text.slice(0, 100) });
            return;
        }
        const isOwn = record.address === this.settings.address;
        if (isOwn && text !== this.formatOwnRecord()) {
            return;
        }
        if (this.register.put(record, source)) {
            this.logger.debug("instanceKnown", { source, record: text });
        }
        if (!isOwn) {
            this.links.add(record);
        }
    }

    private offerConfiguration(text: string, source: string): OfferResult {
        const result = this.holder.offer(text);
        switch (result.kind) {
            case "adopted":
                this.logger.info("configurationAdopted", { version: result.version, source });
                break;
            case "invalid":
                this.logger.warn("configurationSkipped", { cause: result.cause, source });
                break;
            case "older":
                break;
        }
        return result;
    }

    private applyConfiguration(): void {
        this.callerListener.setIdleTimeout(this.holder.getTable()!.configuration.limits.idleTimeoutMs);
        this.news.spreadVersion();
    }

    private applyReport(report: EndpointReport): void {
        this.applyReportResult(this.endpoint.report(report), report.id, report.state);
    }

    private applyReportResult(result: ReportResult, id: string, state: string): void {
        if (result === "unchanged" || result === "stale") {
            return;
        }
        this.logger.info("endpointChanged", { endpoint: id, state, result, slots: this.endpoint.getSlots() });
        if (result === "started") {
            this.pool.clear();
        }
        if (this.endpoint.findRefusal() !== undefined) {
            this.runner.refuseWaiting("leaving");
        }
        this.publishRecord();
        this.spreadLoad();
    }

    /** After a restart, asks the endpoint itself which incarnation it is instead of waiting for its next report. */
    private async learnEndpoint(): Promise<void> {
        while (this.holder.getVersion() < 0 && !this.stopping.signal.aborted) {
            await this.clock.sleep(stopCheckMs, this.stopping.signal);
        }
        const facts = this.holder.getTable()?.configuration.services.get(this.settings.service);
        if (facts === undefined || this.endpoint.getId() !== undefined) {
            return;
        }
        const found = await probeEndpoint(this.pool, facts.healthPath);
        this.logger.info("endpointProbed", { ...found });
        if (found.isHealthy && found.endpointId !== undefined && this.endpoint.getId() === undefined) {
            this.endpoint.learn(found.endpointId, found.slots);
            this.publishRecord();
            this.spreadLoad();
        }
    }

    private publishRecord(): void {
        const text = this.formatOwnRecord();
        this.putRecord(text, "self");
        this.publisher.publish(text);
    }

    private spreadLoad(): void {
        this.linkServer.postToAll({ kind: "load", load: this.runner.getLoad() });
        this.placement.recordLoad(this.settings.address, this.runner.getLoad());
    }

    private formatOwnRecord(): string {
        const { address, service, dataCentre, listeners } = this.settings;
        return formatInstanceRecord({
            address,
            port: listeners.peerPort,
            service,
            dataCentre,
            slots: this.endpoint.getSlots(),
            isTaking: this.endpoint.getId() !== undefined && this.endpoint.findRefusal() !== "leaving",
        });
    }

    private createHello(): HelloMessage {
        return {
            kind: "hello",
            address: this.settings.address,
            incarnation: this.incarnation,
            version: this.holder.getVersion(),
            record: this.formatOwnRecord(),
        };
    }

    private createListener(handler: ConstructorParameters<typeof HttpListener>[0]): HttpListener {
        return new HttpListener(handler, maxHeaderBytes, error => {
            this.logger.error("handlerFailed", { cause: error instanceof Error ? error.stack : String(error) });
        });
    }

    private createCallerListener(): HttpListener {
        return this.createListener(this.work.track((request, response) => serveRouted(this.entry, request, response)));
    }

    private createReadyListener(): HttpListener {
        return this.createListener((_request, response) => {
            const cause = this.findNotReadyCause();
            response.writeHead(cause === undefined ? 200 : 503, { "content-type": "text/plain" });
            response.end(cause ?? "ready");
            return Promise.resolve();
        });
    }

    private createReportListener(): HttpListener {
        const handlers = {
            report: (report: EndpointReport): void => this.applyReport(report),
            leave: (id: string): void => this.applyReportResult(this.endpoint.leave(id), id, "left"),
        };
        return this.createListener((request, response) => serveEndpointReport(handlers, request, response));
    }

    private createMetricsListener(): HttpListener {
        return this.createListener(async (_request, response) => {
            const text = await this.metrics.registry.metrics();
            response.writeHead(200, { "content-type": this.metrics.registry.contentType });
            response.end(text);
        });
    }

    private async runHousekeeping(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleep(housekeepingMs, signal);
            this.remoteRuns.prune();
        }
    }

    private addGauges(): void {
        const { metrics, runner } = this;
        metrics.addGauge("configuration_version", "Version in force.", () => this.holder.getVersion());
        metrics.addGauge("instances_known", "Known instances.", () => this.register.count());
        metrics.addGauge("links_open", "Open links to other nodes.", () => this.links.countLinked());
        metrics.addGauge("endpoint_running", "Requests at the endpoint.", () => runner.getLoad().running);
        metrics.addGauge("endpoint_waiting", "Requests that wait for the endpoint.", () => runner.getLoad().waiting);
        metrics.addGauge("endpoint_limit", "Requests that may run at once.", () => runner.getLoad().limit);
    }
}
