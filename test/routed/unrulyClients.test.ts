/**
 * Clients that don't behave: crowds whose bodies never end, come in tiny chunks or exceed the limit, and more connections than a
 * process may have. Real processes with the command line of the deployment. Checked is what doesn't depend on the machine's
 * speed: that no process ends, what memory and descriptors each takes, and that an ordinary request is answered while the crowd's
 * connections are open. Crowds and bounds were fixed on 8a0dde8, before the product was changed.
 */
import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import process from "node:process";
import { parse as parseToml } from "smol-toml";
import type { BodyForm, CrowdPlan } from "../../standin/callerCrowd.js";
import { CallerCrowd } from "../../standin/callerCrowd.js";
import type { Machine } from "../../standin/platformCluster.js";
import { PlatformCluster, ports } from "../../standin/platformCluster.js";
import { countDescriptors, readPeakMemoryBytes, sleep, waitFor } from "../../standin/processes.js";
import { createRoute, formatConfiguration } from "./samples.js";

/** Memory of the smallest machine, in bytes. */
const machineBytes = 250_000_000;
/** Descriptors of the smallest machine. */
const machineDescriptors = 4100;
/** Descriptors that are kept for files. */
const fileDescriptors = 200;
/** Largest body that a deployment states, in bytes. */
const largestBodyBytes = 67_108_864;
/** A large answer, in bytes. */
const largeAnswerBytes = 33_554_432;
/** Longest time that anything in these tests may take; nothing is checked against it, in milliseconds. */
const patienceMs = 60_000;

const mebibyte = 1_048_576;

/** Form of a body that is sent as long as it is said to be. */
function createForm(coding: BodyForm["coding"], bodyBytes: number, pieceBytes: number): BodyForm {
    return { coding, bodyBytes, pieceBytes, sentBytes: bodyBytes };
}

const crowdOf60 = { connections: 60, oneWholeIn: 5, host: "katalog.example", deadlineMs: patienceMs, name: "crowd" };

/** A crowd, the limit that it meets, and the process that it meets. */
interface CrowdCase {
    readonly name: string;
    readonly maxBodyBytes: number;
    /** Limit of descriptors of each node's process; `undefined` for the test's own. */
    readonly descriptors?: number;
    /** Listener of the entry that the crowd connects to. */
    readonly port?: number;
    readonly crowd: Omit<CrowdPlan, "path"> & { readonly path?: string; };
}

