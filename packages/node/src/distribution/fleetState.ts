/** The replicated state that streams between nodes carry, in one place. */

import type * as configStore from '../config/configStore.js';
import type * as localMember from '../membership/localMember.js';
import type * as memberTable from '../membership/memberTable.js';
import type * as evidenceExchange from './evidenceExchange.js';
import type * as documentTable from './documentTable.js';
import type * as signals from '../signals.js';
import type * as platformLink from './platformLink.js';
import type * as progress from './progress.js';

export interface FleetState {
  config: configStore.ConfigStore;
  members: memberTable.MemberTable;
  local: localMember.LocalMember;
  rollouts: documentTable.DocumentTable;
  placements: documentTable.DocumentTable;
  progress: progress.Progress;
  link: platformLink.PlatformLink;
  evidence: evidenceExchange.EvidenceExchange;
}

function subscribe(changes: readonly signals.ChangeSignal[], wake: () => void): () => void {
  const stops = changes.map((signal) => signal.subscribe(wake));
  return () => stops.forEach((stop) => stop());
}

/** Calls `wake` on changes that streams send at once; returns a function to stop. */
export function subscribeUrgent(state: FleetState, wake: () => void): () => void {
  const { config, rollouts, placements, evidence, link } = state;
  const changes = [config.changed, rollouts.changed, placements.changed, evidence.vetoed];
  return subscribe([...changes, link.contacted], wake);
}

/** Calls `wake` on changes that streams gather before they send them. */
export function subscribeGathered(state: FleetState, wake: () => void): () => void {
  const { members, progress, evidence } = state;
  const changes = [members.changed, progress.subtreeChanged, progress.fleetChanged];
  return subscribe([...changes, evidence.changed], wake);
}
