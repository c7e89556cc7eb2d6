/** Commands of the command-line tool. Each prints its result and returns the exit code. */
import { readFileSync } from "node:fs";
import { request } from "undici";
import type { LogService } from "../connection/logService.js";
import { HttpLogService } from "../connection/logService.js";
import type { AuditEvent } from "../version/audit.js";
import { readAudit } from "../version/audit.js";
import type { Contract } from "../version/contract.js";
import { formatContractError, parseContract } from "../version/contract.js";
import type { ContractState } from "../version/contractStream.js";
import { findContract, findVersion } from "../version/contractStream.js";
import { formatSlot } from "../version/member.js";
import type { Member } from "../version/member.js";
import { formatMemberRecord, memberRules, memberStreamName } from "../version/memberStream.js";
import { createContractReplica, formatReplicaError, publishContract } from "../version/publisher.js";
import { formatQuarantineRecord, quarantineStreamName } from "../version/quarantineStream.js";
import { Replica } from "../version/replica.js";
import { SystemClock } from "./clock.js";

/** Exit codes of the tool. */
export const exitCodes = { done: 0, internal: 1, usage: 2, conflict: 3, unavailable: 4, unknown: 5 } as const;

/** Time for one call to the log service, in milliseconds. */
const logTimeoutMs = 2000;
/** Time for reading back a publication whose answer was lost, in milliseconds. */
const resolveMs = 10_000;
/** Time for a node's status page, in milliseconds. */
const statusTimeoutMs = 1000;

/** Options of every command. */
export interface ToolOptions {
    readonly log: string;
    readonly json: boolean;
}

function print(options: ToolOptions, document: unknown, lines: readonly string[]): void {
    process.stdout.write(
        options.json ? `${JSON.stringify(document, undefined, 2)}\n` : lines.map(line => `${line}\n`).join(""),
    );
}

function printError(code: number, message: string): number {
    process.stderr.write(`${message}\n`);
    return code;
}

function createLog(options: ToolOptions): LogService {
    return new HttpLogService(options.log, logTimeoutMs);
}

/** Reads a contract file; prints what is wrong with it. */
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

/** Reads the contracts in force; prints why it can't. */
async function readContracts(options: ToolOptions): Promise<ContractState | undefined> {
    const replica = createContractReplica();
    const caughtUp = await replica.catchUp(createLog(options));
    if (!caughtUp.ok) {
        printError(exitCodes.unavailable, formatReplicaError(caughtUp.error));
        return undefined;
    }
    return replica.get()!.state;
}

/** `contract check FILE` */
export async function checkContractFile(options: ToolOptions & { readonly file: string; }): Promise<number> {
    const contract = readContractFile(options.file);
    if (contract === undefined) {
        return exitCodes.usage;
    }
    print(options, contract, [`${options.file}: contract of ${contract.customer} is well-formed`]);
    return exitCodes.done;
}

