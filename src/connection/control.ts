/**
 * Control messages between nodes, over gRPC.
 *
 * The messages are encoded by msgpackr rather than protobuf: they carry the same shapes that go on the log, and the schemas
 * that check the log's records check them too, so no generated code is needed.
 */
import type { sendUnaryData, ServerUnaryCall, ServiceDefinition, UntypedServiceImplementation } from "@grpc/grpc-js";
import { Client, credentials, Metadata, Server, ServerCredentials, status } from "@grpc/grpc-js";
import { Packr } from "msgpackr";
import * as v from "valibot";
import type { SecretKey } from "../process/keys.js";
import type { Result } from "../process/result.js";
import { createFailure, createSuccess } from "../process/result.js";
import { memberSchema } from "../version/member.js";
import { partitionCount } from "../version/memberStream.js";
import { createIntegerSchema, shortTextSchema } from "../version/schema.js";

/** Most member updates on one message. */
export const maxUpdatesPerMessage = 12;
/** Most claims in one transfer message. */
export const maxTransferClaims = 500;
/** Largest control message, in bytes. */
const maxMessageBytes = 8_388_608;

const offsetsSchema = v.object({ contracts: v.number(), members: v.number(), quarantine: v.number() });

/** Offset through which each stream is folded; -1 where nothing is known. */
export type StreamOffsets = v.InferOutput<typeof offsetsSchema>;

const memberUpdateSchema = v.object({
    member: memberSchema,
    health: v.picklist(["alive", "suspect", "faulty", "leaving", "left"]),
    /** Counter by which a member refutes a suspicion about itself. */
    refutation: createIntegerSchema(0, 1_000_000_000),
    /** What the member was last known to have folded. */
    offsets: offsetsSchema,
});

/** News about one member, carried on probes. */
export type MemberUpdate = v.InferOutput<typeof memberUpdateSchema>;

const updatesSchema = v.pipe(v.array(memberUpdateSchema), v.maxLength(maxUpdatesPerMessage));
const probeSchema = v.object({ from: memberUpdateSchema, updates: updatesSchema });
const indirectProbeSchema = v.object({ from: memberUpdateSchema, target: memberSchema });
const probeReplySchema = v.object({ isAlive: v.boolean(), updates: updatesSchema });
const pullSchema = v.object({ offsets: offsetsSchema });
const streamStateSchema = v.object({ through: v.number(), state: v.unknown() });
const pullReplySchema = v.object({
    contracts: v.optional(streamStateSchema),
    members: v.optional(streamStateSchema),
    quarantine: v.optional(streamStateSchema),
    /** Everything the peer knows about members. */
    updates: v.pipe(v.array(memberUpdateSchema), v.maxLength(4096)),
});
const noticeSchema = v.object({ from: memberUpdateSchema, offsets: offsetsSchema });
const claimSchema = v.object({
    key: v.pipe(v.string(), v.maxLength(512)),
    fingerprint: shortTextSchema,
    isIdempotent: v.boolean(),
    state: v.picklist(["done", "unknown", "refused", "repeatable"]),
    /** Highest attempt number that was refused. */
    refusedThrough: v.number(),
    /** Highest attempt number that was seen. */
    seenThrough: v.number(),
    budgetLeft: v.number(),
    expiresInMs: v.number(),
    answer: v.optional(v.object({ status: v.number(), headers: v.array(v.string()), body: v.instance(Uint8Array) })),
});

/** What an owner remembers of one action, as it is handed over. */
export type ClaimTransfer = v.InferOutput<typeof claimSchema>;

