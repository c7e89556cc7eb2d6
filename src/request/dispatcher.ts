/** Routes a call to an instance of its service, repeats it where that is safe, and settles what the caller is told. */
import type { PeerAnswer, PeerCaller } from "../connection/peerCaller.js";
import type { Balancer, CallOutcome } from "../process/balancer.js";
import { canRunWithoutOwner, isCountedResend } from "../process/claim.js";
import type { Claims } from "../process/claims.js";
import type { Clock } from "../process/clock.js";
import type { Directory } from "../process/directory.js";
import type { LearnedThresholds } from "../process/learnedThresholds.js";
import type { RetryLimiter } from "../process/rateLimit.js";
import type { Member } from "../version/member.js";
import { formatSlot, isSameMember } from "../version/member.js";
import type { MemberState } from "../version/memberStream.js";
import { findOwner } from "../version/memberStream.js";
import type { Answer, NotRunAnswer, Reason } from "./answer.js";
import { createNotRunAnswer, createUnknownAnswer } from "./answer.js";
import type { Call } from "./call.js";
import { RetryBudget } from "./retryBudget.js";

/** Instances that a call is offered to before its refusal is final. */
const maxOffers = 4;
/** Instances that may refuse a call for want of capacity before its refusal is final. */
const maxCapacityOffers = 2;
/** Time between tries while a key moves from one owner to the next, in milliseconds. */
const moveRetryMs = 25;
/** Longest time that a call waits while its key moves, in milliseconds. */
const maxMoveWaitMs = 3000;
/** Longest time that a call waits for news of an owner that can't be reached, in milliseconds. */
const maxAbsenceWaitMs = 300;
/** Time after which a call whose key has no owner may be sent again, in milliseconds. */
const noOwnerRetryMs = 1000;
/** Time after which a call that a service behind would refuse may be sent again, in milliseconds. */
const overloadedRetryMs = 500;
/** Refusals after which another instance may be asked at once. */
const offerReasons: ReadonlySet<Reason> = new Set(["leaving", "notReady", "overloaded", "deadline"]);
/** Refusals for want of capacity. "deadline" is one: an instance with a shorter queue or faster runs may be in time. */
const capacityReasons: ReadonlySet<Reason> = new Set(["overloaded", "deadline"]);
/** Refusals that tell of trouble at the instance, not of its load or of the call. */
const unreadyReasons: ReadonlySet<Reason> = new Set(["leaving", "notReady"]);
/** Unknown outcomes after which an idempotent call may be repeated at once. */
const repeatReasons: ReadonlySet<Reason> = new Set(["connectionLost", "endpointFailed"]);

/** Runs calls at the endpoint beside this node. */
export interface CallRunner {
    /** Whether the endpoint takes new work. */
    isReady(): boolean;
    /** Runs a call, or refuses it. Never rejects. */
    run(call: Call): Promise<Answer>;
}

/** What the dispatcher needs from the rest of the node. */
export interface DispatcherDependencies {
    readonly clock: Clock;
    readonly self: Member;
    readonly directory: Directory;
    readonly balancer: Balancer;
    readonly retryRatio: RetryLimiter;
    readonly peers: PeerCaller;
    readonly localEndpoint: CallRunner;
    readonly claims: Claims;
    readonly downstreamThresholds: LearnedThresholds;
    /** Members as folded from the log; `undefined` while not known. */
    readonly getMembers: () => MemberState | undefined;
}

/** Routes calls. */
export class Dispatcher {
    constructor(private readonly dependencies: DispatcherDependencies) {}

    /** Routes a call and returns its final answer. Never rejects. */
    dispatch(call: Call): Promise<Answer> {
        return isDecidedByOwner(call) ? this.dispatchToOwner(call) : this.dispatchToAny(call);
    }

