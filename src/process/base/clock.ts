/** Time source of the process. Tests replace it with a clock of virtual time. */

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
    /** Starts a timer that calls `expire` once, after `milliseconds`. */
    startTimer(milliseconds: number, expire: () => void): Timer;
    /** Resolves after `milliseconds`, or early when `signal` aborts. Never rejects. */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
    readMonotonic(): number {
        return performance.now();
    }

    readDate(): Date {
        return new Date();
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
}
