/**
 * Measures, beside an endpoint, the share of requests that it turns away although it has room.
 *
 * Load pattern handled: an endpoint rejects part of what arrives, independent of its load. An endpoint that is nearly full
 * also rejects, but then fewer requests help and repeats harm; so a rejection counts only while slots are free, and
 * nothing is learned from one of a full endpoint.
 */
import type { Clock } from "../base/clock.js";

/** Part of the slots in use up to which the endpoint has room to spare. */
const roomUtilisation = 0.7;
/** Weight of a new answer in the share. */
const answerWeight = 0.02;
/** Half-life of the share while no answer arrives, in milliseconds. */
const halfLifeMs = 1500;

/** Share of requests that an endpoint turned away lately with room to spare. */
export class SheddingMonitor {
    private share = 0;
    private recordedAt = 0;

    constructor(private readonly clock: Clock) {}

    /** Records an answer; `utilisation` is the part of the slots in use when it arrived, this request included. */
    record(isRejected: boolean, utilisation: number): void {
        if (isRejected && utilisation > roomUtilisation) {
            return;
        }
        const share = this.getShare();
        this.share = share + ((isRejected ? 1 : 0) - share) * answerWeight;
        this.recordedAt = this.clock.readMonotonic();
    }

    /** Share of the recent requests that were turned away with room to spare, from 0 to 1. */
    getShare(): number {
        return this.share * 0.5 ** ((this.clock.readMonotonic() - this.recordedAt) / halfLifeMs);
    }
}
