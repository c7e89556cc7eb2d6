#!/usr/bin/env node
/** The command-line tool. docs/OPERATING.md describes the commands and their exit codes. */
import yargs from "yargs";
import type { Argv } from "yargs";
import { hideBin } from "yargs/helpers";
import type { KeySource } from "./process/base/keys.js";
import { formatKeyError, readKeys } from "./process/base/keys.js";
import {
    checkContractFile,
    diffContract,
    listContracts,
    publishContractFile,
    showContract,
} from "./process/operators/contractCommands.js";
import {
    releaseQuarantine,
    retireSlot,
    showAudit,
    showContractHistory,
    showStatus,
} from "./process/operators/operatorCommands.js";
import { checkFile, printRequestLines } from "./process/operators/routedCommands.js";
import type { ToolOptions } from "./process/operators/tool.js";
import { exitCodes } from "./process/operators/tool.js";

/** Options of all commands, as parsed from the command line. */
interface CommandLineOptions {
    readonly log: string;
    readonly json: boolean;
    readonly "records-key-file": string | undefined;
    readonly "admin-key-file": string | undefined;
}

/** Creates a handler that reads the keys, runs a command and sets the process's exit code. */
function runCommand<Rest>(command: (options: ToolOptions & Rest) => Promise<number>) {
    return async (args: CommandLineOptions & Rest): Promise<void> => {
        const keys = readKeys({
            records: findKeySource(args["records-key-file"], "TURMERICSPOKE_RECORDS_KEY"),
            admin: findKeySource(args["admin-key-file"], "TURMERICSPOKE_ADMIN_KEY"),
        });
        if (!keys.ok) {
            process.stderr.write(`${formatKeyError(keys.error)}\n`);
            process.exitCode = exitCodes.usage;
            return;
        }
        process.exitCode = await command({ ...args, keys: keys.value });
    };
}

/** Finds the source of a key: the file of the option, else the environment variable if it is set, else none. */
function findKeySource(file: string | undefined, environment: string): KeySource | undefined {
    if (file !== undefined) {
        return { file };
    }
    return process.env[environment] === undefined ? undefined : { environment };
}

function addContractCommands(parser: Argv<CommandLineOptions>): Argv<CommandLineOptions> {
    const fileArgument = { type: "string", demandOption: true, describe: "contract in TOML" } as const;
    const customerArgument = { type: "string", demandOption: true, describe: "customer of the contract" } as const;
    return parser
        .command(
            "publish <file>",
            "publish a contract",
            command =>
                command.positional("file", fileArgument)
                    .option("base", {
                        type: "number",
                        describe: "version that this contract is based on (default: the version in force)",
                    })
                    .option("operator", {
                        type: "string",
                        default: process.env["USER"] ?? "operator",
                        describe: "name of the operator who publishes, for the audit trail",
                    }),
            runCommand(publishContractFile),
        )
        .command(
            "check <file>",
            "check a contract without publishing it",
            command => command.positional("file", fileArgument),
            runCommand(checkContractFile),
        )
        .command(
            "show <customer>",
            "show the contract in force",
            command => command.positional("customer", customerArgument),
            runCommand(showContract),
        )
        .command("list", "list the contracts in force", command => command, runCommand(listContracts))
        .command(
            "diff <file>",
            "compare a contract with the one in force",
            command => command.positional("file", fileArgument),
            runCommand(diffContract),
        )
        .command(
            "history <customer>",
            "list the customer's publications that the shared log still keeps",
            command => command.positional("customer", customerArgument),
            runCommand(showContractHistory),
        )
        .demandCommand(1);
}

const operatorOption = {
    type: "string",
    default: process.env["USER"] ?? "operator",
    describe: "name of the operator, for the audit trail",
} as const;

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
    .command("contract", "publish and inspect contracts", parser => addContractCommands(parser))
    .command("audit", "list every change that the shared log still keeps", command => command, runCommand(showAudit))
    .command(
        "status",
        "show members with their contract versions in force and concurrency limits",
        command => command,
        runCommand(showStatus),
    )
    .command(
        "retire <slot>",
        "declare that no node will run in a slot (ADDRESS:CONTROL_PORT) again; other nodes take over its keys",
        command =>
            command.positional("slot", { type: "string", demandOption: true }).option("operator", operatorOption),
        runCommand(retireSlot),
    )
    .command(
        "release <fingerprint>",
        "release a request from quarantine",
        command =>
            command.positional("fingerprint", { type: "string", demandOption: true }).option(
                "operator",
                operatorOption,
            ),
        runCommand(releaseQuarantine),
    )
    .command(
        "check <kind> <file>",
        "check a routed node's settings or an operator's configuration",
        command =>
            command.positional("kind", { choices: ["settings", "configuration"] as const, demandOption: true })
                .positional("file", { type: "string", demandOption: true })
                .option("strict", { type: "boolean", default: false, describe: "exit with 1 on warnings too" }),
        args => {
            process.exitCode = checkFile(args.kind, args.file, args.strict);
        },
    )
    .command(
        "explain <attempt>",
        "print the log lines of one request and of its calls, from the log output of the nodes on standard input",
        command => command.positional("attempt", { type: "string", demandOption: true }),
        async args => {
            process.exitCode = await printRequestLines(args.attempt, process.stdin);
        },
    )
    .completion("completion", "print a completion script for the shell")
    .demandCommand(1)
    .strict()
    .fail((message, error, parser) => {
        process.stderr.write(`${message ?? error.message}\n\n`);
        parser.showHelp();
        process.exit(error === undefined ? exitCodes.usage : exitCodes.internal);
    })
    .parseAsync();
