/**
 * Client side of a link: a TCP connection to another node that carries many requests concurrently.
 *
 * If nothing arrives on a link for some time, a ping is sent, and the link is closed if nothing arrives after the ping
 * either. A network partition or a connection that was lost on the way can't be detected in any other way.
 */
import type { Socket } from "node:net";
import { connect } from "node:net";
import type { Cancellation } from "../process/base/cancellation.js";
import type { Clock } from "../process/base/clock.js";
import type { PeerRunRequest } from "../request/runRequest.js";
import type {
    AnswerMessage,
    FailedMessage,
    LinkMessage,
    LoadReport,
    LogPosition,
    RefusedMessage,
    RunMessage,
} from "./linkMessage.js";
import { MessageReader } from "./messageReader.js";
import { sendMessage } from "./messageSocket.js";

/** Timeout for opening a connection and receiving the hello message on it, in milliseconds. */
const connectTimeoutMs = 700;
/** Time without received data after which a link with requests in flight is pinged, in milliseconds. */
const busyPingAfterMs = 300;
/** Timeout for receiving data after a ping, in milliseconds. */
const pingTimeoutMs = 450;

/** Outcome of a request on a link. After `lost` the other node may have passed the request to its endpoint. */
export type LinkOutcome = AnswerMessage | RefusedMessage | FailedMessage | { readonly kind: "lost"; };

/** Callbacks through which a link notifies its owner. */
export interface LinkCallbacks {
    /** Called with each message that doesn't complete a request. */
    readonly receive: (message: LinkMessage) => void;
    /** Called with the load report that a message carries. */
    readonly recordLoad: (load: LoadReport) => void;
    /** Called once, when the link has been closed. */
    readonly handleClose: (cause: string) => void;
}

/** Client side of a link that is open after the exchange of hello messages. */
export class Link {
    /** Callbacks that settle the requests in flight. */
    private readonly callbacksByRequestId = new Map<number, (outcome: LinkOutcome) => void>();
    private readonly socket: Socket;
    private readonly reader: MessageReader;
    /** Start time of the other node's process. */
    readonly incarnation: number;
    private lastRequestId = 0;
    private isOpen = true;
    private lastReceivedAt: number;
    private pingedAt: number | undefined;

    constructor(
        private readonly clock: Clock,
        opened: LinkSocket,
        private readonly callbacks: LinkCallbacks,
        private readonly getLogPosition: () => LogPosition,
    ) {
        const { socket, reader, hello } = opened;
        this.socket = socket;
        this.reader = reader;
        this.incarnation = hello.incarnation;
        this.lastReceivedAt = clock.readMonotonic();
        socket.on("data", chunk => this.readChunk(chunk));
        socket.on("error", () => this.close("reset"));
        socket.on("close", () => this.close("closed"));
        socket.resume();
    }

    /** Whether messages can be sent, which is the case while the link is open. */
    canSend(): boolean {
        return this.isOpen;
    }

    /** Sends a message without waiting for an answer. Does nothing if the link is closed. */
    post(message: LinkMessage): void {
        if (this.isOpen) {
            sendMessage(this.socket, message);
        }
    }

    /**
     * Sends a request and waits for its outcome. `isResent` states that the same send was in flight on an earlier link
     * that was lost. A cancellation is forwarded to the other node. Never rejects.
     */
    run(request: PeerRunRequest, isResent: boolean, cancellation: Cancellation): Promise<LinkOutcome> {
        if (!this.isOpen) {
            return Promise.resolve({ kind: "lost" });
        }
        return new Promise(resolve => {
            this.lastRequestId += 1;
            const id = this.lastRequestId;
            const cancel = (): void => this.post({ kind: "cancel", id });
            this.callbacksByRequestId.set(id, outcome => {
                cancellation.removeListener(cancel);
                resolve(outcome);
            });
            // The request may end before its body has left.
            request.bodyShare?.retain();
            const message = createRunMessage(id, request, isResent, this.clock.readMonotonic());
            sendMessage(this.socket, message, () => request.bodyShare?.release());
            cancellation.listen(cancel);
        });
    }

    /** Asks for the load and the version of the other node, unless an earlier ping is unanswered. */
    ping(): void {
        if (this.pingedAt === undefined) {
            this.pingedAt = this.clock.readMonotonic();
            this.post({ kind: "ping", ...this.getLogPosition() });
        }
    }

