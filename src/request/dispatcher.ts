/** Routes a call to an instance of its service, retries it where that is safe, and determines its final answer. */
import type { PeerAnswer, PeerCaller } from "../connection/peerCaller.js";
import type { Clock } from "../process/base/clock.js";
import type { RetryLimiter } from "../process/base/rateLimit.js";
import type { Balancer, CallOutcome } from "../process/load/balancer.js";
import type { LearnedThresholds } from "../process/load/learnedThresholds.js";
import type { Directory } from "../process/membership/directory.js";
import { canRunWithoutOwner, isCountedRetry } from "../process/ownership/claim.js";
import type { Claims } from "../process/ownership/claims.js";
import type { Member } from "../version/member.js";
import { formatSlot, isSameMember } from "../version/member.js";
import type { MemberState } from "../version/memberStream.js";
import { findOwner } from "../version/memberStream.js";
import type { Answer, NotRunAnswer, Reason } from "./answer.js";
import { createNotRunAnswer, createUnknownAnswer } from "./answer.js";
import type { Call } from "./call.js";
import { RetryBudget } from "./retryBudget.js";

/** Instances that are tried before the refusal of a call is final. */
const maxInstancesTried = 4;
/** Refusals for lack of capacity after which the refusal of a call is final. */
const maxCapacityRefusals = 2;
/** Time between requests to the owner while a key moves from one owner to the next, in milliseconds. */
const ownerPollMs = 25;
/** Longest time that a call waits while its key is handed over to the next owner, in milliseconds. */
const maxHandoverWaitMs = 3000;
/** Longest time that a call waits for an unreachable owner to return or be replaced, in milliseconds. */
const maxOwnerAbsenceWaitMs = 300;
/** Retry-after delay if no instance is ready or no owner of the key is reachable, in milliseconds. */
const unavailableRetryMs = 1000;
/** Retry-after delay for a call that a downstream service would refuse, in milliseconds. */
const overloadedRetryMs = 500;
/** Refusals after which another instance may be tried immediately. */
const otherInstanceReasons: ReadonlySet<Reason> = new Set(["leaving", "notReady", "overloaded", "deadline"]);
/** Refusals for lack of capacity. "deadline" is one: an instance with a shorter queue or faster runs may meet it. */
const capacityReasons: ReadonlySet<Reason> = new Set(["overloaded", "deadline"]);
/** Refusals caused by the state of the instance, not by its load or by the call. */
const unreadyReasons: ReadonlySet<Reason> = new Set(["leaving", "notReady"]);
/** Unknown outcomes after which an idempotent call may be retried immediately. */
const retryableReasons: ReadonlySet<Reason> = new Set(["connectionLost", "endpointFailed"]);

/** Runs calls at the local endpoint. */
export interface CallRunner {
    /** Whether the endpoint accepts new calls. */
    isReady(): boolean;
    /** Runs a call or refuses it. The promise never rejects. */
    run(call: Call): Promise<Answer>;
}

/** Dependencies of the dispatcher. */
export interface DispatcherDependencies {
    readonly clock: Clock;
    readonly self: Member;
    readonly directory: Directory;
    readonly balancer: Balancer;
    /** Limits retries to a share of this node's calls. */
    readonly retryLimiter: RetryLimiter;
    readonly peers: PeerCaller;
    readonly localEndpoint: CallRunner;
    readonly claims: Claims;
    /** Priority thresholds of the services downstream of this one. */
    readonly downstreamThresholds: LearnedThresholds;
    /** Members according to the shared log; `undefined` while not known. */
    readonly getMembers: () => MemberState | undefined;
}

/** Routes calls to instances, either directly or through the owner of the action's key. */
export class Dispatcher {
    constructor(private readonly dependencies: DispatcherDependencies) {}

    /** Routes a call and returns its final answer. The promise never rejects. */
    dispatch(call: Call): Promise<Answer> {
        return isDecidedByOwner(call) ? this.dispatchToOwner(call) : this.dispatchToAny(call);
    }

