/**
 * State of the local endpoint from its own reports and answers: incarnation, concurrency slots, the limit that
 * it names and whether it leaves.
 *
 * Reports are ordered within an incarnation by their number. A late report of an incarnation that was replaced does not
 * make it current again. Once an incarnation has stated that it drains or leaves, it gets no more requests.
 *
 * Reports name the service, so only they tell which incarnations are this endpoint's. After an endpoint has ended, its address may
 * go to one of another service; an answer that names an unknown id says only that the current incarnation isn't there.
 *
 * An endpoint may start again under the id that it had. Its reports then state a later start, and nothing that was known of
 * the id before holds. Other nodes and later processes of this node get the start with the id, as one opaque text.
 */
import type { Clock } from "../base/clock.js";
import { NamedLimit } from "../load/namedLimit.js";

/** Report of an endpoint about itself. */
export interface EndpointReport {
    /** Identifies the endpoint's incarnation, together with `born` where that is stated. */
    readonly id: string;
    /** Start of the incarnation, in Unix milliseconds; `undefined` if the report doesn't state it. */
    readonly born?: number | undefined;
    /** Concurrency slots. */
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Increases with each report of an incarnation. */
    readonly reportNumber: number;
}

/**
 * Effect of a report or leave message. `started`: a report made another incarnation current. `changed`, `unchanged`:
 * the current one changed or not. `stale`: the report is outdated or of a replaced incarnation.
 */
export type ReportResult = "started" | "changed" | "unchanged" | "stale";

/** Time for which no requests are sent to an endpoint that refused a connection, in milliseconds. */
const connectionRefusedBackoffMs = 250;
/** Maximum number of incarnations that are remembered, the current one included. */
const maxIncarnations = 64;

/** Limit that an incarnation names, in requests per second; without a number if it names none any more. */
export interface NamedLimitDescription {
    readonly endpoint: string;
    readonly perSecond?: number | undefined;
}

/** State of one incarnation. */
interface Incarnation {
    readonly id: string;
    /** Start in Unix milliseconds; `undefined` while no report has stated it. */
    born: number | undefined;
    reportNumber: number;
    slots: number;
    /** Whether it has reported that it drains or leaves. */
    isLeaving: boolean;
    readonly namedLimit: NamedLimit;
    /** Whether its report or health check has named it; what a refused request names may be of another service. */
    isOwn: boolean;
    /** Whether another incarnation has taken its place. */
    isReplaced: boolean;
}

/** State of the local endpoint. */
export class EndpointState {
    private readonly incarnations = new Map<string, Incarnation>();
    private current: Incarnation | undefined;
    private leaving: Incarnation | undefined;
    /** Whether another process than the current incarnation was met at the endpoint's address. */
    private isAbsent = false;
    /** Id of an endpoint of another service that has got the address. */
    private foreignId: string | undefined;
    /** Monotonic time in milliseconds until which no requests are sent after a refused connection. */
    private unreachableUntil = 0;

    constructor(private readonly clock: Clock) {}

    /** Identifier of the current incarnation; `undefined` before the first report. */
    getIncarnationId(): string | undefined {
        return this.current?.id;
    }

    /**
     * Incarnation that was last known to leave; `undefined` if none is. It stays so when another one takes its place, so
     * that a later process of this node doesn't take it for current again.
     */
    getLeavingId(): string | undefined {
        return this.leaving === undefined ? undefined : formatIncarnation(this.leaving);
    }

    /** Concurrency slots of the endpoint; 0 while not known. */
    getSlots(): number {
        return this.current?.slots ?? 0;
    }

    /** Requests a second that the endpoint takes; `undefined` while it names no limit. */
    getNamedLimit(): number | undefined {
        return this.current?.namedLimit.get();
    }

    /** The same limit if an answer has named it lately. */
    getRecentNamedLimit(): number | undefined {
        return this.current?.namedLimit.getRecent(this.clock.readMonotonic());
    }

    /** The limit that the current incarnation names or named last; `undefined` if it has never named one. */
    describeNamedLimit(): NamedLimitDescription | undefined {
        return this.current?.namedLimit.isKnown() === true
            ? { endpoint: formatIncarnation(this.current), perSecond: this.current.namedLimit.get() }
            : undefined;
    }

    /** Why the endpoint gets no requests now; `undefined` when it may get them. */
    findRefusalReason(): "leaving" | "away" | "notKnown" | undefined {
        if (this.current === undefined) {
            return "notKnown";
        }
        if (this.current.isLeaving) {
            return "leaving";
        }
        if (this.isAbsent) {
            return "notKnown";
        }
        return this.clock.readMonotonic() < this.unreachableUntil ? "away" : undefined;
    }

    /** Applies a report of the endpoint. */
    applyReport(report: EndpointReport): ReportResult {
        const incarnation = this.findOrAdd(report.id, report.born);
        if (incarnation === undefined || report.reportNumber <= incarnation.reportNumber) {
            return "stale";
        }
        const wasLeaving = incarnation.isLeaving;
        const slotsBefore = incarnation.slots;
        incarnation.reportNumber = report.reportNumber;
        incarnation.isOwn = true;
        incarnation.slots = report.slots;
        if (report.state === "draining") {
            this.markLeaving(incarnation);
        }
        if (incarnation.isReplaced) {
            return "stale";
        }
        this.unreachableUntil = 0;
        this.isAbsent = false;
        if (incarnation !== this.current) {
            this.setCurrent(incarnation);
            return "started";
        }
        const isSame = incarnation.slots === slotsBefore && incarnation.isLeaving === wasLeaving;
        return isSame ? "unchanged" : "changed";
    }

