/** The replicated state that streams between nodes carry, in one place. */

import type * as configStore from '../config/configStore.js';
import type * as localMember from '../membership/localMember.js';
import type * as memberTable from '../membership/memberTable.js';
import type * as evidenceExchange from './evidenceExchange.js';
import type * as documentTable from './documentTable.js';
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

/** Calls `wake` on every change that a stream may have to send; returns a function to stop. */
export function subscribeAll(state: FleetState, wake: () => void): () => void {
  const stops = [
    state.config.changed,
    state.members.changed,
    state.rollouts.changed,
    state.placements.changed,
    state.progress.subtreeChanged,
    state.progress.fleetChanged,
    state.evidence.changed,
  ].map((signal) => signal.subscribe(wake));
  return () => stops.forEach((stop) => stop());
}
