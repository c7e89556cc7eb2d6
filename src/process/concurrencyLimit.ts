/**
 * Adaptive limit on concurrent runs at one endpoint, from the run times that this node measures.
 *
 * When runs take much longer than the baseline, the limit is lowered for a trial. If the run times fall with it, the
 * endpoint was overloaded and the lower limit stays. If they don't, the endpoint itself has become slower: fewer
 * concurrent runs would only waste its capacity, so the limit is restored and the new run time becomes the baseline.
 */
import { updateAverage } from "./average.js";
import type { Clock } from "./clock.js";

/** Lowest limit, in concurrent runs. */
const minLimit = 1;
/** Limit before the endpoint announces its slots. */
const initialLimit = 16;
/** Weight of a new sample in the recent run time. */
const recentWeight = 0.05;
/** Weight of the recent run time in the baseline while runs are faster than the baseline. */
const baselineFallWeight = 0.02;
/** Weight of the recent run time in the baseline while runs are slower than the baseline. */
const baselineRiseWeight = 0.002;
/** Ratio of the recent run time to the baseline above which a trial starts. */
const slowdownTolerance = 2;
/** Share of the limit that remains during a trial. */
const trialShare = 0.7;
/** Fewest runs that are averaged before and after the limit is lowered. */
const minTrialRuns = 32;
/** Share of the slots that an endpoint may use right after a cold start; it doubles every {@link rampStepMs}. */
const coldStartShare = 0.25;
/** Time in which the ramp after a cold start doubles the limit, in milliseconds. */
const rampStepMs = 500;

/** Averages the times of a number of runs, after skipping those that began before the sample. */
class RunTimeSample {
    private totalMs = 0;
    private recordedRuns = 0;

    constructor(private readonly skippedRuns: number, private readonly size: number) {}

    isFull(): boolean {
        return this.recordedRuns >= this.skippedRuns + this.size;
    }

    recordRun(milliseconds: number): void {
        this.recordedRuns += 1;
        this.totalMs += this.recordedRuns > this.skippedRuns ? milliseconds : 0;
    }

    /** Average in milliseconds; valid once the sample is full. */
    getAverageMs(): number {
        return this.totalMs / this.size;
    }
}

/** Run times at the original limit and, later, at the one lowered for the trial. */
interface Trial {
    readonly limit: number;
    readonly before: RunTimeSample;
    lowered: { readonly share: number; readonly after: RunTimeSample; } | undefined;
}

/**
 * Concurrency limit of one endpoint; without adaptation, only the cold-start ramp holds it below the endpoint's slots.
 */
export class ConcurrencyLimit {
    private slots = initialLimit;
    private limit = initialLimit;
    private recentMs = 0;
    private baselineMs = 0;
    private trial: Trial | undefined;
    private rampStart: number | undefined;

    constructor(private readonly clock: Clock, private readonly isAdaptive: boolean) {}

    /** Limit in force: the adaptive limit, reduced by the ramp after a cold start. */
    get(): number {
        if (this.rampStart === undefined) {
            return this.limit;
        }
        const steps = (this.clock.readMonotonic() - this.rampStart) / rampStepMs;
        const share = coldStartShare * 2 ** steps;
        if (share >= 1) {
            this.rampStart = undefined;
            return this.limit;
        }
        return Math.max(minLimit, this.limit * share);
    }

    /** Moving average of the run times, in milliseconds. */
    getRecentMs(): number {
        return this.recentMs;
    }

    /** Sets the endpoint's number of slots. After a cold start, the limit begins at a part of them and ramps up. */
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

    /** Records the time of a run, in milliseconds, and adapts the limit. */
    recordRun(milliseconds: number): void {
        this.recentMs = updateAverage(this.recentMs, milliseconds, recentWeight);
        if (!this.isAdaptive) {
            return;
        }
        if (this.trial !== undefined) {
            this.recordTrialRun(this.trial, milliseconds);
        }
        else if (this.recentMs > slowdownTolerance * this.baselineMs && this.baselineMs > 0) {
            this.trial = { limit: this.limit, before: this.createSample(this.limit), lowered: undefined };
        }
        else {
            this.updateBaseline();
            this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
        }
    }

    /**
     * Updates the baseline. It doesn't rise while the limit is lowered, since runs are then slow because of their
     * number.
     */
    private updateBaseline(): void {
        if (this.recentMs < this.baselineMs) {
            this.baselineMs = updateAverage(this.baselineMs, this.recentMs, baselineFallWeight);
        }
        else if (this.limit === this.slots) {
            this.baselineMs = updateAverage(this.baselineMs, this.recentMs, baselineRiseWeight);
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
        if (beforeMs <= slowdownTolerance * this.baselineMs) {
            this.trial = undefined;
            return;
        }
        if (trial.limit <= minLimit) {
            this.trial = undefined;
            this.baselineMs = beforeMs;
            return;
        }
        const limitBefore = Math.ceil(trial.limit);
        this.limit = Math.max(minLimit, Math.min(limitBefore - 1, Math.floor(limitBefore * trialShare)));
        trial.lowered = { share: this.limit / limitBefore, after: this.createSample(limitBefore) };
    }

    /** Creates a sample that begins once the runs in progress have ended. */
    private createSample(inProgress: number): RunTimeSample {
        const runs = Math.ceil(inProgress);
        return new RunTimeSample(runs, Math.max(minTrialRuns, runs));
    }

    /** Ends the trial. The lowered limit is kept if the run times fell by more than half as much as the limit did. */
    private judgeTrial(trial: Trial, loweredShare: number, loweredMs: number): void {
        this.trial = undefined;
        if (loweredMs >= trial.before.getAverageMs() * (1 + loweredShare) / 2) {
            this.limit = trial.limit;
            this.baselineMs = loweredMs;
        }
    }
}
