/** Moving averages. */

/** Moves an average towards a sample by a weight of 0 to 1; the first sample is the average. */
export function updateAverage(before: number, sample: number, weight: number): number {
    return before === 0 ? sample : before + (sample - before) * weight;
}
