/**
 * Exchange of the requests that nodes of one service suspect of crashing endpoints. Reports of crashes reach the nodes that
 * run at the time ({@link CrashFlood}); this is for a node that starts, or was cut off, afterwards.
 *
 * The first message on each link states the number of suspects. A node that hears of any from a node of its own service asks
 * for them. After a restart, the endpoint gets no requests until one node of the service has told its suspects, or each that
 * can be reached has said that it knows none.
 */
import type { HelloMessage } from "../../connection/link.js";
import type { LinkMessage } from "../../connection/linkMessage.js";
import type { Reply } from "../membership/peerGossip.js";
import type { Logger } from "../telemetry/logger.js";
import type { Quarantine } from "./quarantine.js";
import { formatSuspect, parseSuspect } from "./suspectItem.js";

/** Maximum number of suspects in one message; refused requests and the newest suspects are told first. */
const maxTold = 256;

/** Dependencies of the exchange. */
export interface SuspectExchangeDependencies {
    readonly logger: Logger;
    readonly quarantine: Pick<Quarantine, "listSuspects" | "learnSuspect">;
    /** Whether all nodes start now for the first time, so that nobody knows of a crash. */
    readonly isFirstStart: boolean;
    /** Whether the other nodes of the service are known. */
    readonly arePeersKnown: () => boolean;
    /** Addresses of the other nodes of the service to which links are kept. */
    readonly listPeers: () => readonly string[];
    /** Whether an address belongs to another node of the service. */
    readonly isPeer: (address: string) => boolean;
    /** Whether a message can be expected to reach an address. */
    readonly isReachable: (address: string) => boolean;
}

/** Tells other nodes of the service about suspects, and learns theirs. */
export class SuspectExchange {
    private wasTold: boolean;
    private wasContacted = false;
    /** Nodes of the service that said hello and don't tell suspects, as they have just started or are of an earlier build. */
    private readonly silentPeers = new Set<string>();

    constructor(private readonly dependencies: SuspectExchangeDependencies) {
        this.wasTold = dependencies.isFirstStart;
    }

    /** Number of suspects for the hello message; `undefined` while others may know some that this node doesn't. */
    countSuspects(): number | undefined {
        const count = this.dependencies.quarantine.listSuspects(maxTold).length;
        return count > 0 || this.isInformed() ? count : undefined;
    }

    /** Whether another node has said hello, of whatever service. */
    hasContact(): boolean {
        return this.wasContacted;
    }

    /** Whether this node knows what those of the service that can be reached know. */
    isInformed(): boolean {
        const { arePeersKnown, listPeers, isReachable } = this.dependencies;
        this.wasTold ||= arePeersKnown()
            && listPeers().every(each => this.silentPeers.has(each) || !isReachable(each));
        return this.wasTold;
    }

    /** Handles a hello message, after the record in it: asks a node of the service for the suspects that it states. */
    handleHello({ address, suspectCount }: HelloMessage, reply: Reply): void {
        this.wasContacted = true;
        if (!this.dependencies.isPeer(address)) {
            return;
        }
        if (suspectCount === undefined || !isCount(suspectCount)) {
            this.recordSilent(address);
            if (suspectCount !== undefined) {
                this.dependencies.logger.warn("suspectsSkipped", { peer: address, cause: "the number is malformed" });
            }
            return;
        }
        if (suspectCount === 0) {
            this.recordTold();
            return;
        }
        reply({ kind: "ask", topic: "suspects" });
    }

    /** Handles a message that asks for the suspects or tells them; all others are left to other handlers. */
    handleMessage(peer: string | undefined, message: LinkMessage, reply: Reply): void {
        if (message.kind === "ask" && message.topic === "suspects") {
            reply({ kind: "suspects", items: this.dependencies.quarantine.listSuspects(maxTold).map(formatSuspect) });
        }
        if (message.kind === "suspects") {
            this.learn(peer, message.items);
        }
    }

    /** Learns suspects. Malformed ones, and those beyond the maximum, are skipped with a warning. */
    private learn(peer: string | undefined, items: unknown): void {
        const { logger, quarantine } = this.dependencies;
        if (!Array.isArray(items)) {
            logger.warn("suspectsSkipped", { peer, cause: "the list is malformed" });
            if (peer !== undefined) {
                this.recordSilent(peer);
            }
            return;
        }
        const suspects = items.slice(0, maxTold).map(parseSuspect).filter(each => each !== undefined);
        suspects.forEach(each => quarantine.learnSuspect(each));
        if (suspects.length < items.length) {
            const cause = "items are malformed or too many";
            logger.warn("suspectsSkipped", { peer, cause, skipped: items.length - suspects.length });
        }
        logger.info("suspectsLearned", { peer, suspects: suspects.length });
        this.recordTold();
    }

    private recordTold(): void {
        this.wasTold = true;
        this.silentPeers.clear();
    }

    /** Records that a node doesn't tell; of no use once another one has told. */
    private recordSilent(address: string): void {
        if (!this.wasTold) {
            this.silentPeers.add(address);
        }
    }
}

function isCount(value: unknown): boolean {
    return Number.isSafeInteger(value) && (value as number) >= 0;
}
