/**
 * The form of messages on the wire: a MessagePack array, preceded by its length as a big-endian 32-bit integer. The first item is the
 * number of the message kind; the fields of that kind follow.
 */
// This entry of the library leaves out its native addon, which costs a start more than it spares a short life.
import { Packr } from "msgpackr/pack";
import type { Origin } from "../process/load/runsInProgress.js";
import { isFinalStatus } from "./answerLines.js";
import type { LinkMessage, LoadReport } from "./linkMessage.js";

/** Message kinds; the index of a kind is its number on the wire. */
const kinds = [
    "run",
    "answer",
    "refused",
    "failed",
    "cancel",
    "hello",
    "ping",
    "pong",
    "load",
    "ask",
    "configuration",
    "instances",
    "crashes",
    "askUnits",
    "grantUnits",
    "suspects",
] as const satisfies readonly LinkMessage["kind"][];

/** Size of the length in front of a message, in bytes. */
export const lengthBytes = 4;

/** Place of a field that earlier builds send and this one doesn't read. */
const unusedField = "unused";

/** Fields of each message kind, in their order on the wire. */
const fieldsByKind: { readonly [Kind in LinkMessage["kind"]]: readonly string[]; } = {
    run: [
        "id",
        "attemptId",
        "sendNumber",
        "isResent",
        "service",
        "route",
        "method",
        "path",
        "headers",
        "body",
        "isIdempotent",
        "origin",
        "timeLeftMs",
        "targetLeftMs",
        "callerService",
        "leavingEndpoint",
        "usualRunMs",
    ],
    answer: [
        "id",
        "status",
        "headers",
        "body",
        "runMs",
        "waitedMs",
        "behind",
        "pressure",
        "load",
        unusedField,
        "connection",
    ],
    refused: ["id", "cause", "retryAfterMs", "load"],
    failed: ["id", "cause", "ranMs", "load"],
    cancel: ["id"],
    hello: ["address", "incarnation", "version", "record", "suspectCount"],
    ping: ["version", "era", "isFollowing"],
    pong: ["version", "era", "isFollowing", "load"],
    load: ["load"],
    ask: ["topic"],
    configuration: ["text"],
    instances: ["records"],
    crashes: ["fingerprints", "incident"],
    askUnits: ["group", "session", "number", "stamp", "isSupporting", "nodes", "items"],
    grantUnits: ["group", "session", "number", "stamp", "items"],
    suspects: ["items"],
};

/** Number of the last fields of a kind that a message of an earlier build lacks. */
const optionalFieldsByKind: { readonly [Kind in LinkMessage["kind"]]?: number; } = { run: 2, answer: 2, hello: 1 };

const packr = new Packr({ useRecords: false });

/** Body size from which a body is sent from where it is, in bytes; a smaller one is copied into its message. */
const separateBodyBytes = 65_536;
/** First byte of a MessagePack array of up to 15 items, less their number. */
const shortArrayCode = 0x90;
const maxShortArrayItems = 15;
/** First byte of a longer MessagePack array, before the number of its items as 16 bits. */
const arrayCode = 0xdc;
/** First byte of MessagePack binary data, before their length as 32 bits. */
const binaryCode = 0xc6;

/** Encodes a message, with its length in front. */
export function encodeMessage(message: LinkMessage): Buffer {
    return Buffer.concat(encodeMessageParts(message));
}

/** Encodes a message, with its length in front, as parts that are to be sent one after the other. A large body is a part of its own. */
export function encodeMessageParts(message: LinkMessage): readonly Buffer[] {
    const values = message as unknown as Readonly<Record<string, unknown>>;
    const fields = fieldsByKind[message.kind];
    const items: unknown[] = [kinds.indexOf(message.kind)];
    for (const field of fields) {
        items.push(encodeField(field, values[field]));
    }
    if ("body" in message && message.body.length >= separateBodyBytes) {
        const bodyIndex = fields.indexOf("body") + 1;
        return encodeAroundBody(items.slice(0, bodyIndex), message.body, items.slice(bodyIndex + 1));
    }
    const packed = packr.pack(items);
    const framed = Buffer.allocUnsafe(lengthBytes + packed.length);
    framed.writeUInt32BE(packed.length, 0);
    packed.copy(framed, lengthBytes);
    return [framed];
}

/** Encodes a message without a copy of its body. */
function encodeAroundBody(before: readonly unknown[], body: Buffer, after: readonly unknown[]): readonly Buffer[] {
    const count = before.length + 1 + after.length;
    const head = Buffer.concat([
        Buffer.alloc(lengthBytes),
        encodeArrayHead(count),
        ...before.map(encodeItem),
        encodeBinaryHead(body.length),
    ]);
    const tail = Buffer.concat(after.map(encodeItem));
    head.writeUInt32BE(head.length - lengthBytes + body.length + tail.length, 0);
    return [head, body, tail];
}

function encodeArrayHead(count: number): Buffer {
    return count <= maxShortArrayItems
        ? Buffer.from([shortArrayCode | count])
        : Buffer.from([arrayCode, count >> 8, count & 0xff]);
}

