/** Requests that other nodes forward to this one. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createCloseSignal, sendRefusal } from "../connection/httpServer.js";
import type { Claims } from "../process/claims.js";
import type { Clock } from "../process/clock.js";
import type { SecretKey } from "../process/keys.js";
import type { LocalEndpoint } from "../process/localEndpoint.js";
import { findHeader } from "./action.js";
import type { Answer } from "./answer.js";
import { reasonStatus } from "./answer.js";
import { readBody } from "./body.js";
import type { Call } from "./call.js";
import { createCallFromLeg } from "./call.js";
import { copyPassingHeaders, headerNames } from "./headers.js";
import type { Leg } from "./leg.js";
import { decodeLeg, encodeReply } from "./leg.js";

/** Status of an answer between nodes that no endpoint gave; the reply header says more. */
const noAnswerStatus = 503;

/** What the peer side needs from the rest of the node. */
export interface PeerParts {
    readonly clock: Clock;
    readonly service: string;
    readonly maxBodyBytes: number;
    /** Key that peers have to send. */
    readonly key: SecretKey | undefined;
    readonly claims: Claims;
    readonly localEndpoint: LocalEndpoint;
}

/** Serves one request of another node. */
export async function servePeer(parts: PeerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!(parts.key?.isBearer(findHeader(request.headers, headerNames.peerKey)) ?? true)) {
        response.setHeader("connection", "close");
        sendRefusal(response, reasonStatus.badRequest, "not-run", "badRequest", undefined, "the peers' key is missing");
        return;
    }
    const arrivedAt = parts.clock.readMonotonic();
    const signal = createCloseSignal(response);
    const body = await readBody(request, parts.maxBodyBytes);
    if (body === "cut") {
        return;
    }
    const leg = decodeLeg(findHeader(request.headers, headerNames.leg));
    if (body === "tooLarge" || leg === undefined || leg.service !== parts.service) {
        response.setHeader("connection", "close");
        sendRefusal(response, reasonStatus.badRequest, "not-run", "badRequest", undefined);
        return;
    }
    const call = createCallFromLeg(leg, {
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: copyPassingHeaders(request.rawHeaders),
        body,
        signal,
    }, arrivedAt);
    sendPeerAnswer(response, await serveLeg(parts, leg.mode, call));
}

function serveLeg(parts: PeerParts, mode: Leg["mode"], call: Call): Promise<Answer> {
    return mode === "own" ? parts.claims.serve(call) : parts.localEndpoint.run(call);
}

function sendPeerAnswer(response: ServerResponse, answer: Answer): void {
    if (response.destroyed) {
        return;
    }
    const reply = [headerNames.reply, encodeReply(answer)];
    if (answer.outcome === "completed") {
        response.writeHead(answer.status, [...answer.headers, ...reply, "content-length", String(answer.body.length)]);
        response.end(answer.body);
        return;
    }
    response.writeHead(noAnswerStatus, [...reply, "content-length", "0"]);
    response.end();
}
