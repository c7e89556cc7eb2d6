/**
 * Priority of an action: its worth from the contract first, then a draw that depends on the action's key alone.
 *
 * Every hop of an action computes the same priority, so an action that passes the threshold of one service passes that of
 * the next, and work spent on it upstream is not wasted. The idea is that of DAGOR (SoCC 2018).
 */
import { hashText } from "../version/memberStream.js";

/** Draws for each worth. */
const drawCount = 128;

/** Computes the priority of an action, 0 to 12,927. */
export function computePriority(worth: number, key: string): number {
    return worth * drawCount + hashText(`draw|${key}`) % drawCount;
}
