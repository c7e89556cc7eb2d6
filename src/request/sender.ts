/**
 * Sends one request to an instance, locally or over a link, and hedges it if the answer takes unusually long.
 *
 * Hedging covers lost answers and slow instances: a call that waits for a lost answer until its deadline fails every
 * upstream run.
 */
import type { PeerLinks } from "../connection/peerLinks.js";
import { Cancellation } from "../process/base/cancellation.js";
import type { Clock } from "../process/base/clock.js";
import type { EndpointRunner } from "../process/endpoint/endpointRunner.js";
import type { Placement } from "../process/load/placement.js";
import type { RunOutcome } from "../process/load/runOutcome.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import type { RoutedCall } from "./routedCall.js";
import type { PeerRunRequest } from "./runRequest.js";

/** Multiple of a route's average run time after which an answer is presumed lost. */
const hedgeDelayFactor = 3.5;
/** Time added to that multiple, and so the shortest delay before hedging, in milliseconds. */
const minHedgeDelayMs = 40;
/** Retry-after delay when an instance is unreachable, in milliseconds. */
const unreachableRetryMs = 400;

/** Result of one send to an instance. */
export interface SendResult {
    /** The instance that the request was sent to. */
    readonly record: InstanceRecord;
    readonly outcome: RunOutcome;
    /** Number of the send, counted from 1. */
    readonly sendNumber: number;
}

/** A send in progress. */
interface PendingSend {
    readonly result: Promise<SendResult>;
    readonly cancel: () => void;
}

/** Sends of one request so far. The sender updates it. */
export interface SendProgress {
    readonly tried: Set<string>;
    /** Number of sends to nodes. */
    sends: number;
    /** Number of sends that reached an endpoint or may have. */
    runs: number;
}

/** Chooses the instance for a hedged request; `undefined` if the request may not be hedged. */
export type ChooseHedgeInstance = (unresponsive: InstanceRecord) => InstanceRecord | undefined;

/** Dependencies of the sender. */
export interface SenderDependencies {
    readonly clock: Clock;
    /** Address of this node's instance. */
    readonly address: string;
    readonly service: string;
    readonly placement: Placement;
    readonly links: PeerLinks;
    readonly runner: EndpointRunner;
    /** Whether idempotent requests are hedged. */
    readonly isHedging: boolean;
    /** Returns the endpoint's process at an address that was last known to leave. */
    readonly findLeavingEndpoint: (address: string) => string | undefined;
}

/** Sends requests to instances, with hedging. */
export class Sender {
    constructor(private readonly dependencies: SenderDependencies) {}

    /**
     * Sends a request to an instance. If the answer to an idempotent request takes unusually long,
     * `chooseHedgeInstance` may choose a second instance; the first successful answer counts. Returns one result, or
     * both in order of arrival if the request was hedged and the first result to arrive was not a success.
     */
    async send(
        instance: InstanceRecord,
        call: RoutedCall,
        progress: SendProgress,
        chooseHedgeInstance: ChooseHedgeInstance,
    ): Promise<readonly SendResult[]> {
        const original = this.startSend(instance, call, progress);
        const hedgeDelayMs = this.computeHedgeDelayMs(call);
        if (
            hedgeDelayMs === undefined || !await this.isUnansweredAfter(original, hedgeDelayMs)
            || call.cancellation.isCancelled()
        ) {
            return [await original.result];
        }
        const hedgeInstance = chooseHedgeInstance(instance);
        if (hedgeInstance === undefined) {
            return [await original.result];
        }
        progress.runs += 1;
        // The run has taken at least this long, so a slow instance is rated as slow before it answers.
        this.dependencies.placement.recordRun(instance.address, call.route.name, hedgeDelayMs);
        const hedge = this.startSend(hedgeInstance, call, progress);
        const firstResult = await Promise.race([original.result, hedge.result]);
        const otherSend = firstResult.record === instance ? hedge : original;
        if (firstResult.outcome.kind !== "answer" || firstResult.outcome.status >= 500) {
            return [firstResult, await otherSend.result];
        }
        otherSend.cancel();
        return [firstResult];
    }

