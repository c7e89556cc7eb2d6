/** Random numbers that repeat for the same seed. */
export type Random = () => number;

/** Creates a linear congruential generator; good enough to draw faults, and the same on every machine. */
export function createRandom(seed: number): Random {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}
