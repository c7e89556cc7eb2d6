/** Routes and customers of one version of the configuration. The route of a request is, among the routes of its host, the one with the longest matching path prefix. */
import type { Configuration, RouteContract } from "./configuration.js";
import { CustomerTable } from "./customer.js";

/** Routes of one version of the configuration. */
export class RouteTable {
    /** Routes by host, longest prefix first. */
    private readonly routesByHost = new Map<string, RouteContract[]>();

    /** Customers of this version. */
    readonly customers: CustomerTable;

    constructor(readonly configuration: Configuration) {
        this.customers = new CustomerTable(configuration.customers);
        for (const route of configuration.routes) {
            const routes = this.routesByHost.get(route.host) ?? [];
            routes.push(route);
            this.routesByHost.set(route.host, routes);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
    }

    /** Finds the route of a request; `undefined` if there is none. `host` may contain a port, `path` a query. */
    find(host: string, path: string): RouteContract | undefined {
        const routes = this.routesByHost.get(host.toLowerCase().replace(/:\d+$/, ""));
        const queryStart = path.indexOf("?");
        const pathOnly = queryStart === -1 ? path : path.slice(0, queryStart);
        return routes?.find(route => pathOnly.startsWith(route.pathPrefix));
    }
}
