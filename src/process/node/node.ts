/**
 * Assembles a node of the daemon, starts its listeners and tasks, and stops it gracefully. The contracts and members on
 * the shared log configure it; a routed node (see `routedNode.ts`) follows the operator's configuration instead.
 */
import { ControlClient, ControlServer } from "../../connection/control.js";
import type { StreamOffsets } from "../../connection/control.js";
import type { RequestHandler } from "../../connection/httpServer.js";
import { HttpListener } from "../../connection/httpServer.js";
import { LogFollower } from "../../connection/logFollower.js";
import type { LogService } from "../../connection/logService.js";
import { HttpPeerCaller } from "../../connection/peerCaller.js";
import { Prober } from "../../connection/prober.js";
import { createLogService } from "../../connection/signedLog.js";
import { Dispatcher } from "../../request/dispatcher.js";
import { serveCaller } from "../../request/entry.js";
import { serveOutboundCall } from "../../request/outbound.js";
import { servePeer } from "../../request/peerRequest.js";
import type { ContractState } from "../../version/contractStream.js";
import type { Member } from "../../version/member.js";
import { formatSlot } from "../../version/member.js";
import { isAnnounced } from "../../version/memberStream.js";
import type { Clock } from "../base/clock.js";
import { readDescriptorLimit } from "../base/descriptorLimit.js";
import type { Keys } from "../base/keys.js";
import { RetryLimiter } from "../base/rateLimit.js";
import { CustomerRateLimiter } from "../customers/customerRateLimiter.js";
import { ShareCoordinator } from "../customers/shareCoordinator.js";
import { CrashReporter } from "../endpoint/crashReporter.js";
import { LocalEndpoint } from "../endpoint/localEndpoint.js";
import { Quarantine } from "../endpoint/quarantine.js";
import { RunTable } from "../endpoint/runTable.js";
import { Admission } from "../load/admission.js";
import { Balancer } from "../load/balancer.js";
import { BodyBudget } from "../load/bodyBudget.js";
import { LearnedThresholds } from "../load/learnedThresholds.js";
import { announceMember, withdrawMember } from "../membership/announcer.js";
import { Directory, unknownOffsets } from "../membership/directory.js";
import { runSnapshotWriter } from "../membership/snapshots.js";
import type { Streams } from "../membership/streams.js";
import { createStreams } from "../membership/streams.js";
import { Claims } from "../ownership/claims.js";
import { Ownership } from "../ownership/ownership.js";
import type { Settings } from "../settings/settings.js";
import type { Logger } from "../telemetry/logger.js";
import { Metrics } from "../telemetry/metrics.js";
import { serveAdmin } from "./admin.js";
import { createControlHandlers } from "./controlHandlers.js";
import { InFlightRequests } from "./inFlightRequests.js";
import { addNodeGauges } from "./nodeGauges.js";
import { PauseGuard } from "./pauseGuard.js";

/** Longest resend window assumed while no contract is known, in milliseconds. */
const defaultResendWindowMs = 600_000;
/** Part of the process's descriptors that the connections of one listener may take. */
const listenerDescriptorShare = 0.2;
/** Most peers that a leaving node notifies directly; the others learn by gossip that it leaves. */
const maxLeaveNotifications = 32;
/** Shortest time for which a leaving node still answers peers that are not notified yet, in milliseconds. */
const minLeaveMs = 1500;
/** Time limit for appending the record that withdraws this node from the shared log, in milliseconds. */
const withdrawTimeoutMs = 3000;
/**
 * Time between removals of expired claims and of expired leases on shares of customers' rate limits, in milliseconds.
 */
const housekeepingIntervalMs = 10_000;
/** Longest time that a request waits for this node to read a newer contract, in milliseconds. */
const maxCatchUpWaitMs = 500;
/** Poll interval of a request that waits for a newer contract, in milliseconds. */
const catchUpPollMs = 10;

