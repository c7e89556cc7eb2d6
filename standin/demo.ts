/**
 * Demonstration: three services of two instances each, contracts published by the tool, a chain ekspor, kas-benang, katalog,
 * an overload of the deep service, and a graceful stop of everything. Exits with 0 only if the stated outcomes hold.
 */
import process from "node:process";
import type { Contract } from "../src/version/contract.js";
import { Cluster } from "./cluster.js";
import type { ActionResult, Flow } from "./load.js";
import { computeGoodput, isCompleted, Load } from "./load.js";
import { sleep, waitForExit } from "./processes.js";

/** Length of the time before, in and after the overload, in milliseconds. */
const phaseMs = { before: 6000, overload: 7000, after: 8000 };
/** Time after the start of the load that is not counted, in milliseconds. */
const warmUpMs = 2000;
/** Usual rate of browsing. */
const browsesPerSecond = 120;
/** Stated outcomes. */
const stated = { valuableShareInOverload: 0.9, recoveryMs: 5000, recoveredShare: 0.95 };

function createContract(customer: string, className: string, worth: number, idempotent: boolean): Contract {
    return {
        customer,
        allowance: { requestsPerSecond: 5000, burst: 5000 },
        retries: { bound: 4, resendWindowSeconds: 120 },
        classes: {
            [className]: { worth, idempotent, deadlineMilliseconds: 2000 },
            lookup: { worth, idempotent: true, deadlineMilliseconds: 1000 },
        },
    };
}

const contracts = [
    createContract("weavers", "browse", 20, true),
    createContract("treasurers", "advance", 80, false),
    createContract("clerks", "certificate", 90, false),
];
const lookup = (service: string) => ({ service, class: "lookup", path: "/lookup" });
const cluster = new Cluster({
    contracts,
    services: [
        { name: "katalog", slots: 8, serviceMs: 40, calls: [], dataCentres: ["pekalongan", "klaten"] },
        { name: "kas-benang", slots: 40, serviceMs: 10, calls: [lookup("katalog")], dataCentres: ["klaten", "jepara"] },
        {
            name: "ekspor",
            slots: 40,
            serviceMs: 10,
            calls: [lookup("kas-benang")],
            dataCentres: ["jepara", "pekalongan"],
        },
    ],
});

function createFlow(customer: string, className: string, service: string, perSecond: number): Flow {
    const urls = cluster.listService(service).map(instance => instance.callerUrl);
    return {
        customer,
        class: className,
        urls,
        perSecond,
        path: `/${className}`,
        persistence: { sends: 3, pauseMs: 100, isHard: true },
    };
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

async function runLoad(): Promise<{ results: ActionResult[]; overloadAt: number; endAt: number; }> {
    const load = new Load([
        createFlow("weavers", "browse", "katalog", browsesPerSecond),
        createFlow("treasurers", "advance", "kas-benang", 30),
        createFlow("clerks", "certificate", "ekspor", 20),
    ]);
    await sleep(warmUpMs + phaseMs.before);
    const overloadAt = load.now();
    const deep = cluster.listService("katalog");
    await Promise.all(deep.map(instance => instance.changeEndpoint({ serviceMs: 160 })));
    load.setRate(flow => flow.customer === "weavers", browsesPerSecond * 3);
    await sleep(phaseMs.overload);
    await Promise.all(deep.map(instance => instance.changeEndpoint({ serviceMs: 40 })));
    load.setRate(flow => flow.customer === "weavers", browsesPerSecond);
    const endAt = load.now();
    await sleep(phaseMs.after);
    return { results: await load.stop(), overloadAt, endAt };
}

/** Time from the end of the cause until goodput stays at its share of what it was before; `undefined` if it never does. */
function findRecoveryMs(
    results: readonly ActionResult[],
    customer: string,
    before: number,
    endAt: number,
): number | undefined {
    const stepMs = 250;
    const windowMs = 1000;
    let recovered: number | undefined;
    for (let from = 0; from + windowMs <= phaseMs.after - windowMs; from += stepMs) {
        const goodput = computeGoodput(results, customer, endAt + from, endAt + from + windowMs);
        recovered = goodput >= before * stated.recoveredShare ? recovered ?? from : undefined;
    }
    return recovered;
}

function report(results: ActionResult[], overloadAt: number, endAt: number): boolean {
    let isMet = true;
    print("customer    class        before/s  overload/s  after/s  refused%  recovery ms");
    for (const customer of contracts.map(contract => contract.customer)) {
        const before = computeGoodput(results, customer, warmUpMs, overloadAt);
        const during = computeGoodput(results, customer, overloadAt + 1000, endAt);
        const after = computeGoodput(results, customer, endAt + 3000, endAt + phaseMs.after - 500);
        const arrived = results.filter(result =>
            result.flow.customer === customer && result.arrivedAt >= overloadAt && result.arrivedAt < endAt
        );
        const refused = 100 * arrived.filter(result => !isCompleted(result)).length / Math.max(1, arrived.length);
        const recovery = findRecoveryMs(results, customer, before, endAt);
        const className = results.find(result => result.flow.customer === customer)?.flow.class ?? "";
        print([
            customer.padEnd(11),
            className.padEnd(11),
            before.toFixed(1).padStart(9),
            during.toFixed(1).padStart(11),
            after.toFixed(1).padStart(8),
            refused.toFixed(1).padStart(9),
            String(recovery ?? "never").padStart(12),
        ].join(" "));
        const isValuable = customer !== "weavers";
        isMet &&= recovery !== undefined && recovery <= stated.recoveryMs;
        isMet &&= !isValuable || during >= before * stated.valuableShareInOverload;
    }
    const counts = new Map<string, number>();
    for (const { told } of results) {
        const name = `${told.outcome} ${told.status} ${told.reason}`;
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    print([...counts].map(([name, count]) => `${name.trim()}: ${count}`).join("; "));
    return isMet;
}

async function stopGracefully(): Promise<boolean> {
    const codes: (number | null)[] = [];
    for (const instance of cluster.instances) {
        instance.node?.kill("SIGTERM");
    }
    for (const instance of cluster.instances) {
        codes.push(await waitForExit(instance.node!));
        instance.endpoint?.kill("SIGTERM");
        codes.push(await waitForExit(instance.endpoint!));
    }
    return codes.every(code => code === 0);
}

try {
    await cluster.start();
    print("started: 1 log, 6 endpoints, 6 nodes; 3 contracts published");
    const { results, overloadAt, endAt } = await runLoad();
    const isMet = report(results, overloadAt, endAt);
    const isGraceful = await stopGracefully();
    print(`stated outcomes: ${isMet ? "met" : "NOT met"}; graceful stop: ${isGraceful ? "yes" : "NO"}`);
    process.exitCode = isMet && isGraceful ? 0 : 1;
}
catch (error) {
    print(`failed: ${String(error)}`);
    process.exitCode = 1;
}
finally {
    if (process.env["KEEP"] === undefined) {
        await cluster.stop();
    }
    else {
        print(cluster.directory);
    }
}
process.exit();
