/** Audit trail: all changes on the shared log in order of time. Publications of contracts include their outcome. */
import type { LogRecord, LogService } from "../connection/logService.js";
import type { Result } from "../process/base/result.js";
import { createFailure, createSuccess } from "../process/base/result.js";
import type { ContractState } from "./contractStream.js";
import { contractReducer, contractStreamName, findVerdict } from "./contractStream.js";
import { memberReducer, memberStreamName } from "./memberStream.js";
import { quarantineReducer, quarantineStreamName } from "./quarantineStream.js";
import type { ReplicaError } from "./replica.js";
import { parseJson } from "./schema.js";
import type { StreamState } from "./streamReducer.js";
import { applyPage, isSnapshot } from "./streamReducer.js";

/** One entry of the audit trail. */
export interface AuditEvent {
    /** When the change was appended, in milliseconds since the epoch. */
    readonly at: number;
    readonly stream: string;
    readonly offset: number;
    /** Kind of change, for instance `publish` or `join`. */
    readonly what: string;
    /** Operator, node slot or service that made the change. */
    readonly who: string;
    /** Object of the change and its outcome. */
    readonly detail: string;
}

/** Reads all changes that the shared log still retains, oldest first. Fails if the shared log cannot be read. */
export async function readAudit(log: LogService): Promise<Result<AuditEvent[], ReplicaError>> {
    const events: AuditEvent[] = [];
    for (const stream of [contractStreamName, memberStreamName, quarantineStreamName]) {
        const records = await readStream(log, stream);
        if (!records.ok) {
            return records;
        }
        events.push(...describeStream(stream, records.value));
    }
    return createSuccess(events.sort((a, b) => a.at - b.at || a.offset - b.offset));
}

async function readStream(log: LogService, stream: string): Promise<Result<LogRecord[], ReplicaError>> {
    const records: LogRecord[] = [];
    for (let from = 0;;) {
        const page = await log.read(stream, from);
        if (!page.ok) {
            return createFailure({ kind: "log", error: page.error });
        }
        records.push(...page.value.records);
        const last = page.value.records.at(-1);
        if (last === undefined || last.offset + 1 >= page.value.next) {
            return createSuccess(records);
        }
        from = last.offset + 1;
    }
}

function describeStream(stream: string, records: readonly LogRecord[]): AuditEvent[] {
    const contracts = stream === contractStreamName ? buildContractState(records) : undefined;
    return records.map(record => ({
        at: record.at,
        stream,
        offset: record.offset,
        ...describeRecord(stream, record, contracts),
    }));
}

/** Builds the state of the contract stream, which contains the verdicts on recent publications. */
function buildContractState(records: readonly LogRecord[]): ContractState | undefined {
    const page = { first: records[0]?.offset ?? 0, next: (records.at(-1)?.offset ?? -1) + 1, records };
    const initial: StreamState<ContractState> | undefined = undefined;
    return applyPage(contractReducer, initial, page).current?.state;
}

type ChangeDescription = Pick<AuditEvent, "what" | "who" | "detail">;

function describeRecord(stream: string, record: LogRecord, contracts: ContractState | undefined): ChangeDescription {
    const body = parseJson(record.body);
    if (isSnapshot(body)) {
        return { what: "snapshot", who: "", detail: `through=${body.through}` };
    }
    const description = stream === contractStreamName
        ? describePublication(body, contracts)
        : stream === memberStreamName
        ? describeMember(body)
        : describeQuarantine(body);
    return description ?? { what: "skipped", who: "", detail: `malformed record of ${record.body.length} characters` };
}

function describePublication(body: unknown, contracts: ContractState | undefined): ChangeDescription | undefined {
    const publication = contractReducer.parseRecord(body);
    if (publication === undefined) {
        return undefined;
    }
    const verdict = contracts === undefined ? undefined : findVerdict(contracts, publication.id);
    // Verdicts on old publications are no longer retained.
    const outcome = verdict === undefined
        ? "outcome=notRemembered"
        : `outcome=${verdict.outcome} version=${verdict.version}`;
    const detail = `customer=${publication.contract.customer} base=${publication.baseVersion} ${outcome}`;
    return { what: "publish", who: publication.operator, detail };
}

function describeMember(body: unknown): ChangeDescription | undefined {
    const record = memberReducer.parseRecord(body);
    switch (record?.kind) {
        case "join": {
            const { address, controlPort, service, dataCentre, incarnation } = record.member;
            return {
                what: "join",
                who: `${address}:${controlPort}`,
                detail: `service=${service} dataCentre=${dataCentre} incarnation=${incarnation}`,
            };
        }
        case "leave":
            return { what: "leave", who: record.slot, detail: `incarnation=${record.incarnation}` };
        case "handover":
            return {
                what: "handover",
                who: record.from.slot,
                detail: `to=${record.to.slot} partitions=${record.partitions.length}`,
            };
        case "retire":
            return { what: "retire", who: record.operator, detail: `slot=${record.slot}` };
        default:
            return undefined;
    }
}

function describeQuarantine(body: unknown): ChangeDescription | undefined {
    const record = quarantineReducer.parseRecord(body);
    switch (record?.kind) {
        case "quarantine":
            return { what: "quarantine", who: record.service, detail: `fingerprint=${record.fingerprint}` };
        case "release":
            return { what: "release", who: record.operator, detail: `fingerprint=${record.fingerprint}` };
        default:
            return undefined;
    }
}