/** One node: everything that runs in a process of the daemon. */
export class Node {
    readonly self: Member;
    readonly streams: Streams;
    readonly directory: Directory;
    readonly localEndpoint: LocalEndpoint;
    readonly admission: Admission;
    readonly claims: Claims;
    readonly ownership: Ownership;
    readonly quarantine: Quarantine;
    readonly metrics = new Metrics();
    readonly follower: LogFollower;
    private readonly customerRateLimiter: CustomerRateLimiter;
    /** Grants leases on shares of customers' rate limits. */
    private readonly shareCoordinator: ShareCoordinator;
    private readonly log: LogService;
    private readonly controlClient: ControlClient;
    private readonly controlServer: ControlServer;
    private readonly peerCaller: HttpPeerCaller;
    private readonly prober: Prober;
    private readonly pauseGuard: PauseGuard;
    private readonly runs = new RunTable();
    private readonly listeners: { readonly port: number; readonly listener: HttpListener; }[];
    private readonly stopController = new AbortController();
    private readonly inFlightRequests: InFlightRequests;
    private readonly crashReporter: CrashReporter;
    private isLeaving = false;
    /** Members that are announced on the shared log. */
    private announcedMembers: readonly Member[] = [];

    constructor(
        readonly settings: Settings,
        readonly keys: Keys,
        private readonly clock: Clock,
        private readonly logger: Logger,
    ) {
        const { address, listeners, service, dataCentre, limits } = settings;
        this.self = {
            address,
            peerPort: listeners.peer,
            controlPort: listeners.control,
            adminPort: listeners.admin,
            service,
            dataCentre,
            incarnation: clock.readDate().getTime(),
        };
        this.streams = createStreams(logger);
        this.log = createLogService(settings.log.url, settings.log.timeoutMilliseconds, keys.records);
        this.controlClient = new ControlClient(keys.peers);
        this.directory = new Directory(clock, {
            member: this.self,
            health: "alive",
            refutation: 0,
            offsets: unknownOffsets,
        });
        this.quarantine = new Quarantine(clock);
        this.crashReporter = new CrashReporter({
            clock,
            logger,
            self: this.self,
            log: this.log,
            control: this.controlClient,
            directory: this.directory,
            quarantine: this.quarantine,
        });
        this.inFlightRequests = new InFlightRequests(clock);
        this.admission = new Admission(clock, settings.control.admission);
        this.peerCaller = new HttpPeerCaller(clock, limits.maxBodyBytes, keys.peers);
        this.follower = new LogFollower({
            clock,
            logger,
            log: this.log,
            streams: this.streams,
            directory: this.directory,
            control: this.controlClient,
            seeds: settings.peers.seeds,
            pollMs: settings.log.pollMilliseconds,
            idlePollMs: settings.log.idlePollMilliseconds,
        });
        const recordPeerOffsets = (offsets: StreamOffsets): void => this.follower.recordPeerOffsets(offsets);
        this.prober = new Prober({
            clock,
            random: Math.random,
            directory: this.directory,
            control: this.controlClient,
            recordPeerOffsets,
        });
        this.pauseGuard = new PauseGuard(clock, logger, () => this.follower.refresh());
        const downstreamThresholds = new LearnedThresholds(clock);
        this.localEndpoint = new LocalEndpoint(settings.endpoint.url, limits.maxBodyBytes, {
            clock,
            logger,
            admission: this.admission,
            runs: this.runs,
            quarantine: this.quarantine,
            downstreamThresholds,
            reportCrash: (fingerprint, incident) => this.crashReporter.report(fingerprint, incident),
        });
        this.ownership = new Ownership({
            clock,
            random: Math.random,
            logger,
            self: this.self,
            members: this.streams.members,
            log: this.log,
            control: this.controlClient,
            directory: this.directory,
            isLogUp: () => this.follower.isLogUp(),
            getResendWindowMs: () => this.findLongestResendWindow(),
        });
        this.claims = new Claims(
            clock,
            { maxClaims: limits.maxClaims, maxBytes: limits.maxClaimBytes },
            partition => this.ownership.findPartitionStatus(partition),
            call => dispatcher.runClaimed(call),
            (key, claim) => this.ownership.addLateResult(key, claim),
        );
        this.ownership.setClaims(this.claims);
        const dispatcher = new Dispatcher({
            clock,
            self: this.self,
            directory: this.directory,
            balancer: new Balancer(clock, Math.random, dataCentre),
            retryLimiter: new RetryLimiter(clock),
            peers: this.peerCaller,
            localEndpoint: this.localEndpoint,
            claims: this.claims,
            downstreamThresholds,
            getMembers: () => this.streams.members.get()?.state,
        });
        this.customerRateLimiter = new CustomerRateLimiter({
            clock,
            self: this.self,
            control: this.controlClient,
            listAnnounced: () => this.announcedMembers,
        });
        this.shareCoordinator = new ShareCoordinator(clock);
        const bodies = new BodyBudget(clock, limits.maxHeldBodyBytes);
        const sharedDependencies = {
            clock,
            service,
            maxBodyBytes: limits.maxBodyBytes,
            bodies,
            metrics: this.metrics,
            downstream: downstreamThresholds,
            dispatcher,
        };
        const callerDependencies = {
            ...sharedDependencies,
            quarantine: this.quarantine,
            allowances: this.customerRateLimiter,
            ownService: new LearnedThresholds(clock),
            getContracts: () => this.getFreshContracts(),
        };
        const outboundDependencies = {
            ...sharedDependencies,
            runs: this.runs,
            directory: this.directory,
            getContracts: () => this.streams.contracts.get()?.state,
        };
        const peerDependencies = {
            ...sharedDependencies,
            key: keys.peers,
            claims: this.claims,
            localEndpoint: this.localEndpoint,
        };
        this.listeners = [
            {
                port: listeners.caller,
                listener: this.createListener((req, res) => serveCaller(callerDependencies, req, res)),
            },
            {
                port: listeners.outbound,
                listener: this.createListener((req, res) => serveOutboundCall(outboundDependencies, req, res)),
            },
            {
                port: listeners.peer,
                listener: this.createListener((req, res) => servePeer(peerDependencies, req, res)),
            },
            { port: listeners.admin, listener: this.createListener((req, res) => serveAdmin(this, req, res), false) },
        ];
        this.controlServer = new ControlServer(
            createControlHandlers({
                streams: this.streams,
                directory: this.directory,
                follower: this.follower,
                prober: this.prober,
                ownership: this.ownership,
                quarantine: this.quarantine,
                shareCoordinator: this.shareCoordinator,
            }),
            keys.peers,
        );
        this.listenToStreams();
        addNodeGauges(this);
    }

