/**
 * Messages between the node where a request entered and the node beside the endpoint that is to run it.
 *
 * A message is a msgpack array behind four bytes of length. The first item tells its kind. Times are relative, in milliseconds,
 * so that the clocks of two machines need not agree.
 */
import { Packr } from "msgpackr";
import type { AnsweredRun, FailedRun, RefusedRun } from "../process/runOutcome.js";
import type { Origin } from "../process/runsInProgress.js";
import type { HeaderList } from "../request/headers.js";

/** Load of the endpoint beside a node, carried by every answer. */
export interface LoadReport {
    /** Requests that run. */
    readonly running: number;
    /** Requests that wait in the node. */
    readonly waiting: number;
    /** Requests that may run at once; 0 while the endpoint takes no work. */
    readonly limit: number;
    /** Part of the recent runs that failed, 0 to 1. */
    readonly failureShare: number;
    /** Whether the node has run for a while and is not about to stop. */
    readonly isSettled: boolean;
}

/** Asks for a run. */
export interface RunMessage {
    readonly kind: "run";
    /** Names the request on this link. */
    readonly id: number;
    readonly attemptId: string;
    /** Counts the instances that this attempt was sent to; with the attempt it names one send. */
    readonly sendNumber: number;
    /** Whether the same send went out before, on a link that was lost. */
    readonly isResent: boolean;
    readonly service: string;
    readonly route: string;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    readonly isIdempotent: boolean;
    readonly origin: Origin;
    readonly timeLeftMs: number;
    readonly targetLeftMs: number;
    readonly callerService: string;
}

/** What every message that ends a request carries besides its outcome. */
interface EndFields {
    readonly id: number;
    readonly load: LoadReport;
}

/** Ends a request with the endpoint's answer. */
export type AnswerMessage = AnsweredRun & EndFields;
/** Ends a request that was not run. */
export type RefusedMessage = RefusedRun & EndFields;
/** Ends a request that may have run. */
export type FailedMessage = FailedRun & EndFields;

/** A message of either direction. */
export type LinkMessage =
    | RunMessage
    | AnswerMessage
    | RefusedMessage
    | FailedMessage
    | { readonly kind: "cancel"; readonly id: number; }
    | {
        readonly kind: "hello";
        readonly address: string;
        /** Start of the process; what an earlier one did is not known to it. */
        readonly incarnation: number;
        /** Version of the configuration in force. */
        readonly version: number;
        /** Record of the instance itself. */
        readonly record: string;
    }
    | { readonly kind: "ping"; readonly version: number; }
    | { readonly kind: "pong"; readonly version: number; readonly load: LoadReport; }
    | { readonly kind: "load"; readonly load: LoadReport; }
    | { readonly kind: "ask"; readonly topic: "configuration" | "instances"; }
    | { readonly kind: "configuration"; readonly text: string; }
    | { readonly kind: "instances"; readonly records: readonly string[]; }
    | { readonly kind: "crashes"; readonly fingerprints: readonly string[]; readonly incident: string; };

/** Kinds by their number on the wire. */
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
] as const satisfies readonly LinkMessage["kind"][];

/** Fields of each kind in their order on the wire. */
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
    ],
    answer: ["id", "status", "headers", "body", "runMs", "waitedMs", "behind", "pressure", "load"],
    refused: ["id", "cause", "retryAfterMs", "load"],
    failed: ["id", "cause", "ranMs", "load"],
    cancel: ["id"],
    hello: ["address", "incarnation", "version", "record"],
    ping: ["version"],
    pong: ["version", "load"],
    load: ["load"],
    ask: ["topic"],
    configuration: ["text"],
    instances: ["records"],
    crashes: ["fingerprints", "incident"],
};

/** Longest message, in bytes. */
const maxMessageBytes = 80_000_000;
const packr = new Packr({ useRecords: false });

/** Encodes a message with its length. */
export function encodeMessage(message: LinkMessage): Buffer {
    const values = message as unknown as Readonly<Record<string, unknown>>;
    const items: unknown[] = [kinds.indexOf(message.kind)];
    for (const field of fieldsByKind[message.kind]) {
        items.push(encodeField(field, values[field]));
    }
    const packed = packr.pack(items);
    const framed = Buffer.allocUnsafe(4 + packed.length);
    framed.writeUInt32BE(packed.length, 0);
    packed.copy(framed, 4);
    return framed;
}

/** Cuts a stream of bytes into messages. */
export class MessageReader {
    private rest: Buffer[] = [];
    private bytes = 0;

    /** Adds bytes and returns the messages that are whole now; `undefined` when the stream is malformed. */
    read(chunk: Buffer): LinkMessage[] | undefined {
        this.rest.push(chunk);
        this.bytes += chunk.length;
        const messages: LinkMessage[] = [];
        while (this.bytes >= 4) {
            const length = this.readLength();
            if (length > maxMessageBytes) {
                return undefined;
            }
            if (this.bytes < 4 + length) {
                break;
            }
            const message = decodeMessage(this.take(4 + length).subarray(4));
            if (message === undefined) {
                return undefined;
            }
            messages.push(message);
        }
        return messages;
    }

    private readLength(): number {
        if (this.rest[0]!.length < 4) {
            this.rest = [Buffer.concat(this.rest)];
        }
        return this.rest[0]!.readUInt32BE(0);
    }

    private take(length: number): Buffer {
        const joined = this.rest.length === 1 ? this.rest[0]! : Buffer.concat(this.rest);
        const left = joined.subarray(length);
        this.rest = left.length === 0 ? [] : [left];
        this.bytes -= length;
        return joined.subarray(0, length);
    }
}

/** Decodes the bytes of one message; `undefined` when they are none. */
function decodeMessage(bytes: Buffer): LinkMessage | undefined {
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
    if (items.length < fields.length + 1) {
        return undefined;
    }
    const message: Record<string, unknown> = { kind };
    fields.forEach((field, index) => {
        message[field] = decodeField(field, items[index + 1]);
    });
    return message as unknown as LinkMessage;
}

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

function encodeOrigin(origin: Origin): unknown[] {
    return [origin.route, origin.priority, origin.isRepeated, origin.depth, origin.servedBefore];
}

function decodeOrigin(value: unknown): Origin {
    const [route, priority, isRepeated, depth, servedBefore] = Array.isArray(value) ? value as unknown[] : [];
    return {
        route: String(route ?? ""),
        priority: Number(priority ?? 0),
        isRepeated: isRepeated === true,
        depth: Number(depth ?? 0),
        servedBefore: Number(servedBefore ?? 0),
    };
}

function encodeLoad(load: LoadReport): number[] {
    return [load.running, load.waiting, load.limit, Math.round(load.failureShare * 100), load.isSettled ? 1 : 0];
}

function decodeLoad(value: unknown): LoadReport {
    const [running, waiting, limit, percent, settled] = Array.isArray(value) ? value as number[] : [];
    return {
        running: running ?? 0,
        waiting: waiting ?? 0,
        limit: limit ?? 0,
        failureShare: (percent ?? 0) / 100,
        isSettled: settled !== 0,
    };
}
