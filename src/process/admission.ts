/**
 * Admission to the local endpoint: an adaptive limit on concurrent runs, a short queue in order of priority, and a priority
 * threshold. A request that can't finish in time is refused at once with the time after which a re-send makes sense.
 */
import { updateAverage } from "./average.js";
import type { Clock } from "./clock.js";
import { ConcurrencyLimit } from "./concurrencyLimit.js";
import { PriorityThreshold, windowMs } from "./priorityThreshold.js";

/** Queue places for each run that may be in progress. */
const queueShare = 3;
/** Average queue of a window, for each run that may be in progress, that the threshold aims at while it is raised. */
const wantedQueueShare = 0.5;
/** Average queue of a window, for each run that may be in progress, above which the threshold is raised from 0. */
const longQueueShare = 2;
/** Part of the surplus of arrivals over the capacity that is corrected in one window. */
const arrivalGain = 0.5;
/** Part of the surplus of the queue that is corrected in one window. */
const queueGain = 0.15;
/** Weight of a new sample in the average time for which a run holds its place. */
const placeWeight = 0.05;
/** Fewest queue places. */
const minQueue = 4;
/** Shortest time that a refused caller is told to wait, in milliseconds. */
const minRetryAfterMs = 100;
/** Longest time that a refused caller is told to wait, in milliseconds. */
const maxRetryAfterMs = 2000;

/** How requests are admitted. */
export const admissionModes = ["adaptive", "static", "off"] as const;
/** One of {@link admissionModes}. */
export type AdmissionMode = (typeof admissionModes)[number];

/** Outcome of asking for a run. */
export type AdmissionResult =
    | { readonly kind: "admitted"; readonly release: Release; }
    | {
        readonly kind: "refused";
        readonly reason: "overloaded" | "deadline" | "cancelled";
        readonly retryAfterMs: number;
    };

/**
 * Ends a run. `ownMs` is the endpoint's own time without its calls to other services; `undefined` when the run says nothing
 * about the endpoint's speed.
 */
export type Release = (ownMs: number | undefined) => void;

/** A request that waits for a place. */
interface Waiter {
    readonly priority: number;
    readonly settle: (result: AdmissionResult) => void;
    readonly timer: NodeJS.Timeout;
}

/** State of admission for status and metrics. */
export interface AdmissionState {
    readonly limit: number;
    readonly running: number;
    readonly queued: number;
    readonly threshold: number;
    readonly averageRunMs: number;
}

/** Decides which requests run at the local endpoint. */
export class Admission {
    private readonly threshold = new PriorityThreshold();
    private readonly queue: Waiter[] = [];
    private readonly limit: ConcurrencyLimit;
    private running = 0;
    /** Average time for which a run holds its place, in milliseconds; with its calls to other services. */
    private placeMs = 0;
    /** Requests that had entered and were refused in the end, in this window. */
    private refused = 0;
    /** Sum of the waiting requests over this window, in requests times milliseconds. */
    private queueArea = 0;
    private queueChangedAt: number;
    private windowStart: number;

    constructor(private readonly clock: Clock, private readonly mode: AdmissionMode) {
        this.limit = new ConcurrencyLimit(clock, mode === "adaptive");
        this.queueChangedAt = clock.readMonotonic();
        this.windowStart = this.queueChangedAt;
    }

    getState(): AdmissionState {
        return {
            limit: this.limit.get(),
            running: this.running,
            queued: this.queue.length,
            threshold: this.getThreshold(),
            averageRunMs: this.limit.getRecentMs(),
        };
    }

    /** Priority below which requests are refused on arrival. */
    getThreshold(): number {
        return this.mode === "adaptive" ? this.threshold.getLevel() : 0;
    }

    /** Sets the endpoint's number of slots. A cold endpoint starts with a part of them. */
    setSlots(slots: number, isCold: boolean): void {
        this.limit.setSlots(slots, isCold);
        this.admitWaiting();
    }

    /** Asks for a run. Resolves at once unless the request has to wait in the queue. */
    request(priority: number, timeLeftMs: number, signal?: AbortSignal): Promise<AdmissionResult> {
        const isAdmitted = this.threshold.admit(priority);
        if (this.mode === "off") {
            this.running += 1;
            return Promise.resolve(this.createAdmitted());
        }
        if (!isAdmitted && this.mode === "adaptive") {
            return Promise.resolve(this.createRefusal("overloaded"));
        }
        if (this.running < this.limit.get() && this.queue.length === 0) {
            this.running += 1;
            return Promise.resolve(this.createAdmitted());
        }
        const runMs = this.limit.getRecentMs();
        if (this.estimateWaitMs(this.countAhead(priority)) + runMs > timeLeftMs) {
            // A request that had no time for its run even without a queue says nothing about the load.
            this.refused += runMs > timeLeftMs ? 0 : 1;
            return Promise.resolve(this.createRefusal("deadline"));
        }
        return this.enqueue(priority, timeLeftMs, signal);
    }

