/**
 * One link to another node: a TCP connection that carries many requests at once.
 *
 * A link on which nothing arrives is probed, and closed when the probe stays unanswered: a partition or a connection that was
 * lost on the way gives no other sign.
 */
import type { Socket } from "node:net";
import { connect } from "node:net";
import type { Cancellation } from "../process/cancellation.js";
import type { Clock } from "../process/clock.js";
import type { PeerRunRequest } from "../request/runRequest.js";
import type {
    AnswerMessage,
    FailedMessage,
    LinkMessage,
    LoadReport,
    RefusedMessage,
    RunMessage,
} from "./linkMessage.js";
import { encodeMessage, MessageReader } from "./linkMessage.js";

/** Time for a new connection and the first message on it, in milliseconds. */
const connectTimeoutMs = 700;
/** Silence after which a link with requests in flight is probed, in milliseconds. */
const busySilenceMs = 300;
/** Silence after which an idle link is probed, in milliseconds. */
const idleSilenceMs = 1500;
/** Time for the answer to a probe, in milliseconds. */
const probeTimeoutMs = 450;

/** How a request on a link ended. After `lost` the other node may have passed it on. */
export type LinkOutcome = AnswerMessage | RefusedMessage | FailedMessage | { readonly kind: "lost"; };

/** What a link tells its owner. */
export interface LinkEvents {
    /** A message that ends no request. */
    readonly receive: (message: LinkMessage) => void;
    readonly recordLoad: (load: LoadReport) => void;
    readonly close: (cause: string) => void;
}

/** The calling end of a link. */
export class Link {
    private readonly pending = new Map<number, (outcome: LinkOutcome) => void>();
    private readonly reader = new MessageReader();
    private lastId = 0;
    private isOpen = true;
    private receivedAt: number;
    private probedAt: number | undefined;

    constructor(
        private readonly clock: Clock,
        private readonly socket: Socket,
        readonly incarnation: number,
        private readonly events: LinkEvents,
        private readonly getVersion: () => number,
    ) {
        this.receivedAt = clock.readMonotonic();
        socket.on("data", chunk => this.readChunk(chunk));
        socket.on("error", () => this.close("reset"));
        socket.on("close", () => this.close("closed"));
    }

    /** Whether messages can be sent. */
    canSend(): boolean {
        return this.isOpen;
    }

    /** Sends a message that has no answer of its own. */
    post(message: LinkMessage): void {
        if (this.isOpen) {
            this.socket.write(encodeMessage(message));
        }
    }

    /** Sends a request and waits for its end. `isResent` says that another link was lost with it. A cancellation is passed on to the other node. Never rejects. */
    run(run: PeerRunRequest, isResent: boolean, cancellation: Cancellation): Promise<LinkOutcome> {
        if (!this.isOpen) {
            return Promise.resolve({ kind: "lost" });
        }
        return new Promise(resolve => {
            this.lastId += 1;
            const id = this.lastId;
            const cancel = (): void => this.post({ kind: "cancel", id });
            this.pending.set(id, outcome => {
                cancellation.removeListener(cancel);
                resolve(outcome);
            });
            this.post(createRunMessage(id, run, isResent, this.clock.readMonotonic()));
            cancellation.listen(cancel);
        });
    }

    /** Probes the link if it is silent, and closes it if a probe stayed unanswered. Called a few times a second. */
    checkSilence(): void {
        const now = this.clock.readMonotonic();
        if (this.probedAt !== undefined) {
            if (now - this.probedAt > probeTimeoutMs) {
                this.close("silent");
            }
            return;
        }
        if (now - this.receivedAt > (this.pending.size > 0 ? busySilenceMs : idleSilenceMs)) {
            this.probedAt = now;
            this.post({ kind: "ping", version: this.getVersion() });
        }
    }

    /** Closes the link; requests in flight end as lost. */
    close(cause: string): void {
        if (!this.isOpen) {
            return;
        }
        this.isOpen = false;
        this.socket.destroy();
        const settles = [...this.pending.values()];
        this.pending.clear();
        this.events.close(cause);
        for (const settle of settles) {
            settle({ kind: "lost" });
        }
    }

    private readChunk(chunk: Buffer): void {
        this.receivedAt = this.clock.readMonotonic();
        this.probedAt = undefined;
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
            this.events.recordLoad(message.load);
        }
        switch (message.kind) {
            case "answer":
            case "refused":
            case "failed": {
                const settle = this.pending.get(message.id);
                this.pending.delete(message.id);
                settle?.(message);
                return;
            }
            default:
                this.events.receive(message);
        }
    }
}

function createRunMessage(id: number, run: PeerRunRequest, isResent: boolean, now: number): RunMessage {
    return {
        kind: "run",
        id,
        attemptId: run.attemptId,
        sendNumber: run.sendNumber,
        isResent,
        service: run.service,
        route: run.route,
        method: run.method,
        path: run.path,
        headers: run.headers,
        body: run.body,
        isIdempotent: run.isIdempotent,
        origin: run.origin,
        timeLeftMs: run.deadline - now,
        targetLeftMs: run.target - now,
        callerService: run.callerService,
    };
}

/** The other node's greeting. */
export type HelloMessage = Extract<LinkMessage, { kind: "hello"; }>;

/** A connection over which both nodes have greeted each other. */
export interface GreetedSocket {
    readonly socket: Socket;
    readonly hello: HelloMessage;
}

/** Connects to another node and exchanges greetings; `undefined` when that fails, so that nothing else was sent. */
export function openLinkSocket(
    host: string,
    port: number,
    greeting: HelloMessage,
): Promise<GreetedSocket | undefined> {
    return new Promise(resolve => {
        const socket = connect({ host, port, noDelay: true });
        const reader = new MessageReader();
        const timer = setTimeout(() => socket.destroy(), connectTimeoutMs);
        const fail = (): void => {
            clearTimeout(timer);
            resolve(undefined);
        };
        const readChunk = (chunk: Buffer): void => {
            const hello = reader.read(chunk)?.find((message): message is HelloMessage => message.kind === "hello");
            if (hello === undefined) {
                socket.destroy();
                return;
            }
            clearTimeout(timer);
            socket.removeListener("data", readChunk);
            socket.removeListener("close", fail);
            resolve({ socket, hello });
        };
        socket.on("error", () => undefined);
        socket.once("close", fail);
        socket.on("data", readChunk);
        socket.once("connect", () => socket.write(encodeMessage(greeting)));
    });
}
