/** Members, stores and messages shared by the tests in this directory. */

import { ids, placement as placements } from '@godwittrack/core';
import type { clock as clocks } from '@godwittrack/core';
import type { records } from '@godwittrack/protocol';
import * as recordStore from '../recordStore.js';

export const SERVICE = ids.serviceName('fontworks');
export const RETENTION_MS = 62_000;
export const DEADLINE_MS = 2_000;
export const LEASE_MS = 30_000;

/** Region and failure domain of each test node. */
const LAYOUT = ['r1/a', 'r1/b', 'r2/a', 'r2/b', 'r1/a', 'r1/b', 'r2/b'];

export function member(i: number, incarnation = 1): placements.LiveMember {
  const [region, domain] = LAYOUT[i]!.split('/') as [string, string];
  return {
    node: ids.nodeId(`n${i}`),
    incarnation: ids.incarnation(incarnation),
    region: ids.regionName(region),
    failureDomain: ids.domainName(domain),
  };
}

export function members(indexes: number[]): placements.LiveMember[] {
  return indexes.map((i) => member(i));
}

export function firstPlacement(count: number): placements.Placement {
  const live = Array.from({ length: count }, (_, i) => member(i));
  const first = placements.Placement.first(SERVICE, live, 0);
  if (first === null) throw new Error('too few members for a first placement');
  return first;
}

export function createStore(
  i: number,
  incarnation: number,
  clock: clocks.Clock,
  options: recordStore.RecordStoreOptions = {},
): recordStore.RecordStore {
  return new recordStore.RecordStore(ids.nodeId(`n${i}`), ids.incarnation(incarnation), clock, {
    retentionMs: () => RETENTION_MS,
    placementLeaseMs: LEASE_MS,
    ...options,
  });
}

export function claimRequest(claim: string, key = 'k'): records.ClaimRequest {
  const deadlineLeftMs = DEADLINE_MS;
  return { service: SERVICE, key, epoch: 1, claim, fingerprint: 'same', deadlineLeftMs };
}

export function answer(text: string, bodyKept = true): records.RecordedAnswer {
  return { status: 200, headers: [], body: Buffer.from(text), bodyKept };
}

export function completeRequest(claim: string, text: string): records.CompleteRequest {
  const { service, key, epoch, fingerprint } = claimRequest(claim);
  return { service, key, epoch, claim, fingerprint, answer: answer(text) };
}
