/** Judges what became of requests around planned stops, by the platform's rules on lost, refused and repeated requests. */
import type { RunRecord } from "./platformUpstream.js";

/** What became of a request, of a caller or of a run that made a call. Times are monotonic, in milliseconds. */
export interface JudgedRequest {
    readonly attempt: string;
    /** Address of the node that it was sent to. */
    readonly entry: string;
    readonly isAtMostOnce: boolean;
    readonly startedAt: number;
    /** Time at which its last byte was sent; `undefined` if it wasn't. */
    readonly sentAt: number | undefined;
    readonly endedAt: number | undefined;
    /** Part of the time in between in which nobody watched the connection, in milliseconds. */
    readonly unseenMs: number;
    /** The client's deadline or the route's timeout, whichever comes first, from the start. */
    readonly deadlineMs: number;
    /** 0 when the connection ended without a whole answer. */
    readonly status: number;
    readonly isSigned: boolean;
}

/** A run, and the address of its endpoint's machine. */
export interface JudgedRun extends RunRecord {
    readonly machine: string;
}

/** A SIGTERM. */
export interface PlannedStop {
    readonly machine: string;
    readonly at: number;
}

/** What was found: the connection ended, an answer of the node's own took the place of a run's, refused though run, run twice. */
export type FindingKind = "cut" | "replaced" | "refusedThoughRun" | "ranTwice";

/** A request that broke a rule. */
export interface Finding {
    readonly kind: FindingKind;
    readonly request: JudgedRequest;
    readonly runs: readonly JudgedRun[];
}

/** The platform's `lost_slack`, in milliseconds. */
const lostSlackMs = 200;
/** Time from a SIGTERM up to which a request that is sent may be cut in the last part of the grace time, in milliseconds. */
const earlyMs = 3000;
/** Start of the last part of the grace time. */
const lastPart = 5 / 6;
/** Inaccuracy of timers, in milliseconds. */
const timerSlackMs = 5;

/** Lists the requests that broke a rule. */
export function listFindings(
    requests: readonly JudgedRequest[],
    runs: readonly JudgedRun[],
    stops: readonly PlannedStop[],
    graceMs: number,
): Finding[] {
    const runsByAttempt = new Map<string, JudgedRun[]>();
    for (const run of runs) {
        runsByAttempt.set(run.attempt, [...runsByAttempt.get(run.attempt) ?? [], run]);
    }
    return requests.flatMap(request => {
        const own = runsByAttempt.get(request.attempt) ?? [];
        const kind = judgeRequest(request, own, stops, graceMs);
        return kind === undefined ? [] : [{ kind, request, runs: own }];
    });
}

function judgeRequest(
    request: JudgedRequest,
    runs: readonly JudgedRun[],
    stops: readonly PlannedStop[],
    graceMs: number,
): FindingKind | undefined {
    if (request.isAtMostOnce && runs.length > 1) {
        return "ranTwice";
    }
    if (request.isAtMostOnce && request.status === 503 && !request.isSigned && runs.length > 0) {
        return "refusedThoughRun";
    }
    const { startedAt, sentAt, endedAt, deadlineMs, status } = request;
    if (sentAt === undefined || endedAt === undefined || endedAt >= startedAt + deadlineMs - timerSlackMs) {
        return undefined;
    }
    const isCut = status === 0 && (runs.length > 0 || endedAt - sentAt - request.unseenMs > lostSlackMs);
    const isReplaced = status >= 500 && status !== 503 && !request.isSigned
        && runs.some(hasBrokenOffWork);
    if (!isCut && !isReplaced || isExcused(request.entry, sentAt, runs, stops, graceMs)) {
        return undefined;
    }
    return isCut ? "cut" : "replaced";
}

/** Whether a run was broken off while its endpoint was at work; an endpoint stops at the deadline that it was told. */
export function hasBrokenOffWork({ startedAt, deadlineMs, abandonedAt }: RunRecord): boolean {
    return abandonedAt !== undefined && abandonedAt < startedAt + deadlineMs;
}

/** Whether an upstream was still at work in the last part of the grace time on a request that was sent early in it. */
function isExcused(
    entry: string,
    sentAt: number,
    runs: readonly JudgedRun[],
    stops: readonly PlannedStop[],
    graceMs: number,
): boolean {
    return stops.some(({ machine, at }) =>
        sentAt <= at + earlyMs && runs.some(run =>
            (machine === entry || machine === run.machine)
            && run.startedAt < at + graceMs
            && run.abandonedAt !== undefined
            && run.abandonedAt >= at + graceMs * lastPart
            && run.abandonedAt <= at + graceMs + lostSlackMs
        )
    );
}
