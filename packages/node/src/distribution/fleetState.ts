/** The state that nodes replicate over their streams. */

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
  platformLink: platformLink.PlatformLink;
  evidence: evidenceExchange.EvidenceExchange;
}

function subscribe(changes: readonly signals.ChangeSignal[], wake: () => void): () => void {
  const unsubscribers = changes.map((signal) => signal.subscribe(wake));
  return () => unsubscribers.forEach((stop) => stop());
}

/** Calls `wake` on changes that streams send at once; returns a function that unsubscribes. */
export function subscribeUrgent(state: FleetState, wake: () => void): () => void {
  const { config, rollouts, placements, evidence, platformLink: link } = state;
  const changes = [config.changed, rollouts.changed, placements.changed, evidence.vetoed];
  return subscribe([...changes, link.changed], wake);
}

/** Calls `wake` on changes that streams send in batches; returns a function that unsubscribes. */
export function subscribeBatched(state: FleetState, wake: () => void): () => void {
  const { members, progress, evidence } = state;
  const changes = [members.changed, progress.subtreeChanged, progress.fleetChanged];
  return subscribe([...changes, evidence.changed], wake);
}
