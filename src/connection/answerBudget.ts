/**
 * Bounds the memory for answers that are being read from the endpoint, over all connections: an endpoint may send bytes
 * without end on many of them at once. When the bound is exceeded, the largest answer is given up.
 */

/** Most bytes that answers in progress may take together. */
const maxBytes = 100_663_296;

/** An answer that is being read. */
export interface BudgetedAnswer {
    /** Ends the reading and frees what was read. */
    readonly endReading: () => void;
}

/** Memory that the answers in progress of one endpoint take. */
export class AnswerBudget {
    private readonly bytesByAnswer = new Map<BudgetedAnswer, number>();
    private total = 0;

    /** Adds a piece to an answer; gives up the largest answers, maybe this one, while all take too much. */
    add(answer: BudgetedAnswer, bytes: number): void {
        this.bytesByAnswer.set(answer, (this.bytesByAnswer.get(answer) ?? 0) + bytes);
        this.total += bytes;
        while (this.total > maxBytes) {
            const largest = this.findLargest();
            this.release(largest);
            largest.endReading();
        }
    }

    /** Frees what an answer took. */
    release(answer: BudgetedAnswer): void {
        this.total -= this.bytesByAnswer.get(answer) ?? 0;
        this.bytesByAnswer.delete(answer);
    }

    private findLargest(): BudgetedAnswer {
        return [...this.bytesByAnswer].reduce((a, b) => b[1] > a[1] ? b : a)[0];
    }
}
