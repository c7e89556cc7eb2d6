/**
 * Admission control for the local endpoint: an adaptive limit on concurrent runs, a short queue ordered by priority,
 * and a priority threshold. A request that can't finish in time is refused at once, with the time after which a retry
 * makes sense.
 */
import { updateAverage } from "../base/average.js";
import type { Clock } from "../base/clock.js";
import { ConcurrencyLimit } from "./concurrencyLimit.js";
import { PriorityThreshold, thresholdWindowMs } from "./priorityThreshold.js";

/** Longest queue, as a multiple of the concurrency limit. */
const maxQueueFactor = 3;
/** Average queue length of a window that a raised threshold aims at, as a multiple of the concurrency limit. */
const targetQueueFactor = 0.5;
/**
 * Average queue length of a window above which the threshold is raised from 0, as a multiple of the concurrency limit.
 */
const overloadQueueFactor = 2;
/** Proportion of a window's arrivals beyond the capacity by which the threshold cuts the load in the next window. */
const arrivalGain = 0.5;
/** Proportion of the average queue length beyond its target by which the threshold cuts the load in the next window. */
const queueGain = 0.15;
/** Weight of a new sample in the average time for which a run holds its concurrency slot. */
const holdTimeWeight = 0.05;
/** Queue length that is always allowed, however low the concurrency limit is. */
const minQueueLength = 4;
/** Shortest retry delay advised to a refused caller, in milliseconds. */
const minRetryAfterMs = 100;
/** Longest retry delay advised to a refused caller, in milliseconds. */
const maxRetryAfterMs = 2000;

/**
 * Modes of admission control: `adaptive` adjusts the concurrency limit and the priority threshold, `static` limits runs
 * to the endpoint's slots without a threshold, `off` runs every request at once.
 */
export const admissionModes = ["adaptive", "static", "off"] as const;
/** One of {@link admissionModes}. */
export type AdmissionMode = (typeof admissionModes)[number];

/** Result of {@link Admission.request}. A refused request has not run; `retryAfterMs` is the advised retry delay. */
export type AdmissionResult =
    | { readonly kind: "admitted"; readonly release: Release; }
    | {
        readonly kind: "refused";
        readonly reason: "overloaded" | "deadline" | "cancelled";
        readonly retryAfterMs: number;
    };

/**
 * Ends a run and frees its concurrency slot; later calls have no effect. `ownMs` is the endpoint's own time in
 * milliseconds, without its calls to other services; `undefined` when the run says nothing about the endpoint's speed.
 */
export type Release = (ownMs: number | undefined) => void;

/** A request in the queue. */
interface Waiter {
    readonly priority: number;
    readonly settle: (result: AdmissionResult) => void;
    readonly timer: NodeJS.Timeout;
}

/**
 * State of admission control for status and metrics: the concurrency limit, the runs and queued requests, the priority
 * threshold, and the average time of a run in milliseconds without its calls to other services.
 */
export interface AdmissionState {
    readonly limit: number;
    readonly running: number;
    readonly queued: number;
    readonly threshold: number;
    readonly averageRunMs: number;
}

/** Decides which requests run at the local endpoint, and when. */
export class Admission {
    private readonly threshold = new PriorityThreshold();
    private readonly queue: Waiter[] = [];
    private readonly limit: ConcurrencyLimit;
    private running = 0;
    /**
     * Average time for which a run holds its concurrency slot, in milliseconds, including its calls to other services.
     */
    private averageHoldMs = 0;
    /** Refusals in this threshold window for lack of room or time, of requests that had passed the threshold. */
    private refusedInWindow = 0;
    /** Integral of the queue length over this window, in requests times milliseconds. */
    private queueLengthIntegral = 0;
    /** Time up to which the integral is computed. */
    private integralUpdatedAt: number;
    private windowStart: number;

    constructor(private readonly clock: Clock, private readonly mode: AdmissionMode) {
        this.limit = new ConcurrencyLimit(clock, mode === "adaptive");
        this.integralUpdatedAt = clock.readMonotonic();
        this.windowStart = this.integralUpdatedAt;
    }

    getState(): AdmissionState {
        return {
            limit: this.limit.get(),
            running: this.running,
            queued: this.queue.length,
            threshold: this.getThreshold(),
            averageRunMs: this.limit.getRecentRunMs(),
        };
    }

    /** Priority below which requests are refused on arrival; 0 refuses none. */
    getThreshold(): number {
        return this.mode === "adaptive" ? this.threshold.getLevel() : 0;
    }

    /** Sets the endpoint's number of slots. After a cold start, the limit begins at a part of them and ramps up. */
    setSlots(slots: number, isColdStart: boolean): void {
        this.limit.setSlots(slots, isColdStart);
        this.admitWaiting();
    }

    /**
     * Requests admission; a higher priority is served first (0 is the lowest; for the priority of a route in `Origin`,
     * 0 is the most urgent). Resolves at once unless the request has to wait in the queue. An abort of `signal` ends
     * the wait with a refusal.
     */
    request(priority: number, timeLeftMs: number, signal?: AbortSignal): Promise<AdmissionResult> {
        const hasPassedThreshold = this.threshold.admit(priority);
        if (this.mode === "off") {
            this.running += 1;
            return Promise.resolve(this.createAdmittedResult());
        }
        if (!hasPassedThreshold && this.mode === "adaptive") {
            return Promise.resolve(this.createRefusal("overloaded"));
        }
        if (this.running < this.limit.get() && this.queue.length === 0) {
            this.running += 1;
            return Promise.resolve(this.createAdmittedResult());
        }
        const runMs = this.limit.getRecentRunMs();
        if (this.estimateWaitMs(this.countAhead(priority)) + runMs > timeLeftMs) {
            // A request without enough time for its run even with an empty queue says nothing about the load.
            this.refusedInWindow += runMs > timeLeftMs ? 0 : 1;
            return Promise.resolve(this.createRefusal("deadline"));
        }
        return this.enqueue(priority, timeLeftMs, signal);
    }

