/** The story of a request, from the lines that nodes write. */
import { expect } from "chai";
import { LogWriter } from "../../src/process/membership/logWriter.js";
import { findRequestLines } from "../../src/process/operators/explain.js";
import { FakeClock } from "../fakes.js";

/** Sink that keeps what is written and looks as full as a test says. */
class FakeSink {
    readonly texts: string[] = [];
    writableLength = 0;

    write(text: string): void {
        this.texts.push(text);
    }
}

describe("log of a routed node", () => {
    it("tells the story of a request and its calls in order, from the logs of several nodes", () => {
        const lines = [
            "node-b time=2026-01-01T00:00:02.000Z level=info event=requestEnded outcome=refused request=a.x cause=full",
            "node-a time=2026-01-01T00:00:01.000Z level=info event=placedAgain request=a cause=reset",
            "node-a time=2026-01-01T00:00:01.500Z level=info event=requestEnded request=ab outcome=refused",
            "node-a time=2026-01-01T00:00:03.000Z level=info event=requestEnded request=a status=502",
            "no line of a node request=a",
        ];
        expect(findRequestLines("a", lines)).deep.equals([
            "2026-01-01T00:00:01.000Z node-a info placedAgain request=a cause=reset",
            "2026-01-01T00:00:02.000Z node-b info requestEnded outcome=refused request=a.x cause=full",
            "2026-01-01T00:00:03.000Z node-a info requestEnded request=a status=502",
        ]);
    });

    const cases: readonly { readonly name: string; readonly lines: number; readonly waiting: number; }[] = [
        { name: "beyond its rate", lines: 1000, waiting: 0 },
        { name: "while its reader does not keep up", lines: 10, waiting: 10_000_000 },
    ];
    for (const { name, lines, waiting } of cases) {
        it(`counts lines instead of writing them ${name}, and tells the count`, () => {
            const clock = new FakeClock();
            const sink = new FakeSink();
            sink.writableLength = waiting;
            const log = new LogWriter(clock, sink, "info");
            for (let index = 0; index < lines; index += 1) {
                log.getLogger().info("runRefused", { request: index });
            }
            sink.writableLength = 0;
            clock.addTime(1000);
            log.flush();
            const text = sink.texts.join("");
            const written = text.split("runRefused").length - 1;
            const dropped = Number(/event=linesDropped count=(\d+)/.exec(text)?.[1]);
            expect(written).at.most(400);
            expect(written + dropped).equals(lines);
        });
    }

    it("leaves out lines below its level", () => {
        const sink = new FakeSink();
        const log = new LogWriter(new FakeClock(), sink, "warn");
        log.getLogger().info("usual");
        log.flush();
        expect(sink.texts).deep.equals([]);
    });
});
