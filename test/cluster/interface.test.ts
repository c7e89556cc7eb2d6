import { expect } from "chai";
import { readFileSync } from "node:fs";
import type { IncomingHttpHeaders, Server } from "node:http";
import { createServer, request } from "node:http";
import { Cluster } from "../../standin/cluster.js";
import { waitForExit } from "../../standin/processes.js";
import { createContract } from "../fakes.js";

const page = readFileSync(new URL("../../../docs/INTERFACE.md", import.meta.url), "utf8");

/** One documented request with the answer that the page promises. */
interface Example {
    readonly listener: string;
    readonly title: string;
    readonly request: string;
    readonly answer: string;
}

const examples: Example[] = [
    ...page.matchAll(/^To the ([a-z ]+)(.*):\n\n```http\n([\s\S]*?)```\n\n```http\n([\s\S]*?)```/gm),
].map(([, listener, title, text, answer]) => ({
    listener: listener!,
    title: title!.replace(/^, /, ""),
    request: text!,
    answer: answer!,
}));

/** Splits a message into its first line, headers and body. */
function parseMessage(
    text: string,
): { readonly start: string; readonly headers: [string, string][]; readonly body: string; } {
    const [head, ...body] = text.split("\n\n");
    const [start, ...lines] = head!.trim().split("\n");
    const headers = lines.map((line): [string, string] => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon), line.slice(colon + 1).trim()];
    });
    return { start: start!, headers, body: body.join("\n\n").trim() };
}

/** Sends a documented request with Node's plain HTTP client. */
function sendExample(base: string, text: string): Promise<{ status: number; headers: IncomingHttpHeaders; }> {
    const { start, headers, body } = parseMessage(text);
    const [method, path] = start.split(" ");
    return new Promise((resolve, reject) => {
        const sent = request(base + path!, { method: method!, headers: Object.fromEntries(headers) }, reply => {
            reply.resume().once("end", () => resolve({ status: reply.statusCode ?? 0, headers: reply.headers }));
        });
        sent.once("error", reject);
        sent.end(body);
    });
}

describe("the interface page", () => {
    const cluster = new Cluster({
        contracts: [createContract("weavers")],
        services: [{ name: "katalog", slots: 10, serviceMs: 1, calls: [], dataCentres: ["klaten"] }],
    });
    let endpoint: Server;

    before(async () => {
        await cluster.start();
        // The page's own endpoint takes the place of the stand-in, which announces itself again and again.
        const instance = cluster.instances[0]!;
        instance.endpoint!.kill("SIGKILL");
        await waitForExit(instance.endpoint!);
        endpoint = createServer((_, response) => response.end("done"));
        await new Promise<void>(resolve => endpoint.listen(8000, instance.address, resolve));
    });
    after(async () => {
        endpoint.close();
        await cluster.stop();
    });

    it("holds examples", () => {
        expect(examples).to.have.length(10);
    });

    for (const example of examples) {
        it(`is true of ${example.title || "a probe"} (${example.listener})`, async () => {
            const { callerUrl, adminUrl } = cluster.instances[0]!;
            const bases: Record<string, string> = {
                "caller listener": callerUrl,
                "admin listener": adminUrl,
                "log service": cluster.log,
            };
            const reply = await sendExample(bases[example.listener]!, example.request);
            const { start, headers } = parseMessage(example.answer);
            expect(`HTTP/1.1 ${reply.status}`).to.equal(start);
            for (const [name, value] of headers) {
                expect(reply.headers[name], name).to.equal(value);
            }
        });
    }
});
