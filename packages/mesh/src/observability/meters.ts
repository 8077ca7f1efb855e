/** Names and help texts of a node's metrics. */

import { metrics } from '@godwittrack/core';

export const REQUESTS = 'godwittrack_requests_total';
export const REQUEST_SECONDS = 'godwittrack_request_seconds';
export const REFUSALS = 'godwittrack_refusals_total';
export const UNKNOWN_KEYS = 'godwittrack_unknown_keys_total';
export const EVACUATED_DOMAINS = 'godwittrack_evacuated_domains';
export const EVACUATED = 'godwittrack_evacuated';
export const PLACEMENT_REFUSALS = 'godwittrack_placement_refusals_total';
export const OFFERS = 'godwittrack_offers_total';
export const CROWDED_OFFERS = 'godwittrack_crowded_offers_total';
export const RETURNING_REQUESTS = 'godwittrack_returning_requests_total';
export const LEFT_AGE_SECONDS = 'godwittrack_left_age_seconds';
export const LEFT_WORK_SECONDS = 'godwittrack_left_work_seconds';
export const INTERRUPTED_ANSWERS = 'godwittrack_interrupted_answers_total';
export const CANCELS = 'godwittrack_cancels_total';
export const UPSTREAM_REQUESTS = 'godwittrack_upstream_requests_total';
export const UPSTREAM_SECONDS = 'godwittrack_upstream_seconds';
export const WAIT_SECONDS = 'godwittrack_wait_seconds';
export const STORE_CALLS = 'godwittrack_store_calls_total';
export const ROLLOUT_PHASES = 'godwittrack_rollout_phases_total';
export const ROLLOUT_OFFERS = 'godwittrack_rollout_offers_total';
export const LOG_LINES_DROPPED = 'godwittrack_log_lines_dropped_total';
export const CONFIG_VERSION = 'godwittrack_config_version';
export const CONFIG_ADVERTISED_VERSION = 'godwittrack_config_advertised_version';
export const CONFIG_REQUESTS = 'godwittrack_config_requests_total';
export const CONFIG_UNREADABLE = 'godwittrack_config_unreadable_total';
export const CONFIG_WARNINGS = 'godwittrack_config_warnings_total';
export const MEMBERS = 'godwittrack_members';
export const MEMBERS_REACHED = 'godwittrack_members_reached';
export const LINKS_OPEN = 'godwittrack_links_open';
export const LINKS_LOST = 'godwittrack_links_lost_total';
export const UPLINK_QUEUED_BYTES = 'godwittrack_uplink_queued_bytes';
export const UPLINK_OUTSTANDING_BYTES = 'godwittrack_uplink_outstanding_bytes';
export const UPLINK_STALLED_LINKS = 'godwittrack_uplink_stalled_links';
export const EVENT_LOOP_LAG_SECONDS = 'godwittrack_event_loop_lag_seconds';
export const STORE_WATCHED = 'godwittrack_store_watched';
export const STORE_ERA = 'godwittrack_store_era';
export const UPSTREAM_LIMIT = 'godwittrack_upstream_limit';
export const UPSTREAM_COLD_LIMIT = 'godwittrack_upstream_cold_limit';
export const COLD_UNKNOWN = 'godwittrack_cold_unknown_total';
export const HEALTH_CHECKS = 'godwittrack_health_checks_total';
export const UPSTREAM_STALLS = 'godwittrack_upstream_stalls_total';
export const UPSTREAM_STALLED = 'godwittrack_upstream_stalled';
export const UPSTREAM_ENDS = 'godwittrack_upstream_ends_total';
export const SUSPECT_REQUESTS = 'godwittrack_suspect_requests';
export const BLOCKED_REQUESTS = 'godwittrack_blocked_requests';
export const UPSTREAM_LOAD = 'godwittrack_upstream_load';
export const UPSTREAM_SHARES = 'godwittrack_upstream_shares';
export const SHARE_REFUSALS = 'godwittrack_share_refusals_total';
export const LIMITED_CALLS = 'godwittrack_limited_calls';
export const DISPLACED_REQUESTS = 'godwittrack_displaced_requests_total';
export const QUOTA_DECISIONS = 'godwittrack_quota_decisions_total';
export const QUOTA_REFUSALS = 'godwittrack_quota_refusals_total';
export const QUOTA_WAIT_SECONDS = 'godwittrack_quota_wait_seconds';
export const QUOTA_FRAMES = 'godwittrack_quota_frames_total';
export const QUOTA_EVENTS = 'godwittrack_quota_events_total';
export const QUOTA_OWNED = 'godwittrack_quota_owned';

