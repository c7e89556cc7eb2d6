/**
 * Priority thresholds of the services that each class of action calls, learned from the answers to the calls.
 * A class of action is the actions of one customer with the same `actionClass`.
 *
 * A node keeps them for the calls of its endpoint to downstream services, and for the requests that enter here. An
 * entry node that knows them refuses at once what the service would refuse in the end, before any work is spent on it.
 */
import type { ActionContext } from "../../request/action.js";
import type { Answer, Reason } from "../../request/answer.js";
import type { Clock } from "../base/clock.js";

/** Time for which a threshold applies in full after the last answer that carried it, in milliseconds. */
const thresholdValidMs = 500;
/**
 * Time after {@link thresholdValidMs} in which a threshold without new answers admits more and more actions, up to all,
 * in milliseconds.
 */
const decayMs = 2000;
/** Most classes of action whose threshold is kept. */
const maxClasses = 4096;
/** Fraction of the actions below the threshold that is admitted, to detect the end of an overload. */
const probeFraction = 0.01;

/** Refusals that an instance gives because of its load, and that carry its threshold. */
const loadReasons: ReadonlySet<Reason> = new Set(["overloaded", "deadline"]);

/** Last threshold that an answer reported for each class of action. */
export class LearnedThresholds {
    /** Threshold of each class of action by customer and class, and when it was recorded. */
    private readonly thresholds = new Map<string, { readonly level: number; readonly recordedAt: number; }>();
    /** Credit for admitting actions below the threshold; each admitted one costs 1. */
    private admissionCredit = 0;

    constructor(private readonly clock: Clock) {}

    /**
     * Records the threshold that an answer carried for a class of action. It replaces the one before: answers of
     * instances with different thresholds alternate, so each threshold applies for its share of the time.
     */
    record({ customer, actionClass }: ActionContext, answer: Answer): void {
        const key = `${customer}/${actionClass}`;
        if (hasCurrentThreshold(answer) && (this.thresholds.has(key) || this.thresholds.size < maxClasses)) {
            this.thresholds.set(key, { level: answer.threshold, recordedAt: this.clock.readMonotonic() });
        }
    }

    /**
     * Threshold of a class of action; 0 when none is known or the last answer is older than {@link thresholdValidMs}.
     * It isn't lowered gradually as in {@link admit}.
     */
    find(customer: string, actionClass: string): number {
        const known = this.thresholds.get(`${customer}/${actionClass}`);
        return known !== undefined && this.clock.readMonotonic() - known.recordedAt < thresholdValidMs
            ? known.level
            : 0;
    }

    /**
     * Decides whether an action is admitted at its entry node. Each one below the threshold adds credit,
     * {@link probeFraction} or more as the threshold decays, and is admitted if the credit has then reached 1.
     */
    admit({ customer, actionClass, priority }: ActionContext): boolean {
        const known = this.thresholds.get(`${customer}/${actionClass}`);
        if (known === undefined || priority >= known.level) {
            return true;
        }
        const decayedMs = this.clock.readMonotonic() - known.recordedAt - thresholdValidMs;
        this.admissionCredit += Math.max(probeFraction, decayedMs / decayMs);
        if (this.admissionCredit < 1) {
            return false;
        }
        this.admissionCredit = Math.min(1, this.admissionCredit - 1);
        return true;
    }
}

/** Whether the answer tells the current load of an instance. A replayed or a lost answer doesn't. */
function hasCurrentThreshold(answer: Answer): boolean {
    return answer.outcome === "completed" ? !answer.isReplayed : loadReasons.has(answer.reason);
}
