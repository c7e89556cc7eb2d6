/** Runs that other nodes ask for over links: each once, whatever happens to the link, and cancelled when nobody waits. */
import type { RunMessage } from "../connection/linkMessage.js";
import type { AcceptedLink } from "../connection/linkServer.js";
import type { RunRequest } from "../request/runRequest.js";
import { Cancellation } from "./cancellation.js";
import type { Clock } from "./clock.js";
import type { EndpointRunner } from "./endpointRunner.js";
import type { RunOutcome } from "./runOutcome.js";
import { SendDeduplicator } from "./sendDeduplicator.js";

/** Time in which a sender that lost its link may ask again before its run is given up, in milliseconds. */
const reattachMs = 400;

/** A run in progress and those who wait for it. */
interface RemoteRun {
    readonly cancellation: Cancellation;
    /** Links that wait for the outcome, with the number of the request on each. */
    readonly waiters: Map<AcceptedLink, number>;
}

/** Runs for other nodes. */
export class RemoteRuns {
    private readonly memory: SendDeduplicator;
    private readonly runs = new Map<string, RemoteRun>();
    private readonly keysByLink = new WeakMap<AcceptedLink, Map<number, string>>();

    constructor(private readonly clock: Clock, private readonly runner: Pick<EndpointRunner, "run" | "getLoad">) {
        this.memory = new SendDeduplicator(clock);
    }

    /** Starts a run, or joins the one that the same send began over another link. */
    start(message: RunMessage, link: AcceptedLink): void {
        const key = `${message.attemptId}/${message.sendNumber}`;
        const run = this.runs.get(key) ?? { cancellation: new Cancellation(), waiters: new Map() };
        run.waiters.set(link, message.id);
        this.getKeys(link).set(message.id, key);
        const isKnown = this.runs.has(key);
        this.runs.set(key, run);
        const outcome = this.memory.run(key, () => this.runner.run(this.createRequest(message), run.cancellation));
        void outcome.then(ended => {
            if (!isKnown) {
                this.runs.delete(key);
            }
            this.finish(run, link, message.id, ended);
        });
    }

    /** Gives a run up at the word of its sender. */
    cancel(id: number, link: AcceptedLink): void {
        const key = this.getKeys(link).get(id);
        if (key !== undefined) {
            this.runs.get(key)?.cancellation.cancel();
        }
    }

    /** Forgets old sends. */
    prune(): void {
        this.memory.prune();
    }

    private finish(run: RemoteRun, link: AcceptedLink, id: number, outcome: RunOutcome): void {
        run.waiters.delete(link);
        this.getKeys(link).delete(id);
        const load = this.runner.getLoad();
        link.post({ ...outcome, id, load });
    }

    /** Keys of the runs that a link waits for. Their runs are given up if the link closes and nobody asks again. */
    private getKeys(link: AcceptedLink): Map<number, string> {
        const known = this.keysByLink.get(link);
        if (known !== undefined) {
            return known;
        }
        const created = new Map<number, string>();
        this.keysByLink.set(link, created);
        link.onClose(() => void this.leave(link, created));
        return created;
    }

    private async leave(link: AcceptedLink, keys: Map<number, string>): Promise<void> {
        const left = [...keys.values()];
        for (const key of left) {
            this.runs.get(key)?.waiters.delete(link);
        }
        await this.clock.sleep(reattachMs);
        for (const key of left) {
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
        };
    }
}
