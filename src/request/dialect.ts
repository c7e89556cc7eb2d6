/**
 * How a request and an answer carry what the system needs to know, as headers.
 *
 * Two dialects exist: the product's own, and the one of the platform that the product runs on. Everything else passes through
 * unchanged but for the headers of one connection.
 */
import type { HeaderList } from "./headers.js";
import { connectionHeaders } from "./headers.js";

/** What a caller says of its request. */
export interface RequestMetadata {
    /** Names this attempt of the caller; each attempt has its own. `undefined` when the caller names none. */
    readonly attemptId: string | undefined;
    /** Time for which the caller waits, in milliseconds; `undefined` when it names none. */
    readonly deadlineMs: number | undefined;
}

/** What an endpoint is told with a request. */
export interface RunMetadata {
    readonly attemptId: string;
    /** Time that is left for the run, in milliseconds. */
    readonly timeLeftMs: number;
    /** Service of the instance where the request began. */
    readonly callerService: string;
    /** Incarnation of the endpoint that may run it; any other refuses. */
    readonly endpointId: string | undefined;
}

/** Load that an endpoint reports of itself. */
export interface EndpointLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What an endpoint says with an answer. */
export interface AnswerMetadata {
    /** Attempt that the answer belongs to. */
    readonly attemptId: string | undefined;
    /** Whether the endpoint's own signature is there: without it, a success is no success. */
    readonly isSigned: boolean;
    /** Whether the endpoint says that it did not run the request. */
    readonly isNotRun: boolean;
    /** Incarnation of the endpoint that answered, if it says so. */
    readonly endpointId: string | undefined;
    readonly load: EndpointLoad | undefined;
}

/** Reads and writes the headers. Header lists are flat pairs of name and value. */
export interface Dialect {
    readRequest(headers: HeaderList): RequestMetadata;
    /** Finds the attempt whose run makes this call; `undefined` when the attempt names none. */
    findParentAttempt(attemptId: string): string | undefined;
    /** Headers that pass to the endpoint, without what the system sets itself. */
    copyRequestHeaders(headers: HeaderList): string[];
    createRunHeaders(facts: RunMetadata): string[];
    readAnswer(headers: HeaderList): AnswerMetadata;
}

/** Finds the value of a header by its name in lower case. */
export function findHeader(headers: HeaderList, name: string): string | undefined {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const candidate = headers[index]!;
        if (candidate.length === name.length && candidate.toLowerCase() === name) {
            return headers[index + 1];
        }
    }
    return undefined;
}

/** Copies the headers that concern more than one connection, but for the named ones (in lower case). */
export function copyEndToEndHeaders(headers: HeaderList, dropped: ReadonlySet<string>): string[] {
    const named = listConnectionHeaders(headers);
    const copied: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index]!.toLowerCase();
        if (!connectionHeaders.has(name) && !dropped.has(name) && !named.includes(name)) {
            copied.push(headers[index]!, headers[index + 1]!);
        }
    }
    return copied;
}

/** Headers that a connection header names as its own. */
function listConnectionHeaders(headers: HeaderList): string[] {
    const value = findHeader(headers, "connection");
    return value === undefined ? [] : value.toLowerCase().split(",").map(each => each.trim());
}