    /** Runs a claimed call once: here if the local endpoint can, else at another instance of the service. */
    async runClaimed(call: Call): Promise<Answer> {
        const { localEndpoint, self, downstreamThresholds: downstream } = this.dependencies;
        // The entry lets later sends pass to the owner, who refuses them here if a service behind would.
        if (call.isRoot && call.context.attempt !== 1 && !downstream.admit(call.context)) {
            return createNotRunAnswer("overloaded", overloadedRetryMs, call.budget.getRemaining());
        }
        if (localEndpoint.isReady()) {
            return localEndpoint.run(call);
        }
        const tried = new Set([formatSlot(self)]);
        let refusal: Answer = createNotRunAnswer("notReady", noOwnerRetryMs, call.budget.getRemaining());
        while (tried.size <= maxOffers) {
            const member = this.chooseInstance(call, tried);
            if (member === undefined) {
                break;
            }
            tried.add(formatSlot(member));
            refusal = await this.callInstance(member, call, "claimed", call.budget);
            if (refusal.outcome !== "notRun" || !offerReasons.has(refusal.reason)) {
                break;
            }
        }
        return refusal;
    }

    /** Offers an idempotent call to instances until one completes it or the refusal is final. */
    private async dispatchToAny(call: Call): Promise<Answer> {
        const { retryRatio, clock } = this.dependencies;
        const tried = new Set<string>();
        let capacityRefusals = 0;
        let mayHaveRun = false;
        let answer: Answer = createNotRunAnswer("notReady", noOwnerRetryMs, call.budget.getRemaining());
        retryRatio.recordCall();
        for (let offers = 0; offers < maxOffers; offers += 1) {
            const member = this.chooseInstance(call, tried);
            if (member === undefined) {
                break;
            }
            tried.add(formatSlot(member));
            answer = await this.callInstance(member, mayHaveRun ? markRepeated(call) : call, "serve", call.budget);
            if (answer.outcome === "completed" || clock.readMonotonic() >= call.deadline || call.signal.aborted) {
                break;
            }
            if (answer.outcome === "unknown") {
                mayHaveRun = true;
                if (!repeatReasons.has(answer.reason) || !call.budget.takeRetry() || !retryRatio.takeRetry()) {
                    break;
                }
                continue;
            }
            const isForCapacity = capacityReasons.has(answer.reason);
            capacityRefusals += isForCapacity ? 1 : 0;
            const isFinal = !offerReasons.has(answer.reason) || capacityRefusals >= maxCapacityOffers;
            if (isFinal || (isForCapacity && !retryRatio.takeRetry())) {
                break;
            }
        }
        return settleAnswer(answer, call, mayHaveRun);
    }

    /** Has the owner of the call's key decide. What may have been delivered is never sent again. */
    private async dispatchToOwner(call: Call): Promise<Answer> {
        const { clock } = this.dependencies;
        const startedAt = clock.readMonotonic();
        for (;;) {
            const result = await this.askOwner(call);
            if (result.isDecided) {
                return settleAnswer(result.answer, call, false);
            }
            const maxWaitMs = isMoved(result.answer) ? maxMoveWaitMs : maxAbsenceWaitMs;
            const giveUpAt = Math.min(call.deadline, startedAt + maxWaitMs);
            if (clock.readMonotonic() + moveRetryMs >= giveUpAt || call.signal.aborted) {
                return this.finishWithoutOwner(call);
            }
            await clock.sleep(moveRetryMs, call.signal);
        }
    }

    /** Settles a call whose owner can't be reached. A numbered re-send of an idempotent action may still run once. */
    private finishWithoutOwner(call: Call): Promise<Answer> | Answer {
        if (canRunWithoutOwner(call, call.budget.getRemaining())) {
            return this.dispatchToAny({ ...call, budget: new RetryBudget(0) });
        }
        return call.context.attempt === 1
            ? createNotRunAnswer("noOwner", noOwnerRetryMs, call.budget.getRemaining())
            : createUnknownAnswer("noOwner", noOwnerRetryMs);
    }

