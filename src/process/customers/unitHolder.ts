/**
 * Takes units for requests of customers with a quota from the grantor of one group of customers. One unit admits one
 * request.
 *
 * Load patterns handled:
 *
 * - A customer with few requests at each node: a request waits for its own unit, one round trip.
 * - Many requests at once: those that come while a message is under way share the next one.
 * - A customer close to its limit, and the first moments of a new grantor: requests wait for units that accrue soon.
 * - A customer over its limit: while no unit is to be had, its requests are refused without a message; every 0.1 s one
 *   message asks for as many units as requests came in that time, at most {@link maxStock}.
 */
import type { Clock, Timer } from "../base/clock.js";
import type { Random } from "../base/random.js";
import { unitLeaseMs } from "./quotaBound.js";
import { supportMs } from "./unitGrantor.js";
import type { AskedUnits, AskUnitsMessage, GrantedUnits, GrantUnitsMessage } from "./unitMessages.js";

/** Time after which an unanswered message counts as lost, in milliseconds. */
const answerTimeoutMs = 400;
/** Time without a message after which the grantor is told again that this node supports it, in milliseconds. */
const heartbeatMs = 400;
/** Time for which a grantor that did not answer is not chosen, in milliseconds; it doubles with each time. */
const minAvoidMs = 1500;
const maxAvoidMs = 24_000;
/** Time between messages for a customer that has no unit, in milliseconds, and its random part. */
const scarceIntervalMs = 80;
const scarceSpreadMs = 40;
/** Longest time to the next unit for which requests go on waiting, in milliseconds. */
const maxHoldMs = 150;
/** Most units that are asked for ahead of requests. */
const maxStock = 30;
/** Time for which units that were asked for ahead are kept, in milliseconds. */
const stockKeptMs = 150;
/** Time after which a refused request may come back while nobody grants units, in milliseconds. */
const noGrantorWaitMs = 700;
/** Time from the moment at which nodes may support a grantor again to its first units, in milliseconds. */
const firstUnitsMs = 200;

/** A unit that was spent on a request. */
export interface SpentUnit {
    readonly customer: string;
    readonly spentAt: number;
    readonly session: number;
}

/** Result of {@link UnitHolder.take}. */
export type TakeResult =
    | { readonly kind: "granted"; readonly unit: SpentUnit; }
    /** `noGrantor`: no node could grant units of the customer, whether its quota is used up or not. */
    | { readonly kind: "none"; readonly cause: "quota" | "noGrantor"; readonly retryAfterMs: number; };

/** Units of one customer in the session in progress. */
interface Account {
    granted: number;
    gone: number;
    returned: number;
    readonly waiting: Waiter[];
    /** Time until which no unit is asked for; requests without one are refused. */
    scarceUntil: number;
    /** Time at which a unit was expected, for refused requests. */
    expectedAt: number;
    /** Requests since units were last asked for ahead. */
    missed: number;
    /** Whether the grantor had units to grant to anybody when it answered last. */
    hasGrantor: boolean;
    /** Time until which units that no request needs are kept. */
    keptUntil: number;
}

interface Waiter {
    readonly resolve: (result: TakeResult) => void;
    readonly timer: Timer;
    /** Whether the message under way asks for its unit. */
    isAsked: boolean;
}

/** A message that is not answered yet. */
interface PendingAsk {
    readonly number: number;
    readonly sentAt: number;
}

/** Dependencies of a holder. */
export interface UnitHolderDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly group: number;
    /** Addresses of nodes in the order in which they become grantor of this group; the own one among them. */
    readonly listCandidates: () => readonly string[];
    /** Whether a message to an address is delivered now, as far as is known. */
    readonly isLinked: (address: string) => boolean;
    readonly send: (address: string, message: AskUnitsMessage) => void;
    readonly countNodes: () => number;
    /** Whether no process ran here before, so that none can have promised its support to another grantor. */
    readonly isFirstStart: boolean;
}

/** Holds the units of one group of customers. */
export class UnitHolder {
    private readonly accounts = new Map<string, Account>();
    private readonly avoided = new Map<string, { until: number; delayMs: number; }>();
    private grantor: string | undefined;
    private session: number;
    private number = 0;
    private stamp = "";
    private pending: PendingAsk | undefined;
    /** Time until which units may be used. */
    private leaseUntil = 0;
    private lastAskAt = -Infinity;
    /** Grantor to which the own part of the limits is lent, and until when; no other gets it before. */
    private supported: string | undefined;
    private supportedUntil: number;

    constructor(private readonly dependencies: UnitHolderDependencies) {
        const { clock, isFirstStart } = dependencies;
        this.session = this.createSession();
        // The process before this one ended before this one was started, and promised nothing since.
        this.supportedUntil = isFirstStart ? -Infinity : clock.readProcessStart() + supportMs;
    }

