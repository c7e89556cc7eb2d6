/**
 * Turns in which connections read bodies that come in small pieces.
 *
 * Load pattern handled: clients that send chunks of a byte. One read of such a connection brings thousands of pieces, each of which
 * takes the time of a larger one; many such connections at once would keep the process from all others. So only one of them
 * reads at a time, in each round of the event loop.
 */
import type { IncomingMessage } from "node:http";

/** A connection that waits for its turn. */
interface WaitingRead {
    readonly message: IncomingMessage;
    readonly begin: () => void;
}

/** Turns of the connections of one process. */
export class ReadTurns {
    private readonly waiting: WaitingRead[] = [];

    /** Pauses the connection of a message until its turn comes, when `begin` is called and the connection reads on. */
    wait(message: IncomingMessage, begin: () => void): void {
        // What the connection has read already comes nevertheless. The message would resume the connection by itself behind that.
        message._read = () => undefined;
        message.socket.pause();
        this.waiting.push({ message, begin });
        if (this.waiting.length === 1) {
            setImmediate(() => this.startNext());
        }
    }

    private startNext(): void {
        const { message, begin } = this.waiting.shift()!;
        delete (message as Partial<IncomingMessage>)._read;
        begin();
        message.socket.resume();
        if (this.waiting.length > 0) {
            setImmediate(() => this.startNext());
        }
    }
}
