/** Publishing of a contract: one append, and the log's own word on what became of it. */
import { randomUUID } from "node:crypto";
import type { LogService } from "../connection/logService.js";
import type { Clock } from "../process/clock.js";
import type { Contract } from "./contract.js";
import type { ContractState, Publication, Verdict } from "./contractStream.js";
import {
    contractReducer,
    contractStreamName,
    findContractVersion,
    findVerdict,
    formatPublication,
} from "./contractStream.js";
import type { ReplicaError } from "./replica.js";
import { Replica } from "./replica.js";

/** Time between reads while the fate of an append is open, in milliseconds. */
const resolveIntervalMs = 250;

/** What became of a publication. */
export type PublishResult =
    | { readonly kind: "accepted"; readonly verdict: Verdict; }
    /** Another publication came first; `version` is in force and `operator` published it, as far as is remembered. */
    | { readonly kind: "conflict"; readonly version: number; readonly operator: string | undefined; }
    /** Nothing was appended. */
    | { readonly kind: "unavailable"; readonly message: string; }
    /** The append may have taken effect and the log can't be read. */
    | { readonly kind: "unknown"; readonly publicationId: string; readonly message: string; };

/** Contracts as the log has them now. */
export type ContractReplica = Replica<ContractState, Publication>;

/** Creates a replica of the contracts for a tool that runs once. */
export function createContractReplica(): ContractReplica {
    return new Replica(contractStreamName, contractReducer, () => undefined);
}

/** Formats why a replica could not be read. */
export function formatReplicaError(error: ReplicaError): string {
    return error.kind === "gap" ? error.message : `log service: ${error.error.message}`;
}

/**
 * Publishes a contract on top of `baseVersion`, or of the version in force now. There is one append only: if its answer is
 * lost, the log is read until it shows the publication or `resolveMs` have passed.
 */
export async function publishContract(
    log: LogService,
    clock: Clock,
    contract: Contract,
    operator: string,
    baseVersion: number | undefined,
    resolveMs: number,
): Promise<PublishResult> {
    const replica = createContractReplica();
    const caughtUp = await replica.catchUp(log);
    if (!caughtUp.ok) {
        return { kind: "unavailable", message: formatReplicaError(caughtUp.error) };
    }
    const current = findContractVersion(replica.get()!.state, contract.customer);
    const base = baseVersion ?? current;
    if (base !== current) {
        return createConflict(replica, contract.customer);
    }
    const publication: Publication = { kind: "publish", id: randomUUID(), operator, baseVersion: base, contract };
    const appended = await log.append(contractStreamName, formatPublication(publication));
    if (!appended.ok && appended.error.kind === "unavailable") {
        return { kind: "unavailable", message: appended.error.message };
    }
    const verdict = await resolvePublication(replica, log, clock, publication.id, resolveMs);
    if (verdict === undefined) {
        const message = appended.ok ? "the log can't be read back" : appended.error.message;
        return { kind: "unknown", publicationId: publication.id, message };
    }
    return verdict.outcome === "accepted" ? { kind: "accepted", verdict } : createConflict(replica, contract.customer);
}

async function resolvePublication(
    replica: ContractReplica,
    log: LogService,
    clock: Clock,
    publicationId: string,
    resolveMs: number,
): Promise<Verdict | undefined> {
    const giveUpAt = clock.readMonotonic() + resolveMs;
    for (;;) {
        await replica.catchUp(log);
        const verdict = findVerdict(replica.get()!.state, publicationId);
        if (verdict !== undefined || clock.readMonotonic() >= giveUpAt) {
            return verdict;
        }
        await clock.sleep(resolveIntervalMs);
    }
}

function createConflict(replica: ContractReplica, customer: string): PublishResult {
    const state = replica.get()!.state;
    const winner = state.verdicts.filter(verdict => verdict.customer === customer && verdict.outcome === "accepted").at(
        -1,
    );
    return { kind: "conflict", version: findContractVersion(state, customer), operator: winner?.operator };
}
