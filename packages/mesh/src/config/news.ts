/**
 * Where news of configurations and rollouts comes from, and to which nodes it is passed on. Each node
 * that watches the store tells its own failure domain and one node of each other. What comes from
 * another domain goes on to all of the own one, so that news arrives also while its watching node
 * has ended and no other has taken over yet.
 */

export type Origin =
  | 'store'
  /** Decided by this node. */
  | 'self'
  /** A node of the own failure domain. */
  | 'domain'
  /** A node of another failure domain. */
  | 'remote';

export type Audience = 'everyone' | 'domainAndOneOfEachOther' | 'domain' | 'nobody';

const AUDIENCES: Record<Origin, Audience> = {
  store: 'domainAndOneOfEachOther',
  self: 'everyone',
  remote: 'domain',
  domain: 'nobody',
};

export function audienceOf(origin: Origin): Audience {
  return AUDIENCES[origin];
}
