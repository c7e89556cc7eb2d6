/**
 * What holders and grantors of units say to each other. Counts are totals of a session, so that a later message makes up
 * for a lost one. A holder begins a new session when an answer is missing; the units of the one before are then gone.
 */

/** What a holder says of one customer: name, and units of the session. */
export type AskedUnits = readonly [
    customer: string,
    /** Units that it no longer holds: spent or given back. */
    gone: number,
    /** Units that were given back, since no request ran for them. */
    returned: number,
    /** Units that it wants to hold. */
    wanted: number,
];

/** Answer on one customer. */
export type GrantedUnits = readonly [
    customer: string,
    /** Units that were granted in the session. */
    granted: number,
    /** Time until a further unit is expected, in milliseconds; negative if the grantor has none to give to anybody now. */
    waitMs: number,
];

/** Asks a grantor for units of customers of one group; without items, only supports it. */
export interface AskUnitsMessage {
    readonly kind: "askUnits";
    readonly group: number;
    /** Session of the holder: a number that no other session of this node has. */
    readonly session: number;
    /** Rises by one with each message of the session. */
    readonly number: number;
    /** Stamp of the grantor's last answer, "" if there was none. */
    readonly stamp: string;
    /** Whether the holder lends its part of the limits to this grantor, and to no other. */
    readonly isSupporting: boolean;
    /** Nodes that the holder knows, itself included; its part is one of them. */
    readonly nodes: number;
    readonly items: readonly AskedUnits[];
}

/** Answer to {@link AskUnitsMessage}. */
export interface GrantUnitsMessage {
    readonly kind: "grantUnits";
    readonly group: number;
    readonly session: number;
    /** Number of the message that is answered. */
    readonly number: number;
    /** Process and time of the grantor; only it reads this. */
    readonly stamp: string;
    readonly items: readonly GrantedUnits[];
}
