/** Server side of links: accepts the links of other nodes and dispatches their messages. */
import type { Server, Socket } from "node:net";
import { createServer } from "node:net";
import { ConnectionRoom } from "./connectionRoom.js";
import type { HelloMessage } from "./link.js";
import type { LinkMessage, RunMessage } from "./linkMessage.js";
import { startListening } from "./listening.js";
import type { AdmitRun } from "./messageReader.js";
import { MessageReader } from "./messageReader.js";
import { sendMessage } from "./messageSocket.js";

/** Time in which the hello message has to come on a new connection, in milliseconds. */
const helloTimeoutMs = 10_000;
/** Connections without a hello message for which no other number is given. */
const defaultMaxUnnamed = 1000;

/** Server side of one link. */
export interface AcceptedLink {
    /** Returns the address of the other node; `undefined` until its hello message has arrived. */
    readonly getPeerAddress: () => string | undefined;
    /**
     * Sends a message. Does nothing if the link is closed. `handleWritten` is called once none of the message's bytes is used here any
     * more, whether they were sent or not.
     */
    readonly post: (message: LinkMessage, handleWritten?: () => void) => void;
    readonly isOpen: () => boolean;
    /** Registers a listener that is called when the link is closed. */
    readonly onClose: (listener: () => void) => void;
}

/** Handlers of received messages. A handler that throws closes the link. */
export interface LinkHandlers {
    readonly createHello: () => HelloMessage;
    readonly handleHello: (hello: HelloMessage, link: AcceptedLink) => void;
    readonly run: (message: RunMessage, link: AcceptedLink) => void;
    readonly cancel: (id: number, link: AcceptedLink) => void;
    /** Makes room for the message of a run. */
    readonly admitRun: AdmitRun;
    /** Refuses a run whose message was skipped, since there was no room for it. */
    readonly refuseRun: (id: number, link: AcceptedLink) => void;
    /** Called with each message of another kind. */
    readonly handleMessage: (message: LinkMessage, link: AcceptedLink) => void;
    /** Called when a link is closed because of a malformed message or a handler that threw. */
    readonly reportFailure: (cause: string, peer: string | undefined) => void;
}

/** Server that accepts links. */
export class LinkServer {
    private readonly server: Server;
    private readonly links = new Set<AcceptedLink>();
    private readonly sockets = new Set<Socket>();
    /** Connections on which no hello message has come. */
    private readonly unnamed: ConnectionRoom;

    /** `maxUnnamed`: connections that may be open without a hello message. */
    constructor(private readonly handlers: LinkHandlers, maxUnnamed = defaultMaxUnnamed) {
        this.unnamed = new ConnectionRoom(maxUnnamed, () => false);
        this.server = createServer({ noDelay: true }, socket => this.accept(socket));
    }

    /** Binds the server to an address; rejects if that fails. */
    start(address: string, port: number): Promise<void> {
        return startListening(this.server, address, port);
    }

    /** Sends a message on every open link. */
    postToAll(message: LinkMessage): void {
        for (const link of this.links) {
            link.post(message);
        }
    }

    /** Whether messages wait in this process until other nodes read them. */
    hasUnsent(): boolean {
        return [...this.sockets].some(socket => socket.writableLength > 0);
    }

    /** Stops accepting links and closes the open ones. */
    stop(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private accept(socket: Socket): void {
        const reader = new MessageReader(this.handlers.admitRun);
        const listeners: (() => void)[] = [];
        let peerAddress: string | undefined;
        let isOpen = true;
        const link: AcceptedLink = {
            getPeerAddress: () => peerAddress,
            post: (message, handleWritten) => {
                if (isOpen) {
                    sendMessage(socket, message, handleWritten);
                }
                else {
                    handleWritten?.();
                }
            },
            isOpen: () => isOpen,
            onClose: listener => listeners.push(listener),
        };
        this.links.add(link);
        this.sockets.add(socket);
        this.unnamed.add(socket);
        socket.setTimeout(helloTimeoutMs, () => socket.destroy());
        socket.on("error", () => undefined);
        socket.on("close", () => {
            isOpen = false;
            reader.close();
            this.links.delete(link);
            this.sockets.delete(socket);
            listeners.forEach(listener => listener());
        });
        socket.on("data", chunk => {
            const messages = reader.read(chunk);
            if (messages === undefined) {
                this.handlers.reportFailure("malformed bytes", peerAddress);
                socket.destroy();
                return;
            }
            for (const message of messages) {
                if (message.kind === "hello") {
                    peerAddress = message.address;
                    this.unnamed.remove(socket);
                    socket.setTimeout(0);
                }
                this.dispatch(message, link, socket);
            }
            reader.takeSkippedRuns().forEach(id => this.handlers.refuseRun(id, link));
        });
        link.post(this.handlers.createHello());
    }

    /**
     * Passes a message to its handler. If the handler throws, as it may on malformed fields, only this link is closed.
     */
    private dispatch(message: LinkMessage, link: AcceptedLink, socket: Socket): void {
        const { handlers } = this;
        try {
            switch (message.kind) {
                case "hello":
                    handlers.handleHello(message, link);
                    return;
                case "run":
                    handlers.run(message, link);
                    return;
                case "cancel":
                    handlers.cancel(message.id, link);
                    return;
                default:
                    handlers.handleMessage(message, link);
            }
        }
        catch (error) {
            handlers.reportFailure((error as Error).message, link.getPeerAddress());
            socket.destroy();
        }
    }
}
