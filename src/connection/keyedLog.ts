/**
 * Interface to the platform's keyed log: a log of topics whose records have keys. Like a compacted topic, it always
 * keeps the newest record of each key.
 *
 * An implementation only translates these calls into those of one platform. Decisions, such as when to retry, are left
 * to the callers.
 */
import type { Result } from "../process/base/result.js";

/** A record of a topic. An empty value is a tombstone: it marks the key as removed. */
export interface KeyedRecord {
    readonly key: string;
    readonly value: string;
    readonly offset: number;
}

/** Records returned by one read. */
export interface KeyedPage {
    readonly records: readonly KeyedRecord[];
    /** Offset at which the next read starts. */
    readonly next: number;
    /** Era of the log that answered. */
    readonly era: LogEra;
}

/**
 * Number of times that the log was restored from an older copy. In a restored log, records appended after the copy was
 * taken are gone and their offsets are given to other records, so an offset means nothing in another era.
 */
export type LogEra = number;

/** Where an appended record lies. */
export interface AppendedRecord {
    readonly offset: number;
    readonly era: LogEra;
}

/**
 * Why a call to the log failed: it was answered with an error status (`refused`), no connection could be opened
 * (`unreachable`), the connection or the timeout ended before the answer (`noAnswer`), or the answer was invalid
 * (`malformed`). After `noAnswer` an append may have taken effect, or may still do so.
 */
export type KeyedLogError =
    | { readonly kind: "refused"; readonly status: number; }
    | { readonly kind: "unreachable"; readonly cause: string; }
    | { readonly kind: "noAnswer"; readonly cause: string; }
    | { readonly kind: "malformed"; readonly cause: string; }
    /** The requested records are no longer kept; the newest record of each key must be read instead. */
    | { readonly kind: "expired"; };

/** Calls to the keyed log. None of them rejects. */
export interface KeyedLog {
    /** Reads the newest record of every key of a topic. */
    readNewest(topic: string): Promise<Result<KeyedPage, KeyedLogError>>;
    /**
     * Reads records starting at an offset. If there is none yet, waits up to `waitMs` milliseconds for one (long poll).
     */
    follow(
        topic: string,
        from: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<Result<KeyedPage, KeyedLogError>>;
    /** Appends a record. */
    append(topic: string, key: string, value: string): Promise<Result<AppendedRecord, KeyedLogError>>;
}

/** Describes an error as fields of a log event. */
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
