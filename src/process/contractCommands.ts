/** The `contract` commands of the command-line tool. Each prints its result and returns the exit code. */
import { readFileSync } from "node:fs";
import type { Contract } from "../version/contract.js";
import { formatContractError, parseContract } from "../version/contract.js";
import type { ContractState } from "../version/contractStream.js";
import { findContract, findContractVersion } from "../version/contractStream.js";
import { createContractReplica, formatReplicaError, publishContract } from "../version/publisher.js";
import { SystemClock } from "./clock.js";
import type { ToolOptions } from "./tool.js";
import { createLogClient, exitCodes, openLogForAppend, print, printError } from "./tool.js";

/** Time limit for finding a publication on the shared log after the answer to it was lost, in milliseconds. */
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
    print(options, contract, [`${options.file}: contract of ${contract.customer} is well-formed`]);
    return exitCodes.done;
}

/** `contract publish FILE`: publishes a contract, unless the customer is no longer at the version `base`. */
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
            print(options, result, [
                `accepted: ${contract.customer} version ${result.verdict.version}, offset ${result.verdict.offset}`,
            ]);
            return exitCodes.done;
        case "conflict": {
            const publisherSuffix = result.operator === undefined ? "" : `, published by ${result.operator}`;
            print(options, result, []);
            return printError(
                exitCodes.conflict,
                `conflict: ${contract.customer} is at version ${result.version}${publisherSuffix}; nothing was changed`,
            );
        }
        case "unavailable":
            print(options, result, []);
            return printError(exitCodes.unavailable, `not published: ${result.message}`);
        case "unknown":
            print(options, result, []);
            return printError(
                exitCodes.unknown,
                `unknown: ${result.message}; look for publication ${result.publicationId} with "contract history" before publishing again`,
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
        return printError(exitCodes.usage, `no contract for ${options.customer}`);
    }
    const version = findContractVersion(state, options.customer);
    print(options, { version, contract }, [`version = ${version}`, ...listSettings(contract)]);
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
    print(options, state.contracts, lines);
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
    const before = new Set(inForce === undefined ? [] : listSettings(inForce));
    const after = new Set(listSettings(contract));
    const removed = [...before].filter(line => !after.has(line));
    const added = [...after].filter(line => !before.has(line));
    print(options, { removed, added }, [...removed.map(line => `- ${line}`), ...added.map(line => `+ ${line}`)]);
    return exitCodes.done;
}

/** Lists the settings of a contract as `key = value` lines; nested keys are joined by dots. */
function listSettings(value: object, prefix = ""): string[] {
    return Object.entries(value).flatMap(([key, entry]) =>
        typeof entry === "object" && entry !== null
            ? listSettings(entry as object, `${prefix}${key}.`)
            : [`${prefix}${key} = ${JSON.stringify(entry)}`]
    );
}
