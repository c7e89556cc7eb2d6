/** What endpoints answered to each send and what callers were told, and whether the two agree. */

/** First answer of an endpoint to one send; `undefined` fields are known once it has answered. */
export interface SendRecord {
    /** Differs for each send. */
    readonly signature: string;
    readonly attempt: string;
    readonly endpoint: string;
    readonly connection: number;
    /** Order in which the sends arrived, over all endpoints. */
    readonly order: number;
    status: number | undefined;
    body: string;
    /** Whether a second answer to this send has left. */
    isAnsweredTwice: boolean;
}

/** What a caller was told. */
export interface Told {
    readonly attempt: string;
    /** Address of the node that it asked. */
    readonly node: string;
    /** 0 if the connection ended without a whole answer. */
    readonly status: number;
    readonly signature: string | undefined;
    readonly body: string;
    readonly isHead: boolean;
    /** Unix time, in milliseconds. */
    readonly at: number;
}

/** Why a success is none of the endpoint's first answers. */
export type Reason =
    | "unsigned"
    | "unknownRun"
    | "otherAttempt"
    | "unanswered"
    | "rejected"
    | "failed"
    | "secondBody"
    | "body";

/** A success that its endpoint didn't answer. */
export interface Finding {
    readonly reason: Reason;
    readonly told: Told;
    readonly send: SendRecord | undefined;
    /** Whether the same endpoint was sent the attempt once more, and on which connection. */
    readonly next: "none" | "sameConnection" | "otherConnection";
    /** All sends of the attempt, in the order of their arrival. */
    readonly sends: readonly SendRecord[];
}

/** Sums of a play. */
export interface AnswerSums {
    readonly calls: number;
    readonly successes: number;
    readonly sends: number;
    readonly secondAnswers: number;
    /** Second answers to sends whose first answer was no success. */
    readonly secondAnswersToFailures: number;
    /** Attempts that reached one endpoint more than once. */
    readonly repeated: number;
    /** Successes that are right, while another send of the attempt was answered with no success. */
    readonly besideFailure: number;
    /** Those of them where the same endpoint answered the other send, after this one. */
    readonly beforeFailure: number;
}

/** Body of second answers that are answers of their own. */
export const secondBody = "ok";

/** All sends and answers of a play. */
export class AnswerRecords {
    private readonly sends = new Map<string, SendRecord>();
    private readonly sendsByAttempt = new Map<string, SendRecord[]>();
    private readonly told: Told[] = [];

    /** Adds a send that has arrived at an endpoint. */
    addSend(attempt: string, endpoint: string, connection: number): SendRecord {
        const order = this.sends.size + 1;
        const signature = `run-${order}`;
        const send = {
            signature,
            attempt,
            endpoint,
            connection,
            order,
            status: undefined,
            body: "",
            isAnsweredTwice: false,
        };
        this.sends.set(signature, send);
        this.sendsByAttempt.set(attempt, [...this.listSends(attempt), send]);
        return send;
    }

    /** Adds what a caller was told. */
    addTold(told: Told): void {
        this.told.push(told);
    }

    /** Successes that aren't what the endpoint answered first. */
    findFindings(): Finding[] {
        return this.told.filter(isSuccess).flatMap(told => {
            const send = this.sends.get(told.signature ?? "");
            const reason = judge(told, send);
            return reason === undefined
                ? []
                : [{ reason, told, send, next: this.findNext(send), sends: this.listSends(told.attempt) }];
        });
    }

    sum(): AnswerSums {
        const sends = [...this.sends.values()];
        const second = sends.filter(send => send.isAnsweredTwice);
        const successes = this.told.filter(isSuccess);
        const own = successes.map(({ signature }) => this.sends.get(signature ?? "")).filter(send =>
            send?.status === 200
        );
        const listFailures = (own: SendRecord): SendRecord[] =>
            this.listSends(own.attempt).filter(send => (send.status ?? 200) !== 200);
        return {
            calls: this.told.length,
            successes: successes.length,
            sends: sends.length,
            secondAnswers: second.length,
            secondAnswersToFailures: second.filter(send => send.status !== 200).length,
            repeated: [...this.sendsByAttempt.values()].filter(hasRepeat).length,
            besideFailure: own.filter(send => listFailures(send!).length > 0).length,
            beforeFailure:
                own.filter(send =>
                    listFailures(send!).some(({ endpoint, order }) =>
                        endpoint === send!.endpoint && order > send!.order
                    )
                ).length,
        };
    }

    private listSends(attempt: string): readonly SendRecord[] {
        return this.sendsByAttempt.get(attempt) ?? [];
    }

    private findNext(send: SendRecord | undefined): Finding["next"] {
        const next = this.listSends(send?.attempt ?? "").find(({ endpoint, order }) =>
            endpoint === send!.endpoint && order > send!.order
        );
        if (next === undefined) {
            return "none";
        }
        return next.connection === send!.connection ? "sameConnection" : "otherConnection";
    }
}

function isSuccess({ status }: Told): boolean {
    return status >= 200 && status < 300;
}

function hasRepeat(sends: readonly SendRecord[]): boolean {
    return new Set(sends.map(({ endpoint }) => endpoint)).size < sends.length;
}

function judge(told: Told, send: SendRecord | undefined): Reason | undefined {
    if (told.signature === undefined) {
        return "unsigned";
    }
    if (send === undefined) {
        return "unknownRun";
    }
    if (send.attempt !== told.attempt) {
        return "otherAttempt";
    }
    if (send.status === undefined) {
        return "unanswered";
    }
    if (send.status !== 200) {
        return send.status === 503 ? "rejected" : "failed";
    }
    if (told.isHead || told.body === send.body) {
        return undefined;
    }
    return told.body === secondBody ? "secondBody" : "body";
}
