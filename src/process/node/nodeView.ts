/** View of a node for the admin pages and the gauges. */
import type { LogFollower } from "../../connection/logFollower.js";
import type { Member } from "../../version/member.js";
import type { Keys } from "../base/keys.js";
import type { LocalEndpoint } from "../endpoint/localEndpoint.js";
import type { Quarantine } from "../endpoint/quarantine.js";
import type { Admission } from "../load/admission.js";
import type { Directory } from "../membership/directory.js";
import type { Streams } from "../membership/streams.js";
import type { Claims } from "../ownership/claims.js";
import type { Ownership } from "../ownership/ownership.js";
import type { Metrics } from "../telemetry/metrics.js";

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
