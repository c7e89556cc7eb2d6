/** Source of random numbers, and random samples. */

/** Source of random numbers in [0, 1). */
export type Random = () => number;

/** Picks up to `count` different items at random. */
export function pickSome<T>(items: readonly T[], count: number, random: Random): T[] {
    const remaining = [...items];
    const picked: T[] = [];
    while (picked.length < count && remaining.length > 0) {
        picked.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
    }
    return picked;
}
