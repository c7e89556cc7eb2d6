#!/usr/bin/env node
/** The command-line tool. docs/OPERATING.md describes the commands and their exit codes. */
import yargs from "yargs";
import type { Argv } from "yargs";
import { hideBin } from "yargs/helpers";
import {
    checkContractFile,
    diffContract,
    listContracts,
    publishContractFile,
    showContract,
} from "./process/contractCommands.js";
import type { KeySource } from "./process/keys.js";
import { formatKeyError, readKeys } from "./process/keys.js";
import { releaseQuarantine, retireSlot, showAudit, showHistory, showStatus } from "./process/operatorCommands.js";
import { checkFile, tellStory } from "./process/routedCommands.js";
import type { ToolOptions } from "./process/tool.js";
import { exitCodes } from "./process/tool.js";

/** Options as they stand on the command line. */
interface ToolWords {
    readonly log: string;
    readonly json: boolean;
    readonly "records-key-file": string | undefined;
    readonly "admin-key-file": string | undefined;
}

/** Runs a command and ends the process with its exit code. */
function runCommand<Rest>(command: (options: ToolOptions & Rest) => Promise<number>) {
    return async (words: ToolWords & Rest): Promise<void> => {
        const keys = readKeys({
            records: findKeySource(words["records-key-file"], "TURMERICSPOKE_RECORDS_KEY"),
            admin: findKeySource(words["admin-key-file"], "TURMERICSPOKE_ADMIN_KEY"),
        });
        if (!keys.ok) {
            process.stderr.write(`${formatKeyError(keys.error)}\n`);
            process.exitCode = exitCodes.usage;
            return;
        }
        process.exitCode = await command({ ...words, keys: keys.value });
    };
}

/** A key comes from the file that was named, else from the environment, else there is none. */
function findKeySource(file: string | undefined, environment: string): KeySource | undefined {
    if (file !== undefined) {
        return { file };
    }
    return process.env[environment] === undefined ? undefined : { environment };
}

function addContractCommands(tool: Argv<ToolWords>): Argv<ToolWords> {
    const file = { type: "string", demandOption: true, describe: "contract in TOML" } as const;
    const customer = { type: "string", demandOption: true, describe: "customer" } as const;
    return tool
        .command(
            "publish <file>",
            "publish a contract",
            words =>
                words.positional("file", file)
                    .option("base", {
                        type: "number",
                        describe: "version that this contract is based on (default: in force)",
                    })
                    .option("operator", {
                        type: "string",
                        default: process.env["USER"] ?? "operator",
                        describe: "who publishes",
                    }),
            runCommand(publishContractFile),
        )
        .command(
            "check <file>",
            "check a contract without publishing it",
            words => words.positional("file", file),
            runCommand(checkContractFile),
        )
        .command(
            "show <customer>",
            "show the contract in force",
            words => words.positional("customer", customer),
            runCommand(showContract),
        )
        .command("list", "list the contracts in force", words => words, runCommand(listContracts))
        .command(
            "diff <file>",
            "compare a contract with the one in force",
            words => words.positional("file", file),
            runCommand(diffContract),
        )
        .command(
            "history <customer>",
            "list the publications that the log still keeps",
            words => words.positional("customer", customer),
            runCommand(showHistory),
        )
        .demandCommand(1);
}

const operator = { type: "string", default: process.env["USER"] ?? "operator", describe: "who asks for it" } as const;

await yargs(hideBin(process.argv))
    .scriptName("turmericspoke")
    .option("log", {
        type: "string",
        default: process.env["TURMERICSPOKE_LOG"] ?? "",
        describe: "URL of the log service (or TURMERICSPOKE_LOG)",
    })
    .option("records-key-file", {
        type: "string",
        describe: "file with the key that signs records (or TURMERICSPOKE_RECORDS_KEY)",
    })
    .option("admin-key-file", {
        type: "string",
        describe: "file with the key of the admin pages (or TURMERICSPOKE_ADMIN_KEY)",
    })
    .option("json", { type: "boolean", default: false, describe: "print JSON" })
    .command("contract", "publish and look at contracts", tool => addContractCommands(tool))
    .command("audit", "list every change on the log", words => words, runCommand(showAudit))
    .command("status", "show members, versions in force and limits", words => words, runCommand(showStatus))
    .command(
        "retire <slot>",
        "vouch that a slot is gone for good, so that others take over its keys",
        words => words.positional("slot", { type: "string", demandOption: true }).option("operator", operator),
        runCommand(retireSlot),
    )
    .command(
        "release <fingerprint>",
        "let a request out of quarantine",
        words => words.positional("fingerprint", { type: "string", demandOption: true }).option("operator", operator),
        runCommand(releaseQuarantine),
    )
    .command(
        "check <kind> <file>",
        "check a routed node's settings or an operator's configuration",
        words =>
            words.positional("kind", { choices: ["settings", "configuration"] as const, demandOption: true })
                .positional("file", { type: "string", demandOption: true }),
        words => {
            process.exitCode = checkFile(words.kind, words.file);
        },
    )
    .command(
        "explain <attempt>",
        "tell the story of one request from the nodes' logs on standard input",
        words => words.positional("attempt", { type: "string", demandOption: true }),
        async words => {
            process.exitCode = await tellStory(words.attempt, process.stdin);
        },
    )
    .completion("completion", "print a completion script for the shell")
    .demandCommand(1)
    .strict()
    .fail((message, error, tool) => {
        process.stderr.write(`${message ?? error.message}\n\n`);
        tool.showHelp();
        process.exit(error === undefined ? exitCodes.usage : exitCodes.internal);
    })
    .parseAsync();
