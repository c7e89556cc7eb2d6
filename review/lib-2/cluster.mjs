/**
 * A small deployment on loopback for the cases of the second review: a stand-in of the platform's store, stand-ins of upstreams and
 * clients in this process, and one routed node for each upstream as a process of its own, started by the `run` line of
 * deploy/system.toml with settings rendered from deploy/settings.toml.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as sendRequest } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { clearInterval, setInterval, setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";

const root = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

/** Ports are the same on all machines; each machine has a loopback address of its own. */
export const ports = { outbound: 8304, inbound: 8300, ready: 8302, control: 8306, peer: 7620, app: 8301, store: 8309 };

/** Time between heartbeats as in the pages' example of settings, in milliseconds. */
const heartbeatMs = 1500;

export const sleep = milliseconds => new Promise(resolvePause => setTimeout(resolvePause, milliseconds));

/** Whether the disruption is made; without it a case has to pass. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Waits until a condition holds; rejects after a time in milliseconds. */
export async function waitFor(check, maxMs, what) {
    const end = performance.now() + maxMs;
    while (!await check()) {
        if (performance.now() > end) {
            throw new Error(`timed out waiting for ${what}`);
        }
        await sleep(50);
    }
}

/** Stand-in of the platform's store: keyed topics of one partition. Loses nothing that it acknowledged. */
export class Store {
    topics = new Map();
    /** Whether calls are accepted and never answered. */
    isSilent = false;
    /** Topics whose partition is down: each call on them is answered with 503, and nothing is done. */
    down = new Set();

    constructor(address) {
        this.address = address;
        this.server = createServer((request, response) => void this.serve(request, response));
    }

    start() {
        return new Promise((settle, fail) => {
            this.server.once("error", fail);
            this.server.listen(ports.store, this.address, settle);
        });
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }

    put(name, key, value) {
        const topic = this.getTopic(name);
        topic.records.push({ key, value });
        topic.newest.set(key, { value, offset: topic.records.length - 1 });
        topic.waiters.splice(0).forEach(wake => wake());
        return topic.records.length - 1;
    }

    getTopic(name) {
        if (!this.topics.has(name)) {
            this.topics.set(name, { records: [], newest: new Map(), waiters: [] });
        }
        return this.topics.get(name);
    }

    async serve(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        if (this.isSilent) {
            return;
        }
        await sleep(4);
        const url = new URL(request.url, "http://store");
        const name = url.searchParams.get("topic") ?? "";
        if (this.down.has(name)) {
            response.writeHead(503).end();
            return;
        }
        const topic = this.getTopic(name);
        if (url.pathname === "/log-append") {
            const bytes = Buffer.concat(chunks);
            const keyLength = bytes.readUInt8(4);
            const key = bytes.toString("utf8", 5, 5 + keyLength);
            const offset = this.put(name, key, bytes.subarray(5 + keyLength));
            response.end(JSON.stringify({ offset, end: offset + 1 }));
        }
        else if (url.pathname === "/log-read") {
            const from = Number(url.searchParams.get("from"));
            if (from >= topic.records.length) {
                await new Promise(settle => {
                    topic.waiters.push(settle);
                    setTimeout(settle, Number(url.searchParams.get("wait_ms") ?? 0)).unref();
                });
            }
            if (this.isSilent || this.down.has(name)) {
                response.writeHead(503).end();
                return;
            }
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(topic.records.length), 0);
            response.end(Buffer.concat([head, ...topic.records.slice(from).map(formatRecord)]));
        }
        else if (url.pathname === "/log-newest") {
            const items = [...topic.newest].map(([key, { value, offset }]) => ({
                key,
                value: Buffer.from(value).toString("base64"),
                offset,
            }));
            response.end(JSON.stringify({ items, more: false, end: topic.records.length }));
        }
        else {
            response.writeHead(404).end();
        }
    }
}

function formatRecord({ key, value }) {
    const bytes = Buffer.concat([Buffer.from(key), Buffer.from(value)]);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + bytes.length, 0);
    head.writeUInt8(Buffer.byteLength(key), 4);
    return Buffer.concat([head, bytes]);
}

