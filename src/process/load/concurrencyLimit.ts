/**
 * Adaptive limit on concurrent runs at one endpoint, from the run times that this node measures, without the
 * runs' calls to other services.
 *
 * The baseline is the run time without overload. When runs take much longer, the limit is lowered for a trial. If the
 * run times fall with it, the endpoint was overloaded and the lower limit stays. If they don't, the endpoint itself has
 * become slower: fewer concurrent runs would only waste its capacity, so the limit is restored and the new run time
 * becomes the baseline.
 */
import { updateAverage } from "../base/average.js";
import type { Clock } from "../base/clock.js";

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
const trialLimitShare = 0.7;
/** Fewest runs that are averaged before and after the limit is lowered. */
const minTrialRuns = 32;
/** Share of the slots that an endpoint may use right after a cold start; it doubles every {@link rampDoublingMs}. */
const coldStartShare = 0.25;
/** Time in which the limit doubles after a cold start, in milliseconds. */
const rampDoublingMs = 500;

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

/**
 * Run times at the original limit and, once that sample is full, at the lowered limit; `share` is the lowered limit as
 * a share of the original one.
 */
interface Trial {
    readonly limit: number;
    readonly sampleBefore: RunTimeSample;
    lowered: { readonly share: number; readonly sampleAfter: RunTimeSample; } | undefined;
}

/**
 * Concurrency limit of one endpoint; without adaptation, only the cold-start ramp holds it below the endpoint's slots.
 */
export class ConcurrencyLimit {
    private slots = initialLimit;
    private limit = initialLimit;
    private recentRunMs = 0;
    private baselineRunMs = 0;
    private trial: Trial | undefined;
    private rampStart: number | undefined;

    constructor(private readonly clock: Clock, private readonly isAdaptive: boolean) {}

    /** Limit in force: the adaptive limit, reduced by the ramp after a cold start. */
    get(): number {
        if (this.rampStart === undefined) {
            return this.limit;
        }
        const doublings = (this.clock.readMonotonic() - this.rampStart) / rampDoublingMs;
        const share = coldStartShare * 2 ** doublings;
        if (share >= 1) {
            this.rampStart = undefined;
            return this.limit;
        }
        return Math.max(minLimit, this.limit * share);
    }

    /** Moving average of the run times, without calls to other services, in milliseconds. */
    getRecentRunMs(): number {
        return this.recentRunMs;
    }

    /** Sets the endpoint's number of slots. After a cold start, the limit begins at a part of them and ramps up. */
    setSlots(slots: number, isColdStart: boolean): void {
        if (slots !== this.slots) {
            this.slots = slots;
            this.limit = slots;
            this.trial = undefined;
        }
        if (isColdStart) {
            this.rampStart = this.clock.readMonotonic();
        }
    }

    /** Records the time of a run, in milliseconds, and adapts the limit. */
    recordRun(milliseconds: number): void {
        this.recentRunMs = updateAverage(this.recentRunMs, milliseconds, recentWeight);
        if (!this.isAdaptive) {
            return;
        }
        if (this.trial !== undefined) {
            this.recordTrialRun(this.trial, milliseconds);
        }
        else if (this.recentRunMs > slowdownTolerance * this.baselineRunMs && this.baselineRunMs > 0) {
            this.trial = { limit: this.limit, sampleBefore: this.createSample(this.limit), lowered: undefined };
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
        if (this.recentRunMs < this.baselineRunMs) {
            this.baselineRunMs = updateAverage(this.baselineRunMs, this.recentRunMs, baselineFallWeight);
        }
        else if (this.limit === this.slots) {
            this.baselineRunMs = updateAverage(this.baselineRunMs, this.recentRunMs, baselineRiseWeight);
        }
    }

    private recordTrialRun(trial: Trial, milliseconds: number): void {
        if (trial.lowered === undefined) {
            trial.sampleBefore.recordRun(milliseconds);
            if (trial.sampleBefore.isFull()) {
                this.lowerLimitForTrial(trial);
            }
            return;
        }
        trial.lowered.sampleAfter.recordRun(milliseconds);
        if (trial.lowered.sampleAfter.isFull()) {
            this.judgeTrial(trial, trial.lowered.share, trial.lowered.sampleAfter.getAverageMs());
        }
    }

    /**
     * Lowers the limit, unless the slowdown has passed or the limit can't be lower: then the trial ends. In the second
     * case the measured run time becomes the baseline.
     */
    private lowerLimitForTrial(trial: Trial): void {
        const beforeMs = trial.sampleBefore.getAverageMs();
        if (beforeMs <= slowdownTolerance * this.baselineRunMs) {
            this.trial = undefined;
            return;
        }
        if (trial.limit <= minLimit) {
            this.trial = undefined;
            this.baselineRunMs = beforeMs;
            return;
        }
        const limitBefore = Math.ceil(trial.limit);
        this.limit = Math.max(minLimit, Math.min(limitBefore - 1, Math.floor(limitBefore * trialLimitShare)));
        trial.lowered = { share: this.limit / limitBefore, sampleAfter: this.createSample(limitBefore) };
    }

    /** Creates a sample that begins once the runs in progress have ended. */
    private createSample(inProgress: number): RunTimeSample {
        const runs = Math.ceil(inProgress);
        return new RunTimeSample(runs, Math.max(minTrialRuns, runs));
    }

    /**
     * Ends the trial. The lowered limit is kept if the run times fell by more than half as much as the limit did.
     * Otherwise the limit is restored and the run time measured at the lowered limit becomes the baseline.
     */
    private judgeTrial(trial: Trial, loweredShare: number, loweredMs: number): void {
        this.trial = undefined;
        if (loweredMs >= trial.sampleBefore.getAverageMs() * (1 + loweredShare) / 2) {
            this.limit = trial.limit;
            this.baselineRunMs = loweredMs;
        }
    }
}
