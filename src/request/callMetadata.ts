/** Metadata of one call between two nodes and of its answer. Each is sent as one header, as base64 of MessagePack. */
import { Packr } from "msgpackr/pack";
import * as v from "valibot";
import { createIntegerSchema, parseWith, shortTextSchema } from "../version/schema.js";
import type { Answer } from "./answer.js";
import { reasons } from "./answer.js";

/** Highest priority: worth 100, with the highest of the 128 tie-break values, 127. See `request/priority.ts`. */
export const maxPriority = 100 * 128 + 127;
/** Longest action key that a caller may send, in characters. */
export const maxKeyLength = 256;

/** Longest key between nodes, in characters: the customer and a separator precede the caller's key. */
const maxScopedKeyLength = maxKeyLength + 65;

const codec = new Packr({ useRecords: false });

const callMetadataSchema = v.object({
    /**
     * How the receiver handles the call: `serve` runs it, `own` lets the receiver decide as owner of the key, and
     * `claimed` runs it for an owner that has recorded the claim. A claim is the owner's record of an action, see
     * `process/claim.ts`.
     */
    mode: v.picklist(["serve", "own", "claimed"]),
    service: shortTextSchema,
    key: v.pipe(v.string(), v.minLength(1), v.maxLength(maxScopedKeyLength)),
    /** Number of this send of the action by its caller, counted from 1; 0 if the caller did not number it. */
    attempt: createIntegerSchema(0, 1_000_000),
    customer: shortTextSchema,
    /** Class of this call in the customer's contract. */
    callClass: shortTextSchema,
    /** Class of the action, as its caller sent it to the entry node. */
    actionClass: shortTextSchema,
    isIdempotent: v.boolean(),
    /** Whether an outside caller made the call, which starts the action. Its budget comes from the contract. */
    isRoot: v.boolean(),
    /** Priority of the action, computed from its worth and key. See `request/priority.ts`. */
    priority: createIntegerSchema(0, maxPriority),
    /** Time left for the call, in milliseconds. */
    deadlineMs: v.pipe(v.number(), v.minValue(0), v.maxValue(3_600_000)),
    /** Retries that are allowed for this call and downstream of it. */
    budget: createIntegerSchema(0, 64),
    /** Time within which the caller may resend the action, in milliseconds. */
    resendWindowMs: v.pipe(v.number(), v.minValue(0)),
    /** When this send of the action arrived at its entry node, in milliseconds since the epoch. */
    issuedAt: v.number(),
    /** Hash of service, method, path and body. Equal requests have equal fingerprints. */
    fingerprint: shortTextSchema,
});

/** Metadata of one call between two nodes. */
export type CallMetadata = v.InferOutput<typeof callMetadataSchema>;

const replyMetadataSchema = v.object({
    outcome: v.picklist(["completed", "notRun", "unknown"]),
    reason: v.optional(v.picklist(reasons)),
    retryAfterMs: v.optional(v.number()),
    unspent: v.pipe(v.number(), v.minValue(0)),
    threshold: v.pipe(v.number(), v.minValue(0)),
    isReplayed: v.optional(v.boolean()),
});

/** Metadata that an answer between nodes carries besides status, headers and body. */
export type ReplyMetadata = v.InferOutput<typeof replyMetadataSchema>;

/** Encodes call metadata as a header value. */
export function encodeCallMetadata(metadata: CallMetadata): string {
    return codec.pack(metadata).toString("base64");
}

/** Decodes call metadata from a header value; `undefined` if it is malformed. */
export function decodeCallMetadata(text: string | undefined): CallMetadata | undefined {
    return parseWith(callMetadataSchema, decodeValue(text));
}

/** Encodes the metadata of an answer as a header value. */
export function encodeReplyMetadata(answer: Answer): string {
    const reply: ReplyMetadata = answer.outcome === "completed"
        ? {
            outcome: "completed",
            unspent: answer.unspent,
            threshold: answer.threshold,
            isReplayed: answer.isReplayed,
        }
        : {
            outcome: answer.outcome,
            reason: answer.reason,
            unspent: answer.unspent,
            threshold: answer.threshold,
            ...(answer.retryAfterMs === undefined ? {} : { retryAfterMs: answer.retryAfterMs }),
        };
    return codec.pack(reply).toString("base64");
}

/** Decodes the metadata of an answer from a header value; `undefined` if it is malformed. */
export function decodeReplyMetadata(text: string | undefined): ReplyMetadata | undefined {
    return parseWith(replyMetadataSchema, decodeValue(text));
}

function decodeValue(text: string | undefined): unknown {
    if (text === undefined) {
        return undefined;
    }
    try {
        return codec.unpack(Buffer.from(text, "base64"));
    }
    catch {
        return undefined;
    }
}
