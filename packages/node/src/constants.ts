/** Time limits and sizes shared by several parts of the node. */

export const HEARTBEAT_INTERVAL_MS = 500;
/** A silent parent is abandoned after three missed heartbeats. */
export const PARENT_SILENCE_MS = 1_500;
/** A silent child loses its membership; twice the parent's limit, so that children move first. */
export const CHILD_SILENCE_MS = 3_000;
/** Members of a lost relay may attach elsewhere for this long before they are removed. */
export const ORPHAN_GRACE_MS = 5_000;
/** Removed members are remembered this long, so that a late message does not bring them back. */
export const REMOVAL_RETENTION_MS = 120_000;
/** Roster of a failure domain is written at most this often. */
export const ROSTER_INTERVAL_MS = 10_000;
/** An upstream renews its announcement within this time. */
export const UPSTREAM_LEASE_MS = 3_000;
/** Largest message between nodes; a whole configuration of 5,000 resources fits. */
export const MAX_PEER_MESSAGE_BYTES = 32 * 1024 * 1024;
/** Retry-After given with a refusal whose cause is expected to pass soon. */
export const SHORT_RETRY_AFTER_MS = 1_000;
/** Most hops of one call chain. */
export const MAX_HOPS = 8;
/** Requests of a server's first seconds say nothing about its version. */
export const COLD_START_MS = 5_000;
