/** Shared keys, read at the start from files or environment variables. They are compared in constant time and never logged. */
import { createHash, createHmac, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";
import type { Result } from "./result.js";
import { createFailure, createSuccess } from "./result.js";

/** Shortest key, in characters. */
export const minKeyLength = 16;
/** Longest key, in characters. */
const maxKeyLength = 1024;
/** What a key is for. */
export const keyNames = ["admin", "peers", "records"] as const;
/** One of {@link keyNames}. */
export type KeyName = (typeof keyNames)[number];

/** Where a key is read from: a file or an environment variable. */
export interface KeySource {
    readonly file?: string | undefined;
    readonly environment?: string | undefined;
}

/** Why a key can't be used. */
export type KeyError =
    | { readonly kind: "unreadable"; readonly source: string; readonly message: string; }
    | { readonly kind: "length"; readonly source: string; };

/** Keys of a process; a missing one leaves its interface open. */
export type Keys = { readonly [Name in KeyName]?: SecretKey | undefined; };

/** A shared key. Its text is a private field, so that neither JSON nor a debugger's print shows it. */
export class SecretKey {
    readonly #text: string;

    constructor(text: string) {
        this.#text = text;
    }

    /** Value of an `authorization` header that carries this key. */
    formatBearer(): string {
        return `Bearer ${this.#text}`;
    }

    /** Whether a header value is this key's; takes the same time whatever the value is. */
    isValidBearer(value: string | undefined): boolean {
        return isEqual(value ?? "", this.formatBearer());
    }

    /** Signs a text by HMAC-SHA-256, in base64. */
    sign(text: string): string {
        return createHmac("sha256", this.#text).update(text).digest("base64");
    }

    /** Whether a signature is this key's. */
    isValidSignature(text: string, signature: string): boolean {
        return isEqual(signature, this.sign(text));
    }
}

/** Reads a key; white space around it does not count. */
export function readKey(source: KeySource): Result<SecretKey, KeyError> {
    const name = source.file ?? `$${source.environment}`;
    let text: string;
    try {
        text = source.file === undefined
            ? readEnvironment(source.environment ?? "")
            : readFileSync(source.file, "utf8");
    }
    catch (error) {
        return createFailure({ kind: "unreadable", source: name, message: (error as Error).message });
    }
    const key = text.trim();
    return key.length < minKeyLength || key.length > maxKeyLength
        ? createFailure({ kind: "length", source: name })
        : createSuccess(new SecretKey(key));
}

/** Reads all keys that the settings name. */
export function readKeys(sources: Partial<Record<KeyName, KeySource | undefined>>): Result<Keys, KeyError> {
    const keys: { [Name in KeyName]?: SecretKey; } = {};
    for (const name of keyNames) {
        const source = sources[name];
        if (source === undefined) {
            continue;
        }
        const key = readKey(source);
        if (!key.ok) {
            return key;
        }
        keys[name] = key.value;
    }
    return createSuccess(keys);
}

/** Formats a key error as one line for a person. */
export function formatKeyError(error: KeyError): string {
    return error.kind === "unreadable"
        ? `key ${error.source}: ${error.message}`
        : `key ${error.source}: allowed: ${minKeyLength} to ${maxKeyLength} characters`;
}

function readEnvironment(name: string): string {
    const value = process.env[name];
    if (value === undefined) {
        throw new Error("the environment variable is not set");
    }
    return value;
}

/** Digests have one length, which the comparison in constant time needs. */
function isEqual(a: string, b: string): boolean {
    return timingSafeEqual(createDigest(a), createDigest(b));
}

function createDigest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
