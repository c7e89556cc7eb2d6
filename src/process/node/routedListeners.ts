/** The HTTP listeners of a routed node. */
import type { ListenerLimits, ListenerRoom, RequestHandler } from "../../connection/httpServer.js";
import { HttpListener } from "../../connection/httpServer.js";
import type { RoutedEntryDependencies } from "../../request/entryRequest.js";
import { serveRoutedRequest } from "../../request/routedEntry.js";
import type { ReportHandlers } from "../endpoint/endpointReports.js";
import { serveEndpointReport } from "../endpoint/endpointReports.js";
import type { ConnectionLimits } from "../settings/processLimits.js";
import { computeConnectionLimits, computeHeadBytes } from "../settings/processLimits.js";
import type { RoutedSettings } from "../settings/routedSettings.js";
import type { Logger } from "../telemetry/logger.js";
import type { RoutedMetrics } from "../telemetry/routedMetrics.js";
import type { InFlightRequests } from "./inFlightRequests.js";

/** Longest header section of a request, in bytes, unless callers have another limit; longer ones are refused. */
const maxHeaderBytes = 65_536;

/** Dependencies of the listeners. */
export interface RoutedListenersDependencies {
    readonly settings: RoutedSettings;
    readonly logger: Logger;
    readonly metrics: RoutedMetrics;
    readonly inFlightRequests: InFlightRequests;
    /** Dependencies of the handler of callers' requests. */
    readonly entry: RoutedEntryDependencies;
    readonly reports: ReportHandlers;
    /** Why the node is not ready for callers; `undefined` when it is. */
    readonly findNotReadyCause: () => string | undefined;
}

/** Listeners for callers, readiness probes, reports of the local endpoint, and metrics. */
export class RoutedListeners {
    private readonly caller: HttpListener;
    private readonly connectionLimits: ConnectionLimits;

    constructor(private readonly dependencies: RoutedListenersDependencies) {
        const { inFlightRequests, entry, settings } = dependencies;
        this.connectionLimits = computeConnectionLimits(settings);
        this.caller = this.createListener(
            inFlightRequests.track((request, response, turn) => serveRoutedRequest(entry, request, response, turn)),
            { maxConnections: this.connectionLimits.callers, maxHeadBytes: computeHeadBytes(settings) },
        );
    }

    /** Connections of callers, and the requests on them. */
    getCallerRoom(): Pick<HttpListener, "room" | "heads"> {
        return this.caller;
    }

    /** Binds all listeners. */
    async start(): Promise<void> {
        const { address, listeners } = this.dependencies.settings;
        const { caller, ready, report, metricsPort } = listeners;
        await this.caller.start(caller.host, caller.port);
        await this.createListener((_request, response) => this.serveReadiness(response)).start(ready.host, ready.port);
        await this.createListener((request, response) =>
            serveEndpointReport(this.dependencies.reports, request, response)
        )
            .start(report.host, report.port);
        await this.createListener((_request, response) => this.serveMetrics(response)).start(address, metricsPort);
    }

    /** Sets the limits of callers. */
    setCallerLimits(limits: ListenerLimits): void {
        this.caller.setLimits(limits);
    }

    /** Closes the connections of callers, and takes no further ones. */
    closeCallers(): void {
        this.caller.close();
    }

    private createListener(
        handler: RequestHandler,
        room: ListenerRoom = { maxConnections: this.connectionLimits.others },
    ): HttpListener {
        const reportError = (error: unknown): void => {
            const cause = error instanceof Error ? error.stack : String(error);
            this.dependencies.logger.error("handlerFailed", { cause });
        };
        return new HttpListener(handler, maxHeaderBytes, reportError, room);
    }

    private serveReadiness(response: Parameters<RequestHandler>[1]): Promise<void> {
        const cause = this.dependencies.findNotReadyCause();
        response.writeHead(cause === undefined ? 200 : 503, { "content-type": "text/plain" });
        response.end(cause ?? "ready");
        return Promise.resolve();
    }

    private async serveMetrics(response: Parameters<RequestHandler>[1]): Promise<void> {
        const { contentType, text } = await this.dependencies.metrics.read();
        response.writeHead(200, { "content-type": contentType });
        response.end(text);
    }
}
