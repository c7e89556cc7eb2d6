/** Connections to the peer listeners of other nodes. */
import type { Clock } from "../process/clock.js";
import type { SecretKey } from "../process/keys.js";
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

/** Time that a call may take beyond its deadline, so that the callee's own answer arrives first, in milliseconds. */
const graceMs = 50;
/** Time after which a send to an instance that can't be reached may be tried again, in milliseconds. */
const unreachableRetryMs = 500;

/** Outcome of a call to a peer. `isUndelivered` proves that the peer never got it. */
export interface PeerAnswer {
    readonly answer: Answer;
    readonly isUndelivered: boolean;
}

/** Sends calls to other nodes. */
export interface PeerCaller {
    /** Sends a call with a part of its retry budget. Never rejects. */
    send(member: Member, call: Call, mode: CallMetadata["mode"], lent: number): Promise<PeerAnswer>;
}

/** Sends calls to other nodes over HTTP. */
export class HttpPeerCaller implements PeerCaller {
    private readonly pools = new Map<string, HttpPool>();

    private readonly keyHeader: HeaderList;

    constructor(private readonly clock: Clock, private readonly maxBodyBytes: number, key: SecretKey | undefined) {
        this.keyHeader = key === undefined ? [] : [headerNames.peerKey, key.formatBearer()];
    }

    async send(member: Member, call: Call, mode: CallMetadata["mode"], lent: number): Promise<PeerAnswer> {
        const leg = createCallMetadata(call, mode, lent, this.clock.readMonotonic());
        if (leg.deadlineMs <= 0) {
            return { answer: createNotRunAnswer("deadline", unreachableRetryMs, lent), isUndelivered: true };
        }
        const result = await this.getPool(member).send({
            method: call.method,
            path: call.path,
            headers: [...call.headers, ...this.keyHeader, headerNames.leg, encodeCallMetadata(leg)],
            body: call.body,
            timeoutMs: leg.deadlineMs + graceMs,
            signal: call.signal,
        });
        return readPeerAnswer(result, lent);
    }

    /** Closes connections to members that are gone. */
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

function readPeerAnswer(result: HttpAnswer | HttpFailure, lent: number): PeerAnswer {
    if (result.kind === "unsent") {
        return { answer: createNotRunAnswer("notReady", unreachableRetryMs, lent), isUndelivered: true };
    }
    if (result.kind === "lost") {
        const reason = result.isCancelled ? "cancelled" : result.isTimeout ? "deadline" : "connectionLost";
        return { answer: createUnknownAnswer(reason, unreachableRetryMs), isUndelivered: false };
    }
    const reply = decodeReplyMetadata(findLowerCaseHeader(result.headers, headerNames.reply));
    if (reply === undefined) {
        return { answer: createUnknownAnswer("connectionLost", unreachableRetryMs), isUndelivered: false };
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