    /** Ends a window of the threshold; called every {@link windowMs}. */
    closeWindow(): void {
        this.noteQueue();
        const now = this.clock.readMonotonic();
        const lengthMs = Math.max(1, now - this.windowStart);
        this.threshold.closeWindow(this.computeExcess(this.queueArea / lengthMs, lengthMs));
        this.windowStart = now;
        this.queueArea = 0;
        this.refused = 0;
        this.admitWaiting();
    }

    /** Computes by how many requests a window was too full. */
    private computeExcess(averageQueue: number, windowLengthMs: number): number {
        const limit = Math.max(1, this.limit.get());
        const isOverloaded = this.refused > 0 || averageQueue > limit * longQueueShare;
        if (!isOverloaded && this.threshold.getLevel() === 0) {
            return 0;
        }
        const capacity = limit * windowLengthMs / Math.max(1, this.placeMs);
        const surplus = this.threshold.getAdmitted() - capacity;
        return surplus * arrivalGain + (averageQueue - limit * wantedQueueShare) * queueGain;
    }

    /** Brings the sum of the waiting requests up to date; called before each change of the queue. */
    private noteQueue(): void {
        const now = this.clock.readMonotonic();
        this.queueArea += this.queue.length * (now - this.queueChangedAt);
        this.queueChangedAt = now;
    }

    /** Runs the windows until the signal aborts. */
    async runWindows(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleep(windowMs, signal);
            this.closeWindow();
        }
    }

    private enqueue(priority: number, timeLeftMs: number, signal: AbortSignal | undefined): Promise<AdmissionResult> {
        if (this.queue.length >= Math.max(minQueue, this.limit.get() * queueShare)) {
            this.refused += 1;
            const last = this.queue[this.queue.length - 1];
            if (last === undefined || last.priority >= priority) {
                return Promise.resolve(this.createRefusal("overloaded"));
            }
            this.removeWaiter(last, this.createRefusal("overloaded"));
        }
        return new Promise(resolve => {
            const waitMs = Math.max(0, timeLeftMs - this.limit.getRecentMs());
            const waiter: Waiter = {
                priority,
                settle: resolve,
                timer: setTimeout(() => {
                    this.refused += 1;
                    this.removeWaiter(waiter, this.createRefusal("deadline"));
                }, waitMs),
            };
            signal?.addEventListener("abort", () => this.removeWaiter(waiter, this.createRefusal("cancelled")), {
                once: true,
            });
            this.noteQueue();
            this.queue.splice(this.countAhead(priority), 0, waiter);
        });
    }

    private removeWaiter(waiter: Waiter, result: AdmissionResult): void {
        const index = this.queue.indexOf(waiter);
        if (index !== -1) {
            this.noteQueue();
            this.queue.splice(index, 1);
            clearTimeout(waiter.timer);
            waiter.settle(result);
        }
    }

    private admitWaiting(): void {
        while (this.running < this.limit.get()) {
            this.noteQueue();
            const waiter = this.queue.shift();
            if (waiter === undefined) {
                return;
            }
            clearTimeout(waiter.timer);
            this.running += 1;
            waiter.settle(this.createAdmitted());
        }
    }

    private createAdmitted(): AdmissionResult {
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
                this.placeMs = updateAverage(this.placeMs, heldMs, placeWeight);
                this.limit.recordRun(ownMs);
            }
            this.admitWaiting();
        };
        return { kind: "admitted", release };
    }

    private createRefusal(reason: "overloaded" | "deadline" | "cancelled"): AdmissionResult {
        return { kind: "refused", reason, retryAfterMs: this.computeRetryAfterMs() };
    }

    /** Waiting requests that would be served before one of this priority. */
    private countAhead(priority: number): number {
        const index = this.queue.findIndex(waiter => waiter.priority < priority);
        return index === -1 ? this.queue.length : index;
    }

    private estimateWaitMs(ahead: number): number {
        return (ahead + 1) * this.limit.getRecentMs() / Math.max(1, this.limit.get());
    }

    private computeRetryAfterMs(): number {
        const estimate = this.estimateWaitMs(this.queue.length) * 2
            + (this.threshold.getLevel() > 0 ? maxRetryAfterMs / 4 : 0);
        return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, estimate)));
    }
}
