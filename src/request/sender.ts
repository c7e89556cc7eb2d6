/**
 * Sends one request to instances: here or over a link, and to a second instance when the first is silent for unusually long.
 *
 * Load pattern that the second send answers: lost answers and slow instances. A call that waits for a lost answer until its
 * deadline fails every run above it.
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

/** Multiple of a route's usual run time after which an answer is taken for lost. */
const silenceFactor = 3.5;
/** Shortest silence after which an answer is taken for lost, in milliseconds. */
const minSilenceMs = 40;
/** Retry advice when an instance can't be reached, in milliseconds. */
const unreachableRetryMs = 400;

/** A send that has ended. */
export interface Ended {
    readonly record: InstanceRecord;
    readonly outcome: RunOutcome;
}

/** A send in progress. */
interface Send {
    readonly ended: Promise<Ended>;
    readonly cancel: () => void;
}

/** What the sender counts over the sends of one request. */
export interface SendCount {
    readonly tried: Set<string>;
    /** Sends to nodes. */
    sends: number;
    /** Sends that reached an endpoint, or may have. */
    runs: number;
}

/** Chooses the instance for a second send; `undefined` when there is to be none. Notes that the first is silent. */
export type ChooseSecond = (silent: InstanceRecord) => InstanceRecord | undefined;

/** What the sender needs from the rest of the node. */
export interface SenderDependencies {
    readonly clock: Clock;
    /** Address of the own instance. */
    readonly address: string;
    readonly service: string;
    readonly placement: Placement;
    readonly links: PeerLinks;
    readonly runner: EndpointRunner;
}

/** Sends requests to instances. */
export class Sender {
    constructor(private readonly dependencies: SenderDependencies) {}

    /**
     * Sends a request to an instance. If an idempotent one stays without an answer, `chooseSecond` may name another instance; the
     * first good answer counts. Returns the ends that count, the deciding one last.
     */
    async send(
        record: InstanceRecord,
        call: RoutedCall,
        count: SendCount,
        chooseSecond: ChooseSecond,
    ): Promise<readonly Ended[]> {
        const first = this.startSend(record, call, count);
        const silenceMs = this.computeSilenceMs(call);
        if (silenceMs === undefined || !await this.isSilent(first, silenceMs) || call.cancellation.isCancelled()) {
            return [await first.ended];
        }
        const other = chooseSecond(record);
        if (other === undefined) {
            return [await first.ended];
        }
        count.runs += 1;
        this.dependencies.placement.recordRun(record.address, call.route.name, silenceMs);
        const second = this.startSend(other, call, count);
        const winner = await Promise.race([first.ended, second.ended]);
        const loser = winner.record === record ? second : first;
        if (winner.outcome.kind !== "answer" || winner.outcome.status >= 500) {
            return [winner, await loser.ended];
        }
        loser.cancel();
        return [winner];
    }

    /** Silence after which an answer is probably lost, in milliseconds; `undefined` when a second send makes no sense. */
    private computeSilenceMs(call: RoutedCall): number | undefined {
        const usualMs = this.dependencies.placement.getAverageRunMs(call.route.name);
        if (call.route.repetition !== "idempotent" || usualMs === undefined) {
            return undefined;
        }
        const silenceMs = usualMs * silenceFactor + minSilenceMs;
        const leftMs = call.deadline - this.dependencies.clock.readMonotonic();
        return silenceMs + usualMs > leftMs ? undefined : silenceMs;
    }

    private isSilent(send: Send, milliseconds: number): Promise<boolean> {
        return new Promise(resolve => {
            const timer = this.dependencies.clock.startTimer(milliseconds, () => resolve(true));
            void send.ended.then(() => {
                timer.stop();
                resolve(false);
            });
        });
    }

    private startSend(record: InstanceRecord, call: RoutedCall, count: SendCount): Send {
        count.tried.add(record.address);
        count.sends += 1;
        const cancellation = new Cancellation();
        const cancel = (): void => cancellation.cancel();
        call.cancellation.listen(cancel);
        const ended = this.sendTo(record, call, cancellation, count).then(outcome => {
            call.cancellation.removeListener(cancel);
            return { record, outcome };
        });
        return { ended, cancel };
    }

    private async sendTo(
        record: InstanceRecord,
        call: RoutedCall,
        cancellation: Cancellation,
        count: SendCount,
    ): Promise<RunOutcome> {
        const { placement, address } = this.dependencies;
        placement.startRun(record.address);
        const outcome = record.address === address
            ? await this.runHere(call, cancellation, count)
            : await this.runThere(record, call, cancellation, count);
        placement.endRun(record.address);
        return outcome;
    }

    private async runHere(call: RoutedCall, cancellation: Cancellation, count: SendCount): Promise<RunOutcome> {
        const { runner, placement, address } = this.dependencies;
        const outcome = await runner.run(this.createRun(call, count), cancellation);
        placement.recordLoad(address, runner.getLoad());
        return outcome;
    }

    private async runThere(
        record: InstanceRecord,
        call: RoutedCall,
        cancellation: Cancellation,
        count: SendCount,
    ): Promise<RunOutcome> {
        const outcome = await this.dependencies.links.run(record.address, this.createRun(call, count), cancellation);
        switch (outcome.kind) {
            case "unsent":
                return { kind: "refused", cause: "away", retryAfterMs: unreachableRetryMs };
            case "lost":
                return { kind: "failed", cause: "linkLost", ranMs: 0 };
            default:
                return outcome;
        }
    }

    private createRun(call: RoutedCall, count: SendCount): PeerRunRequest {
        const { origin, route } = call;
        return {
            attemptId: call.attemptId,
            sendNumber: count.sends,
            service: call.service,
            route: route.name,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            isIdempotent: route.repetition === "idempotent",
            callerService: this.dependencies.service,
            origin: count.runs > 0 ? { ...origin, isRepeated: true } : origin,
            deadline: call.deadline,
            target: call.target,
        };
    }
}
