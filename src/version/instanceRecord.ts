/** Record by which a node tells the others of itself, on the keyed log and on links. The key is the address. */
import * as v from "valibot";
import { createIntegerSchema, parseJson, parseWith, shortTextSchema } from "./schema.js";

const recordSchema = v.object({
    /** IP number of the instance. */
    address: shortTextSchema,
    /** Port of the node's links. */
    port: createIntegerSchema(1, 65_535),
    service: shortTextSchema,
    dataCentre: shortTextSchema,
    /** Requests that the endpoint runs at once; 0 while that isn't known. */
    slots: createIntegerSchema(0, 1_000_000),
    /** Whether the endpoint takes work. */
    isTaking: v.boolean(),
});

/** One instance as its own node describes it. */
export type InstanceRecord = v.InferOutput<typeof recordSchema>;

/** Parses a record; `undefined` when it is malformed. */
export function parseInstanceRecord(text: string): InstanceRecord | undefined {
    return parseWith(recordSchema, parseJson(text));
}

/** Formats a record. */
export function formatInstanceRecord(record: InstanceRecord): string {
    return JSON.stringify(record);
}
