import { expect } from "chai";
import {
    contractReducer,
    contractStreamName,
    findContractVersion,
    formatPublication,
} from "../src/version/contractStream.js";
import { Replica } from "../src/version/replica.js";
import { formatSnapshot } from "../src/version/streamReducer.js";
import { createContract, FakeLog } from "./fakes.js";

const stream = contractStreamName;

function writePublication(log: FakeLog, id: string, baseVersion: number): number {
    return log.write(
        stream,
        formatPublication({ kind: "publish", id, operator: "sari", baseVersion, contract: createContract("weavers") }),
    );
}

function createReplica(skipped: number[] = []) {
    return new Replica(stream, contractReducer, (_stream, offset) => skipped.push(offset));
}

async function readVersion(log: FakeLog): Promise<number | string> {
    const replica = createReplica();
    const result = await replica.catchUp(log);
    return result.ok ? findContractVersion(replica.get()!.state, "weavers") : result.error.kind;
}

/** A log of two publications, and the snapshot of a writer that was paused after the first one. */
async function createPausedWriter() {
    const log = new FakeLog();
    writePublication(log, "a", 0);
    const replica = createReplica();
    await replica.catchUp(log);
    const staleSnapshot = formatSnapshot(replica.get()!);
    writePublication(log, "b", 1);
    return { log, replica, paused: staleSnapshot };
}

describe("fold of a stream", () => {
    const hostile: readonly { readonly name: string; readonly body: string; }[] = [
        { name: "a torn record", body: "{\"kind\":\"publish\",\"id\":\"x\"" },
        { name: "an empty record", body: "" },
        { name: "a record of another kind", body: "{\"kind\":\"retire\"}" },
        { name: "a record that is too long", body: JSON.stringify({ kind: "publish", filler: "x".repeat(2_000_000) }) },
        { name: "null", body: "null" },
        {
            name: "a snapshot from the future",
            body: JSON.stringify({ kind: "snapshot", through: 1e9, state: { contracts: {}, verdicts: [] } }),
        },
        {
            name: "a customer named like a built-in property",
            body: JSON.stringify({ kind: "publish", customer: "__proto__" }),
        },
    ];
    for (const { name, body } of hostile) {
        it(`goes on after ${name}`, async () => {
            const log = new FakeLog();
            writePublication(log, "a", 0);
            log.write(stream, body);
            writePublication(log, "b", 1);
            expect(await readVersion(log)).to.equal(2);
        });
    }

    it("reports what it skips", async () => {
        const log = new FakeLog();
        log.write(stream, "torn");
        const skipped: number[] = [];
        await createReplica(skipped).catchUp(log);
        expect(skipped).to.deep.equal([0]);
    });

    it("starts from a snapshot when records have expired", async () => {
        const log = new FakeLog();
        writePublication(log, "a", 0);
        writePublication(log, "b", 1);
        const replica = createReplica();
        await replica.catchUp(log);
        log.write(stream, formatSnapshot(replica.get()!));
        writePublication(log, "c", 2);
        log.first = 2;
        expect(await readVersion(log)).to.equal(3);
    });

    it("does not start when a record after the snapshot has expired", async () => {
        const { log, paused } = await createPausedWriter();
        log.write(stream, paused);
        log.first = 2;
        expect(await readVersion(log)).to.equal("gap");
    });

    it("lets no snapshot of a paused writer win over a newer one", async () => {
        const { log, replica, paused } = await createPausedWriter();
        await replica.catchUp(log);
        log.write(stream, formatSnapshot(replica.get()!));
        log.write(stream, paused);
        log.first = 1;
        expect(await readVersion(log)).to.equal(2);
    });

    it("never goes back, whatever a peer offers", async () => {
        const log = new FakeLog();
        writePublication(log, "a", 0);
        const replica = createReplica();
        await replica.catchUp(log);
        const old = replica.get()!;
        writePublication(log, "b", 1);
        await replica.catchUp(log);
        expect(replica.adoptIfNewer(old.through, old.state)).to.equal(false);
        expect(replica.adoptIfNewer(99, { contracts: "nonsense" })).to.equal(false);
        expect(findContractVersion(replica.get()!.state, "weavers")).to.equal(2);
    });
});
