/**
 * Fold of one log stream into a state that is the same on every node.
 *
 * A stream holds ordinary records and snapshots. A snapshot states the fold of every record through an offset, so that a
 * reader can start although older records have expired. A reader uses a snapshot only if it holds every record after it,
 * and a reader that has a state already never goes back to a snapshot.
 */
import type { LogPage, LogRecord } from "../connection/logService.js";
import { parseJson } from "./schema.js";

/** Largest record that a fold looks at, in bytes; longer ones are skipped. */
export const maxRecordBytes = 1_048_576;

/** How a stream's records change its state. `apply` must be deterministic and must not throw. */
export interface StreamReducer<State, Record> {
    readonly createState: () => State;
    /** Parses a record's body; `undefined` when it is malformed. */
    readonly parseRecord: (body: unknown) => Record | undefined;
    /** Parses a snapshot's state; `undefined` when it is malformed. */
    readonly parseState: (raw: unknown) => State | undefined;
    readonly apply: (state: State, record: Record, offset: number, at: number) => State;
}

/** State of a stream through an offset. `through` is -1 before the first record. */
export interface StreamState<State> {
    readonly through: number;
    readonly state: State;
}

/** Body of a snapshot record. */
export interface SnapshotBody {
    readonly kind: "snapshot";
    readonly through: number;
    readonly state: unknown;
}

/** Outcome of {@link applyPage}. */
export interface PageResult<State> {
    /** `undefined` while the stream's state can't be known: records are missing and no snapshot covers them. */
    readonly current: StreamState<State> | undefined;
    /** Records that were skipped as malformed or too long. */
    readonly skipped: readonly number[];
    /** Time of the newest usable snapshot seen in the page, in milliseconds since the epoch. */
    readonly snapshotAt: number | undefined;
}

/** Formats a snapshot record. */
export function formatSnapshot(current: StreamState<unknown>): string {
    const body: SnapshotBody = { kind: "snapshot", through: current.through, state: current.state };
    return JSON.stringify(body);
}

/** Folds a page that was read from `current.through + 1` (or from 0 without a state) on. */
export function applyPage<State, Record>(
    rules: StreamReducer<State, Record>,
    current: StreamState<State> | undefined,
    page: LogPage,
): PageResult<State> {
    const skipped: number[] = [];
    let snapshotAt: number | undefined;
    let base = findStart(rules, current, page);
    for (const record of page.records) {
        const body = parseBody(record);
        if (isSnapshot(body)) {
            snapshotAt = Math.max(snapshotAt ?? 0, record.at);
        }
        if (base === undefined || record.offset <= base.through) {
            continue;
        }
        base = applyRecord(rules, base, record, body, skipped);
    }
    return { current: base, skipped, snapshotAt };
}

function applyRecord<State, Record>(
    rules: StreamReducer<State, Record>,
    base: StreamState<State>,
    record: LogRecord,
    body: unknown,
    skipped: number[],
): StreamState<State> {
    if (isSnapshot(body)) {
        return { through: record.offset, state: base.state };
    }
    const parsed = body === undefined ? undefined : rules.parseRecord(body);
    if (parsed === undefined) {
        skipped.push(record.offset);
        return { through: record.offset, state: base.state };
    }
    return { through: record.offset, state: rules.apply(base.state, parsed, record.offset, record.at) };
}

/** Chooses what to fold on: the state at hand if nothing is missing after it, else the newest snapshot that is complete. */
function findStart<State, Record>(
    rules: StreamReducer<State, Record>,
    current: StreamState<State> | undefined,
    page: LogPage,
): StreamState<State> | undefined {
    const own = current ?? { through: -1, state: rules.createState() };
    if (own.through + 1 >= page.first) {
        return own;
    }
    let best: StreamState<State> | undefined = current;
    for (const record of page.records) {
        const body = parseBody(record);
        if (!isSnapshot(body) || body.through + 1 < page.first || body.through >= record.offset) {
            continue;
        }
        const state = rules.parseState(body.state);
        if (state !== undefined && body.through > (best?.through ?? -1)) {
            best = { through: body.through, state };
        }
    }
    return best !== undefined && best.through + 1 >= page.first ? best : undefined;
}

function parseBody(record: LogRecord): unknown {
    if (Buffer.byteLength(record.body) > maxRecordBytes) {
        return undefined;
    }
    return parseJson(record.body);
}

/** Whether a record's body is a snapshot; its state may still be malformed. */
export function isSnapshot(body: unknown): body is SnapshotBody {
    return typeof body === "object" && body !== null
        && (body as SnapshotBody).kind === "snapshot"
        && Number.isSafeInteger((body as SnapshotBody).through);
}
