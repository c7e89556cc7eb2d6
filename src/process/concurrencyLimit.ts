/**
 * Limit on concurrent runs at one endpoint, from the run times that this node measures.
 *
 * When runs take much longer than usual, the limit is lowered on trial. If the run times fall with it, the endpoint had too
 * much at once and the limit goes on falling. If they don't, the endpoint has become slower by itself: fewer runs at a time
 * would only waste its capacity, so the limit is restored and the new run time counts as usual.
 */
import type { Clock } from "./clock.js";

/** Lowest limit. */
const minLimit = 1;
/** Limit before the endpoint announces its slots. */
const initialLimit = 16;
/** Weight of a new sample in the recent run time. */
const recentWeight = 0.05;
/** Weight of a new sample in the usual run time while runs take longer than usual. */
const usualWeight = 0.002;
/** Ratio of recent to usual run time above which the limit is lowered. */
const tolerance = 2;
/** Share of the limit that each run takes away during a trial. */
const loweringShare = 0.01;
/** Share of the limit at which a trial is judged. */
const trialShare = 0.7;
/** Share of the run time that has to be left at the end of a trial for it to count as a success. */
const improvedShare = 0.85;
/** Share of the slots that a cold endpoint may use at first; it doubles every {@link rampStepMs}. */
const coldShare = 0.25;
/** Time in which the ramp after a cold start doubles the limit, in milliseconds. */
const rampStepMs = 500;

/** State at the start of a trial. */
interface Trial {
    readonly limit: number;
    readonly recentMs: number;
}

/** Adaptive limit. */
export class ConcurrencyLimit {
    private slots = initialLimit;
    private limit = initialLimit;
    private recentMs = 0;
    private usualMs = 0;
    private trial: Trial | undefined;
    private rampStart: number | undefined;

    constructor(private readonly clock: Clock, private readonly isAdaptive: boolean) {}

    /** Limit in force: the adaptive limit, held down by the ramp after a cold start. */
    get(): number {
        if (this.rampStart === undefined) {
            return this.limit;
        }
        const steps = (this.clock.readMonotonic() - this.rampStart) / rampStepMs;
        const share = coldShare * 2 ** steps;
        if (share >= 1) {
            this.rampStart = undefined;
            return this.limit;
        }
        return Math.max(minLimit, this.limit * share);
    }

    /** Average time of recent runs, in milliseconds. */
    getRecentMs(): number {
        return this.recentMs;
    }

    /** Sets the endpoint's number of slots. A cold endpoint starts with a part of them. */
    setSlots(slots: number, isCold: boolean): void {
        if (slots !== this.slots) {
            this.slots = slots;
            this.limit = slots;
            this.trial = undefined;
        }
        if (isCold) {
            this.rampStart = this.clock.readMonotonic();
        }
    }

    /** Takes the time of a run into account, in milliseconds. */
    recordRun(milliseconds: number): void {
        this.recentMs = average(this.recentMs, milliseconds, recentWeight);
        this.usualMs = average(this.usualMs, milliseconds, milliseconds < this.usualMs ? recentWeight : usualWeight);
        if (!this.isAdaptive) {
            return;
        }
        if (this.recentMs <= tolerance * this.usualMs) {
            this.trial = undefined;
            this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
            return;
        }
        this.trial ??= { limit: this.limit, recentMs: this.recentMs };
        this.limit = Math.max(minLimit, this.limit * (1 - loweringShare));
        if (this.limit <= Math.max(minLimit, this.trial.limit * trialShare)) {
            this.judgeTrial(this.trial);
        }
    }

    private judgeTrial(trial: Trial): void {
        this.trial = undefined;
        if (this.recentMs > trial.recentMs * improvedShare) {
            this.limit = trial.limit;
            this.usualMs = this.recentMs;
        }
    }
}

/** Moves an average towards a sample; the first sample is the average. */
function average(before: number, sample: number, weight: number): number {
    return before === 0 ? sample : before + (sample - before) * weight;
}
