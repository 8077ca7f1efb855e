/** Time limits and sizes shared by several modules of the node. */

export const HEARTBEAT_INTERVAL_MS = 500;
/** A node leaves a silent parent after three missed heartbeats. */
export const PARENT_SILENCE_MS = 1_500;
/**
 * A silent child is removed from the members. Twice `PARENT_SILENCE_MS`, so that children change to
 * another parent first.
 */
export const CHILD_SILENCE_MS = 3_000;
/** Children of a removed parent have this long to attach to another before they are removed too. */
export const ORPHAN_GRACE_MS = 5_000;
/** Removals are remembered this long, so that a late message does not restore the member. */
export const REMOVAL_RETENTION_MS = 120_000;
/** Interval of checks and writes of a failure domain's roster; up to 25 % shorter at random. */
export const ROSTER_INTERVAL_MS = 10_000;
/** An upstream has to renew its announcement within this time. */
export const UPSTREAM_LEASE_MS = 3_000;
/** Largest message between nodes; a full configuration of 5,000 resources fits. */
export const MAX_PEER_MESSAGE_BYTES = 32 * 1024 * 1024;
/** Retry-After for refusals whose cause is expected to be short-lived. */
export const SHORT_RETRY_AFTER_MS = 1_000;
/** Maximum number of hops in one call chain. */
export const MAX_HOPS = 8;
/** Requests in this time after a server's start are no evidence about its version. */
export const COLD_START_MS = 5_000;