    /** Binds all listeners and starts the tasks of the process. */
    async start(): Promise<void> {
        const { address, listeners } = this.settings;
        // The control port is part of the name of the node's slot (`ADDRESS:CONTROL_PORT`): binding it first proves
        // that no other process runs in this slot.
        await this.controlServer.start(address, listeners.control);
        for (const { port, listener } of this.listeners) {
            await listener.start(address, port);
        }
        const { signal } = this.stopController;
        void this.follower.run(signal);
        void this.prober.run(signal);
        void this.pauseGuard.run(signal);
        void this.admission.runWindows(signal);
        void this.ownership.run(signal);
        void this.customerRateLimiter.run(signal);
        void this.runHousekeeping(signal);
        void announceMember(this.createAnnouncerDependencies(), signal);
        void runSnapshotWriter({
            clock: this.clock,
            logger: this.logger,
            log: this.log,
            streams: this.streams,
            directory: this.directory,
            retentionMs: this.settings.log.retentionSeconds * 1000,
        }, signal);
        this.logger.info("started", {
            slot: formatSlot(this.self),
            incarnation: this.self.incarnation,
            service: this.self.service,
        });
    }

    /**
     * Stops gracefully: takes no new work, finishes requests in progress, hands over owned partitions, and withdraws.
     */
    async stop(): Promise<void> {
        const stopStartedAt = this.clock.readMonotonic();
        this.isLeaving = true;
        this.logger.info("stopping", { requests: this.inFlightRequests.getCount() });
        this.localEndpoint.stopAcceptingRequests();
        this.directory.updateSelf({ health: "leaving" });
        const alivePeers = this.directory.listPeers().filter(update => update.health === "alive").map(update =>
            update.member
        );
        await this.prober.sendSelfUpdate(alivePeers.slice(0, maxLeaveNotifications));
        await this.ownership.handOverAll();
        if (!await this.inFlightRequests.drain(this.settings.drain.timeoutSeconds * 1000)) {
            this.logger.warn("drainTimedOut", { requests: this.inFlightRequests.getCount() });
        }
        // Hands over partitions that this node still owns, and sends the new owners of the others the results of
        // requests that ended meanwhile.
        await this.ownership.handOverAll();
        await withdrawMember(this.createAnnouncerDependencies(), withdrawTimeoutMs);
        await this.clock.sleep(Math.max(0, minLeaveMs - (this.clock.readMonotonic() - stopStartedAt)));
        for (const { listener } of this.listeners) {
            listener.startDraining();
        }
        await Promise.all(this.listeners.map(({ listener }) => listener.stop()));
        this.stopController.abort();
        this.controlServer.stop();
        this.controlClient.stop();
        await Promise.all([this.peerCaller.stop(), this.localEndpoint.stop()]);
        this.logger.info("stopped");
    }

