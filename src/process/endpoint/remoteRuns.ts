/**
 * Runs that other nodes request over links: each runs once even if its link is lost, and is cancelled when its sender
 * asks for that or no link waits for it any more. {@link EndpointRunner.run} says what cancellation ends. A send is
 * one transmission of a request to an instance.
 */
import type { RunMessage } from "../../connection/linkMessage.js";
import type { AcceptedLink } from "../../connection/linkServer.js";
import type { RunRequest } from "../../request/runRequest.js";
import { Cancellation } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import type { BodyBudget, BodyShare } from "../load/bodyBudget.js";
import type { RunOutcome } from "../load/runOutcome.js";
import type { EndpointRunner } from "./endpointRunner.js";
import { SendDeduplicator } from "./sendDeduplicator.js";

/**
 * Time in which a sender that lost its link may send its request again before the run is cancelled, in milliseconds.
 */
const reconnectGraceMs = 400;

/** Retry-after delay of a run that finds no room for its body, in milliseconds. */
const noRoomRetryMs = 300;

/** What a run without a body takes of the budget. */
const noShare: Pick<BodyShare, "release"> = { release: () => undefined };

/** A run in progress and the links that wait for its outcome. */
interface RemoteRun {
    readonly cancellation: Cancellation;
    /** Links that wait for the outcome, with the id of the request on each. */
    readonly waiters: Map<AcceptedLink, number>;
}

/**
 * Runs requested by other nodes, by node, attempt and send number. An attempt identifier alone isn't enough: whoever makes
 * requests chooses it, and a node that joined the run of another one would hand on the answer to another request.
 */
export class RemoteRuns {
    private readonly deduplicator: SendDeduplicator;
    private readonly runs = new Map<string, RemoteRun>();
    /** Keys of the runs that each link waits for, by the id of the request on the link. */
    private readonly runKeysByLink = new WeakMap<AcceptedLink, Map<number, string>>();

    constructor(
        private readonly clock: Clock,
        private readonly runner: Pick<EndpointRunner, "run" | "getLoad">,
        private readonly bodies: Pick<BodyBudget, "open">,
    ) {
        this.deduplicator = new SendDeduplicator(clock, bodies);
    }

    /** Makes room for the body of a run that is being received, or of an answer, of that many bytes; `undefined` if there is none. */
    admit(bytes: number): BodyShare | undefined {
        const share = this.bodies.open(() => undefined);
        if (!share.add(bytes)) {
            return undefined;
        }
        share.finish();
        return share;
    }

    /** Refuses a run, because there is no room for its body. */
    refuse(id: number, link: AcceptedLink): void {
        link.post({ kind: "refused", id, cause: "full", retryAfterMs: noRoomRetryMs, load: this.runner.getLoad() });
    }

    /** Starts a run, or joins the one that the same send started over another link. */
    start(message: RunMessage, link: AcceptedLink): void {
        const share = message.bodyShare ?? (message.body.length === 0 ? noShare : this.admit(message.body.length));
        if (share === undefined) {
            this.refuse(message.id, link);
            return;
        }
        const key = `${link.getPeerAddress()}/${message.sendNumber}/${message.attemptId}`;
        const run = this.runs.get(key) ?? { cancellation: new Cancellation(), waiters: new Map() };
        run.waiters.set(link, message.id);
        this.getRunKeys(link).set(message.id, key);
        const isDuplicate = this.runs.has(key);
        this.runs.set(key, run);
        const outcome = this.deduplicator.run(
            key,
            () => this.runner.run(this.createRequest(message), run.cancellation),
        );
        void outcome.then(result => {
            share.release();
            if (!isDuplicate) {
                this.runs.delete(key);
            }
            this.reply(run, link, message.id, result);
        });
    }

    /** Cancels a run at the request of its sender, for all links that wait for it: they belong to the same send. */
    cancel(id: number, link: AcceptedLink): void {
        const key = this.getRunKeys(link).get(id);
        if (key !== undefined) {
            this.runs.get(key)?.cancellation.cancel();
        }
    }

    /** Removes expired sends. */
    prune(): void {
        this.deduplicator.prune();
    }

    private reply(run: RemoteRun, link: AcceptedLink, id: number, outcome: RunOutcome): void {
        run.waiters.delete(link);
        this.getRunKeys(link).delete(id);
        const load = this.runner.getLoad();
        if (outcome.kind !== "answer" || outcome.body.length === 0) {
            link.post({ ...outcome, id, load });
            return;
        }
        const share = this.admit(outcome.body.length);
        if (share === undefined) {
            link.post({ kind: "failed", cause: "noRoom", ranMs: outcome.runMs, id, load });
            return;
        }
        link.post({ ...outcome, id, load }, () => share.release());
    }

    /** Keys of the runs that a link waits for. The first call also registers the handler for the link's end. */
    private getRunKeys(link: AcceptedLink): Map<number, string> {
        const existing = this.runKeysByLink.get(link);
        if (existing !== undefined) {
            return existing;
        }
        const created = new Map<number, string>();
        this.runKeysByLink.set(link, created);
        link.onClose(() => void this.handleClosedLink(link, created));
        return created;
    }

    /** Cancels the runs that a closed link waited for, unless a sender asks for them again in time. */
    private async handleClosedLink(link: AcceptedLink, keys: Map<number, string>): Promise<void> {
        const runKeys = [...keys.values()];
        for (const key of runKeys) {
            this.runs.get(key)?.waiters.delete(link);
        }
        await this.clock.sleep(reconnectGraceMs);
        for (const key of runKeys) {
            const run = this.runs.get(key);
            if (run !== undefined && run.waiters.size === 0) {
                run.cancellation.cancel();
            }
        }
    }

    private createRequest(message: RunMessage): RunRequest {
        const now = this.clock.readMonotonic();
        return {
            attemptId: message.attemptId,
            service: message.service,
            route: message.route,
            method: message.method,
            path: message.path,
            headers: message.headers,
            body: message.body,
            isIdempotent: message.isIdempotent,
            origin: message.origin,
            deadline: now + message.timeLeftMs,
            target: now + message.targetLeftMs,
            callerService: message.callerService,
            leavingEndpoint: message.leavingEndpoint,
            usualRunMs: message.usualRunMs ?? 0,
        };
    }
}
