/**
 * The `contracts` stream: which version of each customer's contract is in force.
 *
 * Publications are compare-and-set: one is accepted if its base version is the customer's current version. A race
 * between two operators is therefore decided by the order of the shared log, equally on every node. A repeated
 * publication id has no effect.
 */
import * as v from "valibot";
import type { Contract } from "./contract.js";
import { contractSchema } from "./contract.js";
import { parseWith } from "./schema.js";
import type { StreamReducer } from "./streamReducer.js";

/** Name of the stream on the log service. */
export const contractStreamName = "contracts";
/** Number of verdicts that the state retains, newest last. Repeated publication ids are detected among them. */
const maxVerdicts = 256;

const publicationSchema = v.object({
    kind: v.literal("publish"),
    id: v.pipe(v.string(), v.minLength(1), v.maxLength(64)),
    operator: v.pipe(v.string(), v.minLength(1), v.maxLength(64)),
    baseVersion: v.pipe(v.number(), v.integer(), v.minValue(0)),
    contract: contractSchema,
});

/** A publication of a contract, as recorded on the shared log. */
export type Publication = v.InferOutput<typeof publicationSchema>;

const verdictSchema = v.object({
    id: v.string(),
    operator: v.string(),
    customer: v.string(),
    /** Offset of the publication on the shared log. */
    offset: v.number(),
    /** When the publication was appended, in milliseconds since the epoch. */
    at: v.number(),
    outcome: v.picklist(["accepted", "conflict"]),
    /** Version in force for the customer after the publication. */
    version: v.number(),
});

/** Whether a publication was accepted or conflicted with an earlier one. */
export type Verdict = v.InferOutput<typeof verdictSchema>;

const versionedContractSchema = v.object({
    version: v.number(),
    offset: v.number(),
    publicationId: v.string(),
    contract: contractSchema,
});

/** A contract in force with its version. The versions of a customer are counted from 1. */
export type VersionedContract = v.InferOutput<typeof versionedContractSchema>;

const stateSchema = v.object({
    contracts: v.record(v.string(), versionedContractSchema),
    verdicts: v.array(verdictSchema),
});

/** State of the stream: the contracts in force and the latest verdicts. */
export type ContractState = v.InferOutput<typeof stateSchema>;

/** Reducer of the stream. */
export const contractReducer: StreamReducer<ContractState, Publication> = {
    createState: () => ({ contracts: {}, verdicts: [] }),
    parseRecord: body => parseWith(publicationSchema, body),
    parseState: raw => parseWith(stateSchema, raw),
    apply: applyPublication,
};

function applyPublication(state: ContractState, publication: Publication, offset: number, at: number): ContractState {
    if (findVerdict(state, publication.id) !== undefined) {
        return state;
    }
    const customer = publication.contract.customer;
    const currentVersion = findContractVersion(state, customer);
    const isAccepted = publication.baseVersion === currentVersion;
    const version = isAccepted ? currentVersion + 1 : currentVersion;
    const verdict: Verdict = {
        id: publication.id,
        operator: publication.operator,
        customer,
        offset,
        at,
        outcome: isAccepted ? "accepted" : "conflict",
        version,
    };
    const verdicts = [...state.verdicts, verdict].slice(-maxVerdicts);
    if (!isAccepted) {
        return { contracts: state.contracts, verdicts };
    }
    const entry: VersionedContract = { version, offset, publicationId: publication.id, contract: publication.contract };
    return { contracts: { ...state.contracts, [customer]: entry }, verdicts };
}

/** Finds the verdict on a publication; `undefined` if there is none or it is no longer retained. */
export function findVerdict(state: ContractState, publicationId: string): Verdict | undefined {
    return state.verdicts.find(verdict => verdict.id === publicationId);
}

/** Formats a publication for the shared log. */
export function formatPublication(publication: Publication): string {
    return JSON.stringify(publication);
}

/** Finds the contract in force for a customer; `undefined` if there is none. */
export function findContract(state: ContractState, customer: string): Contract | undefined {
    return findEntry(state, customer)?.contract;
}

/** Finds the version in force for a customer; 0 if there is none. */
export function findContractVersion(state: ContractState, customer: string): number {
    return findEntry(state, customer)?.version ?? 0;
}

/** Finds a customer's entry. Customer names come from outside, so properties that objects inherit must not match. */
function findEntry(state: ContractState, customer: string): VersionedContract | undefined {
    return Object.hasOwn(state.contracts, customer) ? state.contracts[customer] : undefined;
}
