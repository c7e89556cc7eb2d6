/**
 * Priority of an action: its worth in the contract, with a tie-break value that depends only on the action's key.
 *
 * An action has the same priority at every hop. One that is above the threshold of a service is therefore likely to be
 * above that of the next, so the work spent on it upstream is not wasted. This follows DAGOR (SoCC 2018).
 */
import { hashText } from "../version/memberStream.js";

/** Number of tie-break values for each worth. */
const tieBreakCount = 128;

/**
 * Computes the priority of an action, from 0 to 12,927. Actions below a service's threshold are refused. The prefix of
 * the hashed text makes the tie-break value independent of the key's partition.
 */
export function computePriority(worth: number, key: string): number {
    return worth * tieBreakCount + hashText(`draw|${key}`) % tieBreakCount;
}