    /** Computes the delay before hedging, in milliseconds; `undefined` if the request is not to be hedged. */
    private computeHedgeDelayMs(call: RoutedCall): number | undefined {
        const averageRunMs = this.dependencies.placement.getAverageRunMs(call.route.name);
        if (!this.dependencies.isHedging || call.route.repetition !== "idempotent" || averageRunMs === undefined) {
            return undefined;
        }
        const hedgeDelayMs = averageRunMs * hedgeDelayFactor + minHedgeDelayMs;
        const leftMs = call.deadline - this.dependencies.clock.readMonotonic();
        return hedgeDelayMs + averageRunMs > leftMs ? undefined : hedgeDelayMs;
    }

    private isUnansweredAfter(send: PendingSend, milliseconds: number): Promise<boolean> {
        return new Promise(resolve => {
            const timer = this.dependencies.clock.startTimer(milliseconds, () => resolve(true));
            void send.result.then(() => {
                timer.stop();
                resolve(false);
            });
        });
    }

    private startSend(instance: InstanceRecord, call: RoutedCall, progress: SendProgress): PendingSend {
        progress.tried.add(instance.address);
        progress.sends += 1;
        const sendNumber = progress.sends;
        const cancellation = new Cancellation();
        const cancel = (): void => cancellation.cancel();
        call.cancellation.listen(cancel);
        const result = this.sendTo(instance, call, cancellation, progress).then(outcome => {
            call.cancellation.removeListener(cancel);
            return { record: instance, outcome, sendNumber };
        });
        return { result, cancel };
    }

    private async sendTo(
        instance: InstanceRecord,
        call: RoutedCall,
        cancellation: Cancellation,
        progress: SendProgress,
    ): Promise<RunOutcome> {
        const { placement, address } = this.dependencies;
        placement.startRequest(instance.address);
        const outcome = instance.address === address
            ? await this.runLocally(call, cancellation, progress)
            : await this.runRemotely(instance, call, cancellation, progress);
        placement.endRequest(instance.address);
        return outcome;
    }

    private async runLocally(
        call: RoutedCall,
        cancellation: Cancellation,
        progress: SendProgress,
    ): Promise<RunOutcome> {
        const { runner, placement, address } = this.dependencies;
        const outcome = await runner.run(this.createRunRequest(address, call, progress), cancellation);
        placement.recordLoad(address, runner.getLoad());
        return outcome;
    }

    private async runRemotely(
        instance: InstanceRecord,
        call: RoutedCall,
        cancellation: Cancellation,
        progress: SendProgress,
    ): Promise<RunOutcome> {
        const outcome = await this.dependencies.links.run(
            instance.address,
            this.createRunRequest(instance.address, call, progress),
            cancellation,
        );
        switch (outcome.kind) {
            // No link to the instance could be opened in time, so the request was not sent.
            case "unsent":
                return { kind: "refused", cause: "away", retryAfterMs: unreachableRetryMs };
            case "lost":
                return { kind: "failed", cause: "linkLost", ranMs: 0 };
            default:
                return outcome;
        }
    }

    private createRunRequest(address: string, call: RoutedCall, progress: SendProgress): PeerRunRequest {
        const { origin, route } = call;
        return {
            attemptId: call.attemptId,
            sendNumber: progress.sends,
            service: call.service,
            route: route.name,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            bodyShare: call.bodyShare,
            isIdempotent: route.repetition === "idempotent",
            callerService: this.dependencies.service,
            leavingEndpoint: this.dependencies.findLeavingEndpoint(address),
            origin: progress.runs > 0 ? { ...origin, isRepeated: true } : origin,
            deadline: call.deadline,
            target: call.target,
            usualRunMs: this.dependencies.placement.getAverageRunMs(route.name) ?? 0,
        };
    }
}
