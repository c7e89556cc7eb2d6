/** Faults that tests and the torture run bring about. Each is applied once and undone by itself. */
import { sendOnce } from "./caller.js";
import type { Cluster } from "./cluster.js";
import type { Instance } from "./instance.js";
import { createContract } from "./plans.js";
import { sleep, waitForExit } from "./processes.js";
import type { Random } from "./random.js";

/** One kind of fault. */
export interface Fault {
    readonly name: string;
    /** Brings the fault about, waits for its end and restores what it took down. */
    readonly apply: (cluster: Cluster, random: Random) => Promise<void>;
}

/** Length of faults that last, in milliseconds. */
const faultMs = 3000;

function pickInstance(cluster: Cluster, random: Random): Instance {
    return cluster.instances[Math.floor(random() * cluster.instances.length)]!;
}

/** Puts a fault of the log in force for a time. */
function createLogFault(
    name: string,
    on: Parameters<Cluster["changeLog"]>[0],
    off: Parameters<Cluster["changeLog"]>[0],
): Fault {
    return {
        name,
        apply: async cluster => {
            await cluster.changeLog(on);
            await sleep(faultMs);
            await cluster.changeLog(off);
        },
    };
}

/** All faults, by name. */
export const faults: readonly Fault[] = [
    {
        name: "node killed",
        apply: async (cluster, random) => {
            const instance = pickInstance(cluster, random);
            instance.node?.kill("SIGKILL");
            await waitForExit(instance.node!);
            await sleep(faultMs / 2);
            instance.startNode();
        },
    },
    {
        name: "node frozen",
        apply: async (cluster, random) => {
            const { node } = pickInstance(cluster, random);
            node?.kill("SIGSTOP");
            await sleep(faultMs * 2);
            node?.kill("SIGCONT");
        },
    },
    {
        name: "endpoint crashed",
        apply: async (cluster, random) => {
            const instance = pickInstance(cluster, random);
            instance.endpoint?.kill("SIGKILL");
            await waitForExit(instance.endpoint!);
            await sleep(faultMs / 3);
            await instance.startEndpoint();
        },
    },
    {
        name: "answers cut",
        apply: async (cluster, random) => {
            const instance = pickInstance(cluster, random);
            await instance.changeEndpoint({ loseAnswers: 0.4 });
            await sleep(faultMs);
            await instance.changeEndpoint({ loseAnswers: 0 });
        },
    },
    {
        name: "endpoint slow",
        apply: async (cluster, random) => {
            const instance = pickInstance(cluster, random);
            await instance.changeEndpoint({ serviceMs: instance.plan.serviceMs * 10 });
            await sleep(faultMs);
            await instance.changeEndpoint({ serviceMs: instance.plan.serviceMs });
        },
    },
    {
        name: "instance replaced",
        apply: async (cluster, random) => {
            const instance = pickInstance(cluster, random);
            await instance.stop(random() < 0.5 ? "node" : "endpoint");
            await instance.start();
        },
    },
    {
        name: "two operators at once",
        apply: async cluster => {
            const bursts = [1001, 1002];
            await Promise.all(
                bursts.map(burst => cluster.publish(createContract("inspectors", { requestsPerSecond: 1000, burst }))),
            );
        },
    },
    {
        name: "request that crashes endpoints",
        apply: async cluster => {
            const service = cluster.instances[0]!.plan.name;
            const entries = cluster.listService(service);
            for (let attempt = 1; attempt <= 5; attempt += 1) {
                const url = entries[attempt % entries.length]!.callerUrl;
                await sendOnce({
                    url,
                    customer: "weavers",
                    class: "browse",
                    key: `crash-${process.pid}`,
                    attempt,
                    path: "/crash",
                });
                await sleep(100);
            }
            await Promise.all(entries.map(instance => instance.restoreEndpoint()));
        },
    },
    createLogFault("log out", { isDown: true }, { isDown: false }),
    createLogFault("log slow", { delayMs: 800 }, { delayMs: 0 }),
    createLogFault("log loses answers", { losesAnswers: true }, { losesAnswers: false }),
];
