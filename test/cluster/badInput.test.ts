import { expect } from "chai";
import { connect } from "node:net";
import type { Send } from "../../standin/caller.js";
import { sendOnce } from "../../standin/caller.js";
import { Cluster } from "../../standin/cluster.js";
import { createContract } from "../fakes.js";

const cluster = new Cluster({
    contracts: [createContract("weavers")],
    services: [{ name: "katalog", slots: 10, serviceMs: 1, calls: [], dataCentres: ["klaten"] }],
});

function createSend(change: Partial<Send>): Send {
    const url = cluster.instances[0]!.callerUrl;
    return { url, customer: "weavers", class: "browse", attempt: 1, ...change };
}

/** Sends bytes as they are and returns the first line of the answer. */
function sendRaw(text: string): Promise<string> {
    return new Promise(resolve => {
        let answer = "";
        const socket = connect({ host: cluster.instances[0]!.address, port: 7001 }, () => socket.end(text));
        socket.on("data", chunk => answer += chunk.toString());
        socket.on("close", () => resolve(answer.split("\r\n")[0] ?? ""));
        socket.on("error", () => resolve("error"));
    });
}

describe("bad input of a caller", () => {
    before(() => cluster.start());
    after(() => cluster.stop());

    const cases: readonly {
        readonly name: string;
        readonly change: Partial<Send>;
        readonly status: number;
        readonly reason: string;
    }[] = [
        { name: "an unknown customer", change: { customer: "nobody" }, status: 403, reason: "unknownCustomer" },
        {
            name: "a customer named like a built-in property",
            change: { customer: "constructor" },
            status: 403,
            reason: "unknownCustomer",
        },
        { name: "an unknown class", change: { class: "nothing" }, status: 403, reason: "unknownClass" },
        { name: "no customer", change: { customer: "" }, status: 400, reason: "badRequest" },
        {
            name: "a missing key of a class that is not idempotent",
            change: { class: "advance" },
            status: 400,
            reason: "badRequest",
        },
        { name: "a key that is too long", change: { key: "k".repeat(300) }, status: 400, reason: "badRequest" },
        { name: "a key with spaces", change: { key: "a b" }, status: 400, reason: "badRequest" },
        {
            name: "a negative deadline",
            change: { headers: { "turmericspoke-deadline-ms": "-1" } },
            status: 400,
            reason: "badRequest",
        },
        {
            name: "an attempt that is no number",
            change: { headers: { "turmericspoke-attempt": "one" } },
            status: 400,
            reason: "badRequest",
        },
        {
            name: "a body that is too large",
            change: { body: "x".repeat(5_000_000) },
            status: 413,
            reason: "bodyTooLarge",
        },
    ];
    for (const { name, change, status, reason } of cases) {
        it(`is refused at once: ${name}`, async () => {
            const told = await sendOnce(createSend(change));
            expect({ status: told.status, reason: told.reason, outcome: told.outcome }).to.deep.equal({
                status,
                reason,
                outcome: "not-run",
            });
        });
    }

    const raw: readonly { readonly name: string; readonly text: string; readonly expected: RegExp; }[] = [
        {
            name: "headers that are too large",
            text: `GET / HTTP/1.1\r\nhost: a\r\nx: ${"y".repeat(20_000)}\r\n\r\n`,
            expected: / 431 /,
        },
        { name: "text that is not HTTP", text: "hello\r\n\r\n", expected: / 400 / },
        {
            name: "a body shorter than stated",
            text: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc",
            expected: /^$| 400 /,
        },
    ];
    for (const { name, text, expected } of raw) {
        it(`is refused at once: ${name}`, async () => {
            expect(await sendRaw(text)).to.match(expected);
        });
    }

    it("disturbs nothing else", async () => {
        const told = await sendOnce(createSend({}));
        expect(told.outcome).to.equal("completed");
        expect(cluster.readRuns().filter(run => run.event === "start")).to.have.length(1);
    });
});
