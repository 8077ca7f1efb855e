/**
 * Decides which nodes an update of the configuration or of a rollout is forwarded to, by its origin. Nodes
 * forward updates within their own failure domain; relays forward them between domains. An update thus
 * also reaches a domain whose watching node has ended and where no other node has taken over yet.
 */

export type Origin =
  | 'store'
  /** Created by this node. */
  | 'self'
  /** Received from a node of the same failure domain. */
  | 'domain'
  /** Received from a node of another failure domain. */
  | 'remote';

export interface Scope {
  /** All other nodes of the same failure domain. */
  domain: boolean;
  /** Relays of the other failure domains; applies only if this node is a relay. */
  remoteRelays: boolean;
}

const SCOPES: Record<Origin, Scope> = {
  store: { domain: true, remoteRelays: true },
  self: { domain: true, remoteRelays: true },
  domain: { domain: false, remoteRelays: true },
  remote: { domain: true, remoteRelays: false },
};

export function scopeOf(origin: Origin): Scope {
  return SCOPES[origin];
}
