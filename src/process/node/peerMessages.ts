/** Passes the messages of other nodes to the parts of this node that they are for. */
import type { HelloMessage } from "../../connection/link.js";
import type { LinkMessage, LoadReport } from "../../connection/linkMessage.js";
import type { CustomerQuotas } from "../customers/customerQuotas.js";
import type { CrashFlood } from "../endpoint/crashFlood.js";
import type { SuspectExchange } from "../endpoint/suspectExchange.js";
import type { ClusterState } from "../membership/clusterState.js";
import type { Reply } from "../membership/peerGossip.js";

/** Parts of a node that messages are for. */
export interface PeerMessagesDependencies {
    readonly clusterState: Pick<ClusterState, "gossip" | "getLogPosition">;
    readonly suspects: Pick<SuspectExchange, "handleHello" | "handleMessage">;
    readonly crashFlood: Pick<CrashFlood, "receive">;
    readonly quotas: Pick<CustomerQuotas, "answer" | "receive">;
    readonly getLoad: () => LoadReport;
}

/** Handles the messages on links, but for those of runs. */
export class PeerMessages {
    constructor(private readonly dependencies: PeerMessagesDependencies) {}

    /** Handles the first message on a link, whichever node opened it. */
    handleHello(hello: HelloMessage, reply: Reply): void {
        this.dependencies.clusterState.gossip.handleHello(hello, reply);
        this.dependencies.suspects.handleHello(hello, reply);
    }

    /** Handles a message on a link that this node opened. */
    handleOnOwnLink(peer: string, message: LinkMessage, reply: Reply): void {
        if (message.kind === "grantUnits") {
            this.dependencies.quotas.receive(peer, message);
        }
        this.handleGossip(peer, message, reply);
    }

    /** Handles a message on a link that another node opened; its address is `undefined` before its first message. */
    handleOnAcceptedLink(peer: string | undefined, message: LinkMessage, reply: Reply): void {
        const { clusterState, crashFlood, quotas, getLoad } = this.dependencies;
        if (message.kind === "ping") {
            reply({ kind: "pong", ...clusterState.getLogPosition(), load: getLoad() });
        }
        if (message.kind === "crashes") {
            crashFlood.receive(message);
        }
        const units = message.kind === "askUnits" && peer !== undefined ? quotas.answer(peer, message) : undefined;
        if (units !== undefined) {
            reply(units);
        }
        this.handleGossip(peer, message, reply);
    }

    private handleGossip(peer: string | undefined, message: LinkMessage, reply: Reply): void {
        this.dependencies.clusterState.gossip.handleMessage(message, reply);
        this.dependencies.suspects.handleMessage(peer, message, reply);
    }
}