/**
 * Stand-in of a sound upstream. `run` gives the answer to a request: `{ status, body }`, after the time that it takes. Notes each
 * run in the record.
 */
export class Upstream {
    life = 0;
    state = "ready";
    number = 0;
    running = 0;
    /** Attempts that began to run here. */
    runs = [];
    /** Fields that its reports state besides the usual ones. */
    extra = {};

    constructor(cluster, machine, service, slots, run) {
        Object.assign(this, { cluster, machine, service, slots, run });
    }

    async start() {
        this.life += 1;
        this.id = this.fixedId ?? `i-${this.machine.address.split(".").pop()}-${this.life}`;
        this.state = "ready";
        this.number = 0;
        this.running = 0;
        this.server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => void this.serve(request, response));
        await new Promise(settle => this.server.listen(ports.app, this.machine.address, settle));
        this.timer = setInterval(() => void this.beat(), heartbeatMs);
        await this.beat();
    }

    /** Ends at once, as a crash does. */
    end() {
        clearInterval(this.timer);
        this.server?.closeAllConnections();
        this.server?.close();
        this.server = undefined;
    }

    /** Reports itself to the node beside it; the status of the answer, 0 without one. */
    beat() {
        this.number += 1;
        return post(this.machine.address, `/endpoint/${this.id}/report`, {
            service: this.service,
            address: `${this.machine.address}:${ports.app}`,
            dataCentre: this.machine.zone,
            version: "v1",
            slots: this.slots,
            state: this.state,
            ramp_left: 0,
            reportNumber: this.number,
            ...this.extra,
        });
    }

    async serve(request, response) {
        if (request.url === "/healthz") {
            response.writeHead(this.state === "ready" ? 200 : 503, {
                "Upstream-Instance": this.id,
                "Upstream-Load": `${this.running},0,${this.slots}`,
            }).end();
            return;
        }
        const attempt = request.headers["attempt-id"] ?? "";
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            this.cluster.note("cut", { attempt, at: this.id });
            return;
        }
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "Attempt-Id": attempt, "Upstream-Instance": this.id }).end();
            return;
        }
        if (this.running >= this.slots) {
            response.writeHead(503, { "Attempt-Id": attempt, "Not-Executed": "1" }).end();
            return;
        }
        this.running += 1;
        this.runs.push(attempt);
        const body = Buffer.concat(chunks);
        this.cluster.noteRun({ attempt, at: this.id, service: this.service, bytes: body.length, request });
        const answer = await this.run({ request, body, attempt, upstream: this });
        this.running -= 1;
        if (answer === undefined || response.destroyed) {
            return;
        }
        response.writeHead(answer.status, {
            "Attempt-Id": attempt,
            "Upstream-Signature": `s.${this.id}.${attempt}`,
            "Upstream-Load": `${this.running},0,${this.slots}`,
            ...answer.headers,
        });
        response.end(answer.body);
    }
}

/** Sends a message to a node's control address. */
export function post(address, path, body) {
    return new Promise(settle => {
        const text = typeof body === "string" ? body : body === undefined ? "" : JSON.stringify(body);
        const call = sendRequest({
            host: address,
            port: ports.control,
            method: "POST",
            path,
            timeout: 1000,
            headers: { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) },
        }, answer => {
            answer.resume();
            settle(answer.statusCode);
        });
        call.once("error", () => settle(0));
        call.once("timeout", () => call.destroy());
        call.end(text);
    });
}

/** One machine: an upstream and the node beside it. */
class Machine {
    node;
    /** Exits of its node's processes that nobody asked for. */
    ownEnds = 0;
    starts = 0;

    constructor(cluster, address, zone, plan) {
        Object.assign(this, { cluster, address, zone, plan });
        this.upstream = new Upstream(cluster, this, plan.name, plan.slots, plan.run);
        this.file = join(cluster.folder, `${address}.toml`);
        this.log = join(cluster.folder, `${address}.log`);
    }

