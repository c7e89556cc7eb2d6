/** This node's copy of one log stream's state. It only moves forward, whether it learns from the log or from a peer. */
import type { LogError, LogService } from "../connection/logService.js";
import type { Result } from "../process/result.js";
import { createFailure, createSuccess } from "../process/result.js";
import type { StreamReducer, StreamState } from "./streamReducer.js";
import { applyPage } from "./streamReducer.js";

/** Most reads in one catch-up; the next one goes on. */
const maxReads = 100;

/** Why a replica could not catch up. */
export type ReplicaError =
    | { readonly kind: "log"; readonly error: LogError; }
    | { readonly kind: "gap"; readonly message: string; };

/** Told after each change of the state. */
export type ReplicaListener<State> = (current: StreamState<State>) => void;

/** Copy of one stream's state. */
export class Replica<State, Record> {
    private current: StreamState<State> | undefined;
    private snapshotAt: number | undefined;
    private readonly listeners: ReplicaListener<State>[] = [];

    constructor(
        readonly stream: string,
        private readonly rules: StreamReducer<State, Record>,
        /** Told the offset of each record that was skipped as malformed. */
        private readonly reportSkipped: (stream: string, offset: number) => void,
    ) {}

    /** State of the stream; `undefined` while it is not known. */
    get(): StreamState<State> | undefined {
        return this.current;
    }

    /** Offset through which the stream is folded; -1 while it is not known. */
    getAppliedOffset(): number {
        return this.current?.through ?? -1;
    }

    /** Time of the newest snapshot seen on the log, in milliseconds since the epoch. */
    getSnapshotTime(): number | undefined {
        return this.snapshotAt;
    }

    /** Registers a listener. */
    addListener(listener: ReplicaListener<State>): void {
        this.listeners.push(listener);
    }

    /** Reads the log until its end. */
    async catchUp(log: LogService): Promise<Result<number, ReplicaError>> {
        for (let reads = 0; reads < maxReads; reads += 1) {
            const from = this.getAppliedOffset() + 1;
            const read = await log.read(this.stream, from);
            if (!read.ok) {
                return createFailure({ kind: "log", error: read.error });
            }
            const result = applyPage(this.rules, this.current, read.value);
            this.snapshotAt = result.snapshotAt ?? this.snapshotAt;
            for (const offset of result.skipped) {
                this.reportSkipped(this.stream, offset);
            }
            if (result.current === undefined) {
                return createFailure({ kind: "gap", message: "records have expired and no snapshot covers them" });
            }
            this.set(result.current);
            if (result.current.through + 1 >= read.value.next || read.value.records.length === 0) {
                break;
            }
        }
        return createSuccess(this.getAppliedOffset());
    }

    /** Takes over a peer's state if it is newer. Returns whether it was. */
    adoptIfNewer(through: number, raw: unknown): boolean {
        if (!Number.isSafeInteger(through) || through <= this.getAppliedOffset()) {
            return false;
        }
        const state = this.rules.parseState(raw);
        if (state === undefined) {
            return false;
        }
        this.set({ through, state });
        return true;
    }

    private set(next: StreamState<State>): void {
        if (this.current !== undefined && next.through <= this.current.through) {
            return;
        }
        this.current = next;
        for (const listener of this.listeners) {
            listener(next);
        }
    }
}
