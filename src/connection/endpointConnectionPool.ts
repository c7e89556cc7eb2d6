/** Pool of keep-alive connections to the local endpoint. The most recently used idle connection is used first. */
import type { Cancellation } from "../process/base/cancellation.js";
import type { Clock } from "../process/base/clock.js";
import type { BodyBudget } from "../process/load/bodyBudget.js";
import type { Logger } from "../process/telemetry/logger.js";
import type { Dialect } from "../request/dialect.js";
import type {
    EndpointConnection,
    EndpointConnectionContext,
    EndpointRequest,
    ExchangeResult,
} from "./endpointConnection.js";
import { openEndpointConnection } from "./endpointConnection.js";
import { StrayAnswers } from "./strayAnswers.js";

/** Maximum idle time of a connection, in milliseconds, unless the endpoint announces a shorter timeout. */
const maxIdleMs = 4000;
/**
 * Fraction of the idle timeout announced by the endpoint after which a connection is no longer used, so that the
 * endpoint doesn't close it while a request is being sent.
 */
const usedIdleFraction = 0.5;
/**
 * Idle time after which a connection carries no more requests that aren't idempotent, in milliseconds. The endpoint may
 * be closing an idle connection, and a reset would leave it unknown whether the request ran.
 */
const maxIdleForNonIdempotentMs = 1000;
/** Time without an answer from which on a cancelled request says that its connection may have fallen silent, in milliseconds. */
const minSilentMs = 500;
/** Interval at which idle connections are checked, in milliseconds. */
const pruneIntervalMs = 1000;

/** Outcome of one request. After `unsent` no part of the request was sent. */
export type SendResult = ExchangeResult | { readonly kind: "unsent"; readonly cause: "unreachable" | "aborted"; };

/** Pool of connections to one endpoint address. */
export class EndpointConnectionPool {
    /** Late, repeated and unasked answers of the endpoint. */
    readonly strayAnswers: StrayAnswers;
    private idle: EndpointConnection[] = [];
    private readonly context: EndpointConnectionContext;
    /** Connections that were opened, or tried, so far. */
    private opened = 0;
    private readonly busy = new Set<EndpointConnection>();

    constructor(
        private readonly clock: Clock,
        private readonly host: string,
        private readonly port: number,
        dialect: Dialect,
        logger: Logger,
        bodies: Pick<BodyBudget, "open">,
    ) {
        this.strayAnswers = new StrayAnswers(logger);
        this.context = { dialect, bodies, strayAnswers: this.strayAnswers };
    }

    /** Sends a request. A cancellation closes the connection that carries it. Never rejects. */
    async send(request: EndpointRequest, isIdempotent: boolean, cancellation: Cancellation): Promise<SendResult> {
        const connection = this.takeIdle(request.attemptId, isIdempotent)
            ?? await this.open();
        if (connection === undefined) {
            return { kind: "unsent", cause: "unreachable" };
        }
        if (cancellation.isCancelled()) {
            this.release(connection);
            return { kind: "unsent", cause: "aborted" };
        }
        this.busy.add(connection);
        const sentAt = this.clock.readMonotonic();
        const abort = (): void => connection.destroy();
        cancellation.listen(abort);
        const result = await connection.send(request);
        cancellation.removeListener(abort);
        this.busy.delete(connection);
        this.release(connection);
        const isUnanswered = result.kind === "lost" && result.cause === "aborted";
        if (isUnanswered && this.clock.readMonotonic() - sentAt > minSilentMs) {
            this.closeIdleSince(sentAt);
        }
        return result;
    }

    /**
     * Closes the connections that were idle at a time and have been since. A request that got no answer may have been on
     * a connection that fell silent, and so may those that were open with it.
     */
    private closeIdleSince(time: number): void {
        const suspect = this.idle.filter(connection => connection.idleSince <= time);
        suspect.forEach(connection => connection.destroy());
        this.idle = this.idle.filter(connection => !suspect.includes(connection));
    }

    /** Closes connections that exceed their idle timeout, until the signal aborts. */
    async runPruning(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleepToTick(pruneIntervalMs, signal);
            const kept = this.idle.filter(connection => this.isReusableWithin(connection, maxIdleMs));
            this.idle.filter(connection => !kept.includes(connection)).forEach(connection => connection.destroy());
            this.idle = kept;
        }
    }

    /** Closes all idle connections; called when a new endpoint process has started at the address. */
    clear(): void {
        this.idle.forEach(connection => connection.destroy());
        this.idle = [];
    }

    /** Closes all connections; requests in progress end as aborted. */
    destroy(): void {
        this.clear();
        this.busy.forEach(connection => connection.destroy());
    }

    private open(): Promise<EndpointConnection | undefined> {
        this.opened += 1;
        return openEndpointConnection(this.host, this.port, this.opened, this.context);
    }

    /** Takes the connection that was used last, of those that have not carried the attempt. */
    private takeIdle(attemptId: string | undefined, isIdempotent: boolean): EndpointConnection | undefined {
        for (let index = this.idle.length - 1; index >= 0; index -= 1) {
            const connection = this.idle[index]!;
            if (!isIdempotent && !this.isReusableWithin(connection, maxIdleForNonIdempotentMs)) {
                return undefined;
            }
            if (attemptId !== undefined && connection.hasCarried(attemptId)) {
                continue;
            }
            this.idle.splice(index, 1);
            if (this.isReusableWithin(connection, maxIdleMs)) {
                return connection;
            }
            connection.destroy();
        }
        return undefined;
    }

    /**
     * Whether a connection is reusable and was idle for less than `maxMs` and `usedIdleFraction` of the announced
     * timeout.
     */
    private isReusableWithin(connection: EndpointConnection, maxMs: number): boolean {
        const allowedMs = Math.min(maxMs, (connection.announcedIdleTimeoutMs ?? Infinity) * usedIdleFraction);
        return connection.isReusable() && this.clock.readMonotonic() - connection.idleSince < allowedMs;
    }

    private release(connection: EndpointConnection): void {
        if (connection.isReusable()) {
            connection.idleSince = this.clock.readMonotonic();
            this.idle.push(connection);
            return;
        }
        connection.destroy();
    }
}
