/**
 * Control calls between nodes, over gRPC.
 *
 * Messages are encoded with MessagePack rather than protobuf. They contain the same objects as the records of the
 * shared log, so the schemas that validate the records validate the messages as well, and no generated code is needed.
 */
import type { sendUnaryData, ServerUnaryCall, ServiceDefinition, UntypedServiceImplementation } from "@grpc/grpc-js";
import { Client, credentials, Metadata, Server, ServerCredentials, status } from "@grpc/grpc-js";
import { Packr } from "msgpackr";
import * as v from "valibot";
import type { SecretKey } from "../process/base/keys.js";
import type { Result } from "../process/base/result.js";
import { createFailure, createSuccess } from "../process/base/result.js";
import { memberSchema } from "../version/member.js";
import { partitionCount } from "../version/memberStream.js";
import { createIntegerSchema, shortTextSchema } from "../version/schema.js";

/** Maximum number of member updates in one message. */
export const maxUpdatesPerMessage = 12;
/** Maximum number of claims in one transfer message. */
export const maxTransferClaims = 500;
/** Maximum size of a control message, in bytes. */
const maxMessageBytes = 8_388_608;

const offsetsSchema = v.object({ contracts: v.number(), members: v.number(), quarantine: v.number() });

/** Offset of the last record applied from each log stream; -1 if the state of the stream is unknown. */
export type StreamOffsets = v.InferOutput<typeof offsetsSchema>;

const memberUpdateSchema = v.object({
    member: memberSchema,
    health: v.picklist(["alive", "suspect", "faulty", "leaving", "left"]),
    /** Counter that a member increments to refute a suspicion about itself. */
    refutation: createIntegerSchema(0, 1_000_000_000),
    /** Offsets that the member was last known to have applied. */
    offsets: offsetsSchema,
});

/** Health and log offsets of one member, as spread with probes. */
export type MemberUpdate = v.InferOutput<typeof memberUpdateSchema>;

const updatesSchema = v.pipe(v.array(memberUpdateSchema), v.maxLength(maxUpdatesPerMessage));
const probeSchema = v.object({ from: memberUpdateSchema, updates: updatesSchema });
const indirectProbeSchema = v.object({ from: memberUpdateSchema, target: memberSchema });
const probeReplySchema = v.object({ isAlive: v.boolean(), updates: updatesSchema });
const pullSchema = v.object({ offsets: offsetsSchema });
/** State of a log stream; `through` is the offset of the last record that it includes. */
const streamStateSchema = v.object({ through: v.number(), state: v.unknown() });
const pullReplySchema = v.object({
    contracts: v.optional(streamStateSchema),
    members: v.optional(streamStateSchema),
    quarantine: v.optional(streamStateSchema),
    /** All member updates that the peer has. */
    updates: v.pipe(v.array(memberUpdateSchema), v.maxLength(4096)),
});
/** Tells a peer which records of the log the sender has applied. */
const noticeSchema = v.object({ from: memberUpdateSchema, offsets: offsetsSchema });
const claimSchema = v.object({
    key: v.pipe(v.string(), v.maxLength(512)),
    /** Hash of the request; equal requests have equal fingerprints. */
    fingerprint: shortTextSchema,
    isIdempotent: v.boolean(),
    /**
     * `repeatable` if the action is idempotent and has run or may have run; `refused` if it was never run; otherwise
     * `done` if it has run, and `unknown` if it may have run or if its answer could not be kept.
     */
    state: v.picklist(["done", "unknown", "refused", "repeatable"]),
    /** Highest attempt number that was refused. */
    refusedThrough: v.number(),
    /** Highest attempt number that was received. */
    seenThrough: v.number(),
    /** Number of repeated runs that resends of the action may still cause. */
    budgetLeft: v.number(),
    /** Time left until the end of the resend window, in milliseconds. */
    expiresInMs: v.number(),
    answer: v.optional(v.object({ status: v.number(), headers: v.array(v.string()), body: v.instance(Uint8Array) })),
});

/** Claim of one action (what the owner of its partition has recorded of it), as transferred to the new owner. */
export type ClaimTransfer = v.InferOutput<typeof claimSchema>;

const transferSchema = v.object({
    from: memberSchema,
    to: memberSchema,
    partitions: v.pipe(v.array(createIntegerSchema(0, partitionCount - 1)), v.maxLength(partitionCount)),
    claims: v.pipe(v.array(claimSchema), v.maxLength(maxTransferClaims)),
    /** Whether this is the last message of the transfer of these partitions. */
    isLast: v.boolean(),
    /** Whether the claims are results of runs that were in progress when the partitions were transferred. */
    isLateResult: v.boolean(),
});
const crashSchema = v.object({
    from: memberSchema,
    /** Fingerprint of a request that was running when the endpoint crashed. */
    fingerprint: shortTextSchema,
    /** Identifier of the crash, by which repeated reports are counted once. */
    incident: shortTextSchema,
});
const shareRequestSchema = v.object({
    /** Node slot (address and control port) of the requesting node. */
    slot: shortTextSchema,
    customer: shortTextSchema,
    /** Index of the pool; each customer's rate limit is divided into several pools of equal size. */
    rank: createIntegerSchema(0, 16),
    /** Requests per second that the node wants from this pool. */
    demand: v.pipe(v.number(), v.minValue(0)),
    /** Requests per second that the node currently leases from this pool. */
    held: v.pipe(v.number(), v.minValue(0)),
});
/** Requests per second that the node is granted as a lease. */
const shareReplySchema = v.object({ perSecond: v.pipe(v.number(), v.minValue(0)) });
const emptyReplySchema = v.object({});

