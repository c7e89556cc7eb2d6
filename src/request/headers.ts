/** Names of the headers that callers, endpoints and nodes exchange. docs/INTERFACE.md describes each. */
export const headerNames = {
    key: "idempotency-key",
    customer: "turmericspoke-customer",
    class: "turmericspoke-class",
    deadline: "turmericspoke-deadline-ms",
    attempt: "turmericspoke-attempt",
    service: "turmericspoke-service",
    step: "turmericspoke-step",
    run: "turmericspoke-run",
    outcome: "turmericspoke-outcome",
    reason: "turmericspoke-reason",
    retryAfter: "retry-after",
    retryAfterMs: "turmericspoke-retry-after-ms",
    replayed: "turmericspoke-replayed",
    /** Between nodes: the peers' key. */
    peerKey: "turmericspoke-peer-key",
    /** Between nodes: the leg's context, encoded by {@link encodeCallMetadata}. */
    leg: "turmericspoke-leg",
    /** Between nodes: what the answer carries back, encoded by {@link encodeReplyMetadata}. */
    reply: "turmericspoke-reply",
} as const;

/** Headers of the system itself, which it never passes on from one side to the other. */
const ownHeaders: ReadonlySet<string> = new Set(Object.values(headerNames));
/** Headers of one connection, and those that each hop writes anew. */
export const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
/** Headers that the product's own legs set anew, besides those of the connection. */
const hopHeaders: ReadonlySet<string> = new Set([...connectionHeaders, "date", "host"]);

/** Header names and values as flat pairs, the form that undici takes. */
export type HeaderList = readonly string[];

/** Copies the headers that pass through unchanged from Node's raw list. */
export function copyForwardedHeaders(raw: readonly string[]): string[] {
    const passing: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        const name = raw[index]!.toLowerCase();
        if (!ownHeaders.has(name) && !hopHeaders.has(name)) {
            passing.push(name, raw[index + 1]!);
        }
    }
    return passing;
}
