/** Components of the idempotency records, exported for benchmarks without a complete node. */

export * as grpcRecordPeers from './grpcRecordPeers.js';
export * as keyGuard from './keyGuard.js';
export * as recordPeers from './recordPeers.js';
export * as recordsService from './recordsService.js';
export * as recordStore from './recordStore.js';
export * as recovery from './recovery.js';
