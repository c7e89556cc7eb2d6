import { expect } from "chai";
import { contractStreamName, formatPublication } from "../src/version/contractStream.js";
import { publishContract } from "../src/version/publisher.js";
import type { AppendFault } from "./fakes.js";
import { createContract, FakeClock, FakeLog } from "./fakes.js";

const contract = createContract("weavers");

function publish(log: FakeLog, baseVersion?: number) {
    return publishContract(log, new FakeClock(), contract, "sari", baseVersion, 2000);
}

function writeRival(log: FakeLog): void {
    log.write(
        contractStreamName,
        formatPublication({ kind: "publish", id: "rival", operator: "budi", baseVersion: 0, contract }),
    );
}

describe("publishing", () => {
    const cases: readonly {
        readonly name: string;
        readonly fault: AppendFault;
        readonly kind: string;
        readonly records: number;
    }[] = [
        { name: "is accepted once the log shows it", fault: "none", kind: "accepted", records: 1 },
        {
            name: "resolves a lost answer by reading, without a second append",
            fault: "answerLost",
            kind: "accepted",
            records: 1,
        },
        {
            name: "says unknown when the append left no trace",
            fault: "answerLostWithoutEffect",
            kind: "unknown",
            records: 0,
        },
        {
            name: "says that nothing was published while the log is down",
            fault: "unavailable",
            kind: "unavailable",
            records: 0,
        },
    ];
    for (const { name, fault, kind, records } of cases) {
        it(name, async () => {
            const log = new FakeLog();
            log.faults.push(fault);
            expect((await publish(log)).kind).to.equal(kind);
            expect(log.streams.get(contractStreamName)?.length ?? 0).to.equal(records);
        });
    }

    it("tells the loser of a race the winner and the version in force", async () => {
        const log = new FakeLog();
        log.beforeAppend = () => writeRival(log);
        expect(await publish(log)).to.deep.equal({ kind: "conflict", version: 1, operator: "budi" });
    });

    it("refuses a stale base version without an append", async () => {
        const log = new FakeLog();
        writeRival(log);
        expect((await publish(log, 0)).kind).to.equal("conflict");
        expect(log.streams.get(contractStreamName)).to.have.length(1);
    });

    it("does not publish while the log can't be read", async () => {
        const log = new FakeLog();
        log.isDown = true;
        expect((await publish(log)).kind).to.equal("unavailable");
    });
});
