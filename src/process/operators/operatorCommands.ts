/** Commands of the command-line tool on the running system. Each prints its result and returns the exit code. */
import { request } from "undici";
import type { AuditEvent } from "../../version/audit.js";
import { readAudit } from "../../version/audit.js";
import type { Member } from "../../version/member.js";
import { formatSlot } from "../../version/member.js";
import { formatMemberRecord, memberReducer, memberStreamName } from "../../version/memberStream.js";
import { formatReplicaError } from "../../version/publisher.js";
import { formatQuarantineRecord, quarantineStreamName } from "../../version/quarantineStream.js";
import { Replica } from "../../version/replica.js";
import type { SecretKey } from "../base/keys.js";
import type { ToolOptions } from "./tool.js";
import { createLogClient, exitCodes, openLogForAppend, printError, printResult } from "./tool.js";

/** Time limit for reading a node's status page, in milliseconds. */
const statusTimeoutMs = 1000;

/** `contract history CUSTOMER`: prints the publications of the customer's contract that the shared log keeps. */
export async function showContractHistory(options: ToolOptions & { readonly customer: string; }): Promise<number> {
    return printAudit(
        options,
        event => event.what === "publish" && event.detail.startsWith(`customer=${options.customer} `),
    );
}

/** `audit`: prints every change on the shared log. */
export async function showAudit(options: ToolOptions): Promise<number> {
    return printAudit(options, () => true);
}

async function printAudit(options: ToolOptions, isSelected: (event: AuditEvent) => boolean): Promise<number> {
    const events = await readAudit(createLogClient(options));
    if (!events.ok) {
        return printError(exitCodes.unavailable, formatReplicaError(events.error));
    }
    const selected = events.value.filter(isSelected);
    printResult(options, selected, selected.map(formatAuditEvent));
    return exitCodes.done;
}

function formatAuditEvent(event: AuditEvent): string {
    const time = new Date(event.at).toISOString();
    return `time=${time} stream=${event.stream} offset=${event.offset} what=${event.what} who=${event.who} ${event.detail}`;
}

/** `status`: prints the state of each announced member. The state is `silent` if its status page can't be read. */
export async function showStatus(options: ToolOptions): Promise<number> {
    const replica = new Replica(memberStreamName, memberReducer, () => undefined);
    const caughtUp = await replica.catchUp(createLogClient(options));
    if (!caughtUp.ok) {
        return printError(exitCodes.unavailable, formatReplicaError(caughtUp.error));
    }
    const members = Object.values(replica.get()!.state.members);
    const rows = await Promise.all(
        members.map(async member => ({ member, status: await readStatus(member, options.keys.admin) })),
    );
    printResult(options, rows, rows.map(({ member, status }) => formatStatus(member, status)));
    return exitCodes.done;
}

/** Fields of the status page that the tool prints. */
interface StatusPage {
    readonly isReady: boolean;
    readonly isLogUp: boolean;
    readonly versions: Readonly<Record<string, number>>;
    readonly admission: { readonly limit: number; readonly running: number; readonly threshold: number; };
    readonly partitionsOwned: number;
}

async function readStatus(member: Member, key: SecretKey | undefined): Promise<StatusPage | undefined> {
    try {
        const response = await request(`http://${member.address}:${member.adminPort}/status`, {
            headers: key === undefined ? {} : { authorization: key.formatBearer() },
            headersTimeout: statusTimeoutMs,
            bodyTimeout: statusTimeoutMs,
            signal: AbortSignal.timeout(statusTimeoutMs),
        });
        return await response.body.json() as StatusPage;
    }
    catch {
        return undefined;
    }
}

function formatStatus(member: Member, status: StatusPage | undefined): string {
    const fields = `slot=${formatSlot(member)} service=${member.service} dataCentre=${member.dataCentre}`;
    if (status === undefined) {
        return `${fields} state=silent`;
    }
    const versions = Object.entries(status.versions).map(([customer, version]) => `${customer}:${version}`).join(",");
    const { limit, running, threshold } = status.admission;
    return `${fields} state=${status.isReady ? "ready" : "notReady"} logUp=${status.isLogUp} limit=${limit.toFixed(1)} `
        + `running=${running} threshold=${threshold} partitions=${status.partitionsOwned} versions=${versions}`;
}

/**
 * `retire SLOT`: declares that no node will run in a slot (`ADDRESS:CONTROL_PORT`) again, so that others take over its
 * partitions of action keys.
 */
export async function retireSlot(
    options: ToolOptions & { readonly slot: string; readonly operator: string; },
): Promise<number> {
    const record = formatMemberRecord({ kind: "retire", slot: options.slot, operator: options.operator });
    return appendRecord(options, memberStreamName, record, `retired ${options.slot}`);
}

/** `release FINGERPRINT`: releases a request from quarantine. */
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

/** Appends a record that is idempotent: a second copy on the shared log changes nothing. */
async function appendRecord(
    options: ToolOptions,
    stream: string,
    record: string,
    doneMessage: string,
): Promise<number> {
    const log = await openLogForAppend(options);
    if (!log.ok) {
        return log.error;
    }
    const appended = await log.value.append(stream, record);
    if (appended.ok) {
        printResult(options, { offset: appended.value }, [`${doneMessage}, offset ${appended.value}`]);
        return exitCodes.done;
    }
    const exitCode = appended.error.kind === "answerLost" ? exitCodes.unknown : exitCodes.unavailable;
    return printError(
        exitCode,
        `cannot append to the shared log (${appended.error.kind}): ${appended.error.message}; it is safe to repeat the command`,
    );
}
