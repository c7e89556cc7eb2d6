/**
 * The operator's configuration: one contract for each route, the services, and what callers may send.
 *
 * A route's contract says what may be repeated, how urgent the route is, how long a caller may be kept waiting and at how many
 * instances one request may be tried. Times are in milliseconds.
 */
import * as v from "valibot";
import type { Result } from "../process/result.js";
import { createFailure, createSuccess } from "../process/result.js";
import { createIntegerSchema, formatAllowed, parseJson } from "./schema.js";

/** Whether a request of a route may run more than once. */
export const repetitions = ["idempotent", "atMostOnce"] as const;
/** One of {@link repetitions}. */
export type Repetition = (typeof repetitions)[number];

/** One service of a route and its part of the route's requests. */
export interface ServiceShare {
    readonly service: string;
    /** Part of the sum of all weights of the route. */
    readonly weight: number;
}

/** Contract of one route. */
export interface RouteContract {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly repetition: Repetition;
    /** Longest time that a caller is kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer has its full worth, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Instances that one request may be sent to. */
    readonly maxRuns: number;
    /** Rank among the routes; 0 is the most urgent. */
    readonly priority: number;
    readonly shares: readonly ServiceShare[];
}

/** What the configuration says of a service. */
export interface ServiceFacts {
    readonly name: string;
    readonly healthPath: string;
    readonly maxConnections: number;
}

/** What callers may send. */
export interface CallerLimits {
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface Configuration {
    readonly version: number;
    readonly routes: readonly RouteContract[];
    readonly services: ReadonlyMap<string, ServiceFacts>;
    readonly limits: CallerLimits;
}

/** Why a text is not a configuration. */
export type ConfigurationError =
    | { readonly kind: "syntax"; }
    | { readonly kind: "value"; readonly key: string; readonly allowed: string; };

const nameSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const millisecondsSchema = v.pipe(v.number(), v.minValue(0), v.maxValue(86_400_000));
const shareSchema = v.object({ service: nameSchema, weight: v.pipe(v.number(), v.minValue(0)) });
const routeSchema = v.object({
    name: nameSchema,
    host: nameSchema,
    pathPrefix: v.pipe(v.string(), v.regex(/^\/(.*\/)?$/, "a path that begins and ends with a slash")),
    repetition: v.picklist(repetitions),
    timeoutMs: v.optional(millisecondsSchema, 60_000),
    targetLatencyMs: v.optional(millisecondsSchema, 60_000),
    maxRuns: v.optional(createIntegerSchema(1, 1000), 1),
    priority: v.optional(createIntegerSchema(0, 1_000_000), 0),
    service: v.nullish(nameSchema),
    shares: v.nullish(v.pipe(v.array(shareSchema), v.minLength(1))),
});
const serviceSchema = v.object({
    name: nameSchema,
    healthPath: v.optional(v.string(), "/"),
    maxConnections: v.optional(createIntegerSchema(1, 10_000_000), 10_000_000),
});
const limitsSchema = v.object({
    maxBodyBytes: v.optional(createIntegerSchema(0, Number.MAX_SAFE_INTEGER), 67_108_864),
    headerTimeoutMs: v.optional(millisecondsSchema, 10_000),
    idleTimeoutMs: v.optional(millisecondsSchema, 15_000),
});
const configurationSchema = v.object({
    version: createIntegerSchema(0, Number.MAX_SAFE_INTEGER),
    routes: v.array(routeSchema),
    services: v.array(serviceSchema),
    limits: v.optional(limitsSchema, {}),
});

/** Parses the text of a configuration. Routes that name an unknown service make it invalid. */
export function parseConfiguration(text: string): Result<Configuration, ConfigurationError> {
    const raw = parseJson(text);
    if (raw === undefined) {
        return createFailure({ kind: "syntax" });
    }
    const parsed = v.safeParse(configurationSchema, raw, { abortEarly: true });
    if (!parsed.success) {
        const issue = parsed.issues[0];
        return createFailure({
            kind: "value",
            key: v.getDotPath(issue) ?? "configuration",
            allowed: formatAllowed(issue),
        });
    }
    const { version, limits } = parsed.output;
    const services = new Map(parsed.output.services.map(service => [service.name, service]));
    const routes: RouteContract[] = [];
    for (const { service, shares, ...route } of parsed.output.routes) {
        const all = shares ?? (service === undefined || service === null ? [] : [{ service, weight: 1 }]);
        const isKnown = all.every(share => services.has(share.service));
        if (!isKnown || all.reduce((sum, share) => sum + share.weight, 0) <= 0) {
            return createFailure({ kind: "value", key: `routes.${route.name}`, allowed: "a known service" });
        }
        routes.push({ ...route, host: route.host.toLowerCase(), shares: all });
    }
    return createSuccess({ version, routes, services, limits });
}

/** Formats a configuration error as one line. */
export function formatConfigurationError(error: ConfigurationError): string {
    return error.kind === "syntax" ? "not JSON" : `${error.key}: allowed is ${error.allowed}`;
}
