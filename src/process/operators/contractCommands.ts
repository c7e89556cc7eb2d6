/** The `contract` commands of the command-line tool. Each prints its result and returns the exit code. */
import { readFileSync } from "node:fs";
import type { Contract } from "../../version/contract.js";
import { formatContractError, parseContract } from "../../version/contract.js";
import type { ContractState } from "../../version/contractStream.js";
import { findContract, findContractVersion } from "../../version/contractStream.js";
import { createContractReplica, formatReplicaError, publishContract } from "../../version/publisher.js";
import { SystemClock } from "../base/clock.js";
import type { ToolOptions } from "./tool.js";
import { createLogClient, exitCodes, openLogForAppend, printError, printResult } from "./tool.js";

/** Time limit for reading a publication back from the shared log after its append, in milliseconds. */
const resolveTimeoutMs = 10_000;

/** Reads and parses a contract file. Prints the error and returns `undefined` when that fails. */
function readContractFile(file: string): Contract | undefined {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        printError(exitCodes.usage, `${file}: ${(error as Error).message}`);
        return undefined;
    }
    const parsed = parseContract(text);
    if (!parsed.ok) {
        printError(exitCodes.usage, formatContractError(file, parsed.error));
        return undefined;
    }
    return parsed.value;
}

/** Reads the contracts in force from the shared log. Prints the error and returns `undefined` when that fails. */
async function readContracts(options: ToolOptions): Promise<ContractState | undefined> {
    const replica = createContractReplica();
    const caughtUp = await replica.catchUp(createLogClient(options));
    if (!caughtUp.ok) {
        printError(exitCodes.unavailable, formatReplicaError(caughtUp.error));
        return undefined;
    }
    return replica.get()!.state;
}

/** `contract check FILE`: checks a contract without publishing it. */
export async function checkContractFile(options: ToolOptions & { readonly file: string; }): Promise<number> {
    const contract = readContractFile(options.file);
    if (contract === undefined) {
        return exitCodes.usage;
    }
    printResult(options, contract, [`${options.file}: contract of ${contract.customer} is well-formed`]);
    return exitCodes.done;
}

/** `contract publish FILE`: publishes a contract. Fails with a conflict if `base` is given and is not in force. */
export async function publishContractFile(
    options: ToolOptions & { readonly file: string; readonly base?: number | undefined; readonly operator: string; },
): Promise<number> {
    const contract = readContractFile(options.file);
    if (contract === undefined) {
        return exitCodes.usage;
    }
    const log = await openLogForAppend(options);
    if (!log.ok) {
        return log.error;
    }
    const result = await publishContract(
        log.value,
        new SystemClock(),
        contract,
        options.operator,
        options.base,
        resolveTimeoutMs,
    );
    switch (result.kind) {
        case "accepted":
            printResult(options, result, [
                `accepted: ${contract.customer} version ${result.verdict.version}, offset ${result.verdict.offset}`,
            ]);
            return exitCodes.done;
        case "conflict": {
            const publisherSuffix = result.operator === undefined ? "" : `, published by ${result.operator}`;
            printResult(options, result, []);
            return printError(
                exitCodes.conflict,
                `conflict: ${contract.customer} is at version ${result.version}${publisherSuffix}; nothing was changed`,
            );
        }
        case "unavailable":
            printResult(options, result, []);
            return printError(exitCodes.unavailable, `contract not published: ${result.message}`);
        case "unknown":
            printResult(options, result, []);
            return printError(
                exitCodes.unknown,
                `unknown whether the contract was published: ${result.message}; look for publication ${result.publicationId} with "contract history" before publishing again`,
            );
    }
}

/** `contract show CUSTOMER`: prints the customer's contract in force. */
export async function showContract(options: ToolOptions & { readonly customer: string; }): Promise<number> {
    const state = await readContracts(options);
    if (state === undefined) {
        return exitCodes.unavailable;
    }
    const contract = findContract(state, options.customer);
    if (contract === undefined) {
        return printError(exitCodes.usage, `no contract of ${options.customer} is in force`);
    }
    const version = findContractVersion(state, options.customer);
    printResult(options, { version, contract }, [`version = ${version}`, ...formatKeyValueLines(contract)]);
    return exitCodes.done;
}

/** `contract list`: prints the version and the classes of each contract in force. */
export async function listContracts(options: ToolOptions): Promise<number> {
    const state = await readContracts(options);
    if (state === undefined) {
        return exitCodes.unavailable;
    }
    const entries = Object.entries(state.contracts).sort(([a], [b]) => a < b ? -1 : 1);
    const lines = entries.map(([customer, entry]) =>
        `${customer} version=${entry.version} classes=${Object.keys(entry.contract.classes).join(",")}`
    );
    printResult(options, state.contracts, lines);
    return exitCodes.done;
}

/** `contract diff FILE`: compares a contract with the one in force. */
export async function diffContract(options: ToolOptions & { readonly file: string; }): Promise<number> {
    const contract = readContractFile(options.file);
    if (contract === undefined) {
        return exitCodes.usage;
    }
    const state = await readContracts(options);
    if (state === undefined) {
        return exitCodes.unavailable;
    }
    const inForce = findContract(state, contract.customer);
    const linesInForce = new Set(inForce === undefined ? [] : formatKeyValueLines(inForce));
    const fileLines = new Set(formatKeyValueLines(contract));
    const removed = [...linesInForce].filter(line => !fileLines.has(line));
    const added = [...fileLines].filter(line => !linesInForce.has(line));
    printResult(options, { removed, added }, [...removed.map(line => `- ${line}`), ...added.map(line => `+ ${line}`)]);
    return exitCodes.done;
}

/** Formats the entries of a contract as `key = value` lines; nested keys are joined by dots. */
function formatKeyValueLines(value: object, prefix = ""): string[] {
    return Object.entries(value).flatMap(([key, entry]) =>
        typeof entry === "object" && entry !== null
            ? formatKeyValueLines(entry as object, `${prefix}${key}.`)
            : [`${prefix}${key} = ${JSON.stringify(entry)}`]
    );
}
