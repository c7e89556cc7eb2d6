/** Runs that other nodes request under one attempt identifier: whose run, and so whose answer, each gets. */
import { expect } from "chai";
import type { LinkMessage, RunMessage } from "../../src/connection/linkMessage.js";
import type { AcceptedLink } from "../../src/connection/linkServer.js";
import { RemoteRuns } from "../../src/process/endpoint/remoteRuns.js";
import { BodyBudget } from "../../src/process/load/bodyBudget.js";
import type { RunOutcome } from "../../src/process/load/runOutcome.js";
import type { RunRequest } from "../../src/request/runRequest.js";
import { FakeClock } from "../fakes.js";

const load = { running: 0, waiting: 0, limit: 5, failureShare: 0, isSettled: true, shedShare: 0, slowness: 0 };

/** A link from a node, with what was posted on it. */
class FakeLink implements AcceptedLink {
    readonly posted: LinkMessage[] = [];
    readonly post = (message: LinkMessage): void => void this.posted.push(message);
    readonly isOpen = (): boolean => true;
    readonly onClose = (): void => undefined;

    constructor(private readonly address: string) {}

    readonly getPeerAddress = (): string => this.address;
}

function createMessage(id: number, change: Partial<RunMessage>): RunMessage {
    return {
        kind: "run",
        id,
        attemptId: "a",
        sendNumber: 1,
        isResent: false,
        service: "katalog",
        route: "r",
        method: "GET",
        path: "/",
        headers: [],
        body: Buffer.alloc(0),
        isIdempotent: true,
        origin: { route: "r", priority: 0, isRepeated: false, depth: 0, servedBefore: 0, customer: undefined },
        timeLeftMs: 1000,
        targetLeftMs: 1000,
        callerService: "ekspor",
        leavingEndpoint: undefined,
        usualRunMs: 0,
        ...change,
    };
}

/** Runs that end at once, each with the number of the run and its path as its body. */
class Runs {
    readonly requests: RunRequest[] = [];
    readonly bodies = new BodyBudget(new FakeClock(), 1_000_000);
    readonly runs = new RemoteRuns(
        new FakeClock(),
        { run: request => this.answer(request), getLoad: () => load },
        this.bodies,
    );

    private async answer(request: RunRequest): Promise<RunOutcome> {
        this.requests.push(request);
        const body = Buffer.from(`${this.requests.length} ${request.path}`);
        return { kind: "answer", status: 200, headers: [], body, runMs: 1, waitedMs: 0, behind: "none", pressure: 0 };
    }
}

async function readBodies(links: readonly FakeLink[]): Promise<string[]> {
    await new Promise(resolve => setImmediate(resolve));
    return links.flatMap(link => link.posted).map(message =>
        (message as { readonly body?: Buffer; }).body?.toString() ?? ""
    );
}

describe("runs that other nodes request", () => {
    const cases: readonly {
        readonly name: string;
        readonly second: Partial<RunMessage>;
        readonly from: string;
        readonly bodies: readonly string[];
    }[] = [
        {
            name: "of a send that arrives again are one",
            second: { isResent: true },
            from: "node1",
            bodies: ["1 /", "1 /"],
        },
        { name: "of two sends are two", second: { sendNumber: 2 }, from: "node1", bodies: ["1 /", "2 /"] },
        {
            name: "of two nodes under one attempt are two, each with its own answer",
            second: { path: "/x" },
            from: "node2",
            bodies: ["1 /", "2 /x"],
        },
    ];
    for (const { name, second, from, bodies } of cases) {
        it(name, async () => {
            const { runs } = new Runs();
            const links = [new FakeLink("node1"), new FakeLink(from)];
            runs.start(createMessage(1, {}), links[0]!);
            runs.start(createMessage(2, second), links[1]!);
            expect(await readBodies(links)).deep.equals(bodies);
        });
    }
});
