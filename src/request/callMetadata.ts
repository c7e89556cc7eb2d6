/** Context of one call between two nodes, and what its answer carries back. Both travel as one header each. */
import { Packr } from "msgpackr";
import * as v from "valibot";
import { createIntegerSchema, parseWith, shortTextSchema } from "../version/schema.js";
import type { Answer } from "./answer.js";
import { reasons } from "./answer.js";

/** Highest priority: worth 100 with the highest draw. */
export const maxPriority = 100 * 128 + 127;
/** Longest action key, in characters. */
export const maxKeyLength = 256;

/** Longest key between nodes: the customer and a separator stand before the caller's key. */
const maxScopedKeyLength = maxKeyLength + 65;

const codec = new Packr({ useRecords: false });

const legSchema = v.object({
    /**
     * How the receiver treats the call: `serve` runs it, `own` has it decided by the receiver as owner of the key, and
     * `claimed` runs it for an owner that has recorded the claim.
     */
    mode: v.picklist(["serve", "own", "claimed"]),
    service: shortTextSchema,
    key: v.pipe(v.string(), v.minLength(1), v.maxLength(maxScopedKeyLength)),
    /** Number of this send of the action by its caller; 0 when the caller did not say. */
    attempt: createIntegerSchema(0, 1_000_000),
    customer: shortTextSchema,
    /** Class of this call in the customer's contract. */
    callClass: shortTextSchema,
    /** Class of the action at the start of the chain. */
    actionClass: shortTextSchema,
    isIdempotent: v.boolean(),
    /** Whether the call starts the action; its budget is then the whole bound of the contract. */
    isRoot: v.boolean(),
    /** Worth of the action and its draw, see `request/priority.ts`. */
    priority: createIntegerSchema(0, maxPriority),
    /** Time left for the call, in milliseconds. */
    deadlineMs: v.pipe(v.number(), v.minValue(0), v.maxValue(3_600_000)),
    /** Repeated runs that the callee may spend behind this call. */
    budget: createIntegerSchema(0, 64),
    /** Time within which the action may be sent again, in milliseconds. */
    resendWindowMs: v.pipe(v.number(), v.minValue(0)),
    /** When this send of the action arrived at its entry, in milliseconds since the epoch. */
    issuedAt: v.number(),
    /** Hash of method, path and body; equal requests have equal fingerprints. */
    fingerprint: shortTextSchema,
});

/** Context of one call between two nodes. */
export type CallMetadata = v.InferOutput<typeof legSchema>;

const replySchema = v.object({
    outcome: v.picklist(["completed", "notRun", "unknown"]),
    reason: v.optional(v.picklist(reasons)),
    retryAfterMs: v.optional(v.number()),
    unspent: v.pipe(v.number(), v.minValue(0)),
    threshold: v.pipe(v.number(), v.minValue(0)),
    isReplayed: v.optional(v.boolean()),
});

/** What the answer to a leg carries back beside status, headers and body. */
export type ReplyMetadata = v.InferOutput<typeof replySchema>;

/** Encodes a leg as a header value. */
export function encodeCallMetadata(leg: CallMetadata): string {
    return codec.pack(leg).toString("base64");
}

/** Decodes a header value; `undefined` when it is malformed. */
export function decodeCallMetadata(text: string | undefined): CallMetadata | undefined {
    return parseWith(legSchema, decodeValue(text));
}

/** Encodes a reply as a header value. */
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

/** Decodes a header value; `undefined` when it is malformed. */
export function decodeReplyMetadata(text: string | undefined): ReplyMetadata | undefined {
    return parseWith(replySchema, decodeValue(text));
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