const transferSchema = v.object({
    from: memberSchema,
    to: memberSchema,
    partitions: v.pipe(v.array(createIntegerSchema(0, partitionCount - 1)), v.maxLength(partitionCount)),
    claims: v.pipe(v.array(claimSchema), v.maxLength(maxTransferClaims)),
    /** Whether this message completes the tables of the partitions. */
    isLast: v.boolean(),
    /** Whether the claims are results of runs that were in progress when the partitions were handed over. */
    isLateResult: v.boolean(),
});
const crashSchema = v.object({
    from: memberSchema,
    fingerprint: shortTextSchema,
    /** Names the crash, so that a repeated report counts once. */
    incident: shortTextSchema,
});
const shareRequestSchema = v.object({
    slot: shortTextSchema,
    customer: shortTextSchema,
    /** Rank of the pool among those of the customer's allowance. */
    rank: createIntegerSchema(0, 16),
    /** Requests a second that the node wants from this pool. */
    demand: v.pipe(v.number(), v.minValue(0)),
    /** Requests a second that the node holds a lease for from this pool. */
    held: v.pipe(v.number(), v.minValue(0)),
});
const shareReplySchema = v.object({ perSecond: v.pipe(v.number(), v.minValue(0)) });
const emptySchema = v.object({});

/** Names, requests and replies of the control calls. */
const methods = {
    probe: { request: probeSchema, reply: probeReplySchema },
    probeIndirectly: { request: indirectProbeSchema, reply: probeReplySchema },
    pull: { request: pullSchema, reply: pullReplySchema },
    notify: { request: noticeSchema, reply: emptySchema },
    transfer: { request: transferSchema, reply: emptySchema },
    requestShare: { request: shareRequestSchema, reply: shareReplySchema },
    reportCrash: { request: crashSchema, reply: emptySchema },
} as const;

/** Names of all control calls. */
export const controlMethods = Object.keys(methods) as ControlMethod[];
/** Name of a control call. */
export type ControlMethod = keyof typeof methods;
/** Request of a control call. */
export type ControlRequest<M extends ControlMethod> = v.InferOutput<(typeof methods)[M]["request"]>;
/** Reply of a control call. */
export type ControlReply<M extends ControlMethod> = v.InferOutput<(typeof methods)[M]["reply"]>;
/** What a node does on each control call. */
export type ControlHandlers = {
    readonly [M in ControlMethod]: (request: ControlRequest<M>) => Promise<ControlReply<M>>;
};

/** Failure of a control call. */
export type ControlError =
    | { readonly kind: "unreachable"; readonly message: string; }
    | { readonly kind: "malformed"; readonly method: ControlMethod; };

/** Metadata field that carries the peers' key. */
const keyField = "authorization";

const codec = new Packr({ useRecords: false });

function createDefinition(): ServiceDefinition {
    const definition: Record<string, ServiceDefinition[string]> = {};
    for (const method of controlMethods) {
        definition[method] = {
            path: `/turmericspoke.Control/${method}`,
            requestStream: false,
            responseStream: false,
            requestSerialize: encodeMessage,
            requestDeserialize: (bytes: Buffer) => bytes,
            responseSerialize: encodeMessage,
            responseDeserialize: decodeMessage,
        };
    }
    return definition;
}

function encodeMessage(message: unknown): Buffer {
    return codec.pack(message);
}

/** A message that can't be decoded is passed on as `undefined`, which no schema accepts. */
function decodeMessage(bytes: Buffer): unknown {
    try {
        return codec.unpack(bytes);
    }
    catch {
        return undefined;
    }
}

/** Decodes and checks a request of a peer; `undefined` when it is malformed. */
export function decodeControlRequest<M extends ControlMethod>(method: M, bytes: Buffer): ControlRequest<M> | undefined {
    const parsed = v.safeParse(methods[method].request, decodeMessage(bytes));
    return parsed.success ? parsed.output as ControlRequest<M> : undefined;
}

/** Listener for the control calls of peers. */
export class ControlServer {
    private readonly server = new Server({ "grpc.max_receive_message_length": maxMessageBytes });

