/** Requests suspected of crashing endpoints, as they stand in messages between nodes. */
import type { Suspect } from "./quarantine.js";

/** One suspect in a message: fingerprint, milliseconds for which it stays suspect, crashes at which it was in progress. */
export type SuspectItem = readonly [fingerprint: string, leftMs: number, incidents: readonly string[]];

/** Longest fingerprint or identifier of a crash, in characters. */
const maxTextLength = 128;
/** Maximum number of crashes that one item names. */
const maxIncidents = 16;

/** Formats a suspect for a message. */
export function formatSuspect({ fingerprint, leftMs, incidents }: Suspect): SuspectItem {
    return [fingerprint, Math.ceil(leftMs), incidents];
}

/** Reads an item of a message; `undefined` if it is malformed. */
export function parseSuspect(item: unknown): Suspect | undefined {
    if (!Array.isArray(item)) {
        return undefined;
    }
    const [fingerprint, leftMs, incidents] = item as unknown[];
    if (!isText(fingerprint) || typeof leftMs !== "number" || !(leftMs > 0) || !isIncidentList(incidents)) {
        return undefined;
    }
    return { fingerprint, leftMs, incidents };
}

function isIncidentList(value: unknown): value is readonly string[] {
    return Array.isArray(value) && value.length > 0 && value.length <= maxIncidents && value.every(isText);
}

function isText(value: unknown): value is string {
    return typeof value === "string" && value !== "" && value.length <= maxTextLength;
}