    /**
     * Applies the message of an incarnation that it is leaving for good. If no incarnation is current, this one becomes
     * it, with the result `changed`. If another one is current, this one counts as replaced, with the result `stale`.
     */
    applyLeave(id: string, born?: number): ReportResult {
        const incarnation = this.findOrAdd(id, born);
        if (incarnation === undefined) {
            return "stale";
        }
        const wasLeaving = incarnation.isLeaving;
        this.markLeaving(incarnation);
        if (this.current === undefined || (this.current.id === id && this.current !== incarnation)) {
            this.setCurrent(incarnation);
        }
        if (incarnation !== this.current) {
            incarnation.isReplaced = true;
            return "stale";
        }
        return wasLeaving ? "unchanged" : "changed";
    }

    /**
     * Records that an incarnation leaves, as one of its answers (by its id) or another node (by what {@link getLeavingId}
     * returned there) says. It doesn't become the current one
     * by that; if it isn't, the result is `stale`.
     */
    recordLeaving(name: string): ReportResult {
        const { id, born } = parseIncarnation(name);
        const incarnation = this.findOrAdd(id, born);
        if (incarnation === undefined) {
            return "stale";
        }
        const wasLeaving = incarnation.isLeaving;
        this.markLeaving(incarnation);
        if (incarnation !== this.current) {
            return "stale";
        }
        return wasLeaving ? "unchanged" : "changed";
    }

    /** Records the limit that an answer of an incarnation names, if any. Returns whether it changed. */
    recordNamedLimit(id: string, perSecond: number | undefined): boolean {
        return this.incarnations.get(id)?.namedLimit.record(perSecond, this.clock.readMonotonic()) ?? false;
    }

    /** Takes over the limit that an earlier process of this node knew of an incarnation. */
    restoreNamedLimit({ endpoint, perSecond }: NamedLimitDescription): void {
        const { id, born } = parseIncarnation(endpoint);
        this.findOrAdd(id, born)?.namedLimit.restore(perSecond, this.clock.readMonotonic());
    }

    /** Makes the incarnation that answered a health check the current one; false if it already was, or is of another service. */
    learnIncarnation(id: string, slots: number | undefined): boolean {
        if (id === this.foreignId) {
            return false;
        }
        const incarnation = this.incarnations.get(id) ?? this.addIncarnation(id, undefined);
        if (slots !== undefined && slots > 0 && incarnation.slots === 0) {
            incarnation.slots = slots;
        }
        incarnation.isOwn = true;
        if (incarnation === this.current) {
            return false;
        }
        this.setCurrent(incarnation);
        return true;
    }

    /**
     * Records that a process with this id answered in the place of the current incarnation. One that is known as the node's own
     * takes its place. Any other may be of another service: the endpoint is absent until a report comes. Returns whether
     * requests can be sent to the process.
     */
    recordOther(id: string): boolean {
        const incarnation = this.incarnations.get(id);
        if (incarnation?.isOwn !== true) {
            this.isAbsent = true;
            return false;
        }
        if (incarnation !== this.current) {
            this.setCurrent(incarnation);
        }
        return this.findRefusalReason() === undefined;
    }

    /** Records that the address has gone to an endpoint of another service, with this id. */
    recordForeign(id: string): void {
        this.foreignId = id;
        this.isAbsent = true;
    }

    /** Records that the endpoint refused a connection, so that it gets no requests for a short time. */
    recordConnectionRefused(): void {
        this.unreachableUntil = this.clock.readMonotonic() + connectionRefusedBackoffMs;
    }

    private markLeaving(incarnation: Incarnation): void {
        incarnation.isLeaving = true;
        if (incarnation === this.current || this.leaving === undefined) {
            this.leaving = incarnation;
        }
    }

    private setCurrent(incarnation: Incarnation): void {
        if (this.current !== undefined) {
            this.current.isReplaced = true;
        }
        incarnation.isReplaced = false;
        this.current = incarnation;
        this.isAbsent = false;
        if (incarnation.isLeaving) {
            this.leaving = incarnation;
        }
        this.unreachableUntil = 0;
    }

    /** Finds the incarnation with an id and a start, or adds it; `undefined` if a later one has the id. */
    private findOrAdd(id: string, born: number | undefined): Incarnation | undefined {
        const known = this.incarnations.get(id);
        if (known === undefined || born === undefined) {
            return known ?? this.addIncarnation(id, born);
        }
        known.born ??= born;
        if (known.born === born) {
            return known;
        }
        return born > known.born ? this.addIncarnation(id, born) : undefined;
    }

    private addIncarnation(id: string, born: number | undefined): Incarnation {
        const incarnation: Incarnation = {
            id,
            born,
            reportNumber: -1,
            slots: 0,
            isLeaving: false,
            namedLimit: new NamedLimit(),
            isOwn: false,
            isReplaced: false,
        };
        this.incarnations.set(id, incarnation);
        if (this.incarnations.size > maxIncarnations) {
            const oldest = [...this.incarnations.values()].find(each => each !== this.current && each !== incarnation);
            this.incarnations.delete(oldest?.id ?? "");
        }
        return incarnation;
    }
}

/** Formats an incarnation as one text; no id of an endpoint contains a space. */
function formatIncarnation({ id, born }: Pick<Incarnation, "id" | "born">): string {
    return born === undefined ? id : `${id} ${born}`;
}

/** Parses what {@link formatIncarnation} returned, or an id alone. */
function parseIncarnation(text: string): Pick<Incarnation, "id" | "born"> {
    const [, id, born] = /^(.+) (\d{1,16})$/.exec(text) ?? [];
    return id === undefined ? { id: text, born: undefined } : { id, born: Number(born) };
}
