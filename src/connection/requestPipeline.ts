/**
 * Order of the requests on one connection of a caller. HTTP/1.1 lets a caller send requests before earlier ones are answered.
 *
 * The server of Node.js hands out each request as soon as it is read, and sends the answers in the order of the requests.
 * The pipeline adds what it leaves open. Only the first requests without a sent answer are worked on. What stands behind
 * an answer that closes the connection counts as not read: it isn't handed out, or is cancelled if it was. When the
 * connection is lost, this holds for all of its requests; Node.js tells only the first of them.
 *
 * Load pattern handled: a caller that sends many requests at once on one connection, and may leave before the answers.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";

/** Requests of one connection that are worked on at once; their answers may wait for earlier ones in memory. */
const maxRequestsInWork = 16;
/** Requests of one connection without a sent answer, beyond which nothing more is read from it. */
const maxRequestsRead = 64;

/** Place of a request on its connection. */
export interface PipelineTurn {
    /** Whether the request may be worked on now, beside those before it. */
    mayWork(): boolean;
    /** Waits until the request may be worked on; false if the connection closes before. */
    waitForWork(): Promise<boolean>;
    /** Whether the answers to all requests before it are sent. */
    isNext(): boolean;
    /** Waits until the answers to all requests before it are sent; false if the connection closes before. */
    waitUntilNext(): Promise<boolean>;
    /** Whether no request behind it has been read. */
    isLast(): boolean;
}

/** A request whose answer isn't sent yet. */
interface Entry {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Who waits until fewer than `ahead` requests are before this one. */
    readonly waiters: { readonly ahead: number; readonly settle: (isOpen: boolean) => void; }[];
}

/** Requests of one connection, in their order. */
export class RequestPipeline {
    private readonly entries: Entry[] = [];
    /** Whether an answer closed the connection, or it was lost. */
    private isClosed = false;
    private isPauseDue = false;

    constructor(private readonly socket: Socket) {
        socket.once("close", () => this.close());
    }

    /** Takes in the next request; `undefined` if it stands behind an answer that closes the connection. */
    accept(request: IncomingMessage, response: ServerResponse): PipelineTurn | undefined {
        const before = this.entries.at(-1);
        if (this.isClosed || (before !== undefined && isClosing(before.response))) {
            request.resume();
            return undefined;
        }
        const entry: Entry = { request, response, waiters: [] };
        this.entries.push(entry);
        if (this.entries.length > maxRequestsRead && !this.isPauseDue) {
            this.isPauseDue = true;
            // Node.js resumes the connection behind each request that it has read.
            process.nextTick(() => this.stopReading());
        }
        response.once("finish", () => this.handleSent(entry));
        return {
            mayWork: () => this.hasFewAhead(entry, maxRequestsInWork),
            waitForWork: () => this.waitFor(entry, maxRequestsInWork),
            isNext: () => this.hasFewAhead(entry, 1),
            waitUntilNext: () => this.waitFor(entry, 1),
            isLast: () => this.entries.at(-1) === entry,
        };
    }

    /** Whether nothing of an answer that is due is sent, so that an error may be sent in its place. */
    isFree(): boolean {
        return this.entries.length === 0 || (this.entries.length === 1 && !this.entries[0]!.response.headersSent);
    }

    /** Whether a request was read whole and its answer isn't sent. */
    hasWork(): boolean {
        return this.entries.some(entry => entry.request.complete);
    }

    /**
     * Makes the last of the answers that are due close the connection, since nothing more can be read from it. Returns false
     * if no answer is due, or if a request is incomplete and can't be answered.
     */
    closeAfterAnswers(): boolean {
        const last = this.entries.at(-1);
        if (last === undefined || !last.request.complete) {
            return false;
        }
        if (!last.response.headersSent) {
            last.response.setHeader("connection", "close");
        }
        else {
            last.response.once("finish", () => this.socket.destroySoon());
        }
        return true;
    }

    private handleSent(entry: Entry): void {
        this.entries.splice(this.entries.indexOf(entry), 1);
        if (isClosing(entry.response)) {
            this.close();
            return;
        }
        if (this.entries.length === maxRequestsRead) {
            this.socket.resume();
        }
        this.settleWaiters(this.entries[0]);
        this.settleWaiters(this.entries[maxRequestsInWork - 1]);
    }

    private stopReading(): void {
        this.isPauseDue = false;
        if (this.entries.length > maxRequestsRead) {
            this.socket.pause();
        }
    }

    /** Cancels the requests that won't be answered. */
    private close(): void {
        this.isClosed = true;
        for (const entry of this.entries.splice(0)) {
            entry.waiters.splice(0).forEach(waiter => waiter.settle(false));
            // Node.js tells the response that it was sending itself.
            if (entry.response.socket === null) {
                entry.response.destroy();
                entry.response.emit("close");
            }
        }
    }

    private hasFewAhead(entry: Entry, ahead: number): boolean {
        for (let position = 0; position < ahead; position += 1) {
            if (this.entries[position] === entry) {
                return true;
            }
        }
        return false;
    }

    private waitFor(entry: Entry, ahead: number): Promise<boolean> {
        if (this.isClosed) {
            return Promise.resolve(false);
        }
        return new Promise(settle => {
            entry.waiters.push({ ahead, settle });
            this.settleWaiters(entry);
        });
    }

    private settleWaiters(entry: Entry | undefined): void {
        for (const waiter of entry?.waiters.splice(0) ?? []) {
            if (this.hasFewAhead(entry!, waiter.ahead)) {
                waiter.settle(true);
            }
            else {
                entry!.waiters.push(waiter);
            }
        }
    }
}

/** Whether an answer, as far as it is known, closes its connection. */
function isClosing(response: ServerResponse): boolean {
    return !response.shouldKeepAlive || String(response.getHeader("connection")).toLowerCase() === "close";
}
