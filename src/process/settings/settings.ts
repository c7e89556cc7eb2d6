/** Settings of the daemon: one TOML file, checked before anything starts. */
import { isIP } from "node:net";
import * as v from "valibot";
import { createIntegerSchema, shortTextSchema } from "../../version/schema.js";
import type { Result } from "../base/result.js";
import { admissionModes } from "../load/admission.js";
import { logLevels } from "../telemetry/logger.js";
import type { SettingsError } from "./settingsFile.js";
import { parseSettingsText, readSettingsText } from "./settingsFile.js";

const portSchema = createIntegerSchema(1, 65_535);
const addressSchema = v.pipe(v.string(), v.check(text => isIP(text) !== 0, "an IP number"));
const urlSchema = v.pipe(v.string(), v.regex(/^http:\/\/[0-9.:[\]a-f]+$/, "http://IP:PORT"));
const slotSchema = v.pipe(v.string(), v.regex(/^[0-9.:[\]a-f]+:[0-9]+$/, "IP:PORT"));

const keySourceSchema = v.optional(v.union([
    v.strictObject({ file: shortTextSchema }),
    v.strictObject({ environment: shortTextSchema }),
]));

const settingsSchema = v.strictObject({
    service: shortTextSchema,
    dataCentre: shortTextSchema,
    /** IP address that all listeners are bound to. */
    address: addressSchema,
    listeners: v.strictObject({
        /** Requests of outside callers. */
        caller: portSchema,
        /** Calls of the local endpoint to other services. */
        outbound: portSchema,
        /** Requests of other nodes. */
        peer: portSchema,
        /** Control messages of other nodes. */
        control: portSchema,
        /** Metrics, health, status and the endpoint's announcements. */
        admin: portSchema,
    }),
    /** The local endpoint. */
    endpoint: v.strictObject({ url: urlSchema }),
    log: v.strictObject({
        url: urlSchema,
        /** Time limit for one call to the log service. */
        timeoutMilliseconds: v.optional(createIntegerSchema(10, 60_000), 1000),
        /**
         * Interval of reads of the shared log by the designated readers, two nodes in each data centre that are chosen
         * by rendezvous hashing, and by all nodes while the log can't be read.
         */
        pollMilliseconds: v.optional(createIntegerSchema(50, 60_000), 500),
        /** Interval of reads of the shared log by all other nodes. */
        idlePollMilliseconds: v.optional(createIntegerSchema(50, 600_000), 15_000),
        /** Time for which the log service keeps records. */
        retentionSeconds: v.optional(createIntegerSchema(1, 31_536_000), 86_400),
    }),
    /** `seeds`: address and control port of nodes that are asked for newer records while no peer is known. */
    peers: v.optional(v.strictObject({ seeds: v.optional(v.pipe(v.array(slotSchema), v.maxLength(64)), []) }), {
        seeds: [],
    }),
    /** Sources of the shared keys. An interface without a key accepts requests without authentication. */
    keys: v.optional(
        v.strictObject({
            /** Protects status, metrics and the endpoint's announcements. */
            admin: keySourceSchema,
            /** Protects requests and control messages between nodes. */
            peers: keySourceSchema,
            /** Signs the records on the shared log. */
            records: keySourceSchema,
        }),
        {},
    ),
    limits: v.optional(
        v.strictObject({
            maxBodyBytes: v.optional(createIntegerSchema(1024, 67_108_864), 4_194_304),
            /** Most bytes of memory for all bodies of requests; those of over 64 KiB take three quarters of it at most. */
            maxHeldBodyBytes: v.optional(createIntegerSchema(1_048_576, 68_719_476_736), 134_217_728),
            maxHeaderBytes: v.optional(createIntegerSchema(1024, 65_536), 16_384),
            /**
             * Most claims. A claim is this node's record of an action whose key is in a partition that the node owns.
             * Repeated sends of the action are answered from it.
             */
            maxClaims: v.optional(createIntegerSchema(100, 10_000_000), 200_000),
            /** Most bytes of memory for the claims. */
            maxClaimBytes: v.optional(createIntegerSchema(65_536, 1_073_741_824), 16_777_216),
        }),
        {},
    ),
    /** Longest time that a graceful stop waits for requests in progress. */
    drain: v.optional(v.strictObject({ timeoutSeconds: v.optional(createIntegerSchema(1, 3600), 60) }), {}),
    control: v.optional(
        v.strictObject({
            /**
             * Admission control. `adaptive` adapts a concurrency limit and a priority threshold to the load. For
             * comparisons, `static` fixes the limit at the number of concurrent requests that the endpoint announces
             * (`slots`) without a threshold, and `off` admits all.
             */
            admission: v.optional(v.picklist(admissionModes), "adaptive"),
        }),
        {},
    ),
    logging: v.optional(v.strictObject({ level: v.optional(v.picklist(logLevels), "info") }), {}),
});

/** Checked settings with every default filled in. */
export type Settings = v.InferOutput<typeof settingsSchema>;

/** Reads and checks a settings file. */
export function readSettings(file: string): Result<Settings, SettingsError> {
    return readSettingsText(file, text => parseSettings(file, text));
}

/** Parses and checks the text of a settings file; `file` is for messages only. */
export function parseSettings(file: string, text: string): Result<Settings, SettingsError> {
    return parseSettingsText(settingsSchema, file, text);
}