    /** Asks the present owner once. The result is undecided if the call provably did not reach an owner. */
    private async askOwner(call: Call): Promise<{ isDecided: boolean; answer: Answer; }> {
        const { self, claims, directory, getMembers } = this.dependencies;
        const members = getMembers();
        const owner = members === undefined ? undefined : findOwner(members, call.service, call.context.key);
        const budget = call.budget.getRemaining();
        const isSilent = owner !== undefined && directory.findHealth(formatSlot(owner)) === "faulty";
        if (owner === undefined || isSilent) {
            return { isDecided: false, answer: createNotRunAnswer("noOwner", noOwnerRetryMs, budget) };
        }
        if (isSameMember(owner, self)) {
            const answer = await claims.serve(call);
            return { isDecided: !isMoved(answer), answer };
        }
        call.budget.takeAll();
        const { answer, isUndelivered } = await this.sendTimed(owner, call, "own", budget);
        call.budget.takeBack(budget, answer.unspent);
        return { isDecided: !isUndelivered && !isMoved(answer), answer };
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

    /** Sends a call to one instance with a part of the budget, and takes back what it did not use. */
    private async callInstance(
        member: Member,
        call: Call,
        mode: "serve" | "claimed",
        budget: RetryBudget,
    ): Promise<Answer> {
        const lent = budget.lend();
        let answer: Answer;
        if (isSameMember(member, this.dependencies.self)) {
            answer = await this.dependencies.localEndpoint.run({ ...call, budget: new RetryBudget(lent) });
        }
        else {
            answer = (await this.sendTimed(member, call, mode, lent)).answer;
        }
        budget.takeBack(lent, answer.unspent);
        return { ...answer, unspent: budget.getRemaining() };
    }

    private async sendTimed(
        member: Member,
        call: Call,
        mode: "serve" | "claimed" | "own",
        lent: number,
    ): Promise<PeerAnswer> {
        const { balancer, clock, peers, directory } = this.dependencies;
        const slot = formatSlot(member);
        const startedAt = clock.readMonotonic();
        balancer.startCall(slot);
        const result = await peers.send(member, call, mode, lent);
        const { answer } = result;
        balancer.endCall(slot, clock.readMonotonic() - startedAt, describeEnding(answer));
        if (answer.outcome === "notRun" && answer.reason === "leaving") {
            directory.recordLeaving(slot);
        }
        return result;
    }
}

function describeEnding(answer: Answer): CallOutcome {
    if (answer.outcome === "completed") {
        return "completed";
    }
    const hasFailed = answer.outcome === "unknown" ? answer.reason !== "cancelled" : unreadyReasons.has(answer.reason);
    return hasFailed ? "failed" : "refused";
}

/** Actions that must not run twice, and repeated sends of any action, are decided by the owner of the key. */
export function isDecidedByOwner(call: Pick<Call, "isIdempotent" | "isRoot" | "context">): boolean {
    return !call.isIdempotent || isCountedResend(call);
}

function isMoved(answer: Answer): answer is NotRunAnswer {
    return answer.outcome === "notRun" && answer.reason === "moved";
}

/** A repeat of a call that was lost is no longer the first send of what its run calls. */
function markRepeated(call: Call): Call {
    return { ...call, context: { ...call.context, attempt: 0 } };
}

/**
 * "Not run" is told only if no send of the action ran or can still run. That is known of a first send that was refused, and
 * of a later send of an action that must not run twice: all of its sends pass through the owner of its key, which has
 * refused this one and will refuse the earlier ones. The first send of an idempotent action does not pass there.
 */
function settleAnswer(answer: Answer, call: Call, mayHaveRun: boolean): Answer {
    const settled = { ...answer, unspent: call.budget.getRemaining() };
    const { attempt } = call.context;
    const isKnown = attempt === 1 || (attempt > 1 && !call.isIdempotent);
    if (settled.outcome !== "notRun" || (isKnown && !mayHaveRun)) {
        return settled;
    }
    return createUnknownAnswer(settled.reason, settled.retryAfterMs, settled.threshold);
}
