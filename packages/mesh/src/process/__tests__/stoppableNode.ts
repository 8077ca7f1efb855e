/** Creates nodes with test headers and a stand-in of the store, for tests of stops. */

import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as meters from '../../observability/meters.js';
import * as wiring from '../wiring.js';
import type * as constantStore from './constantStore.js';

const GRACE_MS = 6_000;

export interface NodeOptions {
  self: wiring.MeshSettings['self'];
  callerAddress: string;
  upstreamAddress: string;
  store: constantStore.ConstantStore;
}

export function create({ store, ...addresses }: NodeOptions): wiring.MeshNode {
  return wiring.createMeshNode(
    {
      ...addresses,
      service: ids.serviceName('shop'),
      graceMs: GRACE_MS,
      retryRatio: 0.2,
      retryExtra: 64,
      maxExposureShare: 0.1,
      exposureSlack: 0,
      quotaTolerance: { windowMs: 5_000, overage: 0.1, slack: 20 },
      evacuations: false,
    },
    { store, codec: new fixtures.TestHeaders() },
    fixtures.silentLog(),
    meters.createMetrics(),
  );
}
