/** Settings of a routed node: one TOML file, checked before anything starts. */
import * as v from "valibot";
import { createIntegerSchema, shortTextSchema } from "../../version/schema.js";
import type { Result } from "../base/result.js";
import { logLevels } from "../telemetry/logger.js";
import type { SettingsError } from "./settingsFile.js";
import { parseSettingsText, readSettingsText } from "./settingsFile.js";

const socketAddressSchema = v.pipe(
    v.string(),
    v.regex(/^[0-9.]+:[0-9]+$/, "IP:PORT"),
    v.transform(text => {
        const [host, port] = text.split(":");
        return { host: host!, port: Number(port) };
    }),
);
/**
 * Decisions that can be switched off, to see what each is worth under a load:
 *
 * - `entryThrottle`: refusing a share of a route's requests while a service behind it is overloaded.
 * - `hedging`: sending an idempotent request to a second instance when its answer is unusually late.
 * - `repeatOrder`: keeping scarce repeats for those of the highest value; without, whoever comes first gets them.
 * - `reportedSlowness`: reporting how slow the local endpoint is; without, nodes rely on their own measurements.
 * - `shedAvoidance`: reporting what the local endpoint turns away with room to spare; without, it is not avoided.
 */
export const switchableDecisions = [
    "entryThrottle",
    "hedging",
    "repeatOrder",
    "reportedSlowness",
    "shedAvoidance",
] as const;
export type SwitchableDecision = typeof switchableDecisions[number];

const nonNegativeNumberSchema = v.pipe(v.number(), v.minValue(0));

const routedSettingsSchema = v.strictObject({
    service: shortTextSchema,
    dataCentre: shortTextSchema,
    /** IP address of the instance. */
    address: shortTextSchema,
    /** Name of the machine, for the log output. */
    machine: shortTextSchema,
    /** Whether the whole system starts for the first time, so that no process ran here before. */
    isFirstStart: v.optional(v.boolean(), false),
    listeners: v.strictObject({
        /** Requests of callers and of the local endpoint. */
        caller: socketAddressSchema,
        /** Readiness probes of the platform. */
        ready: socketAddressSchema,
        /** Reports of the local endpoint. */
        report: socketAddressSchema,
        /** Links of other nodes. */
        peerPort: createIntegerSchema(1, 65_535),
        metricsPort: createIntegerSchema(1, 65_535),
    }),
    /** The local endpoint. */
    endpoint: v.strictObject({ address: socketAddressSchema }),
    /** The service that holds the platform's keyed log. */
    store: v.strictObject({ address: socketAddressSchema }),
    /** Limits that the platform imposes on this node. */
    bounds: v.strictObject({
        /** Time from the request to stop until the process is killed, in seconds. */
        graceSeconds: nonNegativeNumberSchema,
        /** Ratio of retries to requests that is allowed in one window. */
        retryRatio: nonNegativeNumberSchema,
        /** Retries that all nodes together may send in addition, in one window. */
        retrySlack: nonNegativeNumberSchema,
        /** Length of the window in which requests and retries are counted. */
        retryWindowSeconds: v.pipe(v.number(), v.minValue(0.1)),
        /** Length of the window in which a customer's requests are counted. */
        quotaWindowSeconds: v.optional(v.pipe(v.number(), v.minValue(0.1)), 5),
        /** Part by which a customer's limit may be exceeded in one window. */
        quotaOverage: v.optional(nonNegativeNumberSchema, 0.1),
        /** Requests of a customer that may run in one window in addition. */
        quotaSlack: v.optional(nonNegativeNumberSchema, 0),
    }),
    /** What this process may take of its machine. */
    limits: v.optional(
        v.strictObject({
            /** Memory, in millions of bytes. */
            memoryMegabytes: v.optional(v.pipe(v.number(), v.minValue(100)), 250),
            /** Descriptors; without, the limit that the system sets this process. */
            descriptors: v.optional(v.pipe(v.number(), v.minValue(64))),
        }),
        {},
    ),
    /**
     * Whether callers that are refused get reserved times to come back: where the deployment has one of the parts for
     * which it is called for. Without, they get random ones.
     */
    returns: v.optional(
        v.strictObject({
            deploymentParts: v.array(shortTextSchema),
            isReservedFor: v.array(shortTextSchema),
        }),
        { deploymentParts: [], isReservedFor: [] },
    ),
    /** Decisions that this node leaves out; all are on by default. */
    decisions: v.optional(v.strictObject({ off: v.array(v.picklist(switchableDecisions)) }), { off: [] }),
    logging: v.optional(v.strictObject({ level: v.optional(v.picklist(logLevels), "info") }), {}),
});

/** Checked settings with every default filled in. */
export type RoutedSettings = v.InferOutput<typeof routedSettingsSchema>;

/** Reads and checks a settings file. */
export function readRoutedSettings(file: string): Result<RoutedSettings, SettingsError> {
    return readSettingsText(file, text => parseRoutedSettings(file, text));
}

/** Whether callers that are refused get reserved times to come back. */
export function hasReservedReturns({ returns }: RoutedSettings): boolean {
    return returns.isReservedFor.some(part => returns.deploymentParts.includes(part));
}

/** Parses and checks the text of a settings file; `file` is for messages only. */
export function parseRoutedSettings(file: string, text: string): Result<RoutedSettings, SettingsError> {
    return parseSettingsText(routedSettingsSchema, file, text);
}
