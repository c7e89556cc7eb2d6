/** Local replica of one log stream's state. The shared log and peers update it; its offset never decreases. */
import type { LogError, LogService } from "../connection/logService.js";
import type { Result } from "../process/base/result.js";
import { createFailure, createSuccess } from "../process/base/result.js";
import type { StreamReducer, StreamState } from "./streamReducer.js";
import { applyPage } from "./streamReducer.js";

/** Largest number of reads in one catch-up. The next catch-up continues from there. */
const maxReadsPerCatchUp = 100;

/** Why a replica could not catch up: the shared log could not be read, or records that it needs have expired. */
export type ReplicaError =
    | { readonly kind: "log"; readonly error: LogError; }
    | { readonly kind: "gap"; readonly message: string; };

/** Called after each change of the state. */
export type ReplicaListener<State> = (current: StreamState<State>) => void;

/** Replica of one stream's state. */
export class Replica<State, StreamRecord> {
    private current: StreamState<State> | undefined;
    private snapshotAt: number | undefined;
    private readonly listeners: ReplicaListener<State>[] = [];

    constructor(
        readonly stream: string,
        private readonly reducer: StreamReducer<State, StreamRecord>,
        /** Called with the offset of each record that is skipped as malformed. */
        private readonly reportSkipped: (stream: string, offset: number) => void,
    ) {}

    /** Returns the state of the stream; `undefined` while not known. */
    get(): StreamState<State> | undefined {
        return this.current;
    }

    /** Returns the offset of the last record applied to the state; -1 while not known. */
    getAppliedOffset(): number {
        return this.current?.through ?? -1;
    }

    /** Returns the time of the newest snapshot read from the shared log, in milliseconds since the epoch. */
    getSnapshotTime(): number | undefined {
        return this.snapshotAt;
    }

    /** Registers a listener for changes of the state. */
    addListener(listener: ReplicaListener<State>): void {
        this.listeners.push(listener);
    }

    /** Reads the shared log to its end and applies its records. Returns the applied offset. */
    async catchUp(log: LogService): Promise<Result<number, ReplicaError>> {
        for (let reads = 0; reads < maxReadsPerCatchUp; reads += 1) {
            const from = this.getAppliedOffset() + 1;
            const read = await log.read(this.stream, from);
            if (!read.ok) {
                return createFailure({ kind: "log", error: read.error });
            }
            const result = applyPage(this.reducer, this.current, read.value);
            this.snapshotAt = result.snapshotAt ?? this.snapshotAt;
            for (const offset of result.skipped) {
                this.reportSkipped(this.stream, offset);
            }
            if (result.current === undefined) {
                return createFailure({
                    kind: "gap",
                    message: "records of the shared log have expired and no snapshot covers them",
                });
            }
            this.setIfNewer(result.current);
            if (result.current.through + 1 >= read.value.next || read.value.records.length === 0) {
                break;
            }
        }
        return createSuccess(this.getAppliedOffset());
    }

    /** Adopts a peer's state if it is valid and newer than the local one. Returns whether it was adopted. */
    adoptIfNewer(through: number, raw: unknown): boolean {
        if (!Number.isSafeInteger(through) || through <= this.getAppliedOffset()) {
            return false;
        }
        const state = this.reducer.parseState(raw);
        if (state === undefined) {
            return false;
        }
        this.setIfNewer({ through, state });
        return true;
    }

    /** Sets the state and calls the listeners, unless the current state is as new. */
    private setIfNewer(next: StreamState<State>): void {
        if (this.current !== undefined && next.through <= this.current.through) {
            return;
        }
        this.current = next;
        for (const listener of this.listeners) {
            listener(next);
        }
    }
}