function encodeBinaryHead(bytes: number): Buffer {
    const head = Buffer.from([binaryCode, 0, 0, 0, 0]);
    head.writeUInt32BE(bytes, 1);
    return head;
}

/** The packed item lies in memory that the next one may use. */
function encodeItem(item: unknown): Buffer {
    return Buffer.from(packr.pack(item));
}

/** Length of the first bytes of a packed message that tell its kind and its id. */
export const maxMessageHeadBytes = 16;

/** Reads the id of a packed message that asks for a run from its first bytes; `undefined` if it is of another kind. */
export function findRunId(bytes: Buffer): number | undefined {
    const start = bytes[0] === arrayCode ? 3 : 1;
    const values: unknown[] = [];
    try {
        packr.unpackMultiple(bytes.subarray(start, maxMessageHeadBytes), (value: unknown) => {
            values.push(value);
            // Ends behind the id; what comes next may be cut off.
            return values.length < 2 ? undefined : false;
        });
    }
    catch {
        return undefined;
    }
    return kinds[values[0] as number] === "run" ? Number(values[1]) : undefined;
}

/** Decodes one message; returns `undefined` if the bytes are not a message of a known kind. */
export function decodeMessage(bytes: Buffer): LinkMessage | undefined {
    let items: unknown;
    try {
        items = packr.unpack(bytes);
    }
    catch {
        return undefined;
    }
    if (!Array.isArray(items)) {
        return undefined;
    }
    const kind = kinds[items[0] as number];
    if (kind === undefined) {
        return undefined;
    }
    const fields = fieldsByKind[kind];
    if (items.length < fields.length + 1 - (optionalFieldsByKind[kind] ?? 0)) {
        return undefined;
    }
    const message: Record<string, unknown> = { kind };
    fields.forEach((field, index) => {
        if (field !== unusedField) {
            message[field] = decodeField(field, items[index + 1] ?? undefined);
        }
    });
    return refuteOddAnswer(message as unknown as LinkMessage);
}

/** Turns an answer whose status is none of the protocol, as a node of another build may send it, into a failure. */
function refuteOddAnswer(message: LinkMessage): LinkMessage {
    if (message.kind !== "answer" || isFinalStatus(message.status)) {
        return message;
    }
    const { id, runMs, load } = message;
    return { kind: "failed", id, cause: "garbled", ranMs: runMs, load };
}

/** Encodes one field of a message; the pressure is sent in whole hundredths. */
function encodeField(field: string, value: unknown): unknown {
    switch (field) {
        case "load":
            return encodeLoad(value as LoadReport);
        case "origin":
            return encodeOrigin(value as Origin);
        case "pressure":
            return Math.round(value as number * 100);
        default:
            return value;
    }
}

function decodeField(field: string, value: unknown): unknown {
    switch (field) {
        case "load":
            return decodeLoad(value);
        case "origin":
            return decodeOrigin(value);
        case "pressure":
            return Number(value) / 100;
        default:
            return value;
    }
}

/** Stands for an item that earlier builds send and this one doesn't read. */
const unusedOriginItem = null;

function encodeOrigin(origin: Origin): unknown[] {
    const { route, priority, isRepeated, depth, servedBefore, customer, hasReturned, routePriority } = origin;
    const items = [route, priority, isRepeated, depth, servedBefore, customer];
    if (routePriority !== undefined) {
        return [...items, unusedOriginItem, hasReturned === true, routePriority];
    }
    return hasReturned === true ? [...items, unusedOriginItem, true] : items;
}

function decodeOrigin(value: unknown): Origin {
    const items = Array.isArray(value) ? value as unknown[] : [];
    const [route, priority, isRepeated, depth, servedBefore, customer, _unused, hasReturned, routePriority] = items;
    return {
        route: String(route ?? ""),
        priority: Number(priority ?? 0),
        isRepeated: isRepeated === true,
        depth: Number(depth ?? 0),
        servedBefore: Number(servedBefore ?? 0),
        customer: typeof customer === "string" ? customer : undefined,
        ...(hasReturned === true ? { hasReturned } : {}),
        // Earlier builds send none.
        ...(typeof routePriority === "number" ? { routePriority } : {}),
    };
}

/** Encodes a load report as an array; shares are rounded to whole percent. */
function encodeLoad(load: LoadReport): number[] {
    const { running, waiting, limit, failureShare, isSettled, shedShare, slowness } = load;
    const percents = [failureShare, shedShare, slowness].map(share => Math.round(share * 100));
    // Earlier builds read a run time at the sixth place; 0 means that none is known.
    return [running, waiting, limit, percents[0]!, isSettled ? 1 : 0, 0, percents[1]!, percents[2]!];
}

function decodeLoad(value: unknown): LoadReport {
    const items = Array.isArray(value) ? value as number[] : [];
    const [running, waiting, limit, percent, settled, _runMs, shedPercent, slownessPercent] = items;
    return {
        running: running ?? 0,
        waiting: waiting ?? 0,
        limit: limit ?? 0,
        failureShare: (percent ?? 0) / 100,
        isSettled: settled !== 0,
        // Earlier builds report neither.
        shedShare: (shedPercent ?? 0) / 100,
        slowness: (slownessPercent ?? 0) / 100,
    };
}
