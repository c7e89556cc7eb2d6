/**
 * A small deployment on loopback for the cases of this review: the platform's store, application upstreams, and a node of the
 * project beside each, started with the `run` line of `deploy/system.toml` and with settings rendered from
 * `deploy/settings.toml`. Every machine has a loopback address of its own and all machines use the same ports.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as httpRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";
import { fileURLToPath, URL } from "node:url";

const root = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
const ports = { caller: 8304, ready: 8302, report: 8306, inbound: 8300, app: 8301, store: 8309, peer: 7620, metrics: 9464 };

export function sleep(milliseconds) {
    return new Promise(done => setTimeout(done, milliseconds));
}

export async function waitFor(isTrue, timeoutMs, what) {
    const giveUpAt = performance.now() + timeoutMs;
    while (!await isTrue()) {
        if (performance.now() > giveUpAt) {
            throw new Error(`waited ${timeoutMs} ms in vain for ${what}`);
        }
        await sleep(50);
    }
}

/** Record of what was sent, answered and run: `record.txt` in the folder of the case. */
export class CaseRecord {
    constructor(folder) {
        this.file = join(folder, "record.txt");
        this.startedAt = performance.now();
        writeFileSync(this.file, "");
    }

    write(text) {
        appendFileSync(this.file, `${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${text}\n`);
    }
}

/** Renders the part of the template language of DEPLOY.md that `deploy/settings.toml` uses. */
function renderTemplate(text, fields) {
    const find = path => path.split(".").reduce((value, key) => value?.[key], fields);
    const withSections = text.replace(
        /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
        (_, path, inner) => (find(path) === undefined ? "" : inner),
    );
    return withSections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
        const value = find(path);
        return json === undefined ? String(value ?? "") : JSON.stringify(value);
    });
}

