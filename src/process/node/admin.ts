/** Admin listener: health, metrics and status pages for operators, and announcements of the local endpoint. */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import { sendJson } from "../../connection/httpServer.js";
import { readBody } from "../../request/body.js";
import { createIntegerSchema, parseJson, parseWith, shortTextSchema } from "../../version/schema.js";
import { getOffsets } from "../membership/streams.js";
import type { NodeView } from "./nodeView.js";

/** Largest request body on this listener, in bytes. */
const maxBodyBytes = 4096;

/** Announcement that the local endpoint repeats while it runs. */
const announcementSchema = v.object({
    /** Differs for each start of the endpoint. */
    boot: shortTextSchema,
    /** Requests that the endpoint can run at the same time. */
    slots: createIntegerSchema(1, 100_000),
    /** Whether the endpoint takes no new requests, since it is about to end. */
    isDraining: v.optional(v.boolean(), false),
});

/** Pages served without the admin key, since the platform's health and readiness probes send no key. */
const publicPages: readonly string[] = ["GET /healthz", "GET /readyz"];

/**
 * Serves one request. Answers 400 to an invalid announcement, 401 without the admin key and 404 for an unknown page.
 */
export async function serveAdmin(node: NodeView, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const page = `${request.method} ${request.url}`;
    const isAllowed = node.keys.admin?.isValidBearer(request.headers.authorization) ?? true;
    if (!isAllowed && !publicPages.includes(page)) {
        sendJson(response, 401, { error: "this page needs the admin key" });
        return;
    }
    switch (page) {
        case "GET /healthz":
            sendJson(response, 200, { status: "ok" });
            return;
        case "GET /readyz": {
            const cause = node.findNotReadyCause();
            sendJson(
                response,
                cause === undefined ? 200 : 503,
                cause === undefined ? { status: "ready" } : { status: "notReady", cause },
            );
            return;
        }
        case "GET /metrics":
            response.writeHead(200, { "content-type": node.metrics.registry.contentType });
            response.end(await node.metrics.registry.metrics());
            return;
        case "GET /status":
            sendJson(response, 200, createStatus(node));
            return;
        case "POST /endpoint":
            await serveAnnouncement(node, request, response);
            return;
        default:
            sendJson(response, 404, { error: "no such page" });
    }
}

async function serveAnnouncement(node: NodeView, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, maxBodyBytes);
    const announcement = Buffer.isBuffer(body)
        ? parseWith(announcementSchema, parseJson(body.toString("utf8")))
        : undefined;
    if (announcement === undefined) {
        sendJson(response, 400, { error: "expected {boot, slots, isDraining}" });
        return;
    }
    node.localEndpoint.acceptAnnouncement(announcement);
    sendJson(response, 200, { inProgress: node.localEndpoint.countRequestsInProgress() });
}

/** Creates the document of `GET /status`, parts of which the `status` command prints. */
function createStatus(node: NodeView) {
    const contracts = node.streams.contracts.get()?.state.contracts ?? {};
    const versions = Object.fromEntries(
        Object.entries(contracts).map(([customer, entry]) => [customer, entry.version]),
    );
    return {
        member: node.self,
        isReady: node.findNotReadyCause() === undefined,
        cause: node.findNotReadyCause(),
        isAnnounced: node.isAnnounced(),
        isLogUp: node.follower.isLogUp(),
        offsets: getOffsets(node.streams),
        versions,
        admission: node.admission.getState(),
        partitionsOwned: node.ownership.countOwned(),
        claims: node.claims.getSize(),
        quarantined: node.quarantine.countRefused(),
        endpoint: { isReady: node.localEndpoint.isReady(), inProgress: node.localEndpoint.countRequestsInProgress() },
        members: node.directory.listAll(),
    };
}
