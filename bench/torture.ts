/**
 * Draws faults from a seed and goes on bringing them about under load until the time is over or a promise is broken.
 *
 * Run with `npm run torture -- --seed N --minutes M`. Each round starts a fresh cluster, applies a pair of faults at drawn
 * moments and checks every promise that can be read off what callers were told and what endpoints recorded. Prints the
 * trace as JSON lines, and for a violation the command that replays its round.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { Cluster } from "../standin/cluster.js";
import { faults } from "../standin/faults.js";
import { Load } from "../standin/load.js";
import { createChain, createContract } from "../standin/plans.js";
import { sleep } from "../standin/processes.js";
import { findViolations } from "../standin/promises.js";
import type { Random } from "../standin/random.js";
import { createRandom } from "../standin/random.js";

const bound = 4;
const customers = ["weavers", "treasurers", "clerks", "inspectors"];
/** Longest time before the second fault begins, in milliseconds. */
const maxDelayMs = 3000;
/** Time of load before and after the faults, in milliseconds. */
const marginMs = 1500;

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        minutes: { type: "string", default: "2" },
        round: { type: "string" },
    },
});
const seed = Number(values.seed);
const onlyRound = values.round === undefined ? undefined : Number(values.round);

function print(fields: object): void {
    process.stdout.write(`${JSON.stringify(fields)}\n`);
}

function createLoad(cluster: Cluster): Load {
    const flows = [["weavers", "browse", "katalog"], ["treasurers", "advance", "kas-benang"], [
        "clerks",
        "certificate",
        "ekspor",
    ]];
    return new Load(flows.map(([customer, className, service]) => ({
        customer: customer!,
        class: className!,
        urls: cluster.listService(service!).map(instance => instance.callerUrl),
        perSecond: 40,
        path: "/work",
        persistence: { sends: 6, pauseMs: 150, isHard: true },
    })));
}

async function applyFaults(cluster: Cluster, random: Random, round: number): Promise<void> {
    const drawn = [0, 1].map(() => faults[Math.floor(random() * faults.length)]!);
    const delays = [0, random() * maxDelayMs];
    const seeds = [random() * 2 ** 32, random() * 2 ** 32];
    await Promise.all(drawn.map(async (fault, index) => {
        await sleep(delays[index]!);
        print({ round, event: "faultBegins", fault: fault.name });
        await fault.apply(cluster, createRandom(seeds[index]!));
        print({ round, event: "faultEnds", fault: fault.name });
    }));
}

/** Plays one round. Returns whether every promise held. */
async function playRound(round: number): Promise<boolean> {
    const random = createRandom(seed * 1000 + round);
    const cluster = new Cluster({
        contracts: customers.map(name => createContract(name, undefined, bound)),
        services: createChain(5, 30),
    });
    try {
        await cluster.start();
        const load = createLoad(cluster);
        await sleep(marginMs);
        await applyFaults(cluster, random, round);
        await cluster.waitUntilSettled();
        await sleep(marginMs);
        const results = await load.stop();
        const violations = findViolations(results, cluster.readRuns(), bound);
        const completed = results.filter(result =>
            result.told.outcome === "completed" && result.told.status === 200
        ).length;
        print({ round, event: "roundEnds", actions: results.length, completed, violations });
        return violations.length === 0;
    }
    finally {
        await cluster.stop();
    }
}

const giveUpAt = performance.now() + Number(values.minutes) * 60_000;
print({ event: "tortureBegins", seed });
let round = onlyRound ?? 1;
for (;; round += 1) {
    if (!await playRound(round)) {
        print({ event: "promiseBroken", replay: `npm run torture -- --seed ${seed} --round ${round}` });
        process.exit(1);
    }
    if (onlyRound !== undefined || performance.now() > giveUpAt) {
        break;
    }
}
print({ event: "tortureEnds", seed, rounds: onlyRound === undefined ? round : 1 });
process.exit(0);
