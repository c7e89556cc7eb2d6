/**
 * Record that a node publishes about its instance, on the keyed log and over links. Its key is the address. Whatever way
 * records of an address take, the one with the highest revision is the newest.
 */
import { isIP } from "node:net";
import * as v from "valibot";
import { createIntegerSchema, parseJson, parseWith, shortTextSchema } from "./schema.js";

/**
 * Largest revision. Revisions begin with a wall-clock time in microseconds, so no node reaches it; it leaves room above for a node
 * to make its record newer than any other that is taken.
 */
const maxRevision = 2 ** 52;

const recordSchema = v.object({
    /** IP address of the instance. Anything else can't be dialled, and a runtime may throw on it. */
    address: v.pipe(v.string(), v.check(text => isIP(text) !== 0, "an IP address")),
    /** Port on which the node accepts links. */
    port: createIntegerSchema(1, 65_535),
    service: shortTextSchema,
    dataCentre: shortTextSchema,
    /** Concurrency limit of the endpoint, in requests; 0 while not known. Not related to the slots of nodes. */
    slots: createIntegerSchema(0, 1_000_000),
    /** Whether the endpoint accepts requests. */
    isTaking: v.boolean(),
    /** Id of the endpoint's process that was last known to leave; it gets no requests any more. */
    leavingEndpoint: v.optional(shortTextSchema),
    /**
     * The limit that the endpoint's process names or named last; `perSecond` (requests from all nodes together) is missing if
     * it names none any more.
     */
    namedLimit: v.optional(v.object({
        endpoint: shortTextSchema,
        perSecond: v.optional(v.pipe(v.number(), v.minValue(0))),
    })),
    /** Rises with each change of the record, also over restarts of the node. */
    revision: v.optional(createIntegerSchema(0, maxRevision), 0),
});

/** One instance as described by its own node. */
export type InstanceRecord = v.InferOutput<typeof recordSchema>;

/** What a node knows of its own instance; the revision is added when it is published. */
export type InstanceDescription = Omit<InstanceRecord, "revision">;

/** Parses a record; `undefined` when it is malformed. */
export function parseInstanceRecord(text: string): InstanceRecord | undefined {
    return parseWith(recordSchema, parseJson(text));
}

/** Formats a record as JSON. Equal records have the same text, whoever formats them. */
export function formatInstanceRecord(record: InstanceRecord): string {
    const { address, port, service, dataCentre, slots, isTaking, leavingEndpoint, revision } = record;
    const namedLimit = record.namedLimit && {
        endpoint: record.namedLimit.endpoint,
        perSecond: record.namedLimit.perSecond,
    };
    return JSON.stringify({
        address,
        port,
        service,
        dataCentre,
        slots,
        isTaking,
        leavingEndpoint,
        namedLimit,
        revision,
    });
}
