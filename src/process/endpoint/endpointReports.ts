/** Serves the reports of the local endpoint: `POST /endpoint/ID/report` and `POST /endpoint/ID/leave`. */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import { sendJson } from "../../connection/httpServer.js";
import { readBody } from "../../request/body.js";
import { createIntegerSchema, parseJson, parseWith, shortTextSchema } from "../../version/schema.js";
import type { EndpointReport } from "./endpointState.js";

/** Maximum size of a report, in bytes. */
const maxReportBytes = 65_536;

/** Longest id of an incarnation. With the time of its start it has to fit into an instance record. */
const idPattern = /^\/endpoint\/([^/?\s]{1,100})\/(report|leave)$/;

const bornSchema = v.optional(createIntegerSchema(0, Number.MAX_SAFE_INTEGER));
const reportSchema = v.object({
    service: shortTextSchema,
    address: shortTextSchema,
    dataCentre: shortTextSchema,
    version: shortTextSchema,
    slots: createIntegerSchema(0, 1_000_000),
    state: v.picklist(["ready", "draining"]),
    reportNumber: createIntegerSchema(0, Number.MAX_SAFE_INTEGER),
    born: bornSchema,
});
const leaveSchema = v.object({ service: v.optional(shortTextSchema), born: bornSchema });

/** Handlers of a report and of a leave message; `id` and `born` name the endpoint's incarnation. */
export interface ReportHandlers {
    /** Service of the endpoint; reports of any other aren't its own. */
    readonly service: string;
    /** Address of the endpoint, `host:port`. */
    readonly address: string;
    readonly report: (report: EndpointReport) => void;
    /** Called when an endpoint of another service reports from the address. */
    readonly reportForeign: (id: string, service: string) => void;
    readonly leave: (id: string, born: number | undefined) => void;
}

/**
 * Serves one report or leave message. Answers 404 to another method or path and 400 to one that is malformed, too large or
 * of another service, which has no other effect than that the endpoint's address is known to be taken; a request whose body is cut off gets no answer.
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
    const [, id, operation] = idPattern.exec(request.url ?? "") ?? [];
    if (request.method !== "POST" || id === undefined) {
        sendJson(response, 404, { error: "no such call" });
        return;
    }
    const text = body === "tooLarge" ? undefined : body.toString("utf8");
    const isTaken = operation === "leave" ? applyLeave(handlers, id, text) : applyReport(handlers, id, text);
    sendJson(response, isTaken ? 200 : 400, isTaken ? {} : { error: `not a ${operation} message` });
}

function applyReport(handlers: ReportHandlers, id: string, text: string | undefined): boolean {
    const message = text === undefined ? undefined : parseWith(reportSchema, parseJson(text));
    if (message === undefined) {
        return false;
    }
    if (message.service !== handlers.service) {
        if (message.address === handlers.address) {
            handlers.reportForeign(id, message.service);
        }
        return false;
    }
    const { slots, state, reportNumber, born } = message;
    handlers.report({ id, born, slots, state, reportNumber });
    return true;
}

/** A leave message may be empty; what it states has to be its own. */
function applyLeave(handlers: ReportHandlers, id: string, text: string | undefined): boolean {
    const message = text === undefined ? undefined : parseWith(leaveSchema, text === "" ? {} : parseJson(text));
    if (message === undefined || (message.service ?? handlers.service) !== handlers.service) {
        return false;
    }
    handlers.leave(id, message.born);
    return true;
}
