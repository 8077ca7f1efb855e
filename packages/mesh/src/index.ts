/**
 * Decentralized service mesh: every node does routing, admission control, discovery and rollouts, and no
 * node has a special role.
 */

export * as configuration from './config/configuration.js';
export * as configurationCheck from './config/configurationCheck.js';
export * as configurationDiff from './config/configurationDiff.js';
export type * as configurationFinding from './config/configurationFinding.js';
export type * as configurationPlace from './config/configurationPlace.js';
export * as customerDirectory from './customers/customerDirectory.js';
export * as decisionLog from './observability/decisionLog.js';
export type * as evacuationTable from './evacuations/evacuationTable.js';
export * as fleetStore from './config/fleetStore.js';
export * as headerCodec from './upstream/headerCodec.js';
export * as localUpstream from './membership/localUpstream.js';
export * as meters from './observability/meters.js';
export * as members from './membership/members.js';
export * as phases from './rollouts/phases.js';
export * as exchange from './routing/exchange.js';
export * as storeEra from './config/storeEra.js';
export * as storePosition from './config/storePosition.js';
export * as networkAddress from './networkAddress.js';
export * as wiring from './process/wiring.js';
