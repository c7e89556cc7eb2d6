/**
 * The operator's configuration: one contract for each route, the services, and limits on callers' requests.
 *
 * A route's contract states whether its requests may be retried, the priority of the route, how long a caller may wait
 * and at how many instances one request may run. Times are in milliseconds.
 */
import * as v from "valibot";
import type { Result } from "../process/base/result.js";
import { createFailure, createSuccess } from "../process/base/result.js";
import type { CustomerEntry } from "./customer.js";
import { createIntegerSchema, formatAllowed, parseJson } from "./schema.js";

/** Whether a request of a route may run more than once. */
export type Repetition = "idempotent" | "atMostOnce";

/** Words for {@link Repetition} in a configuration. Uploads have large bodies, downloads large answers. */
const repetitionsByWord: ReadonlyMap<string, Repetition> = new Map([
    ["idempotent", "idempotent"],
    ["atMostOnce", "atMostOnce"],
    ["atMostOnceUpload", "atMostOnce"],
    ["idempotentDownload", "idempotent"],
]);

/** One service of a route and its share of the route's requests. */
export interface ServiceShare {
    readonly service: string;
    /** Weight relative to the sum of all weights of the route. */
    readonly weight: number;
}

/** Contract of one route. A customer's contract is a separate type, see `contract.ts`. */
export interface RouteContract {
    readonly name: string;
    readonly host: string;
    /** Path prefix of the requests; begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly repetition: Repetition;
    /** Longest time that a caller waits for its answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency that answers should meet, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Number of runs that one request may have, retries and hedged requests included. */
    readonly maxRuns: number;
    /**
     * Priority among the routes; 0 is the most urgent. A lower number is more urgent, unlike the priority of an action
     * in `request/priority.ts`.
     */
    readonly priority: number;
    /** Whether requests need no key of a customer. */
    readonly isPublic: boolean;
    readonly shares: readonly ServiceShare[];
}

/** Configuration of one service. */
export interface ServiceConfiguration {
    readonly name: string;
    readonly healthPath: string;
    readonly maxConnections: number;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface Configuration {
    readonly version: number;
    readonly routes: readonly RouteContract[];
    readonly services: ReadonlyMap<string, ServiceConfiguration>;
    readonly limits: CallerLimits;
    /** Whether requests need a customer's key. They do where customers are listed, even if the list is empty. */
    readonly needsKeys: boolean;
    readonly customers: readonly CustomerEntry[];
    /** Words that this build does not know, and what is assumed in their place. The configuration is in force. */
    readonly warnings: readonly ConfigurationWarning[];
}

/** A word in a route that this build does not know. */
export interface ConfigurationWarning {
    /** Name of the route. */
    readonly route: string;
    readonly key: string;
    readonly word: string;
    /** What is assumed instead. */
    readonly assumed: string;
}

/** Why a text is not a valid configuration. `key` is the dotted path of the invalid value. */
export type ConfigurationError =
    | { readonly kind: "syntax"; }
    | { readonly kind: "value"; readonly key: string; readonly allowed: string; };

const nameSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const millisecondsSchema = v.pipe(v.number(), v.minValue(0), v.maxValue(86_400_000));
const nonNegativeNumberSchema = v.pipe(v.number(), v.minValue(0));
const shareSchema = v.object({ service: nameSchema, weight: nonNegativeNumberSchema });
const routeSchema = v.object({
    name: nameSchema,
    host: nameSchema,
    pathPrefix: v.pipe(v.string(), v.regex(/^\/(.*\/)?$/, "a path that begins and ends with a slash")),
    repetition: v.pipe(v.string(), v.maxLength(256)),
    timeoutMs: v.optional(millisecondsSchema, 60_000),
    targetLatencyMs: v.optional(millisecondsSchema, 60_000),
    maxRuns: v.optional(createIntegerSchema(1, 1000), 1),
    priority: v.optional(createIntegerSchema(0, 1_000_000), 0),
    isPublic: v.nullish(v.boolean(), false),
    service: v.nullish(nameSchema),
    shares: v.nullish(v.pipe(v.array(shareSchema), v.minLength(1))),
});
const serviceSchema = v.object({
    name: nameSchema,
    healthPath: v.optional(v.string(), "/"),
    maxConnections: v.optional(createIntegerSchema(1, 10_000_000), 10_000_000),
});
const limitsSchema = v.object({
    maxHeaderBytes: v.optional(createIntegerSchema(0, Number.MAX_SAFE_INTEGER), 65_536),
    maxBodyBytes: v.optional(createIntegerSchema(0, Number.MAX_SAFE_INTEGER), 67_108_864),
    headerTimeoutMs: v.optional(millisecondsSchema, 10_000),
    idleTimeoutMs: v.optional(millisecondsSchema, 15_000),
});
const customerSchema = v.object({
    name: nameSchema,
    keys: v.nullish(v.array(v.pipe(v.string(), v.minLength(1), v.maxLength(4096))), []),
    priority: v.nullish(createIntegerSchema(0, 1_000_000)),
    requestsPerSecond: v.nullish(nonNegativeNumberSchema, 0),
    burst: v.nullish(nonNegativeNumberSchema, 0),
});
const configurationSchema = v.object({
    version: createIntegerSchema(0, Number.MAX_SAFE_INTEGER),
    routes: v.array(routeSchema),
    services: v.array(serviceSchema),
    limits: v.optional(limitsSchema, {}),
    customers: v.nullish(v.array(customerSchema)),
});

/** Parses a configuration from JSON. It is invalid if a route names an unknown service or has no positive weight. */
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
    const warnings: ConfigurationWarning[] = [];
    for (const { service, shares, repetition: word, ...route } of parsed.output.routes) {
        const routeShares = shares ?? (service === undefined || service === null ? [] : [{ service, weight: 1 }]);
        const hasOnlyKnownServices = routeShares.every(share => services.has(share.service));
        if (!hasOnlyKnownServices || routeShares.reduce((sum, share) => sum + share.weight, 0) <= 0) {
            return createFailure({
                kind: "value",
                key: `routes.${route.name}`,
                allowed: "known services with a positive sum of weights",
            });
        }
        // Treating an unknown kind as not idempotent can cost a retry, but never a second run.
        const repetition = repetitionsByWord.get(word) ?? "atMostOnce";
        if (!repetitionsByWord.has(word)) {
            warnings.push({ route: route.name, key: "repetition", word, assumed: repetition });
        }
        routes.push({ ...route, repetition, host: route.host.toLowerCase(), shares: routeShares });
    }
    const needsKeys = Array.isArray(parsed.output.customers);
    const customers = (parsed.output.customers ?? []).map(createCustomerEntry);
    return createSuccess({ version, routes, services, limits, needsKeys, customers, warnings });
}

/** A rate of 0 means that the rate is not limited. */
function createCustomerEntry(customer: v.InferOutput<typeof customerSchema>): CustomerEntry {
    const { name, keys, priority, requestsPerSecond, burst } = customer;
    const quota = requestsPerSecond === 0 ? undefined : { requestsPerSecond, burst };
    return { name, keys, priority: priority ?? undefined, quota };
}

/** Formats a warning as one line. */
export function formatConfigurationWarning({ route, key, word, assumed }: ConfigurationWarning): string {
    return `routes.${route}.${key}: unknown word ${JSON.stringify(word)}, treated as ${assumed}`;
}

/** Formats a configuration error as one line. */
export function formatConfigurationError(error: ConfigurationError): string {
    return error.kind === "syntax" ? "the configuration is not JSON" : `${error.key}: allowed: ${error.allowed}`;
}
