/** Keep-alive connections to the local endpoint, the most recently used first. */
import type { Cancellation } from "../process/cancellation.js";
import type { Clock } from "../process/clock.js";
import type { Dialect } from "../request/dialect.js";
import type { EndpointConnection, EndpointRequest, ExchangeResult } from "./endpointConnection.js";
import { openEndpointConnection } from "./endpointConnection.js";

/** Idle time after which a connection is closed if the endpoint names no limit, in milliseconds. */
const maxIdleMs = 4000;
/** Part of the endpoint's own idle limit that is used. */
const idleShare = 0.5;
/**
 * Idle time after which a connection carries no request that must not run twice, in milliseconds: the endpoint may be closing
 * it, and a reset would leave the outcome open.
 */
const maxIdleForOnceMs = 1000;
/** Time between removals of idle connections, in milliseconds. */
const pruneIntervalMs = 1000;

/** Outcome of one send. After `unsent` nothing of the request left this process. */
export type SendResult = ExchangeResult | { readonly kind: "unsent"; readonly cause: "unreachable" | "aborted"; };

/** Connections to one address. */
export class EndpointConnectionPool {
    private idle: EndpointConnection[] = [];
    private readonly busy = new Set<EndpointConnection>();

    constructor(
        private readonly clock: Clock,
        private readonly host: string,
        private readonly port: number,
        private readonly dialect: Dialect,
    ) {}

    /** Sends a request. A cancellation closes its connection. Never rejects. */
    async send(request: EndpointRequest, isIdempotent: boolean, cancellation: Cancellation): Promise<SendResult> {
        const connection = this.takeIdle(isIdempotent)
            ?? await openEndpointConnection(this.host, this.port, this.dialect);
        if (connection === undefined) {
            return { kind: "unsent", cause: "unreachable" };
        }
        if (cancellation.isCancelled()) {
            this.release(connection);
            return { kind: "unsent", cause: "aborted" };
        }
        this.busy.add(connection);
        const abort = (): void => connection.destroy();
        cancellation.listen(abort);
        const result = await connection.send(request);
        cancellation.removeListener(abort);
        this.busy.delete(connection);
        this.release(connection);
        return result;
    }

    /** Closes connections that have been idle for long, until the signal aborts. */
    async runPruning(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleep(pruneIntervalMs, signal);
            const kept = this.idle.filter(connection => this.isFresh(connection, maxIdleMs));
            this.idle.filter(connection => !kept.includes(connection)).forEach(connection => connection.destroy());
            this.idle = kept;
        }
    }

    /** Closes all idle connections; called when the endpoint has become another one. */
    clear(): void {
        this.idle.forEach(connection => connection.destroy());
        this.idle = [];
    }

    /** Closes all connections. */
    destroy(): void {
        this.clear();
        this.busy.forEach(connection => connection.destroy());
    }

    private takeIdle(isIdempotent: boolean): EndpointConnection | undefined {
        for (;;) {
            const connection = this.idle[this.idle.length - 1];
            if (connection === undefined || (!isIdempotent && !this.isFresh(connection, maxIdleForOnceMs))) {
                return undefined;
            }
            this.idle.pop();
            if (this.isFresh(connection, maxIdleMs)) {
                return connection;
            }
            connection.destroy();
        }
    }

    private isFresh(connection: EndpointConnection, maxMs: number): boolean {
        const allowedMs = Math.min(maxMs, (connection.allowedIdleMs ?? Infinity) * idleShare);
        return connection.isReusable() && this.clock.readMonotonic() - connection.idleSince < allowedMs;
    }

    private release(connection: EndpointConnection): void {
        if (connection.isReusable()) {
            connection.idleSince = this.clock.readMonotonic();
            this.idle.push(connection);
        }
    }
}
