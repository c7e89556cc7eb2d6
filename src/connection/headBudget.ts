/**
 * Bounds the memory of requests that are read and not answered, apart from their bodies, over all connections of a listener.
 *
 * Load pattern handled: clients that send many requests ahead, on many connections. One read of a connection may bring thousands of
 * requests. While they take too much together, the connection that has most of them is closed: an ordinary client has few.
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Memory that a request takes while it is worked on, besides its head and its body, in bytes. */
const requestBytes = 16_384;

/** Memory of the requests of one listener. */
export class HeadBudget {
    private readonly bytesBySocket = new Map<Socket, number>();
    private total = 0;
    private closed = 0;

    /** `handleExceeded` is called when a connection is closed. */
    constructor(private readonly maxBytes: number, private readonly handleExceeded: () => void) {}

    /** Bytes that the requests take now. */
    getTotal(): number {
        return this.total;
    }

    /** Connections that were closed because of their requests. */
    countClosed(): number {
        return this.closed;
    }

    /** Counts a request until {@link remove} is called with the bytes that are returned. May close its connection. */
    add(request: IncomingMessage): number {
        const { socket } = request;
        const bytes = measureHead(request);
        const before = this.bytesBySocket.get(socket);
        if (before === undefined) {
            socket.once("close", () => this.forget(socket));
        }
        this.bytesBySocket.set(socket, (before ?? 0) + bytes);
        this.total += bytes;
        while (this.total > this.maxBytes) {
            const largest = this.findLargest();
            this.forget(largest);
            this.closed += 1;
            largest.destroy();
            this.handleExceeded();
        }
        return bytes;
    }

    /** Counts a request no longer. */
    remove(socket: Socket, bytes: number): void {
        const before = this.bytesBySocket.get(socket);
        if (before !== undefined) {
            this.bytesBySocket.set(socket, before - bytes);
            this.total -= bytes;
        }
    }

    private forget(socket: Socket): void {
        this.total -= this.bytesBySocket.get(socket) ?? 0;
        this.bytesBySocket.delete(socket);
    }

    private findLargest(): Socket {
        return [...this.bytesBySocket].reduce((a, b) => b[1] > a[1] ? b : a)[0];
    }
}

/** Memory that a request takes apart from its body, in bytes. */
function measureHead({ rawHeaders, url }: IncomingMessage): number {
    return rawHeaders.reduce((sum, text) => sum + text.length, requestBytes + (url ?? "").length);
}
