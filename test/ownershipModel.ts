/**
 * Model of the at-most-once protocol: the daemon's own classes for claims, ownership and routing, joined by a fake log, fake
 * messages that can be lost or held up, and endpoints that only count their runs.
 */
import type {
    ControlCaller,
    ControlError,
    ControlMethod,
    ControlReply,
    ControlRequest,
} from "../src/connection/control.js";
import type { PeerAnswer, PeerCaller } from "../src/connection/peerCaller.js";
import { RetryLimiter } from "../src/process/base/rateLimit.js";
import type { Result } from "../src/process/base/result.js";
import { createFailure, createSuccess } from "../src/process/base/result.js";
import { Balancer } from "../src/process/load/balancer.js";
import { LearnedThresholds } from "../src/process/load/learnedThresholds.js";
import { Directory, unknownOffsets } from "../src/process/membership/directory.js";
import { Claims } from "../src/process/ownership/claims.js";
import { Ownership } from "../src/process/ownership/ownership.js";
import type { Answer } from "../src/request/answer.js";
import { createNotRunAnswer, createUnknownAnswer } from "../src/request/answer.js";
import type { Call } from "../src/request/call.js";
import type { CallMetadata } from "../src/request/callMetadata.js";
import { Dispatcher } from "../src/request/dispatcher.js";
import { RetryBudget } from "../src/request/retryBudget.js";
import type { Member } from "../src/version/member.js";
import { formatSlot } from "../src/version/member.js";
import { formatMemberRecord, memberReducer, memberStreamName } from "../src/version/memberStream.js";
import { Replica } from "../src/version/replica.js";
import { createRandom } from "../standin/random.js";
import { FakeClock, FakeLog, silentLogger } from "./fakes.js";

const service = "kas-benang";

/** How a message between nodes fares. */
export type MessageFate = "delivered" | "answerLost" | "lost" | "heldUp";

/** How a run at an endpoint fares; a slow one ends with {@link Model.finishSlowRuns}. */
export type RunFate = "completed" | "lost" | "refused" | "slow";

/** What became of one run at an endpoint. */
interface RunEvent {
    readonly key: string;
    /** Position of the send among all sends of its key, whether or not the caller stated it. */
    readonly order: number;
}

/** All nodes, the log and what the endpoints ran. */
export class Model {
    readonly clock = new FakeClock();
    readonly log = new FakeLog();
    readonly random = createRandom(1);
    readonly nodes: ModelNode[] = [];
    readonly runs: RunEvent[] = [];
    /** Fates of the next messages between nodes. */
    readonly messageFates: MessageFate[] = [];
    /** Outcomes of the next runs at endpoints. */
    readonly runFates: RunFate[] = [];
    private readonly slowRuns: (() => void)[] = [];
    private readonly heldUp: (() => Promise<unknown>)[] = [];
    private incarnations = 0;

    constructor(count: number) {
        for (let index = 0; index < count; index += 1) {
            this.nodes.push(this.createNode(index));
        }
    }

    /** Starts all nodes and spreads the partitions. */
    async start(): Promise<void> {
        for (const node of this.nodes) {
            node.join();
        }
        await this.settle();
    }

    /** Starts one more node in a slot of its own. */
    addNode(): void {
        const node = this.createNode(this.nodes.length);
        this.nodes.push(node);
        node.join();
    }

    /** Kills a node and starts a newer incarnation in its slot. */
    replace(index: number): void {
        this.nodes[index]!.isDead = true;
        const node = this.createNode(index);
        this.nodes[index] = node;
        node.join();
    }

    /** Lets all living nodes read the log and balance the partitions. */
    async settle(): Promise<void> {
        for (let round = 0; round < this.nodes.length * 2; round += 1) {
            await this.catchUpAll();
            for (const node of this.nodes) {
                await node.ownership.balance();
            }
        }
        await this.catchUpAll();
    }

    private async catchUpAll(): Promise<void> {
        for (const node of this.nodes) {
            await node.catchUp();
        }
    }

    /** Delivers the messages that were held up. */
    async deliverHeldUp(): Promise<void> {
        for (const deliver of this.heldUp.splice(0)) {
            await deliver();
        }
    }

    /** Ends the runs that are slow. */
    finishSlowRuns(): void {
        this.slowRuns.splice(0).forEach(finish => finish());
    }

    /** Waits until the slow runs are ended. */
    async waitForSlowRuns(): Promise<void> {
        await new Promise<void>(resolve => this.slowRuns.push(resolve));
    }

    /** Passes a message on, according to its fate. */
    async passMessage<T>(
        target: ModelNode | undefined,
        deliver: (node: ModelNode) => Promise<T>,
    ): Promise<T | "unsent" | "lost"> {
        if (target === undefined || target.isDead) {
            return "unsent";
        }
        const fate = this.messageFates.shift() ?? "delivered";
        switch (fate) {
            case "delivered":
                return deliver(target);
            case "answerLost":
                await deliver(target);
                return "lost";
            case "lost":
                return "lost";
            case "heldUp":
                this.heldUp.push(async () => target.isDead ? undefined : deliver(target));
                return "lost";
        }
    }

    /** Finds the living node of a member. */
    find(member: Member): ModelNode | undefined {
        return this.nodes.find(node => node.self.incarnation === member.incarnation);
    }

