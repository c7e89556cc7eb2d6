/**
 * Log service whose records are signed with a shared key, so that only operators and nodes with the key can change the
 * state.
 *
 * The signature covers the name of the stream, so that a record can't be copied to another one. A record without a
 * valid signature is returned with an empty body, which the reducer of every stream skips as malformed.
 */
import * as v from "valibot";
import type { SecretKey } from "../process/base/keys.js";
import type { Result } from "../process/base/result.js";
import { createSuccess } from "../process/base/result.js";
import { parseJson, parseWith } from "../version/schema.js";
import type { LogError, LogPage, LogRecord, LogService } from "./logService.js";
import { HttpLogService } from "./logService.js";

/** Stored form of a signed record. */
const envelopeSchema = v.object({ signature: v.string(), body: v.string() });

/**
 * Creates the client of the log service, with a timeout in milliseconds. If a key is given, records are signed with it.
 */
export function createLogService(url: string, timeoutMs: number, key: SecretKey | undefined): LogService {
    const log = new HttpLogService(url, timeoutMs);
    return key === undefined ? log : new SignedLogService(log, key);
}

/** Signs appended records and checks the signatures of records that are read. */
export class SignedLogService implements LogService {
    constructor(private readonly inner: LogService, private readonly key: SecretKey) {}

    append(stream: string, body: string): Promise<Result<number, LogError>> {
        const signature = this.key.sign(createSignedText(stream, body));
        return this.inner.append(stream, JSON.stringify({ signature, body }));
    }

    async read(stream: string, from: number): Promise<Result<LogPage, LogError>> {
        const page = await this.inner.read(stream, from);
        if (!page.ok) {
            return page;
        }
        const records = page.value.records.map(record => this.checkRecord(stream, record));
        return createSuccess({ ...page.value, records });
    }

    private checkRecord(stream: string, record: LogRecord): LogRecord {
        const envelope = parseWith(envelopeSchema, parseJson(record.body));
        const isSignatureValid = envelope !== undefined
            && this.key.isValidSignature(createSignedText(stream, envelope.body), envelope.signature);
        return { ...record, body: isSignatureValid ? envelope.body : "" };
    }
}

function createSignedText(stream: string, body: string): string {
    return `${stream}\n${body}`;
}