    /** Starts the node's process with the words of the deploy file. */
    startNode() {
        writeFileSync(this.file, this.cluster.renderSettings(this, this.starts === 0));
        this.starts += 1;
        const [program, ...words] = this.cluster.command;
        const node = spawn(program, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: this.cluster.folder, TURMERICSPOKE_SETTINGS: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        node.stdout.on("data", chunk => appendFileSync(this.log, chunk));
        node.stderr.on("data", chunk => appendFileSync(this.log, chunk));
        node.once("error", error => this.cluster.giveUp(error));
        node.once("exit", (code, signal) => {
            if (!node.isEnded && !this.cluster.isOver) {
                this.ownEnds += 1;
                this.cluster.note("node ended by itself", { address: this.address, code, signal });
            }
            node.hasExited = true;
        });
        this.node = node;
    }

    /** Sends a signal to the node's process. */
    signal(name) {
        if (name === "SIGKILL" || name === "SIGTERM") {
            this.node.isEnded = true;
        }
        this.cluster.note("signal", { address: this.address, name });
        this.node.kill(name);
    }

    async isReady() {
        const { status } = await call(this.address, ports.ready, "GET", "/readyz", {}, undefined, 1000);
        return status === 200;
    }

    /** Sends a request as a client of this machine does; the answer has status 0 if the connection ended without one. */
    async send({ method = "GET", host, path, attempt, deadlineMs, body, headers = {} }) {
        const startedAt = performance.now();
        this.cluster.note("sent", { attempt, method, host, path, bytes: body?.length ?? 0, to: this.address });
        const answer = await call(this.address, ports.outbound, method, path, {
            Host: host,
            "Attempt-Id": attempt,
            "Deadline-Ms": String(deadlineMs),
            ...headers,
        }, body, deadlineMs + 2000);
        const elapsedMs = Math.round(performance.now() - startedAt);
        this.cluster.note("answered", {
            attempt,
            status: answer.status,
            signed: answer.headers["upstream-signature"] !== undefined,
            bytes: answer.body.length,
            elapsedMs,
        });
        return { ...answer, elapsedMs, attempt };
    }
}

/** Sends one HTTP request on a connection of its own. */
export function call(address, port, method, path, headers, body, maxMs) {
    return new Promise(settle => {
        const fail = () => settle({ status: 0, headers: {}, body: Buffer.alloc(0) });
        const sent = sendRequest({ host: address, port, method, path, headers, agent: false, timeout: maxMs }, answer => {
            const chunks = [];
            answer.on("data", chunk => chunks.push(chunk));
            answer.once("error", fail);
            answer.once("end", () => {
                settle({ status: answer.statusCode, headers: answer.headers, body: Buffer.concat(chunks) });
            });
        });
        sent.once("error", fail);
        sent.once("timeout", () => sent.destroy());
        sent.end(body);
    });
}

/** The deployment of one case; `folder` is the case's own, for its record. */
export class Cluster {
    machines = [];
    isOver = false;
    lines = [];
    runsByAttempt = new Map();

    constructor(caseFolder, { bounds = {}, limits = {}, contracts = ["base", "drain", "config", "cost", "retry"] } = {}) {
        this.record = join(caseFolder, "record.txt");
        this.folder = mkdtempSync(join(tmpdir(), "review-2-"));
        this.bounds = { grace: 6, budget_ratio: 0.2, budget_slack: 49, budget_window: 10, ...bounds };
        this.limits = { memory_mb: 350, max_fds: 4100, ...limits };
        this.contracts = contracts;
        const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
        const [, run] = /^run = "(.*)"$/m.exec(text);
        this.command = run.split(" ");
        this.command[0] = join(root, this.command[0]);
        this.startedAt = performance.now();
    }

    /** Chooses addresses that are free, and lists the machines of services `{ name, count, slots, run, limits }`. */
    async prepare(services) {
        let network = 1 + process.pid % 200;
        while (!await isFree(`127.77.${network}.1`, ports.store)) {
            network += 1;
        }
        this.network = `127.77.${network}`;
        this.store = new Store(`${this.network}.1`);
        for (const plan of services) {
            for (let index = 0; index < plan.count; index += 1) {
                const address = `${this.network}.${this.machines.length + 2}`;
                const zone = ["pekalongan", "klaten", "jepara"][this.machines.length % 3];
                this.machines.push(new Machine(this, address, zone, plan));
            }
        }
    }

