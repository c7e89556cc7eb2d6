/** What a routed node's process may take of its machine, divided among what it holds for callers and other nodes. */
import { readDescriptorLimit } from "../base/descriptorLimit.js";
import type { RoutedSettings } from "./routedSettings.js";

/** Descriptors that are kept for files. */
const fileDescriptors = 200;
/** Least part of the descriptors that is used for sockets. */
const minSocketShare = 0.25;
/** Part of the sockets that callers may take. */
const callerSocketShare = 0.5;
/** Part of the sockets that links may take whose nodes have not said who they are. */
const unnamedLinkSocketShare = 0.25;
/** Part of the sockets that each other listener may take. */
const listenerSocketShare = 1 / 64;
/** Least number of connections of such a listener. */
const minListenerConnections = 8;
/** Part of the memory that requests may take apart from their bodies. */
const headShare = 0.16;
/** Least part of the memory that is for bodies. */
const minBodyShare = 0.2;
/** Memory of a process besides bodies, in bytes: program, heap, connections, and what isn't collected yet. */
const processBytes = 160_000_000;

/** Memory for all bodies that this process holds, in bytes: what its machine has beside the rest of the process. */
export function computeBodyBytes({ limits }: RoutedSettings): number {
    const bytes = limits.memoryMegabytes * 1_000_000;
    return Math.max(bytes - processBytes, bytes * minBodyShare);
}

/** Memory for the requests of callers that are read and not answered, apart from their bodies, in bytes. */
export function computeHeadBytes({ limits }: RoutedSettings): number {
    return limits.memoryMegabytes * 1_000_000 * headShare;
}

/** Connections that the listeners of this process may have open. */
export interface ConnectionLimits {
    /** Connections of callers. */
    readonly callers: number;
    /** Connections of other nodes that have not said who they are. */
    readonly unnamedLinks: number;
    /** Connections of each other listener. */
    readonly others: number;
}

/**
 * Divides the descriptors of this process. Callers may take half of what isn't kept for files; links, the connections to the endpoint
 * and those of the other listeners have the rest.
 */
export function computeConnectionLimits({ limits }: RoutedSettings): ConnectionLimits {
    const descriptors = limits.descriptors ?? readDescriptorLimit();
    const sockets = Math.max(descriptors - fileDescriptors, descriptors * minSocketShare);
    return {
        callers: Math.floor(sockets * callerSocketShare),
        unnamedLinks: Math.floor(sockets * unnamedLinkSocketShare),
        others: Math.max(minListenerConnections, Math.floor(sockets * listenerSocketShare)),
    };
}