    /** Why the node is not ready for requests; `undefined` when it is. */
    findNotReadyCause(): string | undefined {
        if (this.isLeaving) {
            return "leaving";
        }
        if (this.streams.contracts.get() === undefined || this.streams.members.get() === undefined) {
            return "contracts or members are not known yet";
        }
        if (this.streams.contracts.getAppliedOffset() < this.follower.getHighestOffsets().contracts) {
            return "peers know newer contracts than this node";
        }
        if (!this.pauseGuard.isStateConfirmed()) {
            return "the state is not confirmed after a pause";
        }
        return this.localEndpoint.isReady()
            ? undefined
            : "the endpoint is not announced, drains or does not answer";
    }

    /** Whether the shared log lists this incarnation of the node as a member. */
    isAnnounced(): boolean {
        const state = this.streams.members.get()?.state;
        return state !== undefined && isAnnounced(state, this.self);
    }

    /** Creates a listener. A graceful stop waits for the requests in progress on tracked listeners. */
    private createListener(handler: RequestHandler, isTracked = true): HttpListener {
        const onError = (error: unknown): void => {
            this.logger.error("handlerFailed", { cause: error instanceof Error ? error.stack : String(error) });
        };
        return new HttpListener(
            isTracked ? this.inFlightRequests.track(handler) : handler,
            this.settings.limits.maxHeaderBytes,
            onError,
            { maxConnections: Math.floor(readDescriptorLimit() * listenerDescriptorShare) },
        );
    }

    private async runHousekeeping(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleep(housekeepingIntervalMs, signal);
            this.claims.removeExpired();
            this.shareCoordinator.prune();
        }
    }

    /**
     * Contracts in force. If the process was paused, waits until the state was read again from the shared log or a
     * peer. While peers are known to have newer contracts, waits until this node has caught up. Returns `undefined`
     * when catching up takes too long.
     */
    private async getFreshContracts(): Promise<ContractState | undefined> {
        await this.pauseGuard.waitUntilConfirmed();
        const deadline = this.clock.readMonotonic() + maxCatchUpWaitMs;
        while (this.streams.contracts.getAppliedOffset() < this.follower.getHighestOffsets().contracts) {
            if (this.clock.readMonotonic() >= deadline) {
                return undefined;
            }
            await this.clock.sleep(catchUpPollMs);
        }
        return this.streams.contracts.get()?.state;
    }

    private createAnnouncerDependencies() {
        return {
            clock: this.clock,
            logger: this.logger,
            self: this.self,
            log: this.log,
            members: this.streams.members,
        };
    }

    private findLongestResendWindow(): number {
        const contracts = Object.values(this.streams.contracts.get()?.state.contracts ?? {});
        const windows = contracts.map(entry => entry.contract.retries.resendWindowSeconds * 1000);
        return windows.length === 0 ? defaultResendWindowMs : Math.max(...windows);
    }

    private listenToStreams(): void {
        this.streams.members.addListener(current => {
            this.announcedMembers = Object.values(current.state.members);
            this.directory.applyMembers(current.state);
            this.shareCoordinator.updateMembers(this.announcedMembers, this.self);
            this.peerCaller.retain(this.announcedMembers);
        });
        this.streams.contracts.addListener(current => {
            this.logger.info("contractsInForce", { through: current.through });
        });
        this.streams.quarantine.addListener(current => this.crashReporter.applyQuarantineStream(current.state));
    }
}