    /** Takes a unit for a request of a customer; waits for one for `maxWaitMs` at most. */
    take(customer: string, maxWaitMs: number): Promise<TakeResult> | TakeResult {
        const now = this.dependencies.clock.readMonotonic();
        const account = this.getAccount(customer);
        if (this.countHeld(account, now) > 0 && account.waiting.length === 0) {
            return this.takeHeld(customer, account, now);
        }
        if (now < account.scarceUntil || maxWaitMs <= 0) {
            account.missed += 1;
            return { kind: "none", cause: "quota", retryAfterMs: Math.max(1, account.expectedAt - now) };
        }
        return new Promise(resolve => {
            const timer = this.dependencies.clock.startTimer(maxWaitMs, () => this.endWait(account, waiter));
            const waiter: Waiter = { resolve, timer, isAsked: false };
            account.waiting.push(waiter);
            this.ask();
        });
    }

    /** Gives back a unit whose request ran nowhere, if it is recent enough to be used again. */
    releaseUnit(unit: SpentUnit): void {
        const now = this.dependencies.clock.readMonotonic();
        const account = this.accounts.get(unit.customer);
        const isRecent = now - unit.spentAt < unitLeaseMs && now < this.leaseUntil;
        if (account === undefined || unit.session !== this.session || !isRecent) {
            return;
        }
        account.gone -= 1;
        this.serveWaiting(unit.customer, account, now);
    }

    /** Handles the answer of a grantor. */
    receive(grantor: string, message: GrantUnitsMessage): void {
        const { pending } = this;
        if (grantor !== this.grantor || message.session !== this.session || message.number !== pending?.number) {
            return;
        }
        const now = this.dependencies.clock.readMonotonic();
        this.pending = undefined;
        this.stamp = message.stamp;
        this.leaseUntil = pending.sentAt + unitLeaseMs;
        this.avoided.delete(grantor);
        for (const item of message.items) {
            this.receiveItem(item, now);
        }
        if ([...this.accounts.values()].some(account => account.waiting.some(waiter => !waiter.isAsked))) {
            this.ask();
        }
    }

    /** Does what is due; called every 0.1 s. `isInUse`: whether customers of this group have quotas. */
    update(isInUse: boolean): void {
        const now = this.dependencies.clock.readMonotonic();
        if (this.pending !== undefined && now - this.pending.sentAt > answerTimeoutMs) {
            this.avoid(this.grantor!, now);
            this.startSession(undefined);
        }
        if (isInUse && this.pending === undefined && this.isAskDue(now)) {
            this.ask();
        }
    }

    /** Drops the units of the whole group, since the limits of customers in it have changed. */
    forgetSession(): void {
        this.startSession(this.grantor);
    }

    /** Drops all units and waits out the own promise again, after a time that this process did not see pass. */
    forgetAll(): void {
        this.supportedUntil = Math.max(this.supportedUntil, this.dependencies.clock.readMonotonic() + supportMs);
        this.startSession(undefined);
    }

    /** Addresses to which links are needed: the grantor and the first candidates, two of which are linked. */
    listLinkedCandidates(): readonly string[] {
        const listed: string[] = [];
        let linked = 0;
        for (const address of this.dependencies.listCandidates().slice(0, 6)) {
            listed.push(address);
            linked += this.dependencies.isLinked(address) ? 1 : 0;
            if (linked === 2) {
                break;
            }
        }
        return this.grantor === undefined ? listed : [...listed, this.grantor];
    }

    private isAskDue(now: number): boolean {
        if (now - this.lastAskAt >= heartbeatMs) {
            return true;
        }
        for (const account of this.accounts.values()) {
            if (account.waiting.length > 0 || (account.missed > 0 && now >= account.scarceUntil)) {
                return true;
            }
        }
        return false;
    }

    /** Sends one message for all customers, unless one is under way. */
    private ask(): void {
        if (this.pending !== undefined) {
            return;
        }
        const now = this.dependencies.clock.readMonotonic();
        const grantor = this.chooseGrantor(now);
        if (grantor !== this.grantor) {
            this.startSession(grantor);
        }
        if (grantor === undefined) {
            return;
        }
        const isSupporting = this.canSupport(grantor, now);
        if (isSupporting) {
            this.supported = grantor;
            this.supportedUntil = now + supportMs;
        }
        this.number += 1;
        this.pending = { number: this.number, sentAt: now };
        this.lastAskAt = now;
        this.dependencies.send(grantor, {
            kind: "askUnits",
            group: this.dependencies.group,
            session: this.session,
            number: this.number,
            stamp: this.stamp,
            isSupporting,
            nodes: this.dependencies.countNodes(),
            items: this.createItems(now),
        });
    }

    /** Whether the own part of the limits may be lent to a grantor; a promise to one that is not the best any more ends. */
    private canSupport(grantor: string, now: number): boolean {
        return this.findBest(now) === grantor && (this.supported === grantor || now >= this.supportedUntil);
    }

