/**
 * Answers of the local endpoint that belong to no request in progress on their connection: late, repeated or unasked ones.
 * They are counted and logged, so that a request that was answered wrongly can be traced to its connection.
 */
import type { Logger } from "../process/telemetry/logger.js";

/** An answer that names another attempt than the request in progress. */
export interface StrayAnswer {
    /** Number of the connection, counted from 1 in this process. */
    readonly connection: number;
    readonly status: number;
    /** Attempt that the answer names; `undefined` if it names none. */
    readonly attemptId: string | undefined;
    /** Attempt of the request in progress; `undefined` for a health check. */
    readonly expected: string | undefined;
}

/** Counts and logs the stray answers of one endpoint. */
export class StrayAnswers {
    private skipped = 0;
    private unasked = 0;

    constructor(private readonly logger: Logger) {}

    /** Records an answer that names another attempt than the request in progress. */
    recordSkipped({ connection, status, attemptId, expected }: StrayAnswer): void {
        this.skipped += 1;
        this.logger.info("answerSkipped", { request: attemptId, connection, status, expected });
    }

    /** Records bytes that arrived on a connection without a request in progress, which closes it. */
    recordUnasked(connection: number): void {
        this.unasked += 1;
        this.logger.info("answerUnasked", { connection });
    }

    /** Number of answers that were skipped. */
    countSkipped(): number {
        return this.skipped;
    }

    /** Number of connections that were closed because of bytes that nobody waited for. */
    countUnasked(): number {
        return this.unasked;
    }
}