    /**
     * Sends a ping if nothing has arrived for too long, which is `idlePingAfterMs` milliseconds without a request in
     * flight; closes the link if a ping timed out. Called periodically.
     */
    checkLiveness(idlePingAfterMs: number): void {
        const now = this.clock.readMonotonic();
        if (this.pingedAt !== undefined) {
            if (now - this.pingedAt > pingTimeoutMs) {
                // The cause `silent` in the log means that nothing arrived after a ping.
                this.close("silent");
            }
            return;
        }
        if (now - this.lastReceivedAt > (this.callbacksByRequestId.size > 0 ? busyPingAfterMs : idlePingAfterMs)) {
            this.ping();
        }
    }

    /** Closes the link; requests in flight end as lost. The cause is passed to the owner, which logs it. */
    close(cause: string): void {
        if (!this.isOpen) {
            return;
        }
        this.isOpen = false;
        this.reader.close();
        this.socket.destroy();
        const pendingCallbacks = [...this.callbacksByRequestId.values()];
        this.callbacksByRequestId.clear();
        this.callbacks.handleClose(cause);
        for (const settle of pendingCallbacks) {
            settle({ kind: "lost" });
        }
    }

    /** Receives the messages that arrived right behind the hello message. */
    receiveEarly(messages: readonly LinkMessage[]): void {
        for (const message of messages) {
            this.receive(message);
        }
    }

    private readChunk(chunk: Buffer): void {
        this.lastReceivedAt = this.clock.readMonotonic();
        this.pingedAt = undefined;
        const messages = this.reader.read(chunk);
        if (messages === undefined) {
            this.close("malformed");
            return;
        }
        for (const message of messages) {
            this.receive(message);
        }
    }

    private receive(message: LinkMessage): void {
        if ("load" in message) {
            this.callbacks.recordLoad(message.load);
        }
        switch (message.kind) {
            case "answer":
            case "refused":
            case "failed": {
                const settle = this.callbacksByRequestId.get(message.id);
                this.callbacksByRequestId.delete(message.id);
                settle?.(message);
                return;
            }
            default:
                this.callbacks.receive(message);
        }
    }
}

/** Creates the message that asks for a run; `now` is the monotonic time in milliseconds. */
function createRunMessage(id: number, request: PeerRunRequest, isResent: boolean, now: number): RunMessage {
    return {
        kind: "run",
        id,
        attemptId: request.attemptId,
        sendNumber: request.sendNumber,
        isResent,
        service: request.service,
        route: request.route,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        isIdempotent: request.isIdempotent,
        origin: request.origin,
        timeLeftMs: request.deadline - now,
        targetLeftMs: request.target - now,
        callerService: request.callerService,
        leavingEndpoint: request.leavingEndpoint,
        usualRunMs: request.usualRunMs,
    };
}

/** First message in each direction of a link. */
export type HelloMessage = Extract<LinkMessage, { kind: "hello"; }>;

/** An open connection and the hello message that the other node sent on it. */
export interface LinkSocket {
    readonly socket: Socket;
    /** Reader of the socket's bytes, which may hold the beginning of a message. */
    readonly reader: MessageReader;
    readonly hello: HelloMessage;
    /** Messages that arrived together with the hello message. */
    readonly early: readonly LinkMessage[];
}

/** Connects to another node and exchanges hello messages; resolves to `undefined` if that fails. Never rejects. */
export function openLinkSocket(
    host: string,
    port: number,
    ownHello: HelloMessage,
): Promise<LinkSocket | undefined> {
    return new Promise(resolve => {
        const socket = connect({ host, port, noDelay: true });
        const reader = new MessageReader();
        const timer = setTimeout(() => socket.destroy(), connectTimeoutMs);
        const fail = (): void => {
            clearTimeout(timer);
            resolve(undefined);
        };
        const readChunk = (chunk: Buffer): void => {
            const messages = reader.read(chunk);
            if (messages?.length === 0) {
                return;
            }
            const [hello, ...early] = messages ?? [];
            if (hello?.kind !== "hello") {
                socket.destroy();
                return;
            }
            clearTimeout(timer);
            socket.removeListener("data", readChunk);
            socket.removeListener("close", fail);
            // Bytes that arrive before the link reads them wait in the socket.
            socket.pause();
            resolve({ socket, reader, hello, early });
        };
        socket.on("error", () => undefined);
        socket.once("close", fail);
        socket.on("data", readChunk);
        socket.once("connect", () => sendMessage(socket, ownHello));
    });
}
