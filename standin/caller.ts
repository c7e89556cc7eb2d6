/** Stand-in of an outside caller: sends actions, follows the word on when to come back, and checks what it is told. */
import { createHash, randomUUID } from "node:crypto";
import { Agent, request } from "undici";
import { headerNames } from "../src/request/headers.js";

/** One send of an action. */
export interface Send {
    /** Base URL of a caller listener. */
    readonly url: string;
    readonly customer: string;
    readonly class: string;
    readonly key?: string;
    /** Number of this send; left out when `undefined`. */
    readonly attempt?: number | undefined;
    readonly path?: string;
    readonly body?: string;
    readonly deadlineMs?: number;
    readonly headers?: Readonly<Record<string, string>>;
}

/** What the caller was told. `outcome` is `lost` when there was no answer at all. */
export interface Told {
    readonly outcome: "completed" | "not-run" | "unknown" | "lost";
    readonly status: number;
    readonly reason: string;
    readonly retryAfterMs: number | undefined;
    readonly isReplayed: boolean;
    readonly body: string;
    readonly milliseconds: number;
}

const agent = new Agent({ connections: 512, pipelining: 1, keepAliveTimeout: 10_000 });

/** Sends an action once. Never rejects. */
export async function sendOnce(send: Send): Promise<Told> {
    const startedAt = performance.now();
    const read = (): number => performance.now() - startedAt;
    try {
        const reply = await request(send.url + (send.path ?? "/"), {
            method: "POST",
            dispatcher: agent,
            headers: {
                [headerNames.customer]: send.customer,
                [headerNames.class]: send.class,
                ...(send.key === undefined ? {} : { [headerNames.key]: send.key }),
                ...(send.attempt === undefined ? {} : { [headerNames.attempt]: String(send.attempt) }),
                ...(send.deadlineMs === undefined ? {} : { [headerNames.deadline]: String(send.deadlineMs) }),
                ...send.headers,
            },
            body: send.body ?? "{}",
            headersTimeout: 30_000,
        });
        const body = await reply.body.text();
        const retryAfter = reply.headers[headerNames.retryAfterMs];
        return {
            outcome: (reply.headers[headerNames.outcome] ?? "lost") as Told["outcome"],
            status: reply.statusCode,
            reason: String(reply.headers[headerNames.reason] ?? ""),
            retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter),
            isReplayed: reply.headers[headerNames.replayed] === "true",
            body,
            milliseconds: read(),
        };
    }
    catch {
        return {
            outcome: "lost",
            status: 0,
            reason: "",
            retryAfterMs: undefined,
            isReplayed: false,
            body: "",
            milliseconds: read(),
        };
    }
}

/** How a caller sends an action again. */
export interface Persistence {
    /** Most sends of the action. */
    readonly sends: number;
    /** Time between sends when the answer does not say; in milliseconds. */
    readonly pauseMs: number;
    /** Whether the caller ignores the word on when to come back. */
    readonly isHard?: boolean;
}

/** What became of an action: the last answer, and all of them in order. */
export interface ActionOutcome {
    readonly key: string;
    readonly told: Told;
    readonly history: readonly Told[];
}

/** Header by which the stand-ins carry the key of the root action along, for the record only. */
export const actionHeader = "x-action";

/** Sends an action until it completes, or the sends are used up. Each send goes to another of the URLs. */
export async function sendAction(
    urls: readonly string[],
    send: Omit<Send, "url">,
    persistence: Persistence,
): Promise<ActionOutcome> {
    const key = send.key ?? randomUUID();
    const headers = { ...send.headers, [actionHeader]: key };
    const history: Told[] = [];
    const first = Math.floor(Math.random() * urls.length);
    for (let attempt = 1;; attempt += 1) {
        const url = urls[(first + attempt) % urls.length]!;
        const told = await sendOnce({ ...send, key, attempt, url, headers });
        history.push(told);
        const isOver = told.outcome === "completed" || attempt >= persistence.sends || told.status === 400
            || told.status === 403;
        if (isOver) {
            return { key, told, history };
        }
        const waitMs = persistence.isHard === true ? persistence.pauseMs : told.retryAfterMs ?? persistence.pauseMs;
        await new Promise(resolve => setTimeout(resolve, waitMs * (0.75 + Math.random() / 2)));
    }
}

/** Hashes a body as the endpoint stand-in does in its answers. */
export function hashBody(body: string): string {
    return createHash("sha256").update(body).digest("hex");
}
