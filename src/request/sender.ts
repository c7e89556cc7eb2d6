/**
 * Sends one request to an instance, locally or over a link, and hedges it if the answer takes unusually long.
 *
 * Hedging covers lost answers and slow instances: a call that waits for a lost answer until its deadline fails every
 * upstream run.
 */
import type { PeerLinks } from "../connection/peerLinks.js";
import { Cancellation } from "../process/cancellation.js";
import type { Clock } from "../process/clock.js";
import type { EndpointRunner } from "../process/endpointRunner.js";
import type { Placement } from "../process/placement.js";
import type { RunOutcome } from "../process/runOutcome.js";
import type { InstanceRecord } from "../version/instanceRecord.js";
import type { RoutedCall } from "./routedCall.js";
import type { PeerRunRequest } from "./runRequest.js";

/** Multiple of a route's average run time after which an answer is presumed lost. */
const hedgeDelayFactor = 3.5;
/** Shortest time after which an answer is presumed lost, in milliseconds; added to that multiple. */
const minHedgeDelayMs = 40;
/** Retry-after delay when an instance is unreachable, in milliseconds. */
const unreachableRetryMs = 400;

/** Result of one send to an instance. */
export interface SendResult {
    readonly record: InstanceRecord;
    readonly outcome: RunOutcome;
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
}

/** Sends requests to instances, with hedging. */
export class Sender {
    constructor(private readonly dependencies: SenderDependencies) {}

    /**
     * Sends a request to an instance. If the answer to an idempotent request takes unusually long,
     * `chooseHedgeInstance` may choose a second instance; the first successful answer counts. Returns the results that
     * count, the decisive one last.
     */
    async send(
        record: InstanceRecord,
        call: RoutedCall,
        progress: SendProgress,
        chooseHedgeInstance: ChooseHedgeInstance,
    ): Promise<readonly SendResult[]> {
        const original = this.startSend(record, call, progress);
        const hedgeDelayMs = this.computeHedgeDelayMs(call);
        if (
            hedgeDelayMs === undefined || !await this.isUnansweredAfter(original, hedgeDelayMs)
            || call.cancellation.isCancelled()
        ) {
            return [await original.result];
        }
        const secondRecord = chooseHedgeInstance(record);
        if (secondRecord === undefined) {
            return [await original.result];
        }
        progress.runs += 1;
        this.dependencies.placement.recordRun(record.address, call.route.name, hedgeDelayMs);
        const hedge = this.startSend(secondRecord, call, progress);
        const firstResult = await Promise.race([original.result, hedge.result]);
        const otherSend = firstResult.record === record ? hedge : original;
        if (firstResult.outcome.kind !== "answer" || firstResult.outcome.status >= 500) {
            return [firstResult, await otherSend.result];
        }
        otherSend.cancel();
        return [firstResult];
    }

    /** Computes the delay before hedging, in milliseconds; `undefined` if the request is not to be hedged. */
    private computeHedgeDelayMs(call: RoutedCall): number | undefined {
        const averageRunMs = this.dependencies.placement.getAverageRunMs(call.route.name);
        if (call.route.repetition !== "idempotent" || averageRunMs === undefined) {
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

    private startSend(record: InstanceRecord, call: RoutedCall, progress: SendProgress): PendingSend {
        progress.tried.add(record.address);
        progress.sends += 1;
        const cancellation = new Cancellation();
        const cancel = (): void => cancellation.cancel();
        call.cancellation.listen(cancel);
        const result = this.sendTo(record, call, cancellation, progress).then(outcome => {
            call.cancellation.removeListener(cancel);
            return { record, outcome };
        });
        return { result, cancel };
    }

    private async sendTo(
        record: InstanceRecord,
        call: RoutedCall,
        cancellation: Cancellation,
        progress: SendProgress,
    ): Promise<RunOutcome> {
        const { placement, address } = this.dependencies;
        placement.startRun(record.address);
        const outcome = record.address === address
            ? await this.runLocally(call, cancellation, progress)
            : await this.runRemotely(record, call, cancellation, progress);
        placement.endRun(record.address);
        return outcome;
    }

    private async runLocally(
        call: RoutedCall,
        cancellation: Cancellation,
        progress: SendProgress,
    ): Promise<RunOutcome> {
        const { runner, placement, address } = this.dependencies;
        const outcome = await runner.run(this.createRunRequest(call, progress), cancellation);
        placement.recordLoad(address, runner.getLoad());
        return outcome;
    }

    private async runRemotely(
        record: InstanceRecord,
        call: RoutedCall,
        cancellation: Cancellation,
        progress: SendProgress,
    ): Promise<RunOutcome> {
        const outcome = await this.dependencies.links.run(
            record.address,
            this.createRunRequest(call, progress),
            cancellation,
        );
        switch (outcome.kind) {
            case "unsent":
                return { kind: "refused", cause: "away", retryAfterMs: unreachableRetryMs };
            case "lost":
                return { kind: "failed", cause: "linkLost", ranMs: 0 };
            default:
                return outcome;
        }
    }

    private createRunRequest(call: RoutedCall, progress: SendProgress): PeerRunRequest {
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
            isIdempotent: route.repetition === "idempotent",
            callerService: this.dependencies.service,
            origin: progress.runs > 0 ? { ...origin, isRepeated: true } : origin,
            deadline: call.deadline,
            target: call.target,
        };
    }
}
