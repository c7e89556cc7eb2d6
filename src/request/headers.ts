/** Names of the headers that callers, endpoints and nodes exchange. docs/INTERFACE.md describes them. */
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
    /** Between nodes: the key that authenticates peers. */
    peerKey: "turmericspoke-peer-key",
    /** Between nodes: metadata of the call, encoded by {@link encodeCallMetadata}. */
    leg: "turmericspoke-leg",
    /** Between nodes: metadata of the answer, encoded by {@link encodeReplyMetadata}. */
    reply: "turmericspoke-reply",
} as const;

/** Headers that each node reads and writes itself. They are never copied from a received message to a sent one. */
const productHeaders: ReadonlySet<string> = new Set(Object.values(headerNames));
/** Hop-by-hop headers, and end-to-end headers such as Content-Length that each hop writes itself. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
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
/** Headers that are not forwarded between nodes because each hop writes them itself. */
const rewrittenHeaders: ReadonlySet<string> = new Set([...hopByHopHeaders, "date", "host"]);

/** Header names and values as flat pairs, the form that undici accepts. */
export type HeaderList = readonly string[];

/** Copies the headers to forward unchanged from Node's raw header list. */
export function copyForwardedHeaders(raw: readonly string[]): string[] {
    const forwarded: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        const name = raw[index]!.toLowerCase();
        if (!productHeaders.has(name) && !rewrittenHeaders.has(name)) {
            forwarded.push(name, raw[index + 1]!);
        }
    }
    return forwarded;
}
