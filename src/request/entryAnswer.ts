/**
 * The answer to a request at its entry.
 *
 * On a stopping node, the answer to the last request on a connection closes it. Which request is the last one shows when its
 * answer is about to be sent: a closing answer ends the requests behind it, which may have been read long before. So while the
 * node stops, an answer is written when those before it are sent.
 */
import type { ServerResponse } from "node:http";
import type { PipelineTurn } from "../connection/requestPipeline.js";
import type { Clock } from "../process/base/clock.js";
import { discardBody, maxDiscardMs } from "./body.js";
import type { EntryStop } from "./entryRequest.js";

/** Names and values of headers, alternately, or by name. */
export type AnswerHeaders = readonly string[] | Readonly<Record<string, string>>;

/** Writes at most one answer; further ones, and those to callers that are gone, are dropped. */
export class EntryAnswer {
    private isDecided = false;

    constructor(
        private readonly response: ServerResponse,
        private readonly turn: Pick<PipelineTurn, "isNext" | "waitUntilNext" | "isLast">,
        private readonly stop: Pick<EntryStop, "hasStarted">,
    ) {}

    /** Sends the answer, on a stopping node as soon as its turn has come. */
    send(status: number, headers: AnswerHeaders, body?: Buffer): void {
        if (this.isDecided) {
            return;
        }
        this.isDecided = true;
        if (this.stop.hasStarted() && !this.turn.isNext()) {
            void this.turn.waitUntilNext().then(isOpen => isOpen && this.write(status, headers, body));
            return;
        }
        this.write(status, headers, body);
    }

    /** Sends an answer to a request whose body isn't read to its end, and closes the connection. */
    async sendUnread(status: number, headers: AnswerHeaders, clock: Pick<Clock, "startTimer">): Promise<void> {
        const { response } = this;
        if (this.isDecided || response.destroyed) {
            return;
        }
        this.isDecided = true;
        response.setHeader("connection", "close");
        response.writeHead(status, headers as string[]);
        response.flushHeaders();
        await discardBody(response.req, clock, maxDiscardMs);
        response.end();
    }

    private write(status: number, headers: AnswerHeaders, body: Buffer | undefined): void {
        const { response } = this;
        if (response.destroyed) {
            return;
        }
        if (this.stop.hasStarted() && this.turn.isLast()) {
            response.setHeader("connection", "close");
        }
        response.writeHead(status, headers as string[]);
        response.end(body);
    }
}
