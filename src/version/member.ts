/** Identity and addresses of one node, as announced to its peers and on the shared log. */
import * as v from "valibot";
import { createIntegerSchema, shortTextSchema } from "./schema.js";

const portSchema = createIntegerSchema(1, 65_535);

/** Schema of a member. */
export const memberSchema = v.object({
    /** IP address that the node's listeners are bound to. */
    address: shortTextSchema,
    /** Port for requests from peers. */
    peerPort: portSchema,
    /** Port for control messages from peers. Together with the address it identifies the node's slot. */
    controlPort: portSchema,
    /** Port of the admin listener. */
    adminPort: portSchema,
    service: shortTextSchema,
    dataCentre: shortTextSchema,
    /** Start time of the process, in milliseconds since the epoch. Later processes in the slot have higher ones. */
    incarnation: v.pipe(v.number(), v.integer(), v.minValue(1)),
});

/** One node in one incarnation. Its local endpoint is one instance of its service. */
export type Member = v.InferOutput<typeof memberSchema>;

/**
 * Name of a node slot, `address:controlPort`. Successive processes of a node run in the same slot. Not related to the
 * concurrency slots of an endpoint.
 */
export type SlotName = string;

/** Formats the name of the slot that a member runs in. */
export function formatSlot(member: Pick<Member, "address" | "controlPort">): SlotName {
    return `${member.address}:${member.controlPort}`;
}

/** Whether two members are the same incarnation of the same slot. */
export function isSameMember(a: Member, b: Member): boolean {
    return a.incarnation === b.incarnation && formatSlot(a) === formatSlot(b);
}