const cases: readonly CrowdCase[] = [
    {
        name: "bodies of legal size that are announced and stop one byte short",
        maxBodyBytes: 8 * mebibyte,
        crowd: { ...crowdOf60, forms: [createForm("announced", 8 * mebibyte, 65_536)] },
    },
    {
        name: "bodies of legal size that are announced, come in small writes and stop one byte short",
        maxBodyBytes: 8 * mebibyte,
        crowd: { ...crowdOf60, forms: [createForm("announced", 8 * mebibyte, 4096)] },
    },
    {
        name: "bodies of legal size in large chunks that stop before the last one",
        maxBodyBytes: 8 * mebibyte,
        crowd: { ...crowdOf60, forms: [createForm("chunked", 8 * mebibyte - 65_536, 65_536)] },
    },
    {
        name: "chunks of one byte that stop before the last one",
        maxBodyBytes: 8 * mebibyte,
        crowd: { ...crowdOf60, forms: [createForm("chunked", 150_000, 1)] },
    },
    {
        name: "announced bodies, large chunks and tiny ones, side by side",
        maxBodyBytes: 8 * mebibyte,
        crowd: {
            ...crowdOf60,
            forms: [
                createForm("announced", 8 * mebibyte, 65_536),
                createForm("chunked", 8 * mebibyte - 65_536, 65_536),
                createForm("chunked", 450_000, 3),
            ],
        },
    },
    {
        name: "bodies that are announced at eight times the limit",
        maxBodyBytes: 8 * mebibyte,
        crowd: {
            ...crowdOf60,
            forms: [{ ...createForm("announced", 64 * mebibyte, 65_536), sentBytes: 32 * mebibyte }],
        },
    },
    {
        name: "bodies of four times the limit in chunks",
        maxBodyBytes: 8 * mebibyte,
        crowd: { ...crowdOf60, forms: [createForm("chunked", 32 * mebibyte, 65_536)] },
    },
    {
        name: "whole bodies for endpoints that take three seconds a run",
        maxBodyBytes: 8 * mebibyte,
        crowd: {
            ...crowdOf60,
            oneWholeIn: 1,
            path: "/loom/1?bytes=16&run=3000",
            forms: [createForm("announced", 8 * mebibyte, 65_536)],
        },
    },
    {
        name: "whole bodies and bodies that stop short, to a path without a route",
        maxBodyBytes: 8 * mebibyte,
        crowd: { ...crowdOf60, path: "/none/1", forms: [createForm("announced", 8 * mebibyte, 65_536)] },
    },
    {
        name: "400 bodies of legal size that stop one byte short",
        maxBodyBytes: mebibyte,
        crowd: { ...crowdOf60, connections: 400, forms: [createForm("announced", mebibyte, 65_536)] },
    },
    {
        name: "requests with large headers, sent ahead on many connections",
        maxBodyBytes: 8 * mebibyte,
        crowd: {
            ...crowdOf60,
            connections: 400,
            path: "/loom/1?run=3000",
            forms: [{ ...createForm("ahead", 0, 1), requests: 64, headerBytes: 8000 }],
        },
    },
    {
        name: "small requests, sent ahead on many connections",
        maxBodyBytes: 8 * mebibyte,
        crowd: {
            ...crowdOf60,
            connections: 400,
            path: "/loom/1?run=3000",
            forms: [{ ...createForm("ahead", 0, 1), requests: 400, headerBytes: 1 }],
        },
    },
    {
        name: "callers that don't read their large answers",
        maxBodyBytes: 8 * mebibyte,
        crowd: {
            ...crowdOf60,
            isReading: false,
            path: `/loom/1?bytes=${8 * mebibyte}`,
            forms: [createForm("announced", 0, 65_536)],
        },
    },
    {
        name: "callers that read their large answers, all at once",
        maxBodyBytes: 8 * mebibyte,
        crowd: { ...crowdOf60, path: `/loom/1?bytes=${8 * mebibyte}`, forms: [createForm("announced", 0, 65_536)] },
    },
    {
        name: "connections to the listener of links that say nothing, more than the process has descriptors",
        maxBodyBytes: 8 * mebibyte,
        descriptors: 300,
        port: ports.peer,
        crowd: { ...crowdOf60, connections: 600, forms: [createForm("silent", 0, 1000)] },
    },
    {
        name: "more connections than the process has descriptors, with small bodies",
        maxBodyBytes: 8 * mebibyte,
        descriptors: 300,
        crowd: { ...crowdOf60, connections: 600, forms: [createForm("announced", 1000, 1000)] },
    },
    {
        name: "more connections than the process has descriptors, with heads that stop short",
        maxBodyBytes: 8 * mebibyte,
        descriptors: 300,
        crowd: { ...crowdOf60, connections: 600, forms: [createForm("headOnly", 1000, 1000)] },
    },
    {
        name: "more connections to the readiness listener than the process has descriptors",
        maxBodyBytes: 8 * mebibyte,
        descriptors: 300,
        port: ports.ready,
        crowd: { ...crowdOf60, connections: 600, forms: [createForm("headOnly", 1000, 1000)] },
    },
];

/** Node.js of the deployment, or the one that runs the tests where that can't be started. */
function chooseRuntime(): string {
    const pinned = `node_modules/node-linux-${process.arch}/bin/node`;
    return spawnSync(pinned, ["--version"]).status === 0 ? pinned : process.execPath;
}

/** Flags with which the deployment runs a node. */
function readFlags(): readonly string[] {
    const { roles } = parseToml(readFileSync("deploy/system.toml", "utf8")) as { roles: { node: { run: string; }; }; };
    return roles.node.run.split(" ").filter(word => word.startsWith("--"));
}

/** Starts nodes as the deployment does: three beside endpoints of one service, and one of another. */
async function startCluster(maxBodyBytes: number, descriptors: number | undefined): Promise<PlatformCluster> {
    const runtime = chooseRuntime();
    const cluster = new PlatformCluster(
        [{ name: "katalog", instances: 3, slots: 50, runMs: 5 }, { name: "kas", instances: 1, slots: 50, runMs: 5 }],
        4,
        readFlags(),
        "info",
        undefined,
        descriptors === undefined ? [runtime] : ["sh", "-c", `ulimit -n ${descriptors}; exec "$0" "$@"`, runtime],
    );
    const configuration = JSON.parse(
        formatConfiguration(1, [
            createRoute({ timeoutMs: patienceMs, targetLatencyMs: patienceMs }),
            createRoute({
                name: "advance",
                host: "kas.example",
                timeoutMs: patienceMs,
                targetLatencyMs: patienceMs,
                shares: [{ service: "kas", weight: 1 }],
            }),
        ]),
    ) as { limits: Record<string, number>; };
    configuration.limits["maxBodyBytes"] = maxBodyBytes;
    await cluster.start(JSON.stringify(configuration));
    return cluster;
}