    /** Starts everything and waits until all nodes are ready and linked. */
    async start(services, configuration) {
        await this.prepare(services);
        await this.store.start();
        this.configure(configuration);
        this.machines.forEach(machine => machine.startNode());
        for (const machine of this.machines) {
            await waitFor(() => machine.isReady(), 15_000, `the node of ${machine.address}`);
        }
        await Promise.all(this.machines.map(machine => machine.upstream.start()));
        await this.waitForLinks();
    }

    /** Waits until each node is linked to all others and takes work for its upstream. */
    async waitForLinks() {
        for (const machine of this.machines) {
            await waitFor(
                async () => {
                    const { body } = await call(machine.address, 9464, "GET", "/metrics", {}, undefined, 1000);
                    const text = body.toString();
                    return text.includes(`turmericspoke_links_open ${this.machines.length - 1}`)
                        && !/endpoint_limit 0\n/.test(text);
                },
                15_000,
                `the links of ${machine.address}`,
            );
        }
    }

    /** Writes a version of the configuration as the operator does. */
    configure(configuration) {
        this.store.put("keyed.op", "config", JSON.stringify(configuration));
        this.note("configuration", { version: configuration.version });
    }

    listMachines(service) {
        return this.machines.filter(({ plan }) => plan.name === service);
    }

    note(event, fields = {}) {
        const at = (performance.now() - this.startedAt).toFixed(0).padStart(6);
        const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(" ");
        this.lines.push(`${at} ${event} ${text}`);
    }

    noteRun({ attempt, at, service, bytes, request }) {
        this.note("runs", { attempt, at, service, bytes, path: request.url });
        this.runsByAttempt.set(attempt, [...this.runsByAttempt.get(attempt) ?? [], at]);
    }

    renderSettings(machine, isFirst) {
        const limits = { ...this.limits, ...machine.plan.limits };
        return render(readFileSync(join(root, "deploy/settings.toml"), "utf8"), {
            service: machine.plan.name,
            dataCentre: machine.zone,
            ip: machine.address,
            node: `sidecar-${machine.address}`,
            bootstrap: isFirst,
            listen: {
                outbound: `${machine.address}:${ports.outbound}`,
                inbound: `${machine.address}:${ports.inbound}`,
                ready: `${machine.address}:${ports.ready}`,
                control: `${machine.address}:${ports.control}`,
            },
            port_range: [ports.peer, ports.peer + 15],
            app: `${machine.address}:${ports.app}`,
            platform: { address: `${this.network}.1:${ports.store}` },
            bounds: this.bounds,
            limits,
            contracts: this.contracts,
        });
    }

    /** Ends all processes, writes the record and exits: 1 if `broken` lists anything, else 0. */
    async finish(broken) {
        this.isOver = true;
        broken.forEach(line => this.lines.push(`BROKEN ${line}`));
        this.lines.push(broken.length > 0 ? "verdict: the rule was broken" : "verdict: the rule held");
        await this.end();
        process.stdout.write(broken.map(line => `broken: ${line}\n`).join(""));
        process.stdout.write(`${this.lines.at(-1)}\n`);
        process.exit(broken.length > 0 ? 1 : 0);
    }

