/**
 * Messages on links between nodes. They carry requests to the node whose local endpoint runs them, the outcomes, load
 * and crash reports, the configuration and instance records.
 *
 * A message is a MessagePack array, preceded by its length as a big-endian 32-bit integer. The first item is the number
 * of the message kind; the fields of that kind follow. Times are durations in milliseconds, so that the clocks of the
 * two machines don't need to be synchronised.
 */
// This entry of the library leaves out its native addon, which costs a start more than it spares a short life.
import { Packr } from "msgpackr/pack";
import type { AskUnitsMessage, GrantUnitsMessage } from "../process/customers/unitMessages.js";
import type { SuspectItem } from "../process/endpoint/suspectItem.js";
import type { BodyShare } from "../process/load/bodyBudget.js";
import type { AnsweredRun, FailedRun, RefusedRun } from "../process/load/runOutcome.js";
import type { Origin } from "../process/load/runsInProgress.js";
import type { HeaderList } from "../request/headers.js";
import { isFinalStatus } from "./answerLines.js";

/** Load of a node's local endpoint, sent with the outcome of every request. */
export interface LoadReport {
    /** Number of requests running at the endpoint. */
    readonly running: number;
    /** Number of requests queued in the node. */
    readonly waiting: number;
    /** Concurrency limit of the endpoint; 0 while it accepts no requests. */
    readonly limit: number;
    /** Fraction of the recent runs that failed, from 0 to 1. */
    readonly failureShare: number;
    /** Whether the node is stable: neither just restarted nor about to stop. */
    readonly isSettled: boolean;
    /** Fraction of the recent requests that the endpoint turned away though it had room, from 0 to 1. */
    readonly shedShare: number;
    /** Recent average time of a run at the endpoint over the usual one of its route; 0 when there was none. */
    readonly slowness: number;
}

/** Asks a node for a run, which is one execution of a request at the node's local endpoint. */
export interface RunMessage {
    readonly kind: "run";
    /** Identifier of the request on this link. */
    readonly id: number;
    readonly attemptId: string;
    /** Number of instances that this attempt was sent to so far; together with `attemptId` it identifies one send. */
    readonly sendNumber: number;
    /** Whether the same send was in flight on an earlier link that was lost. */
    readonly isResent: boolean;
    readonly service: string;
    readonly route: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** What a received message takes of the budget for bodies, if it was counted on its way; not sent. */
    readonly bodyShare?: BodyShare | undefined;
    readonly isIdempotent: boolean;
    /** Request of a caller to which this run and all calls made by it belong. */
    readonly origin: Origin;
    /** Time left until the deadline, in milliseconds. */
    readonly timeLeftMs: number;
    /** Time left until the latency target, in milliseconds. */
    readonly targetLeftMs: number;
    /** Service of the instance whose node sends the request. */
    readonly callerService: string;
    /** Endpoint's process at the receiver that the sender knows to leave; it must not run the request. */
    readonly leavingEndpoint: string | undefined;
    /** Usual time of a run of the route, in milliseconds; `undefined` if an earlier build sent it. */
    readonly usualRunMs: number | undefined;
}

/** What a node has of the keyed log. */
export interface LogPosition {
    /** Version of the configuration that the node uses. */
    readonly version: number;
    /** Highest era of the log that the node has heard of; -1 before the first. */
    readonly era: number;
    /** Whether the node follows the log itself, and its last read succeeded. */
    readonly isFollowing: boolean;
}

/** Fields that every message with the outcome of a request carries besides that outcome. */
interface OutcomeFields {
    readonly id: number;
    readonly load: LoadReport;
}

/** Outcome of a request that the endpoint answered. */
export type AnswerMessage = AnsweredRun & OutcomeFields;
/** Outcome of a request that was not run. */
export type RefusedMessage = RefusedRun & OutcomeFields;
/** Outcome of a request that may have run. */
export type FailedMessage = FailedRun & OutcomeFields;

/** A message in either direction. */
export type LinkMessage =
    | RunMessage
    | AnswerMessage
    | RefusedMessage
    | FailedMessage
    | { readonly kind: "cancel"; readonly id: number; }
    | {
        readonly kind: "hello";
        readonly address: string;
        /**
         * Start time of the node process, which identifies it. A restarted process knows nothing of earlier requests.
         */
        readonly incarnation: number;
        /** Version of the configuration that the node uses. */
        readonly version: number;
        /** Record of the sender's instance, as JSON. */
        readonly record: string;
        /**
         * Number of requests that the sender suspects of crashing endpoints of its service; `undefined` if it doesn't know yet,
         * or is of an earlier build. Whoever states it answers when asked for them.
         */
        readonly suspectCount: number | undefined;
    }
    | { readonly kind: "ping"; } & LogPosition
    | { readonly kind: "pong"; readonly load: LoadReport; } & LogPosition
    /** Sent at once when the state of the endpoint changes or the node is about to stop. */
    | { readonly kind: "load"; readonly load: LoadReport; }
    /** Asks for what is sent in a message of that kind; for suspects only where a hello message stated their number. */
    | { readonly kind: "ask"; readonly topic: "configuration" | "instances" | "suspects"; }
    | { readonly kind: "configuration"; readonly text: string; }
    | { readonly kind: "instances"; readonly records: readonly string[]; }
    /** Reports a crash of the sender's endpoint: the fingerprints of the requests lost in it, and its identifier. */
    | { readonly kind: "crashes"; readonly fingerprints: readonly string[]; readonly incident: string; }
    /** Requests that the sender suspects of crashing endpoints, as it was asked. */
    | { readonly kind: "suspects"; readonly items: readonly SuspectItem[]; }
    | AskUnitsMessage
    | GrantUnitsMessage;

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
const maxMessageHeadBytes = 16;

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
