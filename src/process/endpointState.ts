/**
 * What this node knows of the endpoint beside it, first-hand: its incarnation, its slots and whether it takes work.
 *
 * Reports are ordered within an incarnation by their number. An incarnation that was replaced never comes back, so a report
 * of it that arrives late changes nothing. Once an incarnation has said that it leaves, it takes no work again.
 */
import type { Clock } from "./clock.js";

/** A report that the endpoint sends of itself. */
export interface EndpointReport {
    readonly id: string;
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Increases with each report of an incarnation. */
    readonly reportNumber: number;
}

/** What became of a report. */
export type ReportResult = "started" | "changed" | "unchanged" | "stale";

/** Time for which an endpoint that refused a connection is left alone, in milliseconds. */
const awayMs = 250;
/** Incarnations that are remembered, the present one included. */
const maxIncarnations = 64;

/** What is known of one incarnation. */
interface Incarnation {
    readonly id: string;
    reportNumber: number;
    slots: number;
    isLeaving: boolean;
    /** Whether another incarnation has taken its place. */
    isReplaced: boolean;
}

/** State of the endpoint beside this node. */
export class EndpointState {
    private readonly incarnations = new Map<string, Incarnation>();
    private current: Incarnation | undefined;
    private awayUntil = 0;

    constructor(private readonly clock: Clock) {}

    /** Incarnation in force; `undefined` before the first report. */
    getId(): string | undefined {
        return this.current?.id;
    }

    /** Requests that the endpoint runs at once; 0 while not known. */
    getSlots(): number {
        return this.current?.slots ?? 0;
    }

    /** Why the endpoint takes no work now; `undefined` when it does. */
    findRefusalReason(): "leaving" | "away" | "notKnown" | undefined {
        if (this.current === undefined) {
            return "notKnown";
        }
        if (this.current.isLeaving) {
            return "leaving";
        }
        return this.clock.readMonotonic() < this.awayUntil ? "away" : undefined;
    }

    /** Takes a report into account. */
    report(report: EndpointReport): ReportResult {
        const known = this.incarnations.get(report.id);
        const incarnation = known ?? this.add(report.id);
        if (report.reportNumber <= incarnation.reportNumber) {
            return "stale";
        }
        const wasLeaving = incarnation.isLeaving;
        const slotsBefore = incarnation.slots;
        incarnation.reportNumber = report.reportNumber;
        incarnation.slots = report.slots;
        incarnation.isLeaving ||= report.state === "draining";
        if (incarnation.isReplaced) {
            return "stale";
        }
        this.awayUntil = 0;
        if (incarnation !== this.current) {
            this.setCurrent(incarnation);
            return "started";
        }
        const isSame = incarnation.slots === slotsBefore && incarnation.isLeaving === wasLeaving;
        return isSame ? "unchanged" : "changed";
    }

    /** Takes the word of an incarnation that it is leaving for good. */
    leave(id: string): ReportResult {
        const incarnation = this.incarnations.get(id) ?? this.add(id);
        const wasLeaving = incarnation.isLeaving;
        incarnation.isLeaving = true;
        if (this.current === undefined) {
            this.setCurrent(incarnation);
        }
        if (incarnation !== this.current) {
            incarnation.isReplaced = true;
            return "stale";
        }
        return wasLeaving ? "unchanged" : "changed";
    }

    /** Learns from an answer of the endpoint itself which incarnation it is. Returns whether that was news. */
    learnIncarnation(id: string, slots: number | undefined): boolean {
        const incarnation = this.incarnations.get(id) ?? this.add(id);
        if (slots !== undefined && slots > 0 && incarnation.slots === 0) {
            incarnation.slots = slots;
        }
        if (incarnation === this.current) {
            return false;
        }
        this.setCurrent(incarnation);
        return true;
    }

    /** Notes that the endpoint refused a connection. */
    recordConnectionRefused(): void {
        this.awayUntil = this.clock.readMonotonic() + awayMs;
    }

    private setCurrent(incarnation: Incarnation): void {
        if (this.current !== undefined) {
            this.current.isReplaced = true;
        }
        incarnation.isReplaced = false;
        this.current = incarnation;
        this.awayUntil = 0;
    }

    private add(id: string): Incarnation {
        const incarnation = { id, reportNumber: -1, slots: 0, isLeaving: false, isReplaced: false };
        this.incarnations.set(id, incarnation);
        if (this.incarnations.size > maxIncarnations) {
            const oldest = [...this.incarnations.values()].find(each => each !== this.current && each !== incarnation);
            this.incarnations.delete(oldest?.id ?? "");
        }
        return incarnation;
    }
}
