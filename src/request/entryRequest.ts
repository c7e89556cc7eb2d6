/** A request at its entry, and what its handling depends on. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Cancellation } from "../process/base/cancellation.js";
import type { Clock } from "../process/base/clock.js";
import type { CustomerQuotas } from "../process/customers/customerQuotas.js";
import type { BodyBudget, BodyShare } from "../process/load/bodyBudget.js";
import type { EntryThrottle } from "../process/load/entryThrottle.js";
import type { ReturnSchedule } from "../process/load/returnSchedule.js";
import type { RunInProgress, RunsInProgress } from "../process/load/runsInProgress.js";
import type { WeightedRoundRobin } from "../process/load/weightedRoundRobin.js";
import type { Logger } from "../process/telemetry/logger.js";
import type { RoutedMetrics } from "../process/telemetry/routedMetrics.js";
import type { RouteContract } from "../version/configuration.js";
import type { ConfigurationHolder } from "../version/configurationHolder.js";
import type { Customer } from "../version/customer.js";
import type { Dialect, RequestMetadata } from "./dialect.js";
import type { EntryAnswer } from "./entryAnswer.js";
import type { Forwarder } from "./forwarder.js";

/** Dependencies of the entry of a routed node. */
export interface RoutedEntryDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly metrics: RoutedMetrics;
    readonly dialect: Dialect;
    readonly configurationHolder: ConfigurationHolder;
    readonly serviceSelector: WeightedRoundRobin;
    readonly forwarder: Pick<Forwarder, "forward">;
    /** Runs of the local endpoint, whose calls enter here too. */
    readonly runs: RunsInProgress;
    /** Refuses a share of the outside requests to routes whose downstream services are overloaded. */
    readonly entryThrottle: Pick<EntryThrottle, "admit" | "getAdmittedFraction" | "recordAnswer">;
    /** Reserves times for refused requests and knows them when they come back; `undefined` if it isn't called for. */
    readonly returnSchedule?: ReturnSchedule | undefined;
    /** Returns the share of a service's concurrency limit that is in use, as far as it is known here. */
    readonly findUtilisation: (service: string) => number;
    /** Limits the requests of customers with a quota. */
    readonly quotas: Pick<CustomerQuotas, "take" | "releaseUnit">;
    /** Memory for the bodies of requests. */
    readonly bodies: BodyBudget;
    readonly stop: EntryStop;
}

/** The stop of this process, as far as requests are concerned. */
export interface EntryStop {
    readonly hasStarted: () => boolean;
    /**
     * Whether a request is taken that is answered at `deadline` (monotonic, in milliseconds) at the latest; `isCall` says that
     * a run at the local endpoint makes it.
     */
    readonly canTake: (deadline: number, isCall: boolean) => boolean;
    /** Deadline that the endpoint is told of a request that is taken now (monotonic, in milliseconds). */
    readonly lowerDeadline: (deadline: number) => number;
    /** Cancelled when the process ends. */
    readonly ending: Cancellation;
}

/** A request whose body was read and whose route was found. */
export interface RoutedRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly answer: EntryAnswer;
    readonly metadata: RequestMetadata;
    readonly route: RouteContract;
    readonly version: number;
    readonly body: Buffer;
    /** What the body takes of the budget; `undefined` if there is no body. */
    readonly bodyShare: BodyShare | undefined;
    readonly startedAt: number;
    /** Monotonic time by which the request is answered in any case, in milliseconds. */
    readonly deadline: number;
    /** The run that makes the call; `undefined` for a request of an outside caller. */
    readonly parent: RunInProgress | undefined;
    /** Customer whose key came with the request; `undefined` for a call of a run or without a key. */
    readonly customer: Customer | undefined;
    /** Time by which the answer meets the target, counted from the first attempt of the request as far as it is known. */
    readonly target: number;
    /** Whether the request came back after a refusal at the time that it was told. */
    readonly hasReturned: boolean;
}