    /** With a key, calls without it are refused. */
    constructor(handlers: ControlHandlers, key: SecretKey | undefined) {
        const implementation: UntypedServiceImplementation = {};
        for (const method of controlMethods) {
            implementation[method] = createHandler(method, handlers, key);
        }
        this.server.addService(createDefinition(), implementation);
    }

    /** Binds the listener. */
    start(address: string, port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.bindAsync(`${address}:${port}`, ServerCredentials.createInsecure(), error => {
                if (error === null) {
                    resolve();
                }
                else {
                    reject(error);
                }
            });
        });
    }

    /** Closes the listener at once. */
    stop(): void {
        this.server.forceShutdown();
    }
}

function createHandler<M extends ControlMethod>(method: M, handlers: ControlHandlers, key: SecretKey | undefined) {
    return (call: ServerUnaryCall<Buffer, unknown>, respond: sendUnaryData<unknown>): void => {
        const isAllowed = key?.isValidBearer(String(call.metadata.get(keyField)[0])) ?? true;
        if (!isAllowed) {
            respond({ code: status.UNAUTHENTICATED, details: "the call needs the peers' key" });
            return;
        }
        const request = decodeControlRequest(method, call.request);
        if (request === undefined) {
            respond({ code: status.INVALID_ARGUMENT, details: `malformed ${method}` });
            return;
        }
        handlers[method](request).then(
            reply => respond(null, reply),
            (error: unknown) => respond({ code: status.INTERNAL, details: String(error) }),
        );
    };
}

/** Makes control calls to peers. */
export interface ControlCaller {
    /** Calls a peer. Never rejects. */
    call<M extends ControlMethod>(
        slot: string,
        method: M,
        request: ControlRequest<M>,
        timeoutMs: number,
    ): Promise<Result<ControlReply<M>, ControlError>>;
}

/** Connections for control calls to peers; idle ones are closed. */
export class ControlClient implements ControlCaller {
    private readonly clients = new Map<string, Client>();
    private readonly metadata = new Metadata();

    constructor(key: SecretKey | undefined) {
        if (key !== undefined) {
            this.metadata.set(keyField, key.formatBearer());
        }
    }

    call<M extends ControlMethod>(
        slot: string,
        method: M,
        request: ControlRequest<M>,
        timeoutMs: number,
    ): Promise<Result<ControlReply<M>, ControlError>> {
        return new Promise(resolve => {
            this.getClient(slot).makeUnaryRequest(
                `/turmericspoke.Control/${method}`,
                encodeMessage,
                decodeMessage,
                request,
                this.metadata,
                { deadline: new Date(Date.now() + timeoutMs) },
                (error, reply) => {
                    if (error !== null) {
                        resolve(createFailure({ kind: "unreachable", message: error.message }));
                        return;
                    }
                    const parsed = v.safeParse(methods[method].reply, reply);
                    resolve(
                        parsed.success
                            ? createSuccess(parsed.output as ControlReply<M>)
                            : createFailure({ kind: "malformed", method }),
                    );
                },
            );
        });
    }

    /** Closes the connection to a slot. */
    forget(slot: string): void {
        this.clients.get(slot)?.close();
        this.clients.delete(slot);
    }

    /** Closes all connections. */
    stop(): void {
        for (const slot of [...this.clients.keys()]) {
            this.forget(slot);
        }
    }

    private getClient(slot: string): Client {
        const known = this.clients.get(slot);
        if (known !== undefined) {
            return known;
        }
        const client = new Client(slot, credentials.createInsecure(), {
            "grpc.max_receive_message_length": maxMessageBytes,
            "grpc.client_idle_timeout_ms": 30_000,
            "grpc.initial_reconnect_backoff_ms": 100,
            "grpc.max_reconnect_backoff_ms": 1000,
            "grpc.use_local_subchannel_pool": 1,
            "grpc.service_config_disable_resolution": 1,
            "grpc.enable_http_proxy": 0,
        });
        this.clients.set(slot, client);
        return client;
    }
}
