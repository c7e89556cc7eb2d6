/**
 * Limit on concurrent runs at one endpoint, from the run times that this node measures.
 *
 * When runs take much longer than usual, the limit is lowered for a trial. If the run times fall with it, the endpoint had too
 * much at once and the lower limit stays. If they don't, the endpoint has become slower by itself: fewer runs at a time would
 * only waste its capacity, so the limit is restored and the new run time counts as usual.
 */
import { updateAverage } from "./average.js";
import type { Clock } from "./clock.js";

/** Lowest limit. */
const minLimit = 1;
/** Limit before the endpoint announces its slots. */
const initialLimit = 16;
/** Weight of a new sample in the recent run time. */
const recentWeight = 0.05;
/** Weight of the recent run time in the usual one while runs are faster than usual. */
const fallingWeight = 0.02;
/** Weight of the recent run time in the usual one while runs are slower than usual. */
const risingWeight = 0.002;
/** Ratio of recent to usual run time above which a trial starts. */
const tolerance = 2;
/** Share of the limit that is left during a trial. */
const trialShare = 0.7;
/** Fewest runs that are averaged before and after the limit is lowered. */
const minTrialRuns = 32;
/** Share of the slots that a cold endpoint may use at first; it doubles every {@link rampStepMs}. */
const coldShare = 0.25;
/** Time in which the ramp after a cold start doubles the limit, in milliseconds. */
const rampStepMs = 500;

/** Averages the times of a number of runs, after it has passed over those that began before it. */
class RunTimeSample {
    private totalMs = 0;
    private recorded = 0;

    constructor(private readonly passedOver: number, private readonly wanted: number) {}

    isFull(): boolean {
        return this.recorded >= this.passedOver + this.wanted;
    }

    recordRun(milliseconds: number): void {
        this.recorded += 1;
        this.totalMs += this.recorded > this.passedOver ? milliseconds : 0;
    }

    /** Average in milliseconds, once the sample is full. */
    getAverageMs(): number {
        return this.totalMs / this.wanted;
    }
}

/** Run times at the limit that was in force and, later, at the one lowered for the trial. */
interface Trial {
    readonly limit: number;
    readonly before: RunTimeSample;
    lowered: { readonly share: number; readonly after: RunTimeSample; } | undefined;
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
        this.recentMs = updateAverage(this.recentMs, milliseconds, recentWeight);
        if (!this.isAdaptive) {
            return;
        }
        if (this.trial !== undefined) {
            this.recordTrialRun(this.trial, milliseconds);
        }
        else if (this.recentMs > tolerance * this.usualMs && this.usualMs > 0) {
            this.trial = { limit: this.limit, before: this.createSample(this.limit), lowered: undefined };
        }
        else {
            this.updateUsual();
            this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
        }
    }

    /** Moves the usual run time. It doesn't rise while the limit is lowered: the runs are then slow from their number. */
    private updateUsual(): void {
        if (this.recentMs < this.usualMs) {
            this.usualMs = updateAverage(this.usualMs, this.recentMs, fallingWeight);
        }
        else if (this.limit === this.slots) {
            this.usualMs = updateAverage(this.usualMs, this.recentMs, risingWeight);
        }
    }

    private recordTrialRun(trial: Trial, milliseconds: number): void {
        if (trial.lowered === undefined) {
            trial.before.recordRun(milliseconds);
            if (trial.before.isFull()) {
                this.lowerForTrial(trial);
            }
            return;
        }
        trial.lowered.after.recordRun(milliseconds);
        if (trial.lowered.after.isFull()) {
            this.judgeTrial(trial, trial.lowered.share, trial.lowered.after.getAverageMs());
        }
    }

    private lowerForTrial(trial: Trial): void {
        const beforeMs = trial.before.getAverageMs();
        if (beforeMs <= tolerance * this.usualMs) {
            this.trial = undefined;
            return;
        }
        if (trial.limit <= minLimit) {
            this.trial = undefined;
            this.usualMs = beforeMs;
            return;
        }
        const places = Math.ceil(trial.limit);
        this.limit = Math.max(minLimit, Math.min(places - 1, Math.floor(places * trialShare)));
        trial.lowered = { share: this.limit / places, after: this.createSample(places) };
    }

    /** A sample that begins once the runs in progress are over. */
    private createSample(inProgress: number): RunTimeSample {
        const runs = Math.ceil(inProgress);
        return new RunTimeSample(runs, Math.max(minTrialRuns, runs));
    }

    /** Keeps the lowered limit if the run times fell by more than half as much as it did. */
    private judgeTrial(trial: Trial, loweredShare: number, loweredMs: number): void {
        this.trial = undefined;
        if (loweredMs >= trial.before.getAverageMs() * (1 + loweredShare) / 2) {
            this.limit = trial.limit;
            this.usualMs = loweredMs;
        }
    }
}
