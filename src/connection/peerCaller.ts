/** HTTP client for calls to the peer listeners of other nodes. */
import type { Clock } from "../process/base/clock.js";
import type { SecretKey } from "../process/base/keys.js";
import type { Answer } from "../request/answer.js";
import { createNotRunAnswer, createUnknownAnswer } from "../request/answer.js";
import type { Call } from "../request/call.js";
import { createCallMetadata } from "../request/call.js";
import type { CallMetadata } from "../request/callMetadata.js";
import { decodeReplyMetadata, encodeCallMetadata } from "../request/callMetadata.js";
import type { HeaderList } from "../request/headers.js";
import { copyForwardedHeaders, headerNames } from "../request/headers.js";
import type { Member } from "../version/member.js";
import type { HttpAnswer, HttpFailure } from "./httpPool.js";
import { findLowerCaseHeader, HttpPool } from "./httpPool.js";

/** Time added to the deadline of a call, in milliseconds, so that the callee's own timeout answer can still arrive. */
const answerGraceMs = 50;
/** Delay after which a call without a reply from the peer may be retried, in milliseconds. */
const noReplyRetryMs = 500;

/** Outcome of a call to a peer. If `isUndelivered` is true, the peer never received the call. */
export interface PeerAnswer {
    readonly answer: Answer;
    readonly isUndelivered: boolean;
}

/** Client for calls to other nodes. */
export interface PeerCaller {
    /**
     * Sends a call. `mode` states how the peer handles the call (see `CallMetadata`), and `retryBudget` is the number
     * of retries passed on with it. Never rejects.
     */
    send(member: Member, call: Call, mode: CallMetadata["mode"], retryBudget: number): Promise<PeerAnswer>;
}

/** Sends calls to other nodes over HTTP, with one connection pool per node. */
export class HttpPeerCaller implements PeerCaller {
    private readonly pools = new Map<string, HttpPool>();

    private readonly keyHeader: HeaderList;

    constructor(private readonly clock: Clock, private readonly maxBodyBytes: number, key: SecretKey | undefined) {
        this.keyHeader = key === undefined ? [] : [headerNames.peerKey, key.formatBearer()];
    }

    async send(member: Member, call: Call, mode: CallMetadata["mode"], retryBudget: number): Promise<PeerAnswer> {
        const metadata = createCallMetadata(call, mode, retryBudget, this.clock.readMonotonic());
        if (metadata.deadlineMs <= 0) {
            return { answer: createNotRunAnswer("deadline", noReplyRetryMs, retryBudget), isUndelivered: true };
        }
        const result = await this.getPool(member).send({
            method: call.method,
            path: call.path,
            headers: [...call.headers, ...this.keyHeader, headerNames.leg, encodeCallMetadata(metadata)],
            body: call.body,
            timeoutMs: metadata.deadlineMs + answerGraceMs,
            signal: call.signal,
        });
        return readPeerAnswer(result, retryBudget);
    }

    /** Closes the connections to all nodes that are not among `members`. */
    retain(members: readonly Member[]): void {
        const origins = new Set(members.map(formatOrigin));
        for (const [origin, pool] of this.pools) {
            if (!origins.has(origin)) {
                this.pools.delete(origin);
                void pool.stop();
            }
        }
    }

    /** Closes all connections. */
    async stop(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
    }

    private getPool(member: Member): HttpPool {
        const origin = formatOrigin(member);
        let pool = this.pools.get(origin);
        if (pool === undefined) {
            pool = new HttpPool(origin, this.maxBodyBytes);
            this.pools.set(origin, pool);
        }
        return pool;
    }
}

function formatOrigin(member: Member): string {
    return `http://${member.address}:${member.peerPort}`;
}

function readPeerAnswer(result: HttpAnswer | HttpFailure, retryBudget: number): PeerAnswer {
    if (result.kind === "unsent") {
        return { answer: createNotRunAnswer("notReady", noReplyRetryMs, retryBudget), isUndelivered: true };
    }
    if (result.kind === "lost") {
        const reason = result.isCancelled ? "cancelled" : result.isTimeout ? "deadline" : "connectionLost";
        return { answer: createUnknownAnswer(reason, noReplyRetryMs), isUndelivered: false };
    }
    const reply = decodeReplyMetadata(findLowerCaseHeader(result.headers, headerNames.reply));
    // Without valid reply metadata it is unknown whether the request ran.
    if (reply === undefined) {
        return { answer: createUnknownAnswer("connectionLost", noReplyRetryMs), isUndelivered: false };
    }
    const { unspent, threshold, retryAfterMs } = reply;
    if (reply.outcome === "completed") {
        const answer: Answer = {
            outcome: "completed",
            status: result.status,
            headers: copyForwardedHeaders(result.headers),
            body: result.body,
            isReplayed: reply.isReplayed ?? false,
            unspent,
            threshold,
        };
        return { answer, isUndelivered: false };
    }
    const answer: Answer = {
        outcome: reply.outcome,
        reason: reply.reason ?? "connectionLost",
        retryAfterMs,
        unspent,
        threshold,
    };
    return { answer, isUndelivered: false };
}
