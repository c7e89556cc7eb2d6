/** All nodes are killed while a part of the store is down: do they keep a tenant's limit together? */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { findFolder, hasTrouble, runCase, sleep, waitFor } from "../lib-2/cluster.mjs";

const perSecond = 20;
const burst = 10;
const bounds = { quota_window: 5, quota_overage: 0.1, quota_slack: 20, budget_slack: 115 };
/** Most requests that may run in a window of 5 s. */
const allowed = (perSecond * bounds.quota_window + burst) * (1 + bounds.quota_overage) + bounds.quota_slack;

const configuration = {
    version: 7,
    routes: [{
        name: "katalog-lihat",
        host: "jepu9.example",
        pathPrefix: "/cufi502/",
        repetition: "idempotent",
        timeoutMs: 2000,
        targetLatencyMs: 1500,
        priority: 2,
        service: "katalog",
        maxRuns: 2,
    }],
    services: [{ name: "katalog", healthPath: "/healthz", maxConnections: 570 }],
    customers: [{ name: "tenant-tenun", keys: ["key-of-tenun-1"], requestsPerSecond: perSecond, burst }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
};

const options = {
    bounds,
    limits: { memory_mb: 602, max_fds: 8192 },
    contracts: ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform", "tenants"],
};

await runCase(findFolder(import.meta.url), options, async cluster => {
    const runs = [];
    const run = async ({ attempt }) => {
        runs.push({ attempt, at: performance.now() });
        await sleep(30);
        return { status: 200, body: Buffer.from("catalogue") };
    };
    await cluster.start([{ name: "katalog", count: 6, slots: 50, run }], configuration);
    await sleep(3000);
    let isOver = false;
    const sentAt = new Map();
    const sendAll = async machine => {
        const waiting = [];
        for (let index = 0; !isOver; index += 1) {
            if (machine.isUp) {
                const attempt = `m${machine.address.split(".").pop()}n${String(index).padStart(5, "0")}`;
                sentAt.set(attempt, performance.now());
                const headers = { Authorization: "Bearer key-of-tenun-1" };
                const request = { host: "jepu9.example", path: "/cufi502/2f", attempt, deadlineMs: 2000, headers };
                waiting.push(machine.send(request));
            }
            await sleep(40);
        }
        await Promise.all(waiting);
    };
    cluster.machines.forEach(machine => machine.isUp = true);
    const sending = Promise.all(cluster.machines.map(sendAll));
    await sleep(6000);
    if (hasTrouble) {
        // One of the two partitions that the nodes read is down, for as long as a store may be.
        cluster.store.down.add("keyed.instances");
        cluster.note("store", { down: "keyed.instances" });
        for (const machine of cluster.machines) {
            machine.isUp = false;
            machine.signal("SIGKILL");
        }
        await sleep(500);
        cluster.machines.forEach(machine => machine.startNode());
        for (const machine of cluster.machines) {
            await waitFor(() => machine.isReady(), 10_000, `the node of ${machine.address} after its restart`);
            machine.isUp = true;
        }
    }
    await sleep(4000);
    cluster.store.down.clear();
    await sleep(4000);
    isOver = true;
    await sending;
    // Both sent and run in one window.
    const counts = runs.map(({ at }) =>
        runs.filter(each => each.at >= at && each.at <= at + 5000 && sentAt.get(each.attempt) >= at).length
    );
    const most = Math.max(...counts);
    cluster.note("judged", { most, allowed, at: Math.round(runs[counts.indexOf(most)].at - cluster.startedAt) });
    return most > allowed ? [`QUOTA ${most} requests of the tenant ran in a window of 5 s, ${allowed} may`] : [];
});
