/** Random samples. */
import type { Random } from "../load/balancer.js";

/** Picks up to `count` different items at random. */
export function pickSome<T>(items: readonly T[], count: number, random: Random): T[] {
    const remaining = [...items];
    const picked: T[] = [];
    while (picked.length < count && remaining.length > 0) {
        picked.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
    }
    return picked;
}
