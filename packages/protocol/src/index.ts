/** Messages and gRPC services between nodes; generated from `proto/`, see `npm run generate`. */

export * as distribution from './generated/godwittrack/v1/distribution.js';
export * as records from './generated/godwittrack/v1/records.js';
export * as requests from './generated/godwittrack/v1/requests.js';
