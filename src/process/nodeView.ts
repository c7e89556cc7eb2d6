/** View of a node for the admin pages and the gauges. */
import type { LogFollower } from "../connection/logFollower.js";
import type { Member } from "../version/member.js";
import type { Admission } from "./admission.js";
import type { Claims } from "./claims.js";
import type { Directory } from "./directory.js";
import type { Keys } from "./keys.js";
import type { LocalEndpoint } from "./localEndpoint.js";
import type { Metrics } from "./metrics.js";
import type { Ownership } from "./ownership.js";
import type { Quarantine } from "./quarantine.js";
import type { Streams } from "./streams.js";

/** Components of a node that the admin pages and the gauges read, and whether it is ready and announced. */
export interface NodeView {
    readonly self: Member;
    readonly keys: Keys;
    readonly streams: Streams;
    readonly directory: Directory;
    readonly localEndpoint: LocalEndpoint;
    readonly admission: Admission;
    readonly claims: Claims;
    readonly ownership: Ownership;
    readonly quarantine: Quarantine;
    readonly metrics: Metrics;
    readonly follower: LogFollower;
    /** Why the node is not ready for requests; `undefined` when it is. */
    findNotReadyCause(): string | undefined;
    /** Whether the node is announced on the shared log in this incarnation. */
    isAnnounced(): boolean;
}
