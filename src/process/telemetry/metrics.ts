/** Metrics of a node, in the Prometheus format. Label values are names from contracts or come from fixed sets. */
import { Counter, Histogram, Registry } from "prom-client";
import type { Action } from "../../request/action.js";
import type { Answer } from "../../request/answer.js";
import { addGauge } from "./gauge.js";

/** Upper bounds of the buckets of request times, in seconds. */
const secondsBuckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Metrics of one node. */
export class Metrics {
    readonly registry = new Registry();
    private readonly requests = new Counter({
        name: "turmericspoke_requests_total",
        help: "Requests of outside callers by final outcome.",
        labelNames: ["customer", "class", "outcome", "reason"] as const,
        registers: [this.registry],
    });
    private readonly requestSeconds = new Histogram({
        name: "turmericspoke_request_seconds",
        help: "Time from a caller's request to its final answer.",
        labelNames: ["outcome"] as const,
        buckets: secondsBuckets,
        registers: [this.registry],
    });
    private readonly outboundCalls = new Counter({
        name: "turmericspoke_outbound_calls_total",
        help: "Calls of the local endpoint by service called and outcome.",
        labelNames: ["service", "outcome"] as const,
        registers: [this.registry],
    });

    /** Counts a caller's request by its final outcome and records its duration. */
    recordRequestOutcome(action: Action, answer: Answer, milliseconds: number): void {
        this.requests.inc({
            customer: action.customer,
            class: action.actionClass,
            outcome: answer.outcome,
            reason: answer.outcome === "completed" ? "" : answer.reason,
        });
        this.requestSeconds.observe({ outcome: answer.outcome }, milliseconds / 1000);
    }

    /** Counts the outcome of a call that the local endpoint made to a service. */
    recordOutboundOutcome(service: string, answer: Answer): void {
        this.outboundCalls.inc({ service, outcome: answer.outcome });
    }

    /** Adds a gauge whose value is read when the metrics are. */
    addGauge(name: string, help: string, read: () => number): void {
        addGauge(this.registry, name, help, read);
    }
}
