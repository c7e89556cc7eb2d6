/** Exponentially weighted moving averages. */

/**
 * Moves an average towards a sample by a weight of 0 to 1. An average of 0 has no samples yet: the first sample becomes
 * the average.
 */
export function updateAverage(average: number, sample: number, weight: number): number {
    return average === 0 ? sample : average + (sample - average) * weight;
}