    private createNode(index: number): ModelNode {
        this.incarnations += 1;
        const member: Member = {
            address: `127.0.0.${index + 1}`,
            peerPort: 1,
            controlPort: 2,
            adminPort: 3,
            service,
            dataCentre: "klaten",
            incarnation: this.incarnations,
        };
        return new ModelNode(this, member);
    }
}

/** One node of the model. */
export class ModelNode implements PeerCaller, ControlCaller {
    isDead = false;
    readonly members = new Replica(memberStreamName, memberReducer, () => undefined);
    readonly directory: Directory;
    readonly ownership: Ownership;
    readonly claims: Claims;
    private readonly dispatcher: Dispatcher;

    constructor(private readonly model: Model, readonly self: Member) {
        const { clock, log } = model;
        this.directory = new Directory(clock, {
            member: self,
            health: "alive",
            refutation: 0,
            offsets: unknownOffsets,
        });
        this.members.addListener(current => this.directory.applyMembers(current.state));
        this.ownership = new Ownership({
            clock,
            random: model.random,
            logger: silentLogger,
            self,
            members: this.members,
            log,
            control: this,
            directory: this.directory,
            isLogUp: () => !log.isDown,
            getResendWindowMs: () => 60_000,
        });
        this.claims = new Claims(
            clock,
            { maxClaims: 1000, maxBytes: 1_000_000 },
            partition => this.ownership.findPartitionStatus(partition),
            call => this.dispatcher.runClaimed(call),
            (key, claim) => this.ownership.addLateResult(key, claim),
        );
        this.ownership.setClaims(this.claims);
        this.dispatcher = new Dispatcher({
            clock,
            self,
            directory: this.directory,
            balancer: new Balancer(clock, () => 0.5, "klaten"),
            retryLimiter: new RetryLimiter(clock),
            peers: this,
            localEndpoint: { isReady: () => true, run: call => this.runAtEndpoint(call) },
            claims: this.claims,
            downstreamThresholds: new LearnedThresholds(clock),
            getMembers: () => this.members.get()?.state,
        });
    }

    join(): void {
        this.model.log.write(memberStreamName, formatMemberRecord({ kind: "join", member: this.self }));
    }

    async catchUp(): Promise<void> {
        await this.members.catchUp(this.model.log);
    }

    /** Serves one send of an action that must not run twice, with this node as its entry. */
    async serveCaller(key: string, attempt: number, order = attempt): Promise<Answer> {
        return this.dispatcher.dispatch({
            context: {
                key,
                attempt,
                customer: "treasurers",
                actionClass: "advance",
                priority: 1,
                resendWindowMs: 60_000,
                issuedAt: this.model.clock.readDate().getTime(),
            },
            service,
            callClass: "advance",
            isIdempotent: false,
            isRoot: true,
            fingerprint: key,
            method: "POST",
            path: `/${order}`,
            headers: [],
            body: Buffer.alloc(0),
            deadline: this.model.clock.readMonotonic() + 200,
            budget: new RetryBudget(4),
            signal: new AbortController().signal,
        });
    }

    async send(member: Member, call: Call, mode: CallMetadata["mode"], lent: number): Promise<PeerAnswer> {
        const copy = { ...call, budget: new RetryBudget(lent) };
        const answer = await this.model.passMessage(this.model.find(member), node => node.servePeer(copy, mode));
        if (answer === "unsent") {
            return { answer: createNotRunAnswer("notReady", 100, lent), isUndelivered: true };
        }
        return {
            answer: answer === "lost" ? createUnknownAnswer("connectionLost", 100) : answer,
            isUndelivered: false,
        };
    }

    async call<M extends ControlMethod>(
        slot: string,
        method: M,
        request: ControlRequest<M>,
    ): Promise<Result<ControlReply<M>, ControlError>> {
        const target = this.model.nodes.find(node => formatSlot(node.self) === slot);
        const result = await this.model.passMessage(target, async node => node.serveControl(method, request));
        return result === true
            ? createSuccess({} as ControlReply<M>)
            : createFailure({ kind: "unreachable", message: String(result) });
    }

    private serveControl<M extends ControlMethod>(method: M, request: ControlRequest<M>): boolean {
        if (method !== "transfer") {
            return true;
        }
        try {
            this.ownership.acceptTransfer(request as ControlRequest<"transfer">);
            return true;
        }
        catch {
            return false;
        }
    }

    private servePeer(call: Call, mode: CallMetadata["mode"]): Promise<Answer> {
        return mode === "own" ? this.claims.serve(call) : this.runAtEndpoint(call);
    }

    private async runAtEndpoint(call: Call): Promise<Answer> {
        const fate = this.model.runFates.shift() ?? "completed";
        if (fate === "refused") {
            return createNotRunAnswer("overloaded", 100, call.budget.getRemaining());
        }
        this.model.runs.push({ key: call.context.key, order: Number(call.path.slice(1)) });
        if (fate === "slow") {
            await this.model.waitForSlowRuns();
        }
        if (fate === "lost" || this.isDead) {
            return createUnknownAnswer("endpointFailed", 100);
        }
        return {
            outcome: "completed",
            status: 200,
            headers: [],
            body: Buffer.from(call.context.key),
            isReplayed: false,
            unspent: call.budget.getRemaining(),
            threshold: 0,
        };
    }
}