    async end() {
        this.isOver = true;
        for (const { node } of this.machines) {
            // A process that couldn't be started has no id.
            if (node?.pid !== undefined) {
                node.kill("SIGCONT");
                node.kill("SIGKILL");
            }
        }
        await sleep(200);
        writeFileSync(this.record, this.lines.join("\n") + "\n");
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
        else {
            process.stdout.write(`logs: ${this.folder}\n`);
        }
    }
}

/** Runs a case; it exits with 2 if the case couldn't run, also when it takes more than 115 s. */
export async function runCase(caseFolder, options, play) {
    const cluster = new Cluster(caseFolder, options);
    const giveUp = async error => {
        if (cluster.isOver) {
            return;
        }
        cluster.isOver = true;
        cluster.note("could not run", { error: error.message });
        await cluster.end();
        process.stderr.write(`could not run: ${error.stack}\n`);
        process.exit(2);
    };
    cluster.giveUp = error => void giveUp(error);
    process.on("uncaughtException", cluster.giveUp);
    setTimeout(() => void giveUp(new Error("the case took too long")), 115_000).unref();
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.on(signal, () => void giveUp(new Error(`ended by ${signal}`)));
    }
    try {
        await cluster.finish(await play(cluster));
    }
    catch (error) {
        await giveUp(error);
    }
}

/** Folder of the case whose script has this URL. */
export const findFolder = url => dirname(fileURLToPath(url));

function isFree(address, port) {
    return new Promise(settle => {
        const server = createTcpServer();
        server.once("error", () => settle(false));
        server.listen(port, address, () => server.close(() => settle(true)));
    });
}

/** Fills a template by the rules of the pages, as far as deploy/settings.toml uses them. */
function render(template, fields) {
    const find = path => path.split(".").reduce((value, name) => value?.[name], fields);
    return template
        .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, path, text) => find(path) === undefined ? "" : text)
        .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
            const value = find(path);
            return json === undefined ? String(value ?? "") : JSON.stringify(value ?? null);
        });
}

/** A client's connection that is kept for several requests, and that reads answers at `bytesPerSecond` at most. */
export class KeptConnection {
    chunks = [];
    bytes = 0;
    waiting;
    isClosed = false;

    constructor(address, bytesPerSecond = Infinity) {
        this.socket = connect({ host: address, port: ports.outbound });
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => {
            this.isClosed = true;
            this.waiting?.();
        });
        this.socket.on("data", chunk => {
            this.chunks.push(chunk);
            this.bytes += chunk.length;
            if (bytesPerSecond < Infinity) {
                this.socket.pause();
                setTimeout(() => this.socket.resume(), chunk.length * 1000 / bytesPerSecond);
            }
            this.waiting?.();
        });
    }

    /**
     * Sends requests one behind the other, without waiting, and reads their answers: `{ status, body, expected, isWhole }` of each, with
     * status 0 if no head of its answer came.
     */
    async exchange(requests) {
        for (const { method, host, path, headers = {}, body = Buffer.alloc(0) } of requests) {
            const fields = Object.entries({ Host: host, ...headers, "Content-Length": body.length });
            this.socket.write(`${method} ${path} HTTP/1.1\r\n${fields.map(([name, value]) => `${name}: ${value}\r\n`).join("")}\r\n`);
            this.socket.write(body);
        }
        const answers = [];
        while (answers.length < requests.length) {
            answers.push(await this.readAnswer());
        }
        return answers;
    }

    async readAnswer() {
        const isHeadRead = await this.fill(bytes => bytes.indexOf("\r\n\r\n") !== -1);
        if (!isHeadRead) {
            return { status: 0, body: this.take(this.bytes), expected: undefined, isWhole: false };
        }
        const head = this.take(this.join().indexOf("\r\n\r\n") + 4).toString("latin1");
        const expected = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
        while (this.bytes < expected && !this.isClosed) {
            await new Promise(settle => this.waiting = settle);
        }
        const isWhole = this.bytes >= expected;
        return { status: Number(head.slice(9, 12)), head, body: this.take(Math.min(expected, this.bytes)), expected, isWhole };
    }

    /** Waits until what was received passes a check; false if the connection ends before. */
    async fill(check) {
        while (!check(this.join())) {
            if (this.isClosed) {
                return false;
            }
            await new Promise(settle => this.waiting = settle);
        }
        return true;
    }

    join() {
        this.chunks = [Buffer.concat(this.chunks)];
        return this.chunks[0];
    }

    take(count) {
        const all = this.join();
        this.chunks = [all.subarray(count)];
        this.bytes = all.length - count;
        return all.subarray(0, count);
    }
}
