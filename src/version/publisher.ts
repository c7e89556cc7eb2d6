/** Publishes a contract with one append, and reads its outcome back from the shared log. */
import { randomUUID } from "node:crypto";
import type { LogService } from "../connection/logService.js";
import type { Clock } from "../process/base/clock.js";
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

/** Time between reads of the shared log while the outcome of an append is unknown, in milliseconds. */
const resolveIntervalMs = 250;

/** Result of {@link publishContract}. */
export type PublishResult =
    | { readonly kind: "accepted"; readonly verdict: Verdict; }
    /** Another publication came first. `version` is in force; `operator`, if still known, published it. */
    | { readonly kind: "conflict"; readonly version: number; readonly operator: string | undefined; }
    /** The shared log was not available, and nothing was appended. */
    | { readonly kind: "unavailable"; readonly message: string; }
    /** The append may have taken effect, but the shared log did not show its outcome in time. */
    | { readonly kind: "unknown"; readonly publicationId: string; readonly message: string; };

/** Replica of the `contracts` stream. */
export type ContractReplica = Replica<ContractState, Publication>;

/** Creates a replica of the contracts for a command-line tool. Malformed records are skipped without a report. */
export function createContractReplica(): ContractReplica {
    return new Replica(contractStreamName, contractReducer, () => undefined);
}

/** Formats the reason why a replica could not catch up. */
export function formatReplicaError(error: ReplicaError): string {
    return error.kind === "gap" ? error.message : `log service: ${error.error.message}`;
}

/**
 * Publishes a contract as the successor of `baseVersion`, by default the version in force. It appends only once: if the
 * answer is lost, the shared log is read until it contains the publication or `resolveTimeoutMs` milliseconds have
 * passed.
 */
export async function publishContract(
    log: LogService,
    clock: Clock,
    contract: Contract,
    operator: string,
    baseVersion: number | undefined,
    resolveTimeoutMs: number,
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
    const verdict = await resolvePublication(replica, log, clock, publication.id, resolveTimeoutMs);
    if (verdict === undefined) {
        const message = appended.ok
            ? "the publication was not found on the shared log before the timeout"
            : appended.error.message;
        return { kind: "unknown", publicationId: publication.id, message };
    }
    return verdict.outcome === "accepted" ? { kind: "accepted", verdict } : createConflict(replica, contract.customer);
}

async function resolvePublication(
    replica: ContractReplica,
    log: LogService,
    clock: Clock,
    publicationId: string,
    resolveTimeoutMs: number,
): Promise<Verdict | undefined> {
    const giveUpAt = clock.readMonotonic() + resolveTimeoutMs;
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
    const latestAccepted = state.verdicts.filter(verdict =>
        verdict.customer === customer && verdict.outcome === "accepted"
    ).at(
        -1,
    );
    return { kind: "conflict", version: findContractVersion(state, customer), operator: latestAccepted?.operator };
}
