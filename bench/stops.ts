/**
 * Seeded series of planned stops of real processes, under callers that send ahead, upload, download and go on until each
 * process is gone. Lists the requests that break the platform's rules on lost, refused and repeated requests.
 *
 * Run with `npm run bench:stops -- --seed N --rounds N`. Exits 0 if there are none and all processes ended by themselves.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { TracedFinding } from "../standin/stopSoak.js";
import { StopSoak } from "../standin/stopSoak.js";

/** Grace time of a stop, in seconds; that of the platform. */
const graceSeconds = 6;

async function main(): Promise<void> {
    const { seed, rounds } = await yargs(hideBin(process.argv)).options({
        seed: { type: "number", default: 1, describe: "seed of all that is drawn" },
        rounds: { type: "number", default: 3, describe: "series of stops" },
    }).strict().parse();
    const result = await new StopSoak(seed, graceSeconds).run(rounds);
    result.findings.forEach(finding => process.stdout.write(`${formatFinding(finding)}\n`));
    const { findings, oddExits, ...counts } = result;
    const figures = Object.entries({ seed, rounds, findings: findings.length, ...counts })
        .map(([name, count]) => `${name}=${count}`);
    process.stdout.write(`${figures.join(" ")} oddExits=${oddExits.join(",") || "none"}\n`);
    process.exit(findings.length === 0 && oddExits.length === 0 ? 0 : 1);
}

function formatFinding({ kind, request, runs, log }: TracedFinding): string {
    const { attempt, entry, startedAt, sentAt, endedAt, status, deadlineMs, unseenMs } = request;
    const since = (time: number | undefined): string => time === undefined ? "-" : String(Math.round(time - startedAt));
    const described = runs.map(run => `${run.machine}:${since(run.startedAt)}..${since(run.abandonedAt)}`);
    return `${kind} ${attempt} entry=${entry} at=${Math.round(startedAt)} sentMs=${since(sentAt)} endedMs=${
        since(endedAt)
    } deadlineMs=${deadlineMs} status=${status} unseenMs=${Math.round(unseenMs)} runs=${described.join(",") || "none"}${
        log.map(line => `\n    ${line}`).join("")
    }`;
}

await main();
