/** Time source of the process. Tests replace it with a clock of virtual time. */
import process from "node:process";

/** Timer started by {@link Clock.startTimer}. */
export interface Timer {
    /** Cancels the timer; does nothing once it has expired. */
    readonly stop: () => void;
}

/** Time source that is passed to all code that waits, measures durations or records timestamps. */
export interface Clock {
    /** Milliseconds on a monotonic scale; only differences are meaningful. */
    readMonotonic(): number;
    /** Wall-clock time. */
    readDate(): Date;
    /** Time at which this process was started, on the monotonic scale; before any of its code ran. */
    readProcessStart(): number;
    /** Starts a timer that calls `expire` once, after `milliseconds`. */
    startTimer(milliseconds: number, expire: () => void): Timer;
    /** Resolves after `milliseconds`, or early when `signal` aborts. Never rejects. */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
    /**
     * Resolves at the tick nearest to the end of `milliseconds`, or early when `signal` aborts; at least one tick later. Never
     * rejects. For tasks that repeat: those of one process then wake it together, and it sleeps in between.
     */
    sleepToTick(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** Time between the ticks of {@link Clock.sleepToTick}, in milliseconds. */
const tickMs = 100;

/** Clock of the operating system. */
export class SystemClock implements Clock {
    readMonotonic(): number {
        return performance.now();
    }

    readDate(): Date {
        return new Date();
    }

    readProcessStart(): number {
        return performance.now() - process.uptime() * 1000;
    }

    startTimer(milliseconds: number, expire: () => void): Timer {
        const timer = setTimeout(expire, milliseconds);
        return { stop: () => clearTimeout(timer) };
    }

    sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted === true) {
                resolve();
                return;
            }
            const finish = (): void => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, milliseconds);
            signal?.addEventListener("abort", finish);
        });
    }

    sleepToTick(milliseconds: number, signal?: AbortSignal): Promise<void> {
        const now = this.readMonotonic();
        return this.sleep(findTick(now, milliseconds) - now, signal);
    }
}

/** Finds the tick nearest to the end of a time that begins now, on the same scale; a timer that expired late skips none. */
export function findTick(now: number, milliseconds: number): number {
    return Math.max(Math.floor(now / tickMs) + 1, Math.round((now + milliseconds) / tickMs)) * tickMs;
}
