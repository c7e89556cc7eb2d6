/**
 * Applies the records of one log stream to a state that is the same on every node.
 *
 * The log service, see `connection/logService.ts`, provides the shared log, which consists of streams. The keyed log is
 * a separate interface, see `connection/keyedLog.ts`.
 *
 * A stream contains ordinary records and snapshots. A snapshot is the state after all records up to an offset, so a
 * reader can start from it when older records have expired. A reader uses a snapshot only if no record after it is
 * missing, and never replaces its own state by an older snapshot.
 */
import type { LogPage, LogRecord } from "../connection/logService.js";
import { parseJson } from "./schema.js";

/** Largest record that is parsed, in bytes. Longer records are skipped. */
export const maxRecordBytes = 1_048_576;

/** How the records of a stream change its state. `apply` must be deterministic and must not throw. */
export interface StreamReducer<State, StreamRecord> {
    readonly createState: () => State;
    /** Parses a record from its JSON value; `undefined` if it is malformed. */
    readonly parseRecord: (body: unknown) => StreamRecord | undefined;
    /** Parses a snapshot's state; `undefined` if it is malformed. */
    readonly parseState: (raw: unknown) => State | undefined;
    readonly apply: (state: State, record: StreamRecord, offset: number, at: number) => State;
}

/** State of a stream after all records up to and including the offset `through`, -1 before the first record. */
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

/** Result of {@link applyPage}. */
export interface PageResult<State> {
    /** `undefined` while the state cannot be known: records are missing and no snapshot covers them. */
    readonly current: StreamState<State> | undefined;
    /** Offsets of records that were skipped as malformed or too long. */
    readonly skipped: readonly number[];
    /** Time of the newest snapshot in the page, in milliseconds since the epoch. */
    readonly snapshotAt: number | undefined;
}

/** Formats a state as the body of a snapshot record. */
export function formatSnapshot(current: StreamState<unknown>): string {
    const body: SnapshotBody = { kind: "snapshot", through: current.through, state: current.state };
    return JSON.stringify(body);
}

/** Applies a page of records, read from offset `current.through + 1`, or from 0 without a state. */
export function applyPage<State, StreamRecord>(
    reducer: StreamReducer<State, StreamRecord>,
    current: StreamState<State> | undefined,
    page: LogPage,
): PageResult<State> {
    const skipped: number[] = [];
    let snapshotAt: number | undefined;
    let base = chooseBase(reducer, current, page);
    for (const record of page.records) {
        const body = parseBody(record);
        if (isSnapshot(body)) {
            snapshotAt = Math.max(snapshotAt ?? 0, record.at);
        }
        if (base === undefined || record.offset <= base.through) {
            continue;
        }
        base = applyRecord(reducer, base, record, body, skipped);
    }
    return { current: base, skipped, snapshotAt };
}

function applyRecord<State, StreamRecord>(
    reducer: StreamReducer<State, StreamRecord>,
    base: StreamState<State>,
    record: LogRecord,
    body: unknown,
    skipped: number[],
): StreamState<State> {
    if (isSnapshot(body)) {
        return { through: record.offset, state: base.state };
    }
    const parsed = body === undefined ? undefined : reducer.parseRecord(body);
    if (parsed === undefined) {
        skipped.push(record.offset);
        return { through: record.offset, state: base.state };
    }
    return { through: record.offset, state: reducer.apply(base.state, parsed, record.offset, record.at) };
}

/** Chooses the state to apply records to: the current one if no record after it is missing, else a snapshot. */
function chooseBase<State, StreamRecord>(
    reducer: StreamReducer<State, StreamRecord>,
    current: StreamState<State> | undefined,
    page: LogPage,
): StreamState<State> | undefined {
    const currentOrInitial = current ?? { through: -1, state: reducer.createState() };
    if (currentOrInitial.through + 1 >= page.first) {
        return currentOrInitial;
    }
    let best: StreamState<State> | undefined = current;
    for (const record of page.records) {
        const body = parseBody(record);
        // A snapshot that claims to cover itself or later records is invalid.
        if (!isSnapshot(body) || body.through + 1 < page.first || body.through >= record.offset) {
            continue;
        }
        const state = reducer.parseState(body.state);
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

/** Whether a record's body is a snapshot. The state in it may still be malformed. */
export function isSnapshot(body: unknown): body is SnapshotBody {
    return typeof body === "object" && body !== null
        && (body as SnapshotBody).kind === "snapshot"
        && Number.isSafeInteger((body as SnapshotBody).through);
}
