/** A keyed log that comes back from an older copy: what a node keeps, reads again and writes again. */
import { expect } from "chai";
import fc from "fast-check";
import { setMaxListeners } from "node:events";
import type { AppendedRecord, KeyedLog, KeyedLogError, KeyedPage, KeyedRecord } from "../../src/connection/keyedLog.js";
import type { Result } from "../../src/process/base/result.js";
import { createFailure, createSuccess } from "../../src/process/base/result.js";
import { ClusterState } from "../../src/process/membership/clusterState.js";
import { topics } from "../../src/process/membership/logReading.js";
import { createRandom } from "../../standin/random.js";
import { FakeClock, readPropertyOptions, silentLogger } from "../fakes.js";
import { createRecord, createRoute, formatConfiguration } from "./samples.js";

const address = "10.0.0.1";
/** Turns of the event loop for which a long poll waits. */
const longPollTurns = 20;

/** Keyed log in memory that can be copied and restored. */
class RestorableLog implements KeyedLog {
    era = 0;
    /** The next append takes effect, and the log is restored before its answer is on the way. */
    isRestoredAfterAppend = false;
    private records = new Map<string, KeyedRecord[]>();
    private saved = new Map<string, KeyedRecord[]>();

    async readNewest(topic: string): Promise<Result<KeyedPage, KeyedLogError>> {
        const records = this.list(topic);
        const newest = new Map(records.map(record => [record.key, record]));
        return createSuccess({ records: [...newest.values()], next: records.length, era: this.era });
    }

    async follow(
        topic: string,
        from: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<Result<KeyedPage, KeyedLogError>> {
        const { era } = this;
        const turns = waitMs > 0 ? longPollTurns : 0;
        for (let turn = 0; turn < turns && this.list(topic).length === from && !signal.aborted; turn += 1) {
            await new Promise<void>(resolve => setImmediate(resolve));
        }
        if (this.era !== era) {
            return createFailure({ kind: "noAnswer", cause: "the log was away" });
        }
        const records = this.list(topic).slice(from);
        return this.list(topic).length < from
            ? createFailure({ kind: "expired" })
            : createSuccess({ records, next: from + records.length, era: this.era });
    }

    async append(topic: string, key: string, value: string): Promise<Result<AppendedRecord, KeyedLogError>> {
        const appended = { offset: this.write(topic, key, value), era: this.era };
        if (this.isRestoredAfterAppend) {
            this.isRestoredAfterAppend = false;
            this.restore();
        }
        return createSuccess(appended);
    }

    write(topic: string, key: string, value: string): number {
        const offset = this.list(topic).length;
        this.records.set(topic, [...this.list(topic), { key, value, offset }]);
        return offset;
    }

    copy(): void {
        this.saved = new Map(this.records);
    }

    restore(): void {
        this.era += 1;
        this.records = new Map(this.saved);
    }

    findNewest(topic: string, key: string): string | undefined {
        return this.list(topic).filter(record => record.key === key).pop()?.value;
    }

    private list(topic: string): readonly KeyedRecord[] {
        return this.records.get(topic) ?? [];
    }
}

/** Clock that moves on with each sleep, which lets other tasks run. */
class TurnClock extends FakeClock {
    override async sleep(milliseconds: number): Promise<void> {
        this.addTime(milliseconds);
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}

/** Lets the tasks of the node run until they wait for the log. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 80; turn += 1) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}

type Step = "configure" | "join" | "change" | "copy" | "restore" | "restoreAfterAppend" | "settle" | "restart";
const steps: readonly Step[] = [
    "configure",
    "join",
    "change",
    "copy",
    "restore",
    "restoreAfterAppend",
    "settle",
    "restart",
];

/** Plays steps on one node and its log. */
class Play {
    readonly log = new RestorableLog();
    state: ClusterState;
    highestVersion = -1;
    private count = 0;
    private starts = 0;
    private slots = 1;
    private stopController = new AbortController();

    constructor() {
        this.state = this.startNode();
    }

