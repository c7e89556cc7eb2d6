/**
 * Parses an action from the headers of a caller's request and checks it against the customer's contract.
 *
 * An action is one operation of a customer. All its sends carry the same idempotency key, and all calls that its runs
 * make belong to it.
 */
import { createHash, randomUUID } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "../process/base/result.js";
import { createFailure, createSuccess } from "../process/base/result.js";
import type { Contract } from "../version/contract.js";
import type { ContractState } from "../version/contractStream.js";
import { findContract } from "../version/contractStream.js";
import type { Reason } from "./answer.js";
import { maxKeyLength } from "./callMetadata.js";
import { headerNames } from "./headers.js";
import { computePriority } from "./priority.js";

/** Longest deadline that a caller may set, in milliseconds. */
const maxDeadlineMs = 3_600_000;
/** Action keys consist of visible ASCII characters. */
const keyPattern = /^[\x21-\x7e]+$/;
/** Whole numbers of at most 9 digits. Other nodes reject attempt numbers above 1,000,000, see `callMetadata.ts`. */
const integerPattern = /^[0-9]{1,9}$/;

/** Why the headers of a caller's request were rejected. */
export interface ActionError {
    readonly kind: "badHeader" | "unknownCustomer" | "unknownClass";
    readonly reason: Reason;
    readonly message: string;
}

/**
 * Properties of an action that its calls carry from hop to hop. All are the same at every hop except `key` and
 * `attempt`, which each call that a run makes has of its own.
 */
export interface ActionContext {
    /** The customer and the caller's key, or the derived key of a call; see {@link deriveCallKey}. */
    readonly key: string;
    /** Number of this send by the caller, counted from 1; 0 if the caller did not number it. */
    readonly attempt: number;
    readonly customer: string;
    readonly actionClass: string;
    readonly priority: number;
    readonly resendWindowMs: number;
    /** When this send arrived at its entry node, in milliseconds since the epoch. */
    readonly issuedAt: number;
}

/** An action at its entry node. */
export interface Action extends ActionContext {
    readonly isIdempotent: boolean;
    readonly deadlineMs: number;
    readonly contract: Contract;
}

/** Parses the headers of a caller's request. Fails if a header is missing or malformed, or customer or class is unknown. */
export function parseAction(
    headers: IncomingHttpHeaders,
    contracts: ContractState,
    arrivedAt: Date,
): Result<Action, ActionError> {
    const customer = findSingleHeader(headers, headerNames.customer);
    const className = findSingleHeader(headers, headerNames.class);
    if (customer === undefined || className === undefined) {
        return createBadHeaderFailure(`${headerNames.customer} and ${headerNames.class} are required`);
    }
    const contract = findContract(contracts, customer);
    if (contract === undefined) {
        return createFailure({
            kind: "unknownCustomer",
            reason: "unknownCustomer",
            message: "no contract for this customer",
        });
    }
    const requestClass = Object.hasOwn(contract.classes, className) ? contract.classes[className] : undefined;
    if (requestClass === undefined) {
        return createFailure({
            kind: "unknownClass",
            reason: "unknownClass",
            message: "no such class in the contract",
        });
    }
    const deadlineMs = parseInteger(findSingleHeader(headers, headerNames.deadline), requestClass.deadlineMilliseconds);
    if (deadlineMs === undefined || deadlineMs < 1 || deadlineMs > maxDeadlineMs) {
        return createBadHeaderFailure(`${headerNames.deadline} must be 1 to ${maxDeadlineMs}`);
    }
    const key = findSingleHeader(headers, headerNames.key);
    if (key === undefined && !requestClass.idempotent) {
        return createBadHeaderFailure(`${headerNames.key} is required for a class that is not idempotent`);
    }
    if (key !== undefined && (key.length > maxKeyLength || !keyPattern.test(key))) {
        return createBadHeaderFailure(`${headerNames.key} must be 1 to ${maxKeyLength} visible ASCII characters`);
    }
    // Without a key the action cannot be sent again, so this is its first send.
    const attempt = parseInteger(findSingleHeader(headers, headerNames.attempt), key === undefined ? 1 : 0);
    if (attempt === undefined) {
        return createBadHeaderFailure(`${headerNames.attempt} must be a whole number`);
    }
    const scopedKey = `${customer}/${key ?? randomUUID()}`;
    return createSuccess({
        key: scopedKey,
        attempt,
        customer,
        actionClass: className,
        priority: computePriority(requestClass.worth, scopedKey),
        resendWindowMs: contract.retries.resendWindowSeconds * 1000,
        issuedAt: arrivedAt.getTime(),
        isIdempotent: requestClass.idempotent,
        deadlineMs,
        contract,
    });
}

/**
 * Derives the key of a call that a run makes. Every retry of the run derives the same key. `step` is a header by which
 * the endpoint distinguishes calls of one run that are otherwise equal.
 */
export function deriveCallKey(parentKey: string, service: string, method: string, path: string, step: string): string {
    const digest = createHash("sha256").update([parentKey, service, method, path, step].join("\0")).digest("base64url");
    return `call/${digest}`;
}

/** Hashes service, method, path and body of a request. Equal requests have equal fingerprints. */
export function computeFingerprint(service: string, method: string, path: string, body: Buffer): string {
    return createHash("sha1").update(`${service}\0${method}\0${path}\0`).update(body).digest("base64url");
}

/** Finds the value of a single-valued header; `undefined` if it is missing or empty. */
export function findSingleHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
    const value = headers[name];
    return typeof value === "string" && value !== "" ? value : undefined;
}

function parseInteger(text: string | undefined, fallback: number): number | undefined {
    if (text === undefined) {
        return fallback;
    }
    return integerPattern.test(text) ? Number(text) : undefined;
}

function createBadHeaderFailure(message: string): { readonly ok: false; readonly error: ActionError; } {
    return createFailure({ kind: "badHeader", reason: "badRequest", message });
}
