/** Load of many callers: actions arrive at a steady rate whatever becomes of the earlier ones, and outcomes are counted. */
import type { ActionOutcome, Persistence } from "./caller.js";
import { sendAction } from "./caller.js";

/** Actions of one class of one customer. */
export interface Flow {
    readonly customer: string;
    readonly class: string;
    /** Base URLs of the caller listeners that the customer uses. */
    readonly urls: readonly string[];
    readonly perSecond: number;
    readonly path?: string;
    readonly body?: string;
    readonly persistence: Persistence;
}

/** What became of one action. */
export interface ActionResult extends ActionOutcome {
    readonly flow: Flow;
    /** Time of arrival and of the final answer, in milliseconds since the load started. */
    readonly arrivedAt: number;
    readonly endedAt: number;
}

/** A running load. */
export class Load {
    readonly results: ActionResult[] = [];
    private readonly startedAt = performance.now();
    private readonly pending = new Set<Promise<void>>();
    private readonly rates = new Map<Flow, number>();
    private isStopped = false;

    constructor(private readonly flows: readonly Flow[]) {
        for (const flow of flows) {
            this.rates.set(flow, flow.perSecond);
            void this.runFlow(flow);
        }
    }

    /** Time since the load started, in milliseconds. */
    now(): number {
        return performance.now() - this.startedAt;
    }

    /** Changes the rate of the flows that match. */
    setRate(isMeant: (flow: Flow) => boolean, perSecond: number): void {
        for (const flow of this.flows.filter(isMeant)) {
            this.rates.set(flow, perSecond);
        }
    }

    /** Stops new arrivals and waits for the actions in progress. */
    async stop(): Promise<ActionResult[]> {
        this.isStopped = true;
        await Promise.all(this.pending);
        return this.results;
    }

    private async runFlow(flow: Flow): Promise<void> {
        let due = performance.now();
        while (!this.isStopped) {
            due += 1000 / (this.rates.get(flow) ?? flow.perSecond);
            const waitMs = due - performance.now();
            if (waitMs > 1) {
                await new Promise(resolve => setTimeout(resolve, waitMs));
            }
            const action = this.runAction(flow);
            this.pending.add(action);
            void action.finally(() => this.pending.delete(action));
        }
    }

    private async runAction(flow: Flow): Promise<void> {
        const arrivedAt = this.now();
        const outcome = await sendAction(flow.urls, flow, flow.persistence);
        this.results.push({ flow, arrivedAt, endedAt: this.now(), ...outcome });
    }
}

/** Completed actions a second of a flow that ended in an interval. */
export function computeGoodput(results: readonly ActionResult[], customer: string, from: number, to: number): number {
    const completed = results.filter(result =>
        result.flow.customer === customer && isCompleted(result) && result.endedAt >= from && result.endedAt < to
    );
    return completed.length * 1000 / (to - from);
}

/** Whether an action completed from end to end. */
export function isCompleted(result: ActionResult): boolean {
    return result.told.outcome === "completed" && result.told.status === 200;
}
