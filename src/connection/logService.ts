/**
 * Client of the platform's append-only log service.
 *
 * The service's calls are described in docs/INTERFACE.md. Record bodies are opaque text here; the folds parse them.
 */
import { request } from "undici";
import * as v from "valibot";
import type { Result } from "../process/result.js";
import { createFailure, createSuccess } from "../process/result.js";

/** Most records asked for in one read. */
const readLimit = 500;

/** One record as the service returns it. */
export interface LogRecord {
    readonly offset: number;
    /** Time of the append by the service's clock, in milliseconds since the epoch. */
    readonly at: number;
    readonly body: string;
}

/** Result of a read: records from the asked offset on, as far as the service still keeps them. */
export interface LogPage {
    /** Lowest offset that the service still keeps. */
    readonly first: number;
    /** Offset that the next append will get, at least. */
    readonly next: number;
    readonly records: readonly LogRecord[];
}

/** Failure of a call to the log service. After `answerLost` the append may have taken effect. */
export type LogError =
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "refused"; readonly status: number; readonly message: string; }
    | { readonly kind: "answerLost"; readonly message: string; };

/** The two calls of the log service that the product needs. */
export interface LogService {
    append(stream: string, body: string): Promise<Result<number, LogError>>;
    read(stream: string, from: number): Promise<Result<LogPage, LogError>>;
}

const appendReplySchema = v.object({ offset: v.number() });
const pageSchema = v.object({
    first: v.number(),
    next: v.number(),
    records: v.array(v.object({ offset: v.number(), at: v.number(), body: v.string() })),
});

/** Log service over HTTP. */
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
            : createFailure({ kind: "answerLost", message: "malformed answer to an append" });
    }

    async read(stream: string, from: number): Promise<Result<LogPage, LogError>> {
        const reply = await this.call("GET", `/streams/${stream}/records?from=${from}&limit=${readLimit}`, undefined);
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
            return createFailure(describeFailure(method, error));
        }
    }
}

/** Only a refused connection proves that an append did not take effect. */
function describeFailure(method: "GET" | "POST", error: unknown): LogError {
    const message = error instanceof Error ? error.message || error.name : String(error);
    const code = (error as { code?: string; }).code;
    const isUnsent = method === "GET" || code === "ECONNREFUSED";
    return { kind: isUnsent ? "unavailable" : "answerLost", message };
}
