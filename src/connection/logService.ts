/**
 * Client of the platform's append-only log service, the shared log.
 *
 * docs/INTERFACE.md describes the calls of the service. Record bodies are opaque text here; the stream reducers parse
 * them.
 */
import { request } from "undici";
import * as v from "valibot";
import type { Result } from "../process/base/result.js";
import { createFailure, createSuccess } from "../process/base/result.js";

/** Maximum number of records requested in one read. */
const maxRecordsPerRead = 500;

/** A record as the service returns it. */
export interface LogRecord {
    readonly offset: number;
    /** Time of the append by the service's clock, in milliseconds since the epoch. */
    readonly at: number;
    readonly body: string;
}

/** Result of a read: the records from the requested offset on that the service still keeps. */
export interface LogPage {
    /** Lowest offset that the service still keeps. */
    readonly first: number;
    /** Lower bound of the offset of the next append. */
    readonly next: number;
    readonly records: readonly LogRecord[];
}

/**
 * Failure of a call to the log service: `unavailable` for a read that failed or returned an invalid answer and for an
 * append whose connection was refused, `refused` for an answer with a status other than 200. After `answerLost` an
 * append may have taken effect.
 */
export type LogError =
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "refused"; readonly status: number; readonly message: string; }
    | { readonly kind: "answerLost"; readonly message: string; };

/** Calls of the log service. None of them rejects. */
export interface LogService {
    /** Appends a record and returns its offset. */
    append(stream: string, body: string): Promise<Result<number, LogError>>;
    /** Reads records starting at an offset. */
    read(stream: string, from: number): Promise<Result<LogPage, LogError>>;
}

const appendReplySchema = v.object({ offset: v.number() });
const pageSchema = v.object({
    first: v.number(),
    next: v.number(),
    records: v.array(v.object({ offset: v.number(), at: v.number(), body: v.string() })),
});

/** Client of the log service over HTTP. The timeout of each call is in milliseconds. */
export class HttpLogService implements LogService {
    constructor(private readonly url: string, private readonly timeoutMs: number) {}

    async append(stream: string, body: string): Promise<Result<number, LogError>> {
        const reply = await this.call("POST", `/streams/${stream}/records`, body);
        if (!reply.ok) {
            return reply;
        }
        const parsed = v.safeParse(appendReplySchema, reply.value);
        return parsed.success
            ? createSuccess(parsed.output.offset)
            : createFailure({ kind: "answerLost", message: "the answer to an append does not match its schema" });
    }

    async read(stream: string, from: number): Promise<Result<LogPage, LogError>> {
        const reply = await this.call(
            "GET",
            `/streams/${stream}/records?from=${from}&limit=${maxRecordsPerRead}`,
            undefined,
        );
        if (!reply.ok) {
            return reply;
        }
        const parsed = v.safeParse(pageSchema, reply.value);
        return parsed.success
            ? createSuccess(parsed.output)
            : createFailure({ kind: "unavailable", message: "malformed answer to a read" });
    }

    private async call(
        method: "GET" | "POST",
        path: string,
        body: string | undefined,
    ): Promise<Result<unknown, LogError>> {
        try {
            const reply = await request(this.url + path, {
                method,
                body: body ?? null,
                headers: { "content-type": "text/plain; charset=utf-8" },
                headersTimeout: this.timeoutMs,
                bodyTimeout: this.timeoutMs,
                signal: AbortSignal.timeout(this.timeoutMs),
            });
            const text = await reply.body.text();
            if (reply.statusCode !== 200) {
                return createFailure({ kind: "refused", status: reply.statusCode, message: text.slice(0, 200) });
            }
            return createSuccess(JSON.parse(text));
        }
        catch (error) {
            return createFailure(createCallError(method, error));
        }
    }
}

/**
 * Creates the error of a failed call. A read has no effect; an append certainly has none if the connection was refused.
 */
function createCallError(method: "GET" | "POST", error: unknown): LogError {
    const message = error instanceof Error ? error.message || error.name : String(error);
    const code = (error as { code?: string; }).code;
    const hasNoEffect = method === "GET" || code === "ECONNREFUSED";
    return { kind: hasNoEffect ? "unavailable" : "answerLost", message };
}
