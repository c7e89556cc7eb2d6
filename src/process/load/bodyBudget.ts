/**
 * Bounds the memory of the bodies that a node holds for callers and other nodes, over all connections.
 *
 * Load pattern handled: clients that send many large bodies at once and stop short of their end. A body that is still being read can
 * be given up, since its request has not run. When memory is short, that is the one whose bytes have waited longest for
 * more: memory times the time since the last byte. So a body that comes steadily stays before one that has stopped, and a small one before
 * a large one. A body that is whole is kept until its request ends; what then finds no room is refused.
 *
 * A part of the budget is for small bodies alone, so that ordinary requests are served beside large ones.
 */
import type { Clock } from "../base/clock.js";

/** Size up to which a body is small, in bytes. */
export const smallBodyBytes = 65_536;
/** Part of the budget that large bodies may take together. */
const largeBodyShare = 0.75;
/** Time that counts besides the time since the last byte, in milliseconds; so of several that have just grown the largest is given up. */
const recentMs = 100;

/** What one body takes of the budget. */
export interface BodyShare {
    /**
     * Counts bytes that came for the body. Others may be given up for them. `false` if there is no room; the share is then released.
     */
    add(bytes: number): boolean;
    /** States that the body is whole: from now on it isn't given up. */
    finish(): void;
    /** Keeps the share through one more {@link release}, because the bytes are used in one more place. */
    retain(): void;
    /** Frees what the body takes, once for each place in which it is used. */
    release(): void;
}

/** A body that takes memory. */
class HeldBody implements BodyShare {
    bytes = 0;
    /** Monotonic time of the last byte, in milliseconds. */
    grownAt: number;
    private uses = 1;

    constructor(private readonly budget: BodyBudget, readonly giveUp: () => void, now: number) {
        this.grownAt = now;
    }

    add(bytes: number): boolean {
        return this.uses > 0 && this.budget.grow(this, bytes);
    }

    finish(): void {
        this.budget.keep(this);
    }

    retain(): void {
        this.uses += 1;
    }

    release(): void {
        this.uses -= 1;
        if (this.uses === 0) {
            this.budget.remove(this);
        }
    }

    /** Frees the body at once, wherever it is used. */
    end(): void {
        this.uses = 0;
        this.budget.remove(this);
    }
}

/** Memory that the bodies held by one process take. */
export class BodyBudget {
    private givenUp = 0;
    /** Bytes of all bodies, and of the large ones among them. */
    private total = 0;
    private largeTotal = 0;
    /** Bytes of the large bodies that are whole. */
    private largeWhole = 0;
    private readonly growing = new Set<HeldBody>();
    private readonly whole = new Set<HeldBody>();

    constructor(private readonly clock: Pick<Clock, "readMonotonic">, private readonly maxBytes: number) {}

    /** Bytes that all bodies take now. */
    getTotal(): number {
        return this.total;
    }

    /** Bodies that were given up so far. */
    countGivenUp(): number {
        return this.givenUp;
    }

    /** Largest body that is ever held, in bytes. */
    getMaxBodyBytes(): number {
        return Math.floor(this.maxBytes * largeBodyShare);
    }

    /** Whether a body of that many bytes finds room beside those that are whole. */
    hasRoom(bytes: number): boolean {
        return bytes <= smallBodyBytes || this.largeWhole + bytes <= this.getMaxBodyBytes();
    }

    /** Begins a body. `giveUp` is called if it has to be given up while it grows; it takes no memory from then on. */
    open(giveUp: () => void): BodyShare {
        const body = new HeldBody(this, giveUp, this.clock.readMonotonic());
        this.growing.add(body);
        return body;
    }

    /** Counts bytes of a body, for which others may be given up; `false` if there is no room. */
    grow(body: HeldBody, bytes: number): boolean {
        body.grownAt = this.clock.readMonotonic();
        this.count(body, bytes);
        while (this.isExceeded(body)) {
            const costliest = this.findCostliest(body.bytes > smallBodyBytes && this.total <= this.maxBytes);
            this.givenUp += 1;
            if (costliest === undefined || costliest === body) {
                body.end();
                return false;
            }
            costliest.end();
            costliest.giveUp();
        }
        return true;
    }

    /** Keeps a body that is whole. */
    keep(body: HeldBody): void {
        if (this.growing.delete(body)) {
            this.whole.add(body);
            this.largeWhole += countLarge(body.bytes);
        }
    }

    /** Frees what a body takes. */
    remove(body: HeldBody): void {
        if (this.whole.delete(body)) {
            this.largeWhole -= countLarge(body.bytes);
        }
        else if (!this.growing.delete(body)) {
            return;
        }
        this.total -= body.bytes;
        this.largeTotal -= countLarge(body.bytes);
    }

    private count(body: HeldBody, bytes: number): void {
        this.total += bytes;
        this.largeTotal -= countLarge(body.bytes);
        body.bytes += bytes;
        this.largeTotal += countLarge(body.bytes);
    }

    private isExceeded(body: HeldBody): boolean {
        return this.total > this.maxBytes
            || (body.bytes > smallBodyBytes && this.largeTotal > this.getMaxBodyBytes());
    }

    /** Finds the body whose bytes have waited longest for more; `undefined` if all are whole. */
    private findCostliest(isLargeOnly: boolean): HeldBody | undefined {
        const now = this.clock.readMonotonic();
        let costliest: HeldBody | undefined;
        let highestCost = 0;
        for (const body of this.growing) {
            const cost = body.bytes * (now - body.grownAt + recentMs);
            if (cost > highestCost && (!isLargeOnly || body.bytes > smallBodyBytes)) {
                costliest = body;
                highestCost = cost;
            }
        }
        return costliest;
    }
}

/** What a body counts among the large ones, in bytes. */
function countLarge(bytes: number): number {
    return bytes > smallBodyBytes ? bytes : 0;
}
