/** What a node does on the control messages of its peers. */
import type { ControlHandlers, ControlReply, ControlRequest, StreamOffsets } from "../connection/control.js";
import type { Follower } from "../connection/follower.js";
import type { Prober } from "../connection/prober.js";
import { findContract } from "../version/contractStream.js";
import type { Directory } from "./directory.js";
import type { Ownership } from "./ownership.js";
import type { Quarantine } from "./quarantine.js";
import type { ShareCoordinator } from "./shareCoordinator.js";
import { poolShare } from "./shareCoordinator.js";
import type { Streams } from "./streams.js";
import { streamKeys } from "./streams.js";

/** What the handlers need from the rest of the node. */
export interface ControlParts {
    readonly streams: Streams;
    readonly directory: Directory;
    readonly follower: Follower;
    readonly prober: Prober;
    readonly ownership: Ownership;
    readonly quarantine: Quarantine;
    readonly shares: ShareCoordinator;
}

/** Creates the handlers of all control calls. */
export function createControlHandlers(parts: ControlParts): ControlHandlers {
    const { directory, follower, prober, ownership, quarantine } = parts;
    return {
        probe: async request => prober.answerProbe(request),
        probeIndirectly: request => prober.answerIndirectProbe(request),
        pull: async request => answerPull(parts, request.offsets),
        notify: async request => {
            directory.mergeUpdate(request.from);
            follower.noticeOffsets(request.offsets);
            return {};
        },
        transfer: async request => {
            ownership.acceptTransfer(request);
            return {};
        },
        requestShare: async request => grantShare(parts, request),
        reportCrash: async request => {
            quarantine.recordCrash(request.fingerprint, request.incident);
            return {};
        },
    };
}

/** Sends the streams that the peer knows less of, and all members. */
function answerPull({ streams, directory }: ControlParts, offsets: StreamOffsets): ControlReply<"pull"> {
    const reply: { -readonly [K in keyof ControlReply<"pull">]: ControlReply<"pull">[K]; } = {
        updates: directory.listAll(),
    };
    for (const key of streamKeys) {
        const current = streams[key].get();
        if (current !== undefined && current.through > offsets[key]) {
            reply[key] = current;
        }
    }
    return reply;
}

function grantShare(
    { streams, shares }: ControlParts,
    request: ControlRequest<"requestShare">,
): ControlReply<"requestShare"> {
    const contracts = streams.contracts.get()?.state;
    const contract = contracts === undefined ? undefined : findContract(contracts, request.customer);
    const pool = (contract?.allowance.requestsPerSecond ?? 0) * poolShare;
    const { customer, rank, slot, demand, held } = request;
    return { perSecond: shares.grant(customer, rank, pool, slot, demand, held) };
}
