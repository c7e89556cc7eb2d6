/** Serves requests that other nodes forward to this one. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createDisconnectSignal, sendFailureOutcome } from "../connection/httpServer.js";
import type { Clock } from "../process/base/clock.js";
import type { SecretKey } from "../process/base/keys.js";
import type { LocalEndpoint } from "../process/endpoint/localEndpoint.js";
import type { BodyBudget } from "../process/load/bodyBudget.js";
import type { Claims } from "../process/ownership/claims.js";
import { findSingleHeader } from "./action.js";
import type { Answer } from "./answer.js";
import { createNotRunAnswer, reasonStatus } from "./answer.js";
import { readCountedBody } from "./body.js";
import type { Call } from "./call.js";
import { createCallFromMetadata } from "./call.js";
import type { CallMetadata } from "./callMetadata.js";
import { decodeCallMetadata, encodeReplyMetadata } from "./callMetadata.js";
import { copyForwardedHeaders, headerNames } from "./headers.js";

/** HTTP status between nodes when no endpoint answered. The reply header contains the outcome. */
const noAnswerStatus = 503;

/** Retry-after delay of a request whose body found no room, in milliseconds. */
const noRoomRetryMs = 500;

/** Dependencies of {@link servePeer}. */
export interface PeerDependencies {
    readonly clock: Clock;
    readonly service: string;
    readonly maxBodyBytes: number;
    /** Memory for the bodies of requests. */
    readonly bodies: BodyBudget;
    /** Key that peers must send; `undefined` if none is required. */
    readonly key: SecretKey | undefined;
    readonly claims: Claims;
    readonly localEndpoint: LocalEndpoint;
}

/** Serves one request of another node. Malformed requests and those without the peers' key are refused. */
export async function servePeer(
    dependencies: PeerDependencies,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    if (!(dependencies.key?.isValidBearer(findSingleHeader(request.headers, headerNames.peerKey)) ?? true)) {
        response.setHeader("connection", "close");
        sendFailureOutcome(
            response,
            reasonStatus.badRequest,
            "not-run",
            "badRequest",
            undefined,
            "the peers' key is missing",
        );
        return;
    }
    const arrivedAt = dependencies.clock.readMonotonic();
    const signal = createDisconnectSignal(response);
    const body = await readCountedBody(request, response, dependencies);
    if (body === "cut") {
        return;
    }
    if (body === "noRoom") {
        response.setHeader("connection", "close");
        sendPeerAnswer(response, createNotRunAnswer("overloaded", noRoomRetryMs, 0));
        return;
    }
    const metadata = decodeCallMetadata(findSingleHeader(request.headers, headerNames.leg));
    if (body === "tooLarge" || metadata === undefined || metadata.service !== dependencies.service) {
        response.setHeader("connection", "close");
        sendFailureOutcome(response, reasonStatus.badRequest, "not-run", "badRequest", undefined);
        return;
    }
    const call = createCallFromMetadata(metadata, {
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: copyForwardedHeaders(request.rawHeaders),
        body,
        signal,
    }, arrivedAt);
    sendPeerAnswer(response, await serveCall(dependencies, metadata.mode, call));
}

function serveCall(dependencies: PeerDependencies, mode: CallMetadata["mode"], call: Call): Promise<Answer> {
    return mode === "own" ? dependencies.claims.serve(call) : dependencies.localEndpoint.run(call);
}

function sendPeerAnswer(response: ServerResponse, answer: Answer): void {
    if (response.destroyed) {
        return;
    }
    const reply = [headerNames.reply, encodeReplyMetadata(answer)];
    if (answer.outcome === "completed") {
        response.writeHead(answer.status, [...answer.headers, ...reply, "content-length", String(answer.body.length)]);
        response.end(answer.body);
        return;
    }
    response.writeHead(noAnswerStatus, [...reply, "content-length", "0"]);
    response.end();
}
