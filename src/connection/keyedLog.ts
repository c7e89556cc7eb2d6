/**
 * The platform's keyed log: topics of records with a key, of which the newest of each key is kept for good.
 *
 * An implementation translates one platform's calls into these; it decides nothing.
 */
import type { Result } from "../process/result.js";

/** One record. An empty value means that the key was removed. */
export interface KeyedRecord {
    readonly key: string;
    readonly value: string;
    readonly offset: number;
}

/** Records read in one call. */
export interface KeyedPage {
    readonly records: readonly KeyedRecord[];
    /** Offset from which to read on. */
    readonly next: number;
}

/** Why a call to the log failed. After `noAnswer` an append may take effect, now or later. */
export type KeyedLogError =
    | { readonly kind: "refused"; readonly status: number; }
    | { readonly kind: "unreachable"; readonly cause: string; }
    | { readonly kind: "noAnswer"; readonly cause: string; }
    | { readonly kind: "malformed"; readonly cause: string; }
    /** The records asked for are gone: read the newest of each key instead. */
    | { readonly kind: "expired"; };

/** Calls to the log. None rejects. */
export interface KeyedLog {
    /** Reads the newest record of each key, whole. */
    readNewest(topic: string): Promise<Result<KeyedPage, KeyedLogError>>;
    /** Reads records from an offset on; waits for the first one if there is none, up to `waitMs` milliseconds. */
    follow(
        topic: string,
        from: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<Result<KeyedPage, KeyedLogError>>;
    /** Appends one record. */
    append(topic: string, key: string, value: string): Promise<Result<number, KeyedLogError>>;
}

/** Formats an error as the fields of a log line. */
export function describeKeyedLogError(error: KeyedLogError): { cause: string; status?: number; } {
    switch (error.kind) {
        case "refused":
            return { cause: "refused", status: error.status };
        case "expired":
            return { cause: "expired" };
        default:
            return { cause: `${error.kind}: ${error.cause}` };
    }
}