    /** Adjusts the threshold to the load of the window that ends now; called every {@link thresholdWindowMs}. */
    closeWindow(): void {
        this.updateQueueIntegral();
        const now = this.clock.readMonotonic();
        const windowLengthMs = Math.max(1, now - this.windowStart);
        this.threshold.closeWindow(this.computeExcess(this.queueLengthIntegral / windowLengthMs, windowLengthMs));
        this.windowStart = now;
        this.queueLengthIntegral = 0;
        this.refusedInWindow = 0;
        this.admitWaiting();
    }

    /**
     * Computes by how many requests per window the threshold has to cut the load: parts of the arrivals beyond the
     * capacity and of the queue beyond its target. Negative when there was room for more.
     */
    private computeExcess(averageQueue: number, windowLengthMs: number): number {
        const limit = Math.max(1, this.limit.get());
        const isOverloaded = this.refusedInWindow > 0 || averageQueue > limit * overloadQueueFactor;
        if (!isOverloaded && this.threshold.getLevel() === 0) {
            return 0;
        }
        const capacity = limit * windowLengthMs / Math.max(1, this.averageHoldMs);
        const surplus = this.threshold.getAdmittedInWindow() - capacity;
        return surplus * arrivalGain + (averageQueue - limit * targetQueueFactor) * queueGain;
    }

    /** Updates the integral of the queue length; called before each change of the queue. */
    private updateQueueIntegral(): void {
        const now = this.clock.readMonotonic();
        this.queueLengthIntegral += this.queue.length * (now - this.integralUpdatedAt);
        this.integralUpdatedAt = now;
    }

    /** Calls {@link closeWindow} at the end of each window of {@link thresholdWindowMs}, until the signal aborts. */
    async runWindows(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleep(thresholdWindowMs, signal);
            this.closeWindow();
        }
    }

    private enqueue(priority: number, timeLeftMs: number, signal: AbortSignal | undefined): Promise<AdmissionResult> {
        if (this.queue.length >= Math.max(minQueueLength, this.limit.get() * maxQueueFactor)) {
            this.refusedInWindow += 1;
            const last = this.queue[this.queue.length - 1];
            if (last === undefined || last.priority >= priority) {
                return Promise.resolve(this.createRefusal("overloaded"));
            }
            this.removeWaiter(last, this.createRefusal("overloaded"));
        }
        return new Promise(resolve => {
            const waitMs = Math.max(0, timeLeftMs - this.limit.getRecentRunMs());
            const waiter: Waiter = {
                priority,
                settle: resolve,
                timer: setTimeout(() => {
                    this.refusedInWindow += 1;
                    this.removeWaiter(waiter, this.createRefusal("deadline"));
                }, waitMs),
            };
            signal?.addEventListener("abort", () => this.removeWaiter(waiter, this.createRefusal("cancelled")), {
                once: true,
            });
            this.updateQueueIntegral();
            this.queue.splice(this.countAhead(priority), 0, waiter);
        });
    }

    private removeWaiter(waiter: Waiter, result: AdmissionResult): void {
        const index = this.queue.indexOf(waiter);
        if (index !== -1) {
            this.updateQueueIntegral();
            this.queue.splice(index, 1);
            clearTimeout(waiter.timer);
            waiter.settle(result);
        }
    }

    private admitWaiting(): void {
        while (this.running < this.limit.get()) {
            this.updateQueueIntegral();
            const waiter = this.queue.shift();
            if (waiter === undefined) {
                return;
            }
            clearTimeout(waiter.timer);
            this.running += 1;
            waiter.settle(this.createAdmittedResult());
        }
    }

    /** Creates the result for a request that takes a concurrency slot now. */
    private createAdmittedResult(): AdmissionResult {
        const admittedAt = this.clock.readMonotonic();
        let isReleased = false;
        const release = (ownMs: number | undefined): void => {
            if (isReleased) {
                return;
            }
            isReleased = true;
            this.running -= 1;
            if (ownMs !== undefined) {
                const heldMs = this.clock.readMonotonic() - admittedAt;
                this.averageHoldMs = updateAverage(this.averageHoldMs, heldMs, holdTimeWeight);
                this.limit.recordRun(ownMs);
            }
            this.admitWaiting();
        };
        return { kind: "admitted", release };
    }

    private createRefusal(reason: "overloaded" | "deadline" | "cancelled"): AdmissionResult {
        return { kind: "refused", reason, retryAfterMs: this.computeRetryAfterMs() };
    }

    /** Queued requests that would be served before one of this priority. */
    private countAhead(priority: number): number {
        const index = this.queue.findIndex(waiter => waiter.priority < priority);
        return index === -1 ? this.queue.length : index;
    }

    /**
     * Estimates the wait of a request with `ahead` others before it, in milliseconds, from the endpoint's own time per
     * run, without its calls to other services.
     */
    private estimateWaitMs(ahead: number): number {
        return (ahead + 1) * this.limit.getRecentRunMs() / Math.max(1, this.limit.get());
    }

    private computeRetryAfterMs(): number {
        const estimate = this.estimateWaitMs(this.queue.length) * 2
            + (this.threshold.getLevel() > 0 ? maxRetryAfterMs / 4 : 0);
        return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, estimate)));
    }
}
