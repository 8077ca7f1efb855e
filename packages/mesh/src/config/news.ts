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

export interface Audience {
  /** All other nodes of the same failure domain. */
  domain: boolean;
  /** Relays of the other failure domains; applies only if this node is a relay. */
  farRelays: boolean;
}

const SCOPES: Record<Origin, Audience> = {
  store: { domain: true, farRelays: true },
  self: { domain: true, farRelays: true },
  domain: { domain: false, farRelays: true },
  remote: { domain: true, farRelays: false },
};

export function audienceOf(origin: Origin): Audience {
  return SCOPES[origin];
}