function getProcessId(machine: Machine): number {
    return machine.node!.pid!;
}

/** Checks that each node lives and keeps within its machine. */
function checkProcesses(cluster: PlatformCluster, descriptors: number): void {
    for (const machine of cluster.machines) {
        expect([machine.node!.exitCode, machine.node!.signalCode], machine.address).deep.equals([null, null]);
        const pid = getProcessId(machine);
        expect(readPeakMemoryBytes(pid), `memory of ${machine.address}`).below(machineBytes);
        expect(countDescriptors(pid), `descriptors of ${machine.address}`).at.most(descriptors - fileDescriptors);
    }
}

describe("clients that don't behave", function() {
    this.timeout(3 * patienceMs);
    let cluster: PlatformCluster | undefined;
    let crowd: CallerCrowd | undefined;
    afterEach(async () => {
        crowd?.leave();
        await cluster?.stop();
        cluster = undefined;
        crowd = undefined;
    });

    for (const { name, maxBodyBytes, descriptors, port, crowd: plan } of cases) {
        it(`end no process and keep no ordinary caller from its answer: ${name}`, async () => {
            cluster = await startCluster(maxBodyBytes, descriptors);
            const [entry] = cluster.machines as [Machine];
            crowd = new CallerCrowd({ path: "/loom/1?bytes=16", ...plan });
            await crowd.send(entry.address, port ?? ports.caller);
            // What the crowd has sent may still wait in the sockets.
            await sleep(500);
            checkProcesses(cluster, descriptors ?? machineDescriptors);
            const answer = await entry.call("POST", "katalog.example", "/loom/2", "ordinary", patienceMs, "an advance");
            expect([answer.status, answer.body]).deep.equals([200, "an advance"]);
            expect(await entry.isReady()).equals(true);
            checkProcesses(cluster, descriptors ?? machineDescriptors);
            expect(entry.log).not.contains("EMFILE");
        });
    }

    const singleForms: readonly (readonly [string, BodyForm])[] = [
        ["announced", createForm("announced", largestBodyBytes, 65_536)],
        ["in chunks of 64 KiB", createForm("chunked", largestBodyBytes, 65_536)],
        ["in chunks of 1000 bytes", createForm("chunked", largestBodyBytes, 1000)],
    ];
    for (const [name, form] of singleForms) {
        it(`leave a single body of the largest size served in calm, ${name}`, async () => {
            cluster = await startCluster(largestBodyBytes, undefined);
            const [entry] = cluster.machines as [Machine];
            const path = "/loom/1?digest=1";
            const plan = { ...crowdOf60, connections: 1, oneWholeIn: 1, path, forms: [form] };
            // The requests to kas run beside another node than their entry.
            const hosts = ["katalog.example", "kas.example", "katalog.example", "kas.example"];
            for (const [turn, host] of hosts.entries()) {
                crowd = new CallerCrowd({ ...plan, host, name: `single${turn}` });
                await crowd.send(entry.address, ports.caller);
                await waitFor(() => Promise.resolve(crowd!.countStatuses().get(0) === undefined), patienceMs, "answer");
                await sleep(50);
                const body = Buffer.alloc(largestBodyBytes, form.coding === "announced" ? "rug " : "r");
                const [answer] = crowd.listAnswers();
                expect(answer).matches(/^HTTP\/1\.1 200 /);
                expect(answer).contains(createHash("sha256").update(body).digest("hex"));
                crowd.leave();
            }
            checkProcesses(cluster, machineDescriptors);
        });
    }

    it("leave a single large answer served in calm", async () => {
        cluster = await startCluster(largestBodyBytes, undefined);
        const [entry] = cluster.machines as [Machine];
        for (const [turn, host] of ["katalog.example", "kas.example", "katalog.example", "kas.example"].entries()) {
            const path = `/loom/1?bytes=${largeAnswerBytes}`;
            const answer = await entry.call("GET", host, path, `large${turn}`, patienceMs);
            expect([answer.status, answer.body.length]).deep.equals([200, largeAnswerBytes]);
        }
        checkProcesses(cluster, machineDescriptors);
    });
});
