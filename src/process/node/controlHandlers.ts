/** Handlers of the control calls that peers make to this node. */
import type { ControlHandlers, ControlReply, ControlRequest, StreamOffsets } from "../../connection/control.js";
import type { LogFollower } from "../../connection/logFollower.js";
import type { Prober } from "../../connection/prober.js";
import { findContract } from "../../version/contractStream.js";
import type { ShareCoordinator } from "../customers/shareCoordinator.js";
import { poolShare } from "../customers/shareCoordinator.js";
import type { Quarantine } from "../endpoint/quarantine.js";
import type { Directory } from "../membership/directory.js";
import type { Streams } from "../membership/streams.js";
import { streamKeys } from "../membership/streams.js";
import type { Ownership } from "../ownership/ownership.js";

/** Dependencies of {@link createControlHandlers}. */
export interface ControlDependencies {
    readonly streams: Streams;
    readonly directory: Directory;
    readonly follower: LogFollower;
    readonly prober: Prober;
    readonly ownership: Ownership;
    readonly quarantine: Quarantine;
    readonly shareCoordinator: ShareCoordinator;
}

/** Creates the handlers of all control calls. A handler that rejects makes the call fail at the peer. */
export function createControlHandlers(dependencies: ControlDependencies): ControlHandlers {
    const { directory, follower, prober, ownership, quarantine } = dependencies;
    return {
        probe: async request => prober.answerProbe(request),
        probeIndirectly: request => prober.answerIndirectProbe(request),
        pull: async request => answerPull(dependencies, request.offsets),
        notify: async request => {
            directory.mergeUpdate(request.from);
            follower.recordPeerOffsets(request.offsets);
            return {};
        },
        transfer: async request => {
            ownership.acceptTransfer(request);
            return {};
        },
        requestShare: async request => grantShare(dependencies, request),
        reportCrash: async request => {
            quarantine.recordCrash(request.fingerprint, request.incident);
            return {};
        },
    };
}

/** Answers with the state of each stream of which the peer has applied less, and with all known members. */
function answerPull({ streams, directory }: ControlDependencies, offsets: StreamOffsets): ControlReply<"pull"> {
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

/** Grants a node requests per second from one pool of a customer's allowance; `rank` is the index of the pool. */
function grantShare(
    { streams, shareCoordinator: shares }: ControlDependencies,
    request: ControlRequest<"requestShare">,
): ControlReply<"requestShare"> {
    const contracts = streams.contracts.get()?.state;
    const contract = contracts === undefined ? undefined : findContract(contracts, request.customer);
    const poolRequestsPerSecond = (contract?.allowance.requestsPerSecond ?? 0) * poolShare;
    const { customer, rank, slot, demand, held } = request;
    return { perSecond: shares.grant(customer, rank, poolRequestsPerSecond, slot, demand, held) };
}
