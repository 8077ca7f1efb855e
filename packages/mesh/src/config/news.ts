/**
 * Where news of configurations and rollouts comes from, and to which nodes it is passed on. A node tells
 * its own failure domain; relays carry news between domains. So it arrives also in a domain whose
 * watching node has ended and where no other has taken over yet.
 */

export type Origin =
  | 'store'
  /** Decided by this node. */
  | 'self'
  /** A node of the own failure domain. */
  | 'domain'
  /** A node of another failure domain. */
  | 'remote';

export interface Audience {
  /** All nodes of the own failure domain. */
  domain: boolean;
  /** Relays of the other failure domains, if this node is a relay. */
  farRelays: boolean;
}

const AUDIENCES: Record<Origin, Audience> = {
  store: { domain: true, farRelays: true },
  self: { domain: true, farRelays: true },
  domain: { domain: false, farRelays: true },
  remote: { domain: true, farRelays: false },
};

export function audienceOf(origin: Origin): Audience {
  return AUDIENCES[origin];
}