    async play(step: Step): Promise<void> {
        this.count += 1;
        switch (step) {
            case "configure":
                this.log.write(topics.configuration, "config", formatConfiguration(this.count, [createRoute()]));
                return;
            case "join": {
                const joined = createRecord(`10.0.1.${this.count}`);
                this.log.write(topics.instances, joined.address, JSON.stringify(joined));
                return;
            }
            case "change":
                this.slots += 1;
                this.state.publishOwnRecord();
                return;
            case "copy":
                return this.log.copy();
            case "restore":
                return this.log.restore();
            case "restoreAfterAppend":
                this.log.isRestoredAfterAppend = true;
                return;
            case "settle":
                return settle();
            case "restart":
                this.stopController.abort();
                this.highestVersion = -1;
                this.state = this.startNode();
        }
    }

    formatOwnRecord(): string {
        return this.state.formatOwnRecord();
    }

    stop(): void {
        this.stopController.abort();
    }

    private startNode(): ClusterState {
        this.starts += 1;
        this.stopController = new AbortController();
        setMaxListeners(0, this.stopController.signal);
        const state = new ClusterState({
            clock: new TurnClock(),
            random: createRandom(5),
            logger: silentLogger,
            log: this.log,
            address,
            dataCentre: "klaten",
            firstRevision: this.starts * 100,
            isFirstStart: false,
            describeInstance: () => createRecord(address, { slots: this.slots }),
            restoreFromOwnRecord: () => undefined,
            isReachable: () => true,
            post: () => undefined,
            listLinked: () => [],
            ping: () => undefined,
            handleInstanceRecord: () => undefined,
        });
        state.run(this.stopController.signal);
        state.publishOwnRecord();
        return state;
    }
}

describe("a keyed log that comes back from an older copy", () => {
    const cases: readonly { readonly name: string; readonly steps: readonly Step[]; }[] = [
        { name: "has lost the record", steps: ["copy", "settle", "restore"] },
        { name: "holds an older record", steps: ["settle", "copy", "change", "settle", "restore"] },
        {
            name: "loses an append between its effect and its answer",
            steps: ["settle", "restoreAfterAppend", "change"],
        },
        {
            name: "comes back several times in a row",
            steps: ["copy", "settle", "restore", "settle", "restore", "restore"],
        },
        {
            name: "ends at the offset that the node would read next",
            steps: ["settle", "copy", "change", "settle", "restore", "join", "settle"],
        },
        {
            name: "has other records at the offsets that the node read",
            steps: ["configure", "copy", "settle", "configure", "join", "settle", "restore", "join", "configure"],
        },
    ];
    for (const { name, steps: played } of cases) {
        it(`gets the node's record again when it ${name}`, async () => {
            const play = new Play();
            for (const step of played) {
                await play.play(step);
            }
            await settle();
            play.stop();
            expect(play.log.findNewest(topics.instances, address)).equals(play.formatOwnRecord());
        });
    }

    it("never takes a version back, and is read again in any sequence of appends, copies, restores and restarts", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(fc.constantFrom(...steps), { maxLength: 14 }), async played => {
                const play = new Play();
                for (const step of played) {
                    await play.play(step);
                    const version = play.state.configurationHolder.getVersion();
                    expect(version).at.least(play.highestVersion);
                    play.highestVersion = version;
                }
                await settle();
                play.stop();
                expect(play.log.findNewest(topics.instances, address)).equals(play.formatOwnRecord());
                const newest = await play.log.readNewest(topics.instances);
                for (const { key } of newest.ok ? newest.value.records : expect.fail()) {
                    expect(play.state.registry.get(key)?.address).equals(key);
                }
                const text = play.log.findNewest(topics.configuration, "config");
                if (text !== undefined) {
                    const published = (JSON.parse(text) as { version: number; }).version;
                    expect(play.state.configurationHolder.getVersion()).at.least(published);
                }
            }),
            readPropertyOptions(150),
        );
    });
});