    /**
     * Runs a call whose claim this node has recorded as owner of its key. It runs once, at the local endpoint if that
     * is ready, otherwise at another instance of the service.
     */
    async runClaimed(call: Call): Promise<Answer> {
        const { localEndpoint, self, downstreamThresholds } = this.dependencies;
        // The entry node forwards later sends to the owner unchecked, so the owner checks the downstream thresholds.
        if (call.isRoot && call.context.attempt !== 1 && !downstreamThresholds.admit(call.context)) {
            return createNotRunAnswer("overloaded", overloadedRetryMs, call.budget.getRemaining());
        }
        if (localEndpoint.isReady()) {
            return localEndpoint.run(call);
        }
        const tried = new Set([formatSlot(self)]);
        let answer: Answer = createNotRunAnswer("notReady", unavailableRetryMs, call.budget.getRemaining());
        while (tried.size <= maxInstancesTried) {
            const member = this.chooseInstance(call, tried);
            if (member === undefined) {
                break;
            }
            tried.add(formatSlot(member));
            answer = await this.callInstance(member, call, "claimed", call.budget);
            if (answer.outcome !== "notRun" || !otherInstanceReasons.has(answer.reason)) {
                break;
            }
        }
        return answer;
    }

    /** Tries instances until one completes an idempotent call or the refusal is final. */
    private async dispatchToAny(call: Call): Promise<Answer> {
        const { retryLimiter: retryRatio, clock } = this.dependencies;
        const tried = new Set<string>();
        let capacityRefusals = 0;
        let mayHaveRun = false;
        let answer: Answer = createNotRunAnswer("notReady", unavailableRetryMs, call.budget.getRemaining());
        retryRatio.recordCall();
        for (let instancesTried = 0; instancesTried < maxInstancesTried; instancesTried += 1) {
            const member = this.chooseInstance(call, tried);
            if (member === undefined) {
                break;
            }
            tried.add(formatSlot(member));
            answer = await this.callInstance(member, mayHaveRun ? markRetried(call) : call, "serve", call.budget);
            if (answer.outcome === "completed" || clock.readMonotonic() >= call.deadline || call.signal.aborted) {
                break;
            }
            if (answer.outcome === "unknown") {
                mayHaveRun = true;
                if (!retryableReasons.has(answer.reason) || !call.budget.takeRetry() || !retryRatio.takeRetry()) {
                    break;
                }
                continue;
            }
            const isCapacityRefusal = capacityReasons.has(answer.reason);
            capacityRefusals += isCapacityRefusal ? 1 : 0;
            const isFinal = !otherInstanceReasons.has(answer.reason) || capacityRefusals >= maxCapacityRefusals;
            if (isFinal || (isCapacityRefusal && !retryRatio.takeRetry())) {
                break;
            }
        }
        return settleAnswer(answer, call, mayHaveRun);
    }

    /** Lets the owner of the call's key decide. A call that may have been delivered is never sent again. */
    private async dispatchToOwner(call: Call): Promise<Answer> {
        const { clock } = this.dependencies;
        const startedAt = clock.readMonotonic();
        for (;;) {
            const result = await this.askOwner(call);
            if (result.isDecided) {
                return settleAnswer(result.answer, call, false);
            }
            const maxWaitMs = hasKeyMoved(result.answer) ? maxHandoverWaitMs : maxOwnerAbsenceWaitMs;
            const giveUpAt = Math.min(call.deadline, startedAt + maxWaitMs);
            if (clock.readMonotonic() + ownerPollMs >= giveUpAt || call.signal.aborted) {
                return this.finishWithoutOwner(call);
            }
            await clock.sleep(ownerPollMs, call.signal);
        }
    }

    /** Ends a call whose owner is unreachable. A numbered resend of an idempotent action may still run once. */
    private finishWithoutOwner(call: Call): Promise<Answer> | Answer {
        if (canRunWithoutOwner(call, call.budget.getRemaining())) {
            return this.dispatchToAny({ ...call, budget: new RetryBudget(0) });
        }
        return call.context.attempt === 1
            ? createNotRunAnswer("noOwner", unavailableRetryMs, call.budget.getRemaining())
            : createUnknownAnswer("noOwner", unavailableRetryMs);
    }

    /** Asks the current owner once. The result is undecided if the call provably did not reach an owner. */
    private async askOwner(call: Call): Promise<{ isDecided: boolean; answer: Answer; }> {
        const { self, claims, directory, getMembers } = this.dependencies;
        const members = getMembers();
        const owner = members === undefined ? undefined : findOwner(members, call.service, call.context.key);
        const budget = call.budget.getRemaining();
        const isOwnerFaulty = owner !== undefined && directory.findHealth(formatSlot(owner)) === "faulty";
        if (owner === undefined || isOwnerFaulty) {
            return { isDecided: false, answer: createNotRunAnswer("noOwner", unavailableRetryMs, budget) };
        }
        if (isSameMember(owner, self)) {
            const answer = await claims.serve(call);
            return { isDecided: !hasKeyMoved(answer), answer };
        }
        call.budget.takeAll();
        const { answer, isUndelivered } = await this.sendAndRecordOutcome(owner, call, "own", budget);
        call.budget.restoreUnspent(budget, answer.unspent);
        return { isDecided: !isUndelivered && !hasKeyMoved(answer), answer };
    }

