import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";
import { parseSettings } from "../src/process/settings/settings.js";
import { parseContract } from "../src/version/contract.js";

const folder = "examples";
const files = readdirSync(folder, { recursive: true }).map(String).filter(file => file.endsWith(".toml")).sort();

describe("examples", () => {
    for (const file of files) {
        it(`${file} is well-formed`, () => {
            const text = readFileSync(`${folder}/${file}`, "utf8");
            const parsed = file.includes("node-") ? parseSettings(file, text) : parseContract(text);
            expect(parsed).to.include({ ok: true });
        });
    }

    it("refuse browsing and checks before everything that must not run twice", () => {
        for (const system of ["cooperative", "qalam"]) {
            const contracts = files.filter(file => file.startsWith(system) && !file.includes("node-")).map(file =>
                parseContract(readFileSync(`${folder}/${file}`, "utf8"))
            );
            const classes = contracts.flatMap(parsed => parsed.ok ? Object.entries(parsed.value.classes) : []);
            const lowestNonIdempotentWorth = Math.min(
                ...classes.filter(([, each]) => !each.idempotent).map(([, each]) => each.worth),
            );
            const browseAndCheckWorths = classes.filter(([name]) => name === "browse" || name === "check").map((
                [, each],
            ) => each.worth);
            expect(browseAndCheckWorths.every(worth => worth < lowestNonIdempotentWorth)).to.equal(true);
        }
    });
});