/** The platform's store: keyed topics, as PROTOCOL.md describes them. It keeps all that it has acknowledged. */
export class Store {
    constructor(host) {
        this.host = host;
        this.topics = new Map();
        this.sockets = new Set();
        /** Called with each call's path and topic; a returned status is the answer, "silent" means none. */
        this.findFault = () => undefined;
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    start() {
        return new Promise(done => this.server.listen(ports.store, this.host, done));
    }

    stop() {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    put(topicName, key, value) {
        const topic = this.getTopic(topicName);
        topic.records.push({ key, value });
        const offset = topic.records.length - 1;
        topic.newest.set(key, { value, offset });
        topic.waiters.splice(0).forEach(wake => wake());
        return offset;
    }

    async serve(request, response) {
        const url = new URL(request.url, "http://store");
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const body = Buffer.concat(chunks);
        const name = url.searchParams.get("topic") ?? "";
        const fault = this.findFault(url.pathname, name);
        if (fault === "silent") {
            return;
        }
        if (fault !== undefined) {
            response.writeHead(fault).end();
            return;
        }
        const topic = this.getTopic(name);
        if (url.pathname === "/log-append") {
            const keyLength = body.readUInt8(4);
            const offset = this.put(name, body.toString("utf8", 5, 5 + keyLength), body.subarray(5 + keyLength));
            response.end(JSON.stringify({ offset, end: offset + 1 }));
        }
        else if (url.pathname === "/log-read") {
            await this.serveRead(topic, url, response, name);
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

    async serveRead(topic, url, response, name) {
        const from = Number(url.searchParams.get("from"));
        if (from === topic.records.length) {
            await new Promise(done => {
                topic.waiters.push(done);
                setTimeout(done, Number(url.searchParams.get("wait_ms") ?? 0));
            });
        }
        if (this.findFault("/log-read", name) !== undefined) {
            response.destroy();
            return;
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        const records = topic.records.slice(from).map(({ key, value }) => {
            const bytes = Buffer.concat([Buffer.from([key.length]), Buffer.from(key), Buffer.from(value)]);
            const length = Buffer.alloc(4);
            length.writeUInt32BE(bytes.length);
            return Buffer.concat([length, bytes]);
        });
        response.end(Buffer.concat([head, ...records]));
    }

    getTopic(name) {
        const topic = this.topics.get(name) ?? { records: [], newest: new Map(), waiters: [] };
        this.topics.set(name, topic);
        return topic;
    }
}

/** Reads the requests of one connection, one at a time, and hands each to `serve` once it is whole. */
function readRequests(socket, serve) {
    let bytes = Buffer.alloc(0);
    let isBusy = false;
    const readNext = () => {
        const headEnd = bytes.indexOf("\r\n\r\n");
        if (isBusy || headEnd === -1) {
            return;
        }
        const [first, ...lines] = bytes.toString("latin1", 0, headEnd).split("\r\n");
        const headers = new Map(lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        const end = headEnd + 4 + Number(headers.get("content-length") ?? 0);
        if (bytes.length < end) {
            return;
        }
        const [method, path] = first.split(" ");
        const body = bytes.subarray(headEnd + 4, end);
        bytes = bytes.subarray(end);
        isBusy = true;
        void serve({ method, path, headers, body }).then(() => {
            isBusy = false;
            readNext();
        });
    };
    socket.on("data", chunk => {
        bytes = Buffer.concat([bytes, chunk]);
        readNext();
    });
}

/** An application upstream: serves one request at a time on a connection, and sends its heartbeats to its own node. */
export class Upstream {
    constructor(machine, record, behaviour) {
        this.machine = machine;
        this.record = record;
        this.behaviour = behaviour;
        this.lives = 0;
        this.running = 0;
        this.sockets = new Set();
    }

    async start(service = this.machine.service) {
        this.lives += 1;
        this.service = service;
        this.id = `i-${service}-${this.machine.name}-${this.lives}`;
        this.state = "ready";
        this.sequence = 0;
        this.born = Date.now();
        this.server = createTcpServer(socket => this.accept(socket));
        await new Promise(done => this.server.listen(ports.app, this.machine.host, done));
        this.timer = setInterval(() => void this.sendHeartbeat(), 1500);
        this.record.write(`upstream ${this.id} started`);
        await this.sendHeartbeat();
    }

    /** Ends at once. */
    end() {
        clearInterval(this.timer);
        this.sockets.forEach(socket => socket.destroy());
        this.server?.close();
        this.running = 0;
        this.record.write(`upstream ${this.id} ended`);
    }

    sendHeartbeat() {
        this.sequence += 1;
        return this.machine.post(`/endpoint/${this.id}/report`, {
            service: this.service,
            address: `${this.machine.host}:${ports.app}`,
            dataCentre: this.machine.zone,
            version: "v1",
            slots: this.behaviour.slots,
            state: this.state,
            ramp_left: 0,
            reportNumber: this.sequence,
            born: this.born,
        });
    }

    accept(socket) {
        const connection = { socket, owed: undefined };
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.once("close", () => this.sockets.delete(socket));
        readRequests(socket, request => this.serve(connection, request));
    }

    async serve(connection, request) {
        const { headers, path, method } = request;
        const attempt = headers.get("attempt-id");
        if (connection.owed !== undefined) {
            // An extra answer comes late, at the point where the next answer is expected.
            this.record.write(`${this.id} sends the extra answer to ${connection.owed.attempt}, now that ${attempt} is there`);
            connection.socket.write(connection.owed.bytes);
            connection.owed = undefined;
        }
        if (path === "/healthz") {
            const status = this.state === "ready" ? "200 OK" : "503 Service Unavailable";
            this.send(connection, status, [`Upstream-Instance: ${this.id}`], Buffer.alloc(0));
            return;
        }
        const echo = [`Attempt-Id: ${attempt}`];
        const expected = headers.get("expect-instance");
        if (expected !== undefined && expected !== this.id) {
            this.record.write(`${this.id} answers 421 to ${attempt}, which expects ${expected}`);
            this.send(connection, "421 Misdirected Request", [...echo, `Upstream-Instance: ${this.id}`], Buffer.alloc(0));
            return;
        }
        if (this.behaviour.rejects?.(this) === true) {
            this.record.write(`${this.id} rejects ${attempt}: 503 Not-Executed`);
            const bytes = this.send(connection, "503 Service Unavailable", [...echo, "Not-Executed: 1"], Buffer.alloc(0));
            if (this.behaviour.repeatsRejection?.(this) === true) {
                connection.owed = { attempt, bytes };
            }
            return;
        }
        this.running += 1;
        this.record.write(
            `${this.id} runs ${attempt} ${method} ${path} host=${headers.get("host")} caller=${headers.get("caller-service")} `
                + `deadline=${headers.get("deadline-ms")}`,
        );
        this.behaviour.onRun?.({ attempt, upstream: this, request });
        await sleep(this.behaviour.workMs(request));
        this.running -= 1;
        if (connection.socket.destroyed) {
            this.record.write(`${this.id} was cut off while it ran ${attempt}`);
            return;
        }
        this.send(connection, "200 OK", [...echo, `Upstream-Signature: s.${this.id}`], this.behaviour.createBody(request));
        this.record.write(`${this.id} answered ${attempt}`);
    }

    /** Sends an answer and returns its bytes. */
    send(connection, status, headers, body) {
        const load = `Upstream-Load: ${this.running},0,${this.behaviour.slots}`;
        const head = [`HTTP/1.1 ${status}`, ...headers, load, `Content-Length: ${body.length}`].join("\r\n");
        const bytes = Buffer.concat([Buffer.from(`${head}\r\n\r\n`), body]);
        connection.socket.write(bytes);
        return bytes;
    }
}

/** One machine: an address, the settings of its node, the node's process, and its upstream. */
export class Machine {
    constructor(deployment, index, plan) {
        this.deployment = deployment;
        this.name = `m${index}`;
        this.host = `${deployment.network}.${index + 10}`;
        this.zone = plan.zone;
        this.service = plan.service;
        this.settingsFile = join(deployment.folder, `${this.name}.toml`);
        this.log = "";
        this.upstream = new Upstream(this, deployment.record, plan.behaviour);
    }

    writeSettings(isFirstStart) {
        const { deployment, host, zone } = this;
        const at = port => `${host}:${port}`;
        const fields = {
            node: this.name,
            service: this.service,
            dataCentre: zone,
            ip: host,
            bootstrap: isFirstStart,
            listen: { outbound: at(ports.caller), ready: at(ports.ready), control: at(ports.report) },
            port_range: [ports.peer, ports.peer + 15],
            app: at(ports.app),
            platform: { address: `${deployment.network}.1:${ports.store}` },
            contracts: deployment.contracts,
            bounds: deployment.bounds,
        };
        const template = readFileSync(join(root, "deploy/settings.toml"), "utf8");
        writeFileSync(this.settingsFile, renderTemplate(template, fields));
    }

    startNode(isFirstStart) {
        this.writeSettings(isFirstStart);
        const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1];
        const [program, ...words] = run.split(" ");
        const { PATH, HOME, LANG } = process.env;
        this.node = spawn(join(root, program), words, {
            cwd: root,
            env: { PATH, HOME, LANG, TURMERICSPOKE_SETTINGS: this.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.deployment.record.write(`node ${this.name} (${this.service}, ${this.zone}) started, pid ${this.node.pid}`);
        const { node } = this;
        const keep = chunk => this.log += chunk.toString();
        node.stdout.on("data", keep);
        node.stderr.on("data", keep);
        this.exited = new Promise(done =>
            node.once("exit", (code, signal) => {
                this.deployment.record.write(`node ${this.name} ended, code ${code}, signal ${signal}`);
                done();
            })
        );
    }

    signal(name) {
        this.deployment.record.write(`${name} to node ${this.name}`);
        this.node.kill(name);
    }

    async isReady() {
        return (await this.get(ports.ready, "/ready")).status === 200;
    }

    get(port, path) {
        return send({ host: this.host, port, method: "GET", path, agent: false }, undefined, 1000);
    }

    post(path, body) {
        const text = body === undefined ? undefined : JSON.stringify(body);
        return send({ host: this.host, port: ports.report, method: "POST", path, agent: false }, text, 1000);
    }

    /** Sends a client's request on a connection of its own. */
    async request(attempt, { method, host, path, deadlineMs, headers = {} }, body) {
        this.deployment.record.write(`client at ${this.name} sends ${attempt} ${method} ${host}${path}`);
        const sent = { Host: host, "Attempt-Id": attempt, "Deadline-Ms": String(deadlineMs), ...headers };
        const options = { host: this.host, port: ports.caller, method, path, headers: sent, agent: false };
        const answer = await send(options, body, deadlineMs + 2000);
        this.deployment.record.write(
            `client at ${this.name} got ${answer.status === 0 ? `no answer (${answer.cause})` : answer.status} to ${attempt}`,
        );
        return answer;
    }

    callerPort() {
        return ports.caller;
    }
}

/** Sends one request. Status 0 means that the connection ended without a complete answer. */
function send(options, body, timeoutMs) {
    return new Promise(done => {
        const startedAt = performance.now();
        let timer;
        const finish = result => {
            clearTimeout(timer);
            done({ ...result, elapsedMs: performance.now() - startedAt });
        };
        const sent = httpRequest(options, answer => {
            const chunks = [];
            answer.on("data", chunk => chunks.push(chunk));
            answer.once("error", error => finish({ status: 0, cause: error.code }));
            answer.once("end", () => {
                finish({ status: answer.statusCode, headers: answer.headers, body: Buffer.concat(chunks) });
            });
        });
        timer = setTimeout(() => sent.destroy(new Error("timeout")), timeoutMs);
        sent.once("error", error => finish({ status: 0, cause: error.code ?? error.message }));
        sent.end(body);
    });
}

/** Bounds of the small deployment `tenun-jateng`, in the units that `deploy/wire.toml` asks for. */
const usualBounds = { grace: 6, budget_ratio: 0.2, budget_window: 10, budget_slack: 49 };
const usualContracts = ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"];

/** The deployment. */
export class Deployment {
    constructor(folder, plans, { bounds = usualBounds, contracts = usualContracts } = {}) {
        this.record = new CaseRecord(folder);
        this.bounds = bounds;
        this.contracts = contracts;
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.network = `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`;
        this.store = new Store(`${this.network}.1`);
        this.machines = plans.map((plan, index) => new Machine(this, index, plan));
    }

    /** Starts the store, the nodes and the upstreams; waits until all nodes are ready and know each other. */
    async start(configuration) {
        await this.store.start();
        this.putConfiguration(configuration);
        this.machines.forEach(machine => machine.startNode(true));
        for (const machine of this.machines) {
            await waitFor(() => machine.isReady(), 15_000, `node ${machine.name}`);
            await machine.upstream.start();
        }
        await this.waitForAll();
    }

    /** Waits until every node takes work for its upstream and knows all others. */
    async waitForAll() {
        for (const machine of this.machines) {
            await waitFor(
                async () => {
                    const { body } = await machine.get(ports.metrics, "/metrics");
                    const text = body?.toString() ?? "";
                    const known = Number(/instances_known (\d+)/.exec(text)?.[1]);
                    const links = Number(/links_open (\d+)/.exec(text)?.[1]);
                    const all = this.machines.length;
                    return known === all && links >= Math.min(all - 1, 5) && /endpoint_limit [1-9]/.test(text);
                },
                20_000,
                `all others at ${machine.name}`,
            );
        }
        await sleep(1000);
    }

    putConfiguration(configuration) {
        this.record.write(`operator writes version ${configuration.version}`);
        this.store.put("keyed.op", "config", Buffer.from(JSON.stringify(configuration)));
    }

    listMachines(service) {
        return this.machines.filter(machine => machine.service === service);
    }

    /** Ends all processes and removes the temporary folder. */
    async stop() {
        for (const { node } of this.machines) {
            if (node !== undefined && node.exitCode === null && node.signalCode === null) {
                node.kill("SIGCONT");
                node.kill("SIGKILL");
            }
        }
        await Promise.all(this.machines.map(machine => machine.exited));
        this.machines.forEach(machine => machine.upstream.end());
        this.store.stop();
        for (const { name, log } of this.machines) {
            const lines = log.split("\n").filter(line => line !== "");
            this.record.write(`log of ${name}: ${lines.length} lines; the last ones:\n  ${lines.slice(-15).join("\n  ")}`);
        }
        rmSync(this.folder, { recursive: true });
    }
}

/** Runs a case: exits with 1 if `play` returns findings, 0 if it returns none, 2 if it could not be run. */
export async function runCase(folder, create, play) {
    const isTroubled = process.env.TROUBLE !== "0";
    const deployment = create(folder);
    let code = 2;
    const giveUp = cause => {
        deployment.record.write(`not run to its end: ${cause}`);
        void deployment.stop().then(() => process.exit(2));
    };
    const deadline = setTimeout(() => giveUp("115 s are over"), 115_000);
    ["SIGINT", "SIGTERM"].forEach(name => process.once(name, () => giveUp(name)));
    try {
        const findings = await play(deployment, isTroubled);
        findings.forEach(finding => deployment.record.write(`BROKEN ${finding}`));
        deployment.record.write(findings.length === 0 ? "the rule held" : `the rule was broken: ${findings.length} findings`);
        process.stdout.write(findings.length === 0 ? "held\n" : `broken: ${findings.length} findings; ${findings[0]}\n`);
        code = findings.length === 0 ? 0 : 1;
    }
    catch (error) {
        deployment.record.write(`not run: ${error.stack}`);
        process.stdout.write(`not run: ${error.message}\n`);
    }
    await deployment.stop();
    clearTimeout(deadline);
    process.exit(code);
}

/** Creates a configuration as the operator writes it, in the names of `deploy/wire.toml`. */
export function createConfiguration(version, routes, services, others = {}) {
    return {
        version,
        routes: routes.map(route => ({
            timeoutMs: 1500,
            targetLatencyMs: 1000,
            maxRuns: 2,
            priority: 0,
            ...route,
        })),
        services: services.map(name => ({ name, healthPath: "/healthz", maxConnections: 640 })),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 16_777_216, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
        ...others,
    };
}
