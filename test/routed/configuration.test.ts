/** Configurations of the operator: what is valid, which one is in force, which route a request takes. */
import { expect } from "chai";
import fc from "fast-check";
import {
    formatConfigurationError,
    formatConfigurationWarning,
    parseConfiguration,
} from "../../src/version/configuration.js";
import { ConfigurationHolder } from "../../src/version/configurationHolder.js";
import { RouteTable } from "../../src/version/routeTable.js";
import { readPropertyOptions } from "../fakes.js";
import { createRoute, formatConfiguration } from "./samples.js";

describe("configuration", () => {
    const valid = JSON.parse(formatConfiguration(3, [createRoute()])) as Record<string, unknown>;
    const route = (valid["routes"] as Record<string, unknown>[])[0]!;
    const cases: readonly { readonly name: string; readonly text: string; readonly error: string; }[] = [
        { name: "is cut short", text: JSON.stringify(valid).slice(0, 40), error: "not JSON" },
        { name: "has no version", text: JSON.stringify({ ...valid, version: undefined }), error: "version" },
        {
            name: "has a route whose kind is no word",
            text: JSON.stringify({ ...valid, routes: [{ ...route, repetition: 7 }] }),
            error: "routes.0.repetition",
        },
        {
            name: "has a prefix without its slash",
            text: JSON.stringify({ ...valid, routes: [{ ...route, pathPrefix: "/loom" }] }),
            error: "routes.0.pathPrefix",
        },
        {
            name: "names an unknown service",
            text: JSON.stringify({ ...valid, services: [] }),
            error: "routes.r",
        },
        {
            name: "has a share of no weight",
            text: JSON.stringify({ ...valid, routes: [{ ...route, shares: [{ service: "katalog", weight: 0 }] }] }),
            error: "routes.r",
        },
        {
            name: "allows no run at all",
            text: JSON.stringify({ ...valid, routes: [{ ...route, maxRuns: 0 }] }),
            error: "routes.0.maxRuns",
        },
    ];
    for (const { name, text, error } of cases) {
        it(`is refused whole when it ${name}`, () => {
            const parsed = parseConfiguration(text);
            expect(parsed.ok).equals(false);
            expect(parsed.ok ? "" : formatConfigurationError(parsed.error)).contains(error);
            const holder = new ConfigurationHolder();
            holder.adoptIfNewer(formatConfiguration(1, [createRoute()]));
            expect(holder.adoptIfNewer(text).kind).equals("invalid");
            expect(holder.getVersion()).equals(1);
        });
    }

    const kindCases: readonly {
        readonly word: string;
        readonly repetition: string;
        readonly warnings: readonly string[];
    }[] = [
        { word: "idempotent", repetition: "idempotent", warnings: [] },
        { word: "atMostOnce", repetition: "atMostOnce", warnings: [] },
        { word: "atMostOnceUpload", repetition: "atMostOnce", warnings: [] },
        { word: "idempotentDownload", repetition: "idempotent", warnings: [] },
        {
            word: "often",
            repetition: "atMostOnce",
            warnings: ["routes.r.repetition: unknown word \"often\", treated as atMostOnce"],
        },
    ];
    for (const { word, repetition, warnings } of kindCases) {
        it(`is in force with a route of kind ${word}, which is ${repetition}`, () => {
            const text = JSON.stringify({ ...valid, routes: [route, { ...route, repetition: word }], later: "field" });
            const parsed = parseConfiguration(text);
            const value = parsed.ok ? parsed.value : expect.fail();
            expect(value.routes.map(each => each.repetition)).deep.equals(["idempotent", repetition]);
            expect(value.warnings.map(formatConfigurationWarning)).deep.equals(warnings);
        });
    }

    it("never goes back, in whatever order versions arrive", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 0, max: 300 }), { minLength: 1, maxLength: 30 }), versions => {
                const holder = new ConfigurationHolder();
                let highest = -1;
                for (const version of versions) {
                    holder.adoptIfNewer(formatConfiguration(version, [createRoute()]));
                    highest = Math.max(highest, version);
                    expect(holder.getVersion()).equals(highest);
                }
            }),
            readPropertyOptions(100),
        );
    });

    it("takes any text without failing", () => {
        fc.assert(
            fc.property(fc.oneof(fc.string(), fc.json()), text => {
                parseConfiguration(text);
            }),
            readPropertyOptions(300),
        );
    });
});

describe("route of a request", () => {
    const routes = [
        createRoute({ name: "short", pathPrefix: "/loom/" }),
        createRoute({ name: "long", pathPrefix: "/loom/red/" }),
        createRoute({ name: "other", host: "Ekspor.example", pathPrefix: "/" }),
    ];
    const parsed = parseConfiguration(formatConfiguration(1, routes));
    const table = new RouteTable(parsed.ok ? parsed.value : expect.fail());
    const cases: readonly { readonly host: string; readonly path: string; readonly route: string | undefined; }[] = [
        { host: "katalog.example", path: "/loom/1", route: "short" },
        { host: "katalog.example", path: "/loom/red/1", route: "long" },
        { host: "katalog.example", path: "/loom/red", route: "short" },
        { host: "KATALOG.example:8304", path: "/loom/", route: "short" },
        { host: "katalog.example", path: "/loom", route: undefined },
        { host: "katalog.example", path: "/?/loom/", route: undefined },
        { host: "ekspor.example", path: "/?a=/b", route: "other" },
        { host: "unknown.example", path: "/loom/1", route: undefined },
    ];
    for (const { host, path, route } of cases) {
        it(`${host}${path} is ${route ?? "none"}`, () => {
            expect(table.find(host, path)?.name).equals(route);
        });
    }
});
