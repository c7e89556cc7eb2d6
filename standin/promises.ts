/** Checks what callers were told against what the endpoints recorded. Each violated promise is one line. */
import { hashBody } from "./caller.js";
import type { RunRecord } from "./endpoint.js";
import type { ActionResult } from "./load.js";

/** Classes that must not run twice. */
const onceClasses: ReadonlySet<string> = new Set(["advance", "certificate"]);

/** Lists every violation. `bound` is the contracts' bound of repeated runs. */
export function findViolations(results: readonly ActionResult[], runs: readonly RunRecord[], bound: number): string[] {
    const starts = runs.filter(run => run.event === "start");
    return [
        ...findDoubles(starts),
        ...findFalseRefusals(results, starts),
        ...findExcessRuns(starts, bound),
        ...findWrongAnswers(results),
    ];
}

function countBy<T>(items: readonly T[], getName: (item: T) => string): Map<string, number> {
    const counts = new Map<string, number>();
    for (const item of items) {
        const name = getName(item);
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
}

/** A run of a class that must not run twice, twice. */
function findDoubles(starts: readonly RunRecord[]): string[] {
    const counts = countBy(starts.filter(run => onceClasses.has(run.class)), run => `${run.service} ${run.key}`);
    return [...counts].filter(([, count]) => count > 1).map(([name, count]) => `ran ${count} times: ${name}`);
}

/** A run of an action whose caller was last told that it was not run. */
function findFalseRefusals(results: readonly ActionResult[], starts: readonly RunRecord[]): string[] {
    const keys = new Set(starts.map(run => run.action));
    return results
        .filter(result => result.told.outcome === "not-run" && keys.has(result.key))
        .map(result =>
            `told not run, but ran: ${result.flow.class} ${result.key} ${result.told.reason} after ${result.history.length} sends`
        );
}

/** More runs of one action at one service than the bound of repeated runs allows. */
function findExcessRuns(starts: readonly RunRecord[], bound: number): string[] {
    const counts = countBy(starts.filter(run => run.action !== ""), run => `${run.service} ${run.action}`);
    return [...counts].filter(([, count]) => count > 1 + bound).map(([name, count]) =>
        `${count} runs behind one action: ${name}`
    );
}

/** A completed answer that is not the whole answer to the caller's own request. */
function findWrongAnswers(results: readonly ActionResult[]): string[] {
    return results.filter(result =>
        result.told.outcome === "completed" && result.told.status === 200 && !isOwnAnswer(result)
    )
        .map(result => `wrong answer: ${result.key} ${result.told.body.slice(0, 80)}`);
}

function isOwnAnswer(result: ActionResult): boolean {
    try {
        const answer = JSON.parse(result.told.body) as { key: string; digest: string; };
        return answer.key === `${result.flow.customer}/${result.key}`
            && answer.digest === hashBody(result.flow.body ?? "{}");
    }
    catch {
        return false;
    }
}
