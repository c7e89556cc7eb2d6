/**
 * The limit that one incarnation of an endpoint names in its answers, for as long as it does so. Some answers may lack
 * it, so it ends only after several answers in a row without it.
 */

/** Answers in a row without a limit after which it is over. */
const answersWithoutUntilOver = 3;
/** Shortest time after the last answer that named a limit at which it is over, in milliseconds. */
const minValidMs = 1000;

/** Time after the last answer that named a limit in which it counts as recent, in milliseconds. */
const recentMs = 2000;

/** Limit in requests per second. Times are on the monotonic clock, in milliseconds. */
export class NamedLimit {
    private perSecond: number | undefined;
    private namedAt: number | undefined;
    private answersWithout = 0;

    /** Requests per second; `undefined` while the endpoint names no limit. */
    get(): number | undefined {
        return this.perSecond;
    }

    /** Requests per second if an answer has named them lately. */
    getRecent(now: number): number | undefined {
        return this.namedAt !== undefined && now - this.namedAt < recentMs ? this.perSecond : undefined;
    }

    /** Whether the endpoint has ever named a limit, as far as is known. */
    isKnown(): boolean {
        return this.namedAt !== undefined;
    }

    /** Records what an answer names. Returns whether the limit changed. */
    record(perSecond: number | undefined, now: number): boolean {
        const before = this.perSecond;
        if (perSecond !== undefined) {
            this.perSecond = perSecond;
            this.namedAt = now;
            this.answersWithout = 0;
            return perSecond !== before;
        }
        if (before === undefined || this.namedAt === undefined) {
            return false;
        }
        this.answersWithout += 1;
        if (this.answersWithout < answersWithoutUntilOver || now - this.namedAt < minValidMs) {
            return false;
        }
        this.perSecond = undefined;
        return true;
    }

    /** Takes over what an earlier process of this node knew, unless an answer has said more. */
    restore(perSecond: number | undefined, now: number): void {
        if (!this.isKnown()) {
            this.perSecond = perSecond;
            this.namedAt = now;
        }
    }
}
