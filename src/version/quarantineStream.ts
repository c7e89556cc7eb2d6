/** The `quarantine` stream: requests that crashed endpoints and are refused by all nodes for a limited time. */
import * as v from "valibot";
import { parseWith, shortTextSchema } from "./schema.js";
import type { StreamReducer } from "./streamReducer.js";

/** Name of the stream on the log service. */
export const quarantineStreamName = "quarantine";
/** Largest number of requests in quarantine at the same time. Beyond it, the oldest entries are dropped. */
const maxEntries = 1000;

const recordSchema = v.variant("kind", [
    v.object({
        kind: v.literal("quarantine"),
        fingerprint: shortTextSchema,
        service: shortTextSchema,
        /** End of the quarantine, in milliseconds since the epoch. */
        until: v.number(),
    }),
    v.object({ kind: v.literal("release"), fingerprint: shortTextSchema, operator: shortTextSchema }),
]);

/** A record of the stream. */
export type QuarantineRecord = v.InferOutput<typeof recordSchema>;

const entrySchema = v.object({ fingerprint: v.string(), service: v.string(), until: v.number() });
const stateSchema = v.object({ entries: v.array(entrySchema) });

/** State of the stream, oldest entry first. */
export type QuarantineState = v.InferOutput<typeof stateSchema>;

/** Reducer of the stream. */
export const quarantineReducer: StreamReducer<QuarantineState, QuarantineRecord> = {
    createState: () => ({ entries: [] }),
    parseRecord: body => parseWith(recordSchema, body),
    parseState: raw => parseWith(stateSchema, raw),
    apply: applyQuarantineRecord,
};

function applyQuarantineRecord(state: QuarantineState, record: QuarantineRecord): QuarantineState {
    const others = state.entries.filter(entry => entry.fingerprint !== record.fingerprint);
    if (record.kind === "release") {
        return { entries: others };
    }
    const { fingerprint, service, until } = record;
    return { entries: [...others, { fingerprint, service, until }].slice(-maxEntries) };
}

/** Formats a record for the shared log. */
export function formatQuarantineRecord(record: QuarantineRecord): string {
    return JSON.stringify(record);
}
