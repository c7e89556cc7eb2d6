/**
 * Public API of the package: parses and publishes contracts, reads the shared log and its audit events, and defines the
 * header names and reasons of a node's HTTP interface.
 */
export type { LogError, LogPage, LogRecord, LogService } from "./connection/logService.js";
export { HttpLogService } from "./connection/logService.js";
export type { Clock } from "./process/base/clock.js";
export { SystemClock } from "./process/base/clock.js";
export type { Result } from "./process/base/result.js";
export type { Reason } from "./request/answer.js";
export { reasons } from "./request/answer.js";
export { headerNames } from "./request/headers.js";
export type { AuditEvent } from "./version/audit.js";
export { readAudit } from "./version/audit.js";
export type { Contract, ContractError, RequestClass } from "./version/contract.js";
export { formatContractError, parseContract } from "./version/contract.js";
export type { PublishResult } from "./version/publisher.js";
export { publishContract } from "./version/publisher.js";
