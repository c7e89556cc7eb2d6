/**
 * A customer's contract: the worth of its requests, which of them are idempotent and how much load it may cause.
 *
 * Operators write contracts in TOML. The parsed form is published on the shared log and enforced by every node.
 */
import { parse as parseToml, TomlError } from "smol-toml";
import * as v from "valibot";
import type { Result } from "../process/base/result.js";
import { createFailure, createSuccess } from "../process/base/result.js";
import { createIntegerSchema, formatAllowed } from "./schema.js";

/** Longest name of a customer or class, in characters. */
export const maxNameLength = 64;
/** Largest contract file, in bytes. */
export const maxContractBytes = 65_536;
/** Largest number of classes in one contract. */
export const maxClasses = 64;

/** Why a contract file is invalid. `key` is the dotted path of the setting. */
export type ContractError =
    | { readonly kind: "tooLarge"; readonly bytes: number; readonly allowed: string; }
    | { readonly kind: "syntax"; readonly line: number; readonly message: string; }
    | { readonly kind: "value"; readonly key: string; readonly value: string; readonly allowed: string; };

const nameSchema = v.pipe(
    v.string(),
    v.regex(/^[a-z][a-z0-9-]*$/, "lower-case letters, digits and hyphens"),
    v.maxLength(maxNameLength),
);

/** One class of requests. */
export const requestClassSchema = v.strictObject({
    /** Importance under overload, from 0 (refused first) to 100 (refused last). */
    worth: createIntegerSchema(0, 100),
    /** Whether a request of this class may run more than once. */
    idempotent: v.boolean(),
    /** Deadline for the whole request if the caller sets none, in milliseconds. */
    deadlineMilliseconds: createIntegerSchema(1, 600_000),
});

/** Schema of a contract. */
export const contractSchema = v.strictObject({
    customer: nameSchema,
    allowance: v.strictObject({
        /** Request rate of the customer over the whole system, in requests per second. */
        requestsPerSecond: createIntegerSchema(0, 1_000_000),
        /** Requests that may arrive at once above the steady rate: the size of the token bucket. */
        burst: createIntegerSchema(1, 1_000_000),
    }),
    retries: v.strictObject({
        /** Largest number of retries for one action over the whole call chain, including the caller's resends. */
        bound: createIntegerSchema(0, 16),
        /** Time within which a caller may resend an action, in seconds. */
        resendWindowSeconds: createIntegerSchema(1, 86_400),
    }),
    classes: v.pipe(
        v.record(nameSchema, requestClassSchema),
        v.check(
            classes => Object.keys(classes).length >= 1 && Object.keys(classes).length <= maxClasses,
            `1 to ${maxClasses} classes`,
        ),
    ),
});

/** A contract that passed {@link parseContract}. */
export type Contract = v.InferOutput<typeof contractSchema>;
/** One class of requests in a contract. */
export type RequestClass = v.InferOutput<typeof requestClassSchema>;

/** Parses a contract from TOML and checks it. */
export function parseContract(text: string): Result<Contract, ContractError> {
    const bytes = Buffer.byteLength(text);
    if (bytes > maxContractBytes) {
        return createFailure({ kind: "tooLarge", bytes, allowed: `at most ${maxContractBytes} bytes` });
    }
    let raw: unknown;
    try {
        raw = parseToml(text);
    }
    catch (error) {
        const line = error instanceof TomlError ? error.line : 0;
        const message = error instanceof Error ? error.message.split("\n")[0]! : String(error);
        return createFailure({ kind: "syntax", line, message });
    }
    return checkContract(raw);
}

/** Checks a contract that is already an object, for instance one read from the shared log. */
export function checkContract(raw: unknown): Result<Contract, ContractError> {
    const parsed = v.safeParse(contractSchema, raw, { abortEarly: true });
    if (parsed.success) {
        return createSuccess(parsed.output);
    }
    const issue = parsed.issues[0];
    return createFailure({
        kind: "value",
        key: v.getDotPath(issue) ?? "contract",
        value: issue.received,
        allowed: formatAllowed(issue),
    });
}

/** Formats a contract error as one line of text. */
export function formatContractError(file: string, error: ContractError): string {
    switch (error.kind) {
        case "tooLarge":
            return `${file}: ${error.bytes} bytes, allowed: ${error.allowed}`;
        case "syntax":
            return `${file}:${error.line}: ${error.message}`;
        case "value":
            return `${file}: ${error.key} = ${error.value}, allowed: ${error.allowed}`;
    }
}
