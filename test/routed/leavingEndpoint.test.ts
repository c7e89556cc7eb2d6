/** What a node knows of an endpoint that leaves, whoever says so and in whatever order it hears of it. */
import { expect } from "chai";
import { EndpointState } from "../../src/process/endpoint/endpointState.js";
import { InstanceRegistry } from "../../src/process/membership/instanceRegistry.js";
import { OwnInstanceRecord } from "../../src/process/membership/ownInstanceRecord.js";
import { formatInstanceRecord, parseInstanceRecord } from "../../src/version/instanceRecord.js";
import { FakeClock } from "../fakes.js";
import { createRecord } from "./samples.js";

const report = (state: EndpointState, id: string, reportNumber: number): void => {
    state.applyReport({ id, slots: 10, state: "ready", reportNumber });
};

describe("an endpoint that leaves", () => {
    const cases: readonly {
        readonly name: string;
        readonly play: (state: EndpointState) => void;
        readonly refusal: "leaving" | "notKnown" | undefined;
        readonly leavingId: string | undefined;
    }[] = [
        {
            name: "gets no work after its answer said so",
            play: state => {
                report(state, "a", 1);
                state.recordLeaving("a");
            },
            refusal: "leaving",
            leavingId: "a",
        },
        {
            name: "gets no work when a later report says that it is ready",
            play: state => {
                report(state, "a", 1);
                state.recordLeaving("a");
                report(state, "a", 2);
            },
            refusal: "leaving",
            leavingId: "a",
        },
        {
            name: "gets no work when its report comes after the word of another node",
            play: state => {
                state.recordLeaving("a");
                report(state, "a", 9);
            },
            refusal: "leaving",
            leavingId: "a",
        },
        {
            name: "gets no work when its health check comes after the word of another node",
            play: state => {
                state.recordLeaving("a");
                state.learnIncarnation("a", 10);
            },
            refusal: "leaving",
            leavingId: "a",
        },
        {
            name: "is not taken for the endpoint by the word of another node alone",
            play: state => state.recordLeaving("a"),
            refusal: "notKnown",
            leavingId: "a",
        },
        {
            name: "doesn't keep its successor from work, and stays known",
            play: state => {
                report(state, "a", 1);
                state.recordLeaving("a");
                report(state, "b", 1);
            },
            refusal: undefined,
            leavingId: "a",
        },
        {
            name: "is the one that left last, whatever is heard of earlier ones",
            play: state => {
                report(state, "b", 1);
                state.applyLeave("b");
                state.recordLeaving("a");
            },
            refusal: "leaving",
            leavingId: "b",
        },
    ];
    for (const { name, play, refusal, leavingId } of cases) {
        it(name, () => {
            const state = new EndpointState(new FakeClock());
            play(state);
            expect([state.findRefusalReason(), state.getLeavingId()]).deep.equals([refusal, leavingId]);
        });
    }

    it("doesn't make a node publish again what comes back from another node", () => {
        const { revision, ...description } = createRecord("10.0.0.1", { revision: 7 });
        const own = new OwnInstanceRecord(() => ({ leavingEndpoint: "a", ...description }), revision);
        const registry = new InstanceRegistry();
        registry.put(parseInstanceRecord(formatInstanceRecord(own.update()))!);
        expect(own.refute(formatInstanceRecord(registry.get("10.0.0.1")!))).equals(false);
    });

    it("stays known at other nodes when its node, restarted, no longer names it", () => {
        const registry = new InstanceRegistry();
        registry.put(createRecord("10.0.0.1", { revision: 2, leavingEndpoint: "a" }));
        registry.put(createRecord("10.0.0.1", { revision: 3 }));
        registry.put(createRecord("10.0.0.1", { revision: 1, leavingEndpoint: "earlier" }));
        expect(registry.get("10.0.0.1")?.revision).equals(3);
        expect(registry.findLeavingEndpoint("10.0.0.1")).equals("a");
    });
});