/** `contract publish FILE` */
export async function publishContractFile(
    options: ToolOptions & { readonly file: string; readonly base?: number | undefined; readonly operator: string; },
): Promise<number> {
    const contract = readContractFile(options.file);
    if (contract === undefined) {
        return exitCodes.usage;
    }
    const result = await publishContract(
        createLog(options),
        new SystemClock(),
        contract,
        options.operator,
        options.base,
        resolveMs,
    );
    switch (result.kind) {
        case "accepted":
            print(options, result, [
                `accepted: ${contract.customer} version ${result.verdict.version}, offset ${result.verdict.offset}`,
            ]);
            return exitCodes.done;
        case "conflict": {
            const by = result.operator === undefined ? "" : `, published by ${result.operator}`;
            print(options, result, []);
            return printError(
                exitCodes.conflict,
                `conflict: ${contract.customer} is at version ${result.version}${by}; nothing was changed`,
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

/** `contract show CUSTOMER` */
export async function showContract(options: ToolOptions & { readonly customer: string; }): Promise<number> {
    const state = await readContracts(options);
    if (state === undefined) {
        return exitCodes.unavailable;
    }
    const contract = findContract(state, options.customer);
    if (contract === undefined) {
        return printError(exitCodes.usage, `no contract for ${options.customer}`);
    }
    const version = findVersion(state, options.customer);
    print(options, { version, contract }, [`version = ${version}`, ...listSettings(contract)]);
    return exitCodes.done;
}

/** `contract list` */
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

/** `contract diff FILE` */
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

/** `contract history CUSTOMER` */
export async function showHistory(options: ToolOptions & { readonly customer: string; }): Promise<number> {
    return printAudit(
        options,
        event => event.what === "publish" && event.detail.startsWith(`customer=${options.customer} `),
    );
}

/** `audit` */
export async function showAudit(options: ToolOptions): Promise<number> {
    return printAudit(options, () => true);
}

async function printAudit(options: ToolOptions, isWanted: (event: AuditEvent) => boolean): Promise<number> {
    const events = await readAudit(createLog(options));
    if (!events.ok) {
        return printError(exitCodes.unavailable, formatReplicaError(events.error));
    }
    const wanted = events.value.filter(isWanted);
    print(options, wanted, wanted.map(formatAuditEvent));
    return exitCodes.done;
}

function formatAuditEvent(event: AuditEvent): string {
    const time = new Date(event.at).toISOString();
    return `time=${time} stream=${event.stream} offset=${event.offset} what=${event.what} who=${event.who} ${event.detail}`;
}

/** `status` */
export async function showStatus(options: ToolOptions): Promise<number> {
    const replica = new Replica(memberStreamName, memberRules, () => undefined);
    const caughtUp = await replica.catchUp(createLog(options));
    if (!caughtUp.ok) {
        return printError(exitCodes.unavailable, formatReplicaError(caughtUp.error));
    }
    const members = Object.values(replica.get()!.state.members);
    const rows = await Promise.all(members.map(async member => ({ member, status: await readStatus(member) })));
    print(options, rows, rows.map(({ member, status }) => formatStatus(member, status)));
    return exitCodes.done;
}

/** Parts of the status page that the tool shows. */
interface StatusPage {
    readonly isReady: boolean;
    readonly isLogUp: boolean;
    readonly versions: Readonly<Record<string, number>>;
    readonly admission: { readonly limit: number; readonly running: number; readonly threshold: number; };
    readonly partitionsOwned: number;
}

async function readStatus(member: Member): Promise<StatusPage | undefined> {
    try {
        const reply = await request(`http://${member.address}:${member.adminPort}/status`, {
            headersTimeout: statusTimeoutMs,
            bodyTimeout: statusTimeoutMs,
            signal: AbortSignal.timeout(statusTimeoutMs),
        });
        return await reply.body.json() as StatusPage;
    }
    catch {
        return undefined;
    }
}

function formatStatus(member: Member, status: StatusPage | undefined): string {
    const name = `slot=${formatSlot(member)} service=${member.service} dataCentre=${member.dataCentre}`;
    if (status === undefined) {
        return `${name} state=silent`;
    }
    const versions = Object.entries(status.versions).map(([customer, version]) => `${customer}:${version}`).join(",");
    const { limit, running, threshold } = status.admission;
    return `${name} state=${status.isReady ? "ready" : "notReady"} logUp=${status.isLogUp} limit=${limit.toFixed(1)} `
        + `running=${running} threshold=${threshold} partitions=${status.partitionsOwned} versions=${versions}`;
}

/** `retire SLOT` */
export async function retireSlot(
    options: ToolOptions & { readonly slot: string; readonly operator: string; },
): Promise<number> {
    const record = formatMemberRecord({ kind: "retire", slot: options.slot, operator: options.operator });
    return appendRecord(options, memberStreamName, record, `retired ${options.slot}`);
}

/** `release FINGERPRINT` */
export async function releaseQuarantine(
    options: ToolOptions & { readonly fingerprint: string; readonly operator: string; },
): Promise<number> {
    const record = formatQuarantineRecord({
        kind: "release",
        fingerprint: options.fingerprint,
        operator: options.operator,
    });
    return appendRecord(options, quarantineStreamName, record, `released ${options.fingerprint}`);
}

/** Appends a record that may safely stand on the log twice. */
async function appendRecord(options: ToolOptions, stream: string, record: string, done: string): Promise<number> {
    const appended = await createLog(options).append(stream, record);
    if (appended.ok) {
        print(options, { offset: appended.value }, [`${done}, offset ${appended.value}`]);
        return exitCodes.done;
    }
    const code = appended.error.kind === "answerLost" ? exitCodes.unknown : exitCodes.unavailable;
    return printError(code, `${appended.error.kind}: ${appended.error.message}; the command may be repeated`);
}

/** Lists the settings of a contract, one `key = value` line each. */
function listSettings(value: object, prefix = ""): string[] {
    return Object.entries(value).flatMap(([key, entry]) =>
        typeof entry === "object" && entry !== null
            ? listSettings(entry as object, `${prefix}${key}.`)
            : [`${prefix}${key} = ${JSON.stringify(entry)}`]
    );
}
