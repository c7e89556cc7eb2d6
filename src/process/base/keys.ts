/** Shared keys, read at startup from files or environment variables. They are compared in constant time and never logged. */
import { createHash, createHmac, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";
import type { Result } from "./result.js";
import { createFailure, createSuccess } from "./result.js";

/** Shortest key, in characters. */
export const minKeyLength = 16;
/** Longest key, in characters. */
const maxKeyLength = 1024;
/** What a key protects: the admin pages, messages between nodes, or the records on the shared log. */
export const keyNames = ["admin", "peers", "records"] as const;
/** One of {@link keyNames}. */
export type KeyName = (typeof keyNames)[number];

/** Where a key is read from: a file, or else an environment variable. */
export interface KeySource {
    readonly file?: string | undefined;
    readonly environment?: string | undefined;
}

/** Why a key can't be used: its source can't be read, or its length is out of range. */
export type KeyError =
    | { readonly kind: "unreadable"; readonly source: string; readonly message: string; }
    | { readonly kind: "length"; readonly source: string; };

/** Keys of a process. An interface without a key accepts requests without authentication. */
export type Keys = { readonly [Name in KeyName]?: SecretKey | undefined; };

/** A shared key. Its text is a private `#` field, so that it appears neither in JSON nor in inspected objects. */
export class SecretKey {
    readonly #text: string;

    constructor(text: string) {
        this.#text = text;
    }

    /** Value of an `authorization` header that carries this key. */
    formatBearer(): string {
        return `Bearer ${this.#text}`;
    }

    /** Whether a header value carries this key. Compares in constant time. */
    isValidBearer(value: string | undefined): boolean {
        return isEqual(value ?? "", this.formatBearer());
    }

    /** Signs a text with HMAC-SHA-256. Returns the signature in base64. */
    sign(text: string): string {
        return createHmac("sha256", this.#text).update(text).digest("base64");
    }

    /** Whether a signature of a text was made with this key. Compares in constant time. */
    isValidSignature(text: string, signature: string): boolean {
        return isEqual(signature, this.sign(text));
    }
}

/** Reads a key. White space around it is removed. */
export function readKey(source: KeySource): Result<SecretKey, KeyError> {
    const sourceName = source.file ?? `$${source.environment}`;
    let text: string;
    try {
        text = source.file === undefined
            ? readEnvironmentVariable(source.environment ?? "")
            : readFileSync(source.file, "utf8");
    }
    catch (error) {
        return createFailure({ kind: "unreadable", source: sourceName, message: (error as Error).message });
    }
    const key = text.trim();
    return key.length < minKeyLength || key.length > maxKeyLength
        ? createFailure({ kind: "length", source: sourceName })
        : createSuccess(new SecretKey(key));
}

/** Reads the keys that have a source. Fails with the first error. */
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

/** Formats a key error as one line of text. */
export function formatKeyError(error: KeyError): string {
    return error.kind === "unreadable"
        ? `cannot read the key ${error.source}: ${error.message}`
        : `key ${error.source}: wrong length without surrounding white space, allowed: ${minKeyLength} to ${maxKeyLength} characters`;
}

function readEnvironmentVariable(name: string): string {
    const value = process.env[name];
    if (value === undefined) {
        throw new Error("the environment variable is not set");
    }
    return value;
}

/** Compares the digests of two texts, since the comparison in constant time needs inputs of equal length. */
function isEqual(a: string, b: string): boolean {
    return timingSafeEqual(createDigest(a), createDigest(b));
}

function createDigest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
