/**
 * Interface to the header names and formats in which requests and answers carry metadata.
 *
 * Turmericspoke has header names of its own, see `headers.ts`; a platform that it runs on defines others and supplies a
 * dialect for them. All other headers are forwarded unchanged, except hop-by-hop headers.
 */
import type { HeaderList } from "./headers.js";
import { hopByHopHeaders } from "./headers.js";

/** Metadata that a caller sends with its request. */
export interface RequestMetadata {
    /** Unique id of this attempt of the caller; `undefined` if the caller sent none. */
    readonly attemptId: string | undefined;
    /** Time for which the caller waits, in milliseconds; `undefined` if the caller sent none. */
    readonly deadlineMs: number | undefined;
    /** Key of the customer that sends the request; `undefined` if the caller sent none. */
    readonly key: string | undefined;
}

/** Metadata that an endpoint receives with a request. */
export interface RunMetadata {
    readonly attemptId: string;
    /** Time left for the run, in milliseconds. */
    readonly timeLeftMs: number;
    /** Service of the request's entry node. For a call that a run makes, this is the calling service. */
    readonly callerService: string;
    /** Id of the endpoint's process that may run the request; any other process refuses it. */
    readonly endpointId: string | undefined;
    /** Name of the customer whose key came with the request; `undefined` for calls of runs and requests without one. */
    readonly customer: string | undefined;
}

/** Load that an endpoint reports: runs in progress, requests waiting, and its concurrency limit. */
export interface EndpointLoad {
    readonly running: number;
    readonly waiting: number;
    /** Concurrency limit, in requests. Not related to the slots of nodes. */
    readonly slots: number;
    /** How long work takes on the endpoint's machine at this moment; 1 is as usual. `undefined` if it does not say. */
    readonly slowness: number | undefined;
}

/** Metadata that an endpoint sends with an answer. */
export interface AnswerMetadata {
    /** Attempt that the answer belongs to. */
    readonly attemptId: string | undefined;
    /** Whether the endpoint signed the answer. An unsigned success does not count as one. */
    readonly isSigned: boolean;
    /** Whether the endpoint states that it did not run the request. */
    readonly isNotRun: boolean;
    /** Id of the endpoint's process that answered, if stated. */
    readonly endpointId: string | undefined;
    /** Whether the endpoint states that it leaves. */
    readonly isLeaving: boolean;
    /** Requests a second that the endpoint states it takes from all nodes together; `undefined` if it names no limit. */
    readonly requestsPerSecond: number | undefined;
    readonly load: EndpointLoad | undefined;
}

/** Reads and writes the headers of a platform. Header lists are flat pairs of name and value. */
export interface Dialect {
    readRequest(headers: HeaderList): RequestMetadata;
    /** Finds the attempt whose run made this call; `undefined` if the attempt id contains none. */
    findParentAttempt(attemptId: string): string | undefined;
    /** Copies the headers to forward to the endpoint, without those that the node sets itself. */
    copyRequestHeaders(headers: HeaderList): string[];
    createRunHeaders(metadata: RunMetadata): string[];
    readAnswer(headers: HeaderList): AnswerMetadata;
    /** Finds the endpoint's signature of an answer, which names its run; `undefined` if there is none. */
    findSignature(headers: HeaderList): string | undefined;
}

/** Finds the value of a header by its name in lower case; `undefined` if it is missing. */
export function findHeader(headers: HeaderList, name: string): string | undefined {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const candidate = headers[index]!;
        if (candidate.length === name.length && candidate.toLowerCase() === name) {
            return headers[index + 1];
        }
    }
    return undefined;
}

/** Finds the value of a header that may come only once, by its name in lower case; `undefined` if it is missing or comes with two values. */
export function findOnlyHeader(headers: HeaderList, name: string): string | undefined {
    const value = findHeader(headers, name);
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const candidate = headers[index]!;
        if (headers[index + 1] !== value && candidate.length === name.length && candidate.toLowerCase() === name) {
            return undefined;
        }
    }
    return value;
}

/** Copies the end-to-end headers, except the `dropped` ones (names in lower case). */
export function copyEndToEndHeaders(headers: HeaderList, dropped: ReadonlySet<string>): string[] {
    const declaredHopByHop = listDeclaredHopByHopHeaders(headers);
    const copied: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index]!.toLowerCase();
        if (!hopByHopHeaders.has(name) && !dropped.has(name) && !declaredHopByHop.includes(name)) {
            copied.push(headers[index]!, headers[index + 1]!);
        }
    }
    return copied;
}

/** Lists the header names that the Connection header declares hop-by-hop. */
function listDeclaredHopByHopHeaders(headers: HeaderList): string[] {
    const value = findHeader(headers, "connection");
    return value === undefined ? [] : value.toLowerCase().split(",").map(each => each.trim());
}