const HELP: Record<string, string> = {
  [REQUESTS]: 'Requests of callers on this host, by route and by how they ended.',
  [REQUEST_SECONDS]: 'Time from a request of a caller on this host to its answer, by route.',
  [REFUSALS]: 'Requests of callers on this host that were refused without being run, by reason.',
  [UNKNOWN_KEYS]: 'Requests of callers on this host without a valid key, by route.',
  [EVACUATED_DOMAINS]: 'Evacuated failure domains that this node knows of.',
  [EVACUATED]: 'Whether the failure domain of this node is evacuated: 1 or 0.',
  [PLACEMENT_REFUSALS]:
    'Requests that this node refused for the place of the upstream on this host, by reason.',
  [OFFERS]: 'Requests offered to an upstream, by distance and by outcome.',
  [CROWDED_OFFERS]:
    'Offers to an upstream that refused for lack of slots or let the request wait, by whether another one was known to have room.',
  [RETURNING_REQUESTS]:
    'Requests that were taken as repeated by their caller after a refusal, by route.',
  [LEFT_AGE_SECONDS]:
    'Age of requests when their caller closed its connection, by place on the connection.',
  [LEFT_WORK_SECONDS]:
    'Time for which requests were under way after their caller had left, by place on the connection.',
  [INTERRUPTED_ANSWERS]:
    'Requests whose connection ended before their answer was complete, by who closed it.',
  [CANCELS]: 'Requests at the upstream on this host that were cancelled, by how far they had come.',
  [UPSTREAM_REQUESTS]: 'Requests for the upstream on this host, by outcome.',
  [UPSTREAM_SECONDS]: 'Time of requests at the upstream on this host, by route.',
  [WAIT_SECONDS]: 'Time that requests waited here for the upstream on this host, by route.',
  [STORE_CALLS]: "Calls to the platform's store, by purpose and by status.",
  [ROLLOUT_PHASES]: 'Phases of rollouts that came into force here.',
  [ROLLOUT_OFFERS]:
    'Requests of callers on this host offered to a service that has a rollout, by version and by what was chosen.',
  [LOG_LINES_DROPPED]: 'Log lines that were left out to bound the volume, by component.',
  [CONFIG_VERSION]: 'Version of the configuration in force; 0 while there is none.',
  [CONFIG_ADVERTISED_VERSION]:
    'Newest version of the configuration that another node has advertised; 0 while there is none.',
  [CONFIG_REQUESTS]:
    'Requests to other nodes for a newer configuration, by origin of the advertised version.',
  [CONFIG_UNREADABLE]: 'Configurations in the store that could not be read and were not taken.',
  [CONFIG_WARNINGS]:
    'Fields of configurations that were ignored or replaced by a default, each counted once.',
  [MEMBERS]: 'Nodes that are known, this one included.',
  [MEMBERS_REACHED]: 'Nodes that are not known to be out of reach, this one included.',
  [LINKS_OPEN]: 'Links to other nodes that are open, kept ones and those for requests.',
  [LINKS_LOST]: 'Links to other nodes that were lost or could not be opened, by reason.',
  [UPLINK_QUEUED_BYTES]: 'Bytes of large frames that wait for the uplink of this host.',
  [UPLINK_OUTSTANDING_BYTES]:
    'Bytes of large frames that were sent and that other nodes have not acknowledged.',
  [UPLINK_STALLED_LINKS]: 'Connections to other nodes that do not acknowledge large frames.',
  [EVENT_LOOP_LAG_SECONDS]:
    'Highest delay of the periodic timer over its due time in the last one to two seconds.',
  [STORE_WATCHED]: 'Whether this node watches the store and is answered: 1 or 0.',
  [STORE_ERA]:
    'Newest era of the store that is known; it rises when the store is restored from a copy.',
  [UPSTREAM_LIMIT]:
    'Requests per second that the upstream on this host takes by its own statement; 0 without a limit.',
  [UPSTREAM_COLD_LIMIT]:
    'Requests per second that the upstream on this host gets while it is cold; 0 without that limit.',
  [COLD_UNKNOWN]:
    'Times that it became unknown whether the upstream on this host is cold, by reason.',
  [HEALTH_CHECKS]: 'Health checks of a cold upstream on this host, by outcome.',
  [UPSTREAM_STALLS]: 'Times that the upstream on this host stopped responding.',
  [UPSTREAM_STALLED]: 'Whether the upstream on this host does not respond at present: 1 or 0.',
  [UPSTREAM_ENDS]: 'Ends of the upstream on this host while it ran requests.',
  [SUSPECT_REQUESTS]:
    'Different requests during which an upstream has ended and that no upstream has answered since.',
  [BLOCKED_REQUESTS]: 'Different requests that are sent to no upstream at present.',
  [UPSTREAM_LOAD]: 'Requests running or waiting at the upstream on this host.',
  [UPSTREAM_SHARES]:
    'Customers and priorities on whose recent use of the upstream on this host the order of waiting requests depends.',
  [SHARE_REFUSALS]:
    'Requests that the node of the upstream on this host refused for the own share of their customer, by customer.',
  [LIMITED_CALLS]:
    'Routes whose calls from this host are refused, so that the requests that make them are limited.',
  [DISPLACED_REQUESTS]:
    'Waiting requests for the upstream on this host that were refused for another one, by reason.',
  [QUOTA_DECISIONS]:
    'Requests of customers with a quota, by how they were admitted or why they were refused.',
  [QUOTA_REFUSALS]: 'Requests refused for their quota, by customer.',
  [QUOTA_WAIT_SECONDS]: 'Time that requests waited for a permit of their quota.',
  [QUOTA_FRAMES]: 'Frames about quotas that were sent, by type.',
  [QUOTA_EVENTS]:
    'Changes of the owners of quotas that this node took part in or noticed, by type.',
  [QUOTA_OWNED]: 'Customers of which this node owns the quota or a part of it.',
};

export function createMetrics(): metrics.Metrics {
  const metricsRegistry = new metrics.Metrics();
  metricsRegistry.describe(HELP);
  return metricsRegistry;
}
