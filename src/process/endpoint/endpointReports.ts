/** Serves the reports of the local endpoint: `POST /endpoint/ID/report` and `POST /endpoint/ID/leave`. */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import { sendJson } from "../../connection/httpServer.js";
import { readBody } from "../../request/body.js";
import { createIntegerSchema, parseJson, parseWith } from "../../version/schema.js";
import type { EndpointReport } from "./endpointState.js";

/** Maximum size of a report, in bytes. */
const maxReportBytes = 65_536;

const reportSchema = v.object({
    slots: createIntegerSchema(0, 1_000_000),
    state: v.picklist(["ready", "draining"]),
    reportNumber: createIntegerSchema(0, Number.MAX_SAFE_INTEGER),
});

/** Handlers of a report and of a leave message; `id` names the endpoint's incarnation. */
export interface ReportHandlers {
    readonly report: (report: EndpointReport) => void;
    readonly leave: (id: string) => void;
}

/**
 * Serves one report or leave message. Answers 404 to another method or path and 400 to a malformed or too large report,
 * which has no effect; a request whose body is cut off gets no answer.
 */
export async function serveEndpointReport(
    handlers: ReportHandlers,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const body = await readBody(request, maxReportBytes);
    if (body === "cut") {
        return;
    }
    const [, id, operation] = /^\/endpoint\/([^/?]{1,256})\/(report|leave)$/.exec(request.url ?? "") ?? [];
    if (request.method !== "POST" || id === undefined) {
        sendJson(response, 404, { error: "no such call" });
        return;
    }
    if (operation === "leave") {
        handlers.leave(id);
        sendJson(response, 200, {});
        return;
    }
    const report = body === "tooLarge" ? undefined : parseWith(reportSchema, parseJson(body.toString("utf8")));
    if (report === undefined) {
        sendJson(response, 400, { error: "not a report" });
        return;
    }
    handlers.report({ id, ...report });
    sendJson(response, 200, {});
}
