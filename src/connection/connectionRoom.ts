/**
 * Bounds the connections of one listener, so that a process keeps descriptors for other listeners, endpoints and files.
 *
 * Load pattern handled: clients that open connections and leave them open, with incomplete requests or none. A new connection is
 * always accepted if another one can be closed for it: the one that has waited longest without a whole request. Its client loses no
 * answer, since nothing that it has sent is being worked on.
 */
import type { Socket } from "node:net";

/** Connections of one listener. */
export class ConnectionRoom {
    /** Open connections, the one whose last request or answer is longest ago first. */
    private readonly sockets = new Set<Socket>();
    private closed = 0;
    /** Connections that are not read in this round of the event loop. */
    private paused: readonly Socket[] = [];

    /** `isInWork` tells whether a connection has a whole request without a sent answer. */
    constructor(private readonly maxConnections: number, private readonly isInWork: (socket: Socket) => boolean) {}

    /** Connections that are open. */
    countOpen(): number {
        return this.sockets.size;
    }

    /** Connections that were closed to make room for others, or refused since there was none. */
    countClosed(): number {
        return this.closed;
    }

    /** Takes in a new connection, and closes another one if there are too many; the new one if all others are in work. */
    add(socket: Socket): void {
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        if (this.sockets.size <= this.maxConnections) {
            return;
        }
        this.closed += 1;
        const idle = this.findIdle() ?? socket;
        this.sockets.delete(idle);
        idle.destroy();
    }

    /**
     * Reads nothing more from any connection in this round of the event loop, in which many may be due: what was closed takes memory until
     * the round is over.
     */
    skipRound(): void {
        if (this.paused.length > 0) {
            return;
        }
        this.paused = [...this.sockets].filter(socket => !socket.isPaused());
        this.paused.forEach(socket => socket.pause());
        setImmediate(() => {
            const paused = this.paused;
            this.paused = [];
            paused.forEach(socket => socket.resume());
        });
    }

    /** Counts a connection no longer, since it has shown what it is for. */
    remove(socket: Socket): void {
        this.sockets.delete(socket);
    }

    /** Records that a request was read from a connection, or an answer sent on it. */
    recordUse(socket: Socket): void {
        if (this.sockets.delete(socket)) {
            this.sockets.add(socket);
        }
    }

    private findIdle(): Socket | undefined {
        for (const socket of this.sockets) {
            if (!this.isInWork(socket)) {
                return socket;
            }
        }
        return undefined;
    }
}
