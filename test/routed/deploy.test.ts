/** What keeps the product apart from the platform, and the files by which the platform runs it. */
import { expect } from "chai";
import { spawnSync } from "node:child_process";
import {
    copyFileSync,
    existsSync,
    mkdirSync,
    mkdtempSync,
    readdirSync,
    readFileSync,
    readlinkSync,
    rmSync,
    writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import process from "node:process";
import { parse as parseToml } from "smol-toml";
import { BodyBudget } from "../../src/process/load/bodyBudget.js";
import { computeBodyBytes, computeConnectionLimits } from "../../src/process/settings/processLimits.js";
import { hasReservedReturns, parseRoutedSettings } from "../../src/process/settings/routedSettings.js";
import { formatSettingsError } from "../../src/process/settings/settingsFile.js";
import { formatConfigurationError, parseConfiguration } from "../../src/version/configuration.js";
import { FakeClock } from "../fakes.js";

/** Names that only platform/ may know. */
const platformNames = [
    /"attempt-id"/i,
    /"deadline-ms"/i,
    /caller-service/i,
    /expect-instance/i,
    /upstream-(signature|instance|load)/i,
    /not-executed/i,
    /weighted_services|target_latency|max_connections|health_check|ramp_left|heartbeat_addr/,
    /keyed\.|op\/config|log-(append|read|newest|join)/,
    /instances\.(heartbeat|deregister)/,
    /sidecar|control_plane/,
    /"tenant"|api_keys|requests_per_s\b/i,
    /TURMERICSPOKE_SETTINGS/,
];

/** Most lines of platform/, which only translates. */
const maxPlatformLines = 400;

function listFiles(folder: string): string[] {
    return readdirSync(folder, { recursive: true })
        .map(name => `${folder}/${String(name)}`)
        .filter(name => name.endsWith(".ts"));
}

describe("platform", () => {
    it("has no name of its own in the product", () => {
        const found = listFiles("src").flatMap(file => {
            const text = readFileSync(file, "utf8");
            return platformNames.filter(name => name.test(text)).map(name => `${file}: ${name.source}`);
        });
        expect(found).deep.equals([]);
    });

    it("is translated in one small folder", () => {
        const lines = listFiles("platform").reduce(
            (sum, file) => sum + readFileSync(file, "utf8").split("\n").length,
            0,
        );
        expect(lines).at.most(maxPlatformLines);
    });
});

function findField(fields: unknown, path: string): unknown {
    return path.split(".").reduce<unknown>((at, key) => (at as Record<string, unknown>)?.[key], fields);
}

/**
 * Fills in a template as the platform does, as far as ours needs it: `{{a.b}}`, `{{a.b|json}}` and a section
 * `{{#a.b}} .. {{/a.b}}`, which is there once if there is a value.
 */
function fillTemplate(template: string, fields: unknown): string {
    return template
        .replace(
            /\{\{#([\w.]+)\}\}\n([^]*?)\{\{\/\1\}\}\n/g,
            (_match, path: string, text: string) => findField(fields, path) === undefined ? "" : text,
        )
        .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, path: string, isJson: string | undefined) => {
            const value = findField(fields, path);
            return isJson === undefined ? String(value ?? "") : JSON.stringify(value);
        });
}

/** The template and the words of the command of the deployment's only role. */
function readRole(): { readonly template: string; readonly words: readonly string[]; } {
    const system = parseToml(readFileSync("deploy/system.toml", "utf8")) as {
        roles: Record<string, { run: string; template: string; }>;
    };
    const [role] = Object.values(system.roles);
    return { template: role!.template, words: role!.run.split(" ") };
}

describe("files of the deployment", () => {
    const fields = {
        node: "sidecar-pekalongan-1",
        ip: "10.1.0.8",
        dataCentre: "pekalongan",
        bootstrap: true,
        service: "huvo11a",
        app: "10.1.0.8:8301",
        listen: { outbound: "10.1.0.8:8304", ready: "10.1.0.8:8302", control: "10.1.0.8:8306" },
        port_range: [7620, 7635],
        platform: { address: "10.200.1.7:8309" },
        contracts: ["base", "pressure"],
        bounds: { grace: 6, budget_ratio: 0.2, budget_slack: 49, budget_window: 10 },
    };

    it("build with declared tools only, after an install that is whole", () => {
        const { build } = parseToml(readFileSync("deploy/system.toml", "utf8")) as { build: string; };
        const [ready, ...others] = build.split(" && ");
        expect(ready).equals("node tools/ready.mjs");
        const programs = others.map(command => command.split(" ").slice(0, 2));
        expect(programs.every(([runtime, file]) => runtime === "node" && existsSync(file!)), build).equals(true);
    });

    const installCases: readonly {
        readonly name: string;
        readonly files: readonly string[];
        readonly installs: number;
    }[] = [
        { name: "no packages", files: [], installs: 1 },
        { name: "packages of an install that was cut off", files: ["node_modules/tsc/package.json"], installs: 1 },
        { name: "packages of a whole install", files: ["node_modules/.package-lock.json"], installs: 0 },
    ];
    for (const { name, files, installs } of installCases) {
        it(`install ${installs === 0 ? "nothing" : "the locked packages"} where there are ${name}`, () => {
            const folder = mkdtempSync(join(tmpdir(), "turmericspoke-"));
            const count = join(folder, "count");
            writeFileSync(join(folder, "package-lock.json"), "{}");
            for (const file of files) {
                mkdirSync(dirname(join(folder, file)), { recursive: true });
                writeFileSync(join(folder, file), "{}");
            }
            mkdirSync(join(folder, "bin"));
            writeFileSync(join(folder, "bin/npm"), `#!/bin/sh\necho $1 >> ${count}\n`, { mode: 0o755 });
            const { status } = spawnSync(process.execPath, [resolve("tools/ready.mjs")], {
                cwd: folder,
                env: { ...process.env, PATH: `${join(folder, "bin")}:${process.env["PATH"]}` },
            });
            const calls = existsSync(count) ? readFileSync(count, "utf8").trim().split("\n") : [];
            rmSync(folder, { recursive: true });
            expect(status).equals(0);
            expect(calls).deep.equals(Array.from({ length: installs }, () => "ci"));
        });
    }

    it("render settings that the node takes", () => {
        const text = fillTemplate(readFileSync("deploy/settings.toml", "utf8"), fields);
        const settings = parseRoutedSettings("settings.toml", text);
        expect(settings.ok ? "" : formatSettingsError(settings.error)).equals("");
        expect(settings.ok && settings.value.listeners.caller).deep.equals({ host: "10.1.0.8", port: 8304 });
        expect(settings.ok && settings.value.bounds.graceSeconds).equals(6);
    });

    const returnCases = [
        { contracts: ["base", "pressure", "pool"], isReserved: false },
        { contracts: ["base", "tenants", "quota"], isReserved: true },
    ];
    for (const { contracts, isReserved } of returnCases) {
        it(`${isReserved ? "reserve" : "do not reserve"} times of return with ${contracts.join(", ")}`, () => {
            const text = fillTemplate(readFileSync("deploy/settings.toml", "utf8"), { ...fields, contracts });
            const settings = parseRoutedSettings("settings.toml", text);
            expect(settings.ok && hasReservedReturns(settings.value)).equals(isReserved);
        });
    }

    it("render the bound on quotas where the deployment has it", () => {
        const bounds = { ...fields.bounds, quota_window: 5, quota_overage: 0.1, quota_slack: 20 };
        const text = fillTemplate(readFileSync("deploy/settings.toml", "utf8"), { ...fields, bounds });
        const settings = parseRoutedSettings("settings.toml", text);
        expect(settings.ok && settings.value.bounds)
            .deep.include({ quotaWindowSeconds: 5, quotaOverage: 0.1, quotaSlack: 20 });
    });

    const limitCases: readonly {
        readonly name: string;
        readonly limits: Readonly<Record<string, number>> | undefined;
        readonly bodyBytes: number;
        readonly callers?: number;
    }[] = [
        {
            name: "the smallest machine",
            limits: { memory_mb: 250, max_fds: 4100 },
            bodyBytes: 90_000_000,
            callers: 1950,
        },
        {
            name: "a large machine",
            limits: { memory_mb: 602.4, max_fds: 8192 },
            bodyBytes: 442_400_000,
            callers: 3996,
        },
        { name: "a machine that isn't described", limits: undefined, bodyBytes: 90_000_000 },
    ];
    for (const { name, limits, bodyBytes, callers } of limitCases) {
        it(`divide memory and descriptors of ${name}`, () => {
            const text = fillTemplate(readFileSync("deploy/settings.toml", "utf8"), { ...fields, limits });
            const settings = parseRoutedSettings("settings.toml", text);
            const value = settings.ok ? settings.value : expect.fail(formatSettingsError(settings.error));
            expect(computeBodyBytes(value)).equals(bodyBytes);
            // The largest body that deployments state finds room.
            expect(new BodyBudget(new FakeClock(), bodyBytes).getMaxBodyBytes()).above(67_108_864 + 100_000);
            const computed = computeConnectionLimits(value);
            expect(computed.callers).equals(callers ?? computed.callers);
        });
    }

    it("leave decisions out that the settings switch off, and no others", () => {
        const text = fillTemplate(readFileSync("deploy/settings.toml", "utf8"), fields);
        const parse = (words: string) =>
            parseRoutedSettings("settings.toml", `${text}\n[decisions]\noff = [${words}]\n`);
        const settings = parse("\"hedging\", \"repeatOrder\"");
        expect(settings.ok && settings.value.decisions.off).deep.equals(["hedging", "repeatOrder"]);
        const unknown = parse("\"hedge\"");
        expect(unknown.ok ? "" : formatSettingsError(unknown.error)).contains("decisions.off");
    });

    it("name a role whose template and program exist", () => {
        const { template, words } = readRole();
        expect(template).equals("deploy/settings.toml");
        expect(words.at(-1)).equals("deploy/start.cjs");
        expect(existsSync("deploy/start.cjs")).equals(true);
    });

    it("start the joined program on the pinned runtime, from code that was compiled for it and for the flags of the role", () => {
        const folder = mkdtempSync(join(tmpdir(), "turmericspoke-"));
        for (const name of ["deploy", "target"]) {
            mkdirSync(join(folder, name));
        }
        copyFileSync("deploy/start.cjs", join(folder, "deploy/start.cjs"));
        const bundle = ["tools/bundle.mjs", "dist/platform/main.js", join(folder, "target/node"), "deploy/system.toml"];
        expect(spawnSync(process.execPath, bundle).status).equals(0);
        const [runtime, ...words] = readRole().words;
        const { status, stderr } = spawnSync(join(folder, runtime!), words, {
            cwd: folder,
            encoding: "utf8",
            env: { TURMERICSPOKE_SETTINGS: "missing.toml" },
        });
        rmSync(folder, { recursive: true });
        expect(stderr).matches(/^missing\.toml: ENOENT[^\n]*\n$/);
        expect(status).equals(2);
    });

    it("fall back to the Node.js of the machine where the pinned one can't be started, and say so", () => {
        const folder = mkdtempSync(join(tmpdir(), "turmericspoke-"));
        const tool = JSON.stringify(resolve("tools/runtime.mjs"));
        const code = `import { linkRuntime } from ${tool}; process.stdout.write(linkRuntime("target/runtime"));`;
        const { stdout, stderr } = spawnSync(process.execPath, ["--input-type=module", "-e", code], {
            cwd: folder,
            encoding: "utf8",
        });
        const linked = readlinkSync(join(folder, "target/runtime"));
        rmSync(folder, { recursive: true });
        expect([stdout, linked]).deep.equals([process.execPath, process.execPath]);
        expect(stderr).contains(`${process.version} is used in its place`);
    });

    it("give the operator's configuration the product's names", () => {
        const wire = parseToml(readFileSync("deploy/wire.toml", "utf8")) as {
            fields: Record<string, string>;
            words: Record<string, string>;
        };
        const { fields: names, words } = wire;
        const route = {
            name: "r",
            host: "h.example",
            [names["prefix"]!]: "/a/",
            [names["kind"]!]: words["unsafe"],
            [names["timeout"]!]: 1200,
            [names["target_latency"]!]: 1500,
            [names["attempts"]!]: 2,
            priority: 2,
            [names["weighted_services"]!]: [{ service: "s", weight: 90 }, { service: "t", weight: 10 }],
        };
        const service = (name: string) => ({ name, [names["health_check"]!]: "/h", [names["max_connections"]!]: 5 });
        const limits = { [names["max_body_bytes"]!]: 9, [names["idle_timeout"]!]: 15_000 };
        const parsed = parseConfiguration(
            JSON.stringify({ version: 7, routes: [route], services: [service("s"), service("t")], limits }),
        );
        expect(parsed.ok ? "" : formatConfigurationError(parsed.error)).equals("");
        const value = parsed.ok ? parsed.value : expect.fail();
        expect(value.routes[0]).deep.include({ repetition: "atMostOnce", timeoutMs: 1200, maxRuns: 2 });
        expect(words["upload"]).equals("atMostOnceUpload");
        expect(value.limits).deep.include({ maxBodyBytes: 9, idleTimeoutMs: 15_000 });
    });

    const invalidChanges: readonly {
        readonly name: string;
        readonly change: [RegExp, string];
        readonly error: string;
    }[] = [
        {
            name: "an address without a port",
            change: [/caller = ".*"/, "caller = \"10.1.0.8\""],
            error: "listeners.caller",
        },
        { name: "a ratio below 0", change: [/retryRatio = .*/, "retryRatio = -1"], error: "bounds.retryRatio" },
        { name: "an unknown key", change: [/retryRatio = /, "retryShare = "], error: "bounds.retry" },
        { name: "a line that is no TOML", change: [/\[bounds\]/, "[bounds"], error: "settings.toml:" },
    ];
    for (const { name, change, error } of invalidChanges) {
        it(`are refused with the place of ${name}`, () => {
            const text = fillTemplate(readFileSync("deploy/settings.toml", "utf8"), fields).replace(...change);
            const settings = parseRoutedSettings("settings.toml", text);
            expect(settings.ok ? "" : formatSettingsError(settings.error)).contains(error);
        });
    }
});
