import { expect } from "chai";
import type { ContractError } from "../src/version/contract.js";
import { formatContractError, parseContract } from "../src/version/contract.js";
import { formatContract } from "../standin/plans.js";
import { createContract } from "./fakes.js";

const good = formatContract(createContract("weavers"));

const broken: readonly {
    readonly name: string;
    readonly text: string;
    readonly expected: Partial<ContractError> & { key?: string; };
}[] = [
    { name: "text that is not TOML", text: "customer = ", expected: { kind: "syntax" } },
    {
        name: "a missing section",
        text: good.replace(/\[retries\][^[]*/, ""),
        expected: { kind: "value", key: "retries" },
    },
    { name: "an unknown key", text: `${good}\nextra = 1\n`, expected: { kind: "value", key: "classes.lookup.extra" } },
    {
        name: "a worth above 100",
        text: good.replace("worth = 20", "worth = 101"),
        expected: { kind: "value", key: "classes.browse.worth" },
    },
    {
        name: "a worth that is no number",
        text: good.replace("worth = 20", "worth = \"x\""),
        expected: { kind: "value", key: "classes.browse.worth" },
    },
    {
        name: "a fractional bound",
        text: good.replace("bound = 4", "bound = 1.5"),
        expected: { kind: "value", key: "retries.bound" },
    },
    {
        name: "a customer in capitals",
        text: good.replace("weavers", "Weavers"),
        expected: { kind: "value", key: "customer" },
    },
    {
        name: "no classes",
        text: good.replace(/\[classes[\s\S]*/, "[classes]\n"),
        expected: { kind: "value", key: "classes" },
    },
    { name: "a file that is too large", text: `# ${"x".repeat(70_000)}\n${good}`, expected: { kind: "tooLarge" } },
];

describe("contract", () => {
    it("parses a well-formed file", () => {
        const parsed = parseContract(good);
        expect(parsed).to.deep.equal({ ok: true, value: createContract("weavers") });
    });

    for (const { name, text, expected } of broken) {
        it(`refuses ${name} and names the place`, () => {
            const parsed = parseContract(text);
            expect(parsed.ok).to.equal(false);
            if (!parsed.ok) {
                expect(parsed.error).to.include(expected);
                expect(formatContractError("weavers.toml", parsed.error)).to.match(/^weavers\.toml/);
            }
        });
    }
});