    private chooseInstance(call: Call, tried: ReadonlySet<string>): Member | undefined {
        const { self, directory, balancer, localEndpoint } = this.dependencies;
        const candidates = directory.listCandidates(call.service);
        const isLocalUntried = call.service === self.service && !tried.has(formatSlot(self));
        if (isLocalUntried && localEndpoint.isReady()) {
            return self;
        }
        return balancer.choose(candidates.filter(member => !isSameMember(member, self)), tried);
    }

    /** Sends a call to one instance with a part of the retry budget, and restores the part that it did not use. */
    private async callInstance(
        member: Member,
        call: Call,
        mode: "serve" | "claimed",
        budget: RetryBudget,
    ): Promise<Answer> {
        const callBudget = budget.takeHalf();
        let answer: Answer;
        if (isSameMember(member, this.dependencies.self)) {
            answer = await this.dependencies.localEndpoint.run({ ...call, budget: new RetryBudget(callBudget) });
        }
        else {
            answer = (await this.sendAndRecordOutcome(member, call, mode, callBudget)).answer;
        }
        budget.restoreUnspent(callBudget, answer.unspent);
        return { ...answer, unspent: budget.getRemaining() };
    }

    /**
     * Sends a call to another node and records latency and outcome. If the node refuses the call because it is leaving,
     * the directory records that.
     */
    private async sendAndRecordOutcome(
        member: Member,
        call: Call,
        mode: "serve" | "claimed" | "own",
        callBudget: number,
    ): Promise<PeerAnswer> {
        const { balancer, clock, peers, directory } = this.dependencies;
        const slot = formatSlot(member);
        const startedAt = clock.readMonotonic();
        balancer.startCall(slot);
        const result = await peers.send(member, call, mode, callBudget);
        const { answer } = result;
        balancer.endCall(slot, clock.readMonotonic() - startedAt, describeCallOutcome(answer));
        if (answer.outcome === "notRun" && answer.reason === "leaving") {
            directory.recordLeaving(slot);
        }
        return result;
    }
}

function describeCallOutcome(answer: Answer): CallOutcome {
    if (answer.outcome === "completed") {
        return "completed";
    }
    const hasFailed = answer.outcome === "unknown" ? answer.reason !== "cancelled" : unreadyReasons.has(answer.reason);
    return hasFailed ? "failed" : "refused";
}

/**
 * Whether the owner of the call's key decides on it. That holds for all non-idempotent calls, and for idempotent calls
 * of an outside caller whose attempt number is not 1; see {@link isCountedRetry}.
 */
export function isDecidedByOwner(call: Pick<Call, "isIdempotent" | "isRoot" | "context">): boolean {
    return !call.isIdempotent || isCountedRetry(call);
}

function hasKeyMoved(answer: Answer): answer is NotRunAnswer {
    return answer.outcome === "notRun" && answer.reason === "moved";
}

/**
 * Marks the retry of a lost call by the attempt number 0, which means unknown: an earlier run of it may have happened
 * and have made the same calls.
 */
function markRetried(call: Call): Call {
    return { ...call, context: { ...call.context, attempt: 0 } };
}

/**
 * Reports "not run" only if no send of the action ran or can still run, otherwise "unknown". This is known for the
 * first send, and for a numbered later send of a non-idempotent action: all its sends go through the owner of its key,
 * which has refused this one and will refuse the earlier ones. The first send of an idempotent action does not go
 * through the owner.
 */
function settleAnswer(answer: Answer, call: Call, mayHaveRun: boolean): Answer {
    const settled = { ...answer, unspent: call.budget.getRemaining() };
    const { attempt } = call.context;
    const isKnownNotRun = attempt === 1 || (attempt > 1 && !call.isIdempotent);
    if (settled.outcome !== "notRun" || (isKnownNotRun && !mayHaveRun)) {
        return settled;
    }
    return createUnknownAnswer(settled.reason, settled.retryAfterMs, settled.threshold);
}
