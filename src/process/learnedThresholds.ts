/**
 * Priority thresholds that the calls of each class of action met, learned from their answers.
 *
 * A node keeps them for the calls of its endpoint to services behind it, and for the requests that enter here. An entry that
 * knows them refuses at once what the service would refuse in the end, before any work is spent on it.
 */
import type { ActionContext } from "../request/action.js";
import type { Answer, Reason } from "../request/answer.js";
import type { Clock } from "./clock.js";

/** Time for which a threshold counts in full after the last answer that carried it, in milliseconds. */
const memoryMs = 500;
/** Time in which a threshold without news lets more and more through, up to everything, in milliseconds. */
const fadingMs = 2000;
/** Most classes that are remembered. */
const maxClasses = 4096;
/** Share of the actions below the threshold that is let through, to notice that an overload is over. */
const probeShare = 0.01;

/** Refusals that an instance gives for its load, and that carry its threshold. */
const loadReasons: ReadonlySet<Reason> = new Set(["overloaded", "deadline"]);

/** Threshold that the calls of each class of action met last. */
export class LearnedThresholds {
    private readonly levels = new Map<string, { readonly level: number; readonly at: number; }>();
    /** Whole actions of those below the threshold that may still pass. */
    private passes = 0;

    constructor(private readonly clock: Clock) {}

    /**
     * Notes the threshold that an answer carried for a class of action. The last one counts: answers of instances with
     * different thresholds take turns, so each has its share.
     */
    record({ customer, actionClass }: ActionContext, answer: Answer): void {
        const key = `${customer}/${actionClass}`;
        if (isFromInstance(answer) && (this.levels.has(key) || this.levels.size < maxClasses)) {
            this.levels.set(key, { level: answer.threshold, at: this.clock.readMonotonic() });
        }
    }

    /** Threshold in force for a class of action; 0 when none is known. */
    find(customer: string, actionClass: string): number {
        const known = this.levels.get(`${customer}/${actionClass}`);
        return known !== undefined && this.clock.readMonotonic() - known.at < memoryMs ? known.level : 0;
    }

    /** Whether an action may go on at its entry. */
    admit({ customer, actionClass, priority }: ActionContext): boolean {
        const known = this.levels.get(`${customer}/${actionClass}`);
        if (known === undefined || priority >= known.level) {
            return true;
        }
        const fadedMs = this.clock.readMonotonic() - known.at - memoryMs;
        this.passes += Math.max(probeShare, fadedMs / fadingMs);
        if (this.passes < 1) {
            return false;
        }
        this.passes = Math.min(1, this.passes - 1);
        return true;
    }
}

/** Whether an instance has just given the answer by its load. A remembered answer or a lost one says nothing. */
function isFromInstance(answer: Answer): boolean {
    return answer.outcome === "completed" ? !answer.isReplayed : loadReasons.has(answer.reason);
}