/** Request and reply schema of each control call. */
const methods = {
    probe: { request: probeSchema, reply: probeReplySchema },
    probeIndirectly: { request: indirectProbeSchema, reply: probeReplySchema },
    pull: { request: pullSchema, reply: pullReplySchema },
    notify: { request: noticeSchema, reply: emptyReplySchema },
    transfer: { request: transferSchema, reply: emptyReplySchema },
    requestShare: { request: shareRequestSchema, reply: shareReplySchema },
    reportCrash: { request: crashSchema, reply: emptyReplySchema },
} as const;

/** Names of all control calls, in the order of their definition. */
export const controlMethods = Object.keys(methods) as ControlMethod[];
/** Name of a control call; part of its gRPC path. */
export type ControlMethod = keyof typeof methods;
/** Type of the request of a control call. */
export type ControlRequest<M extends ControlMethod> = v.InferOutput<(typeof methods)[M]["request"]>;
/** Type of the reply to a control call. */
export type ControlReply<M extends ControlMethod> = v.InferOutput<(typeof methods)[M]["reply"]>;
/** Handlers of the control calls. A rejected promise is returned to the caller as a gRPC INTERNAL error. */
export type ControlHandlers = {
    readonly [M in ControlMethod]: (request: ControlRequest<M>) => Promise<ControlReply<M>>;
};

/**
 * Failure of a control call: `unreachable` for any gRPC error, including a timeout and an error of the handler;
 * `malformed` for a reply that doesn't match its schema.
 */
export type ControlError =
    | { readonly kind: "unreachable"; readonly message: string; }
    | { readonly kind: "malformed"; readonly method: ControlMethod; };

/** Metadata field that carries the shared key of the nodes. */
const keyMetadataField = "authorization";

const codec = new Packr({ useRecords: false });

function createServiceDefinition(): ServiceDefinition {
    const definition: Record<string, ServiceDefinition[string]> = {};
    for (const method of controlMethods) {
        definition[method] = {
            path: `/turmericspoke.Control/${method}`,
            requestStream: false,
            responseStream: false,
            requestSerialize: encodeControlMessage,
            requestDeserialize: (bytes: Buffer) => bytes,
            responseSerialize: encodeControlMessage,
            responseDeserialize: decodeControlMessage,
        };
    }
    return definition;
}

function encodeControlMessage(message: unknown): Buffer {
    return codec.pack(message);
}

/** Decodes a message; returns `undefined`, which no schema accepts, if the bytes are not valid MessagePack. */
function decodeControlMessage(bytes: Buffer): unknown {
    try {
        return codec.unpack(bytes);
    }
    catch {
        return undefined;
    }
}

/** Decodes and validates a request of a peer; returns `undefined` if it is malformed. */
export function decodeControlRequest<M extends ControlMethod>(method: M, bytes: Buffer): ControlRequest<M> | undefined {
    const parsed = v.safeParse(methods[method].request, decodeControlMessage(bytes));
    return parsed.success ? parsed.output as ControlRequest<M> : undefined;
}

/** gRPC server for the control calls of peers. */
export class ControlServer {
    private readonly server = new Server({ "grpc.max_receive_message_length": maxMessageBytes });

    /** If `key` is given, calls that don't carry it are refused as UNAUTHENTICATED. */
    constructor(handlers: ControlHandlers, key: SecretKey | undefined) {
        const implementation: UntypedServiceImplementation = {};
        for (const method of controlMethods) {
            implementation[method] = createHandler(method, handlers, key);
        }
        this.server.addService(createServiceDefinition(), implementation);
    }

    /** Binds the server to an address; rejects if that fails. */
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

    /** Stops the server at once and aborts calls in progress. */
    stop(): void {
        this.server.forceShutdown();
    }
}

function createHandler<M extends ControlMethod>(method: M, handlers: ControlHandlers, key: SecretKey | undefined) {
    return (call: ServerUnaryCall<Buffer, unknown>, respond: sendUnaryData<unknown>): void => {
        const isAuthenticated = key?.isValidBearer(String(call.metadata.get(keyMetadataField)[0])) ?? true;
        if (!isAuthenticated) {
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
    /** Calls the node at a node slot (address and control port), with a timeout in milliseconds. Never rejects. */
    call<M extends ControlMethod>(
        slot: string,
        method: M,
        request: ControlRequest<M>,
        timeoutMs: number,
    ): Promise<Result<ControlReply<M>, ControlError>>;
}

/**
 * gRPC client for control calls, with one connection per peer. A connection is closed after 30 seconds without a call.
 */
export class ControlClient implements ControlCaller {
    private readonly clients = new Map<string, Client>();
    private readonly metadata = new Metadata();

    constructor(key: SecretKey | undefined) {
        if (key !== undefined) {
            this.metadata.set(keyMetadataField, key.formatBearer());
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
                encodeControlMessage,
                decodeControlMessage,
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

    /** Closes the connection to a peer; a later call opens a new one. */
    closeConnection(slot: string): void {
        this.clients.get(slot)?.close();
        this.clients.delete(slot);
    }

    /** Closes all connections. */
    stop(): void {
        for (const slot of [...this.clients.keys()]) {
            this.closeConnection(slot);
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
