/** A timer that runs. */
export interface Timer {
    /** Keeps the timer from expiring; does nothing once it has. */
    readonly stop: () => void;
}

/** Time source that is passed to everything that waits, measures or stamps. */
export interface Clock {
    /** Milliseconds on a monotonic scale; only differences have a meaning. */
    readMonotonic(): number;
    /** Wall-clock time. */
    readDate(): Date;
    /** Calls `expire` once after `milliseconds`, unless the timer is stopped before. */
    startTimer(milliseconds: number, expire: () => void): Timer;
    /** Resolves after `milliseconds`, or early when `signal` aborts. Never rejects. */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the running process. */
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