    private createItems(now: number): AskedUnits[] {
        const items: AskedUnits[] = [];
        for (const [customer, account] of this.accounts) {
            const ahead = now >= account.scarceUntil ? Math.min(maxStock, account.missed) : 0;
            const held = this.countHeld(account, now);
            const wanted = account.waiting.length + ahead;
            if (wanted === 0 && held === 0) {
                continue;
            }
            account.waiting.forEach(waiter => waiter.isAsked = true);
            account.missed = ahead > 0 ? 0 : account.missed;
            account.keptUntil = ahead > 0 ? now + stockKeptMs : account.keptUntil;
            if (held > wanted && now >= account.keptUntil) {
                account.returned += held - wanted;
                account.gone += held - wanted;
            }
            items.push([customer, account.gone, account.returned, Math.max(wanted, this.countHeld(account, now))]);
        }
        return items;
    }

    private receiveItem([customer, granted, waitMs]: GrantedUnits, now: number): void {
        const account = this.getAccount(customer);
        account.granted = granted;
        account.hasGrantor = waitMs >= 0;
        this.serveWaiting(customer, account, now);
        if (waitMs > maxHoldMs) {
            account.scarceUntil = now + scarceIntervalMs + this.dependencies.random() * scarceSpreadMs;
            account.expectedAt = now + waitMs;
            for (const waiter of account.waiting.splice(0)) {
                waiter.timer.stop();
                account.missed += 1;
                waiter.resolve({ kind: "none", cause: "quota", retryAfterMs: waitMs });
            }
        }
        else {
            account.scarceUntil = 0;
        }
    }

    private serveWaiting(customer: string, account: Account, now: number): void {
        while (account.waiting.length > 0 && this.countHeld(account, now) > 0) {
            const waiter = account.waiting.shift()!;
            waiter.timer.stop();
            waiter.resolve(this.takeHeld(customer, account, now));
        }
    }

    private takeHeld(customer: string, account: Account, now: number): TakeResult {
        account.gone += 1;
        return { kind: "granted", unit: { customer, spentAt: now, session: this.session } };
    }

    private endWait(account: Account, waiter: Waiter): void {
        account.waiting.splice(account.waiting.indexOf(waiter), 1);
        const cause = account.hasGrantor ? "quota" : "noGrantor";
        waiter.resolve({ kind: "none", cause, retryAfterMs: this.computeNoGrantorWaitMs() });
    }

    /**
     * Time after which units are likely to be granted again, in milliseconds. Nodes that were all started together may support a
     * grantor again at about the same time.
     */
    private computeNoGrantorWaitMs(): number {
        const heldBackMs = this.supported === undefined
            ? this.supportedUntil - this.dependencies.clock.readMonotonic()
            : 0;
        return heldBackMs > 0 ? heldBackMs + firstUnitsMs : noGrantorWaitMs;
    }

    private countHeld(account: Account, now: number): number {
        return now < this.leaseUntil ? Math.max(0, account.granted - account.gone) : 0;
    }

    /**
     * Chooses the grantor: the first candidate that is linked and answers. While the own part is still promised to another
     * that can be reached, units are asked for there.
     */
    private chooseGrantor(now: number): string | undefined {
        const { supported } = this;
        const isPromised = supported !== undefined && now < this.supportedUntil;
        return isPromised && this.canAsk(supported, now) ? supported : this.findBest(now);
    }

    private findBest(now: number): string | undefined {
        return this.dependencies.listCandidates().find(address => this.canAsk(address, now));
    }

    private canAsk(address: string, now: number): boolean {
        return this.dependencies.isLinked(address) && (this.avoided.get(address)?.until ?? 0) <= now;
    }

    private avoid(address: string, now: number): void {
        const delayMs = Math.min(maxAvoidMs, (this.avoided.get(address)?.delayMs ?? minAvoidMs / 2) * 2);
        this.avoided.set(address, { until: now + delayMs * (0.75 + this.dependencies.random() / 2), delayMs });
    }

    /** Begins a session; units of the one before are gone, requests that wait go on waiting. */
    private startSession(grantor: string | undefined): void {
        this.grantor = grantor;
        this.session = this.createSession();
        this.number = 0;
        this.stamp = "";
        this.pending = undefined;
        this.leaseUntil = 0;
        for (const [customer, account] of this.accounts) {
            account.granted = 0;
            account.gone = 0;
            account.returned = 0;
            account.scarceUntil = 0;
            account.hasGrantor = false;
            account.waiting.forEach(waiter => waiter.isAsked = false);
            if (account.waiting.length === 0 && account.missed === 0) {
                this.accounts.delete(customer);
            }
        }
    }

    private createSession(): number {
        return Math.floor(this.dependencies.random() * 2 ** 32);
    }

    private getAccount(customer: string): Account {
        let account = this.accounts.get(customer);
        if (account === undefined) {
            account = {
                granted: 0,
                gone: 0,
                returned: 0,
                waiting: [],
                scarceUntil: 0,
                expectedAt: 0,
                missed: 0,
                hasGrantor: false,
                keptUntil: 0,
            };
            this.accounts.set(customer, account);
        }
        return account;
    }
}
