/** Decides which regions may serve a request, by the home regions of its route and of its customer. */

import type { ids } from '@godwittrack/core';
import type * as members from '../membership/members.js';

/** Reason of refusals by the node beside an upstream outside the home regions. */
export const OUTSIDE_HOME = 'outsideHome';

/** Reason of refusals because the upstream, or each that may serve the request, is in an evacuated domain. */
export const EVACUATED = 'evacuated';
/** Retry delay stated with them; an evacuation takes seconds at least. */
export const EVACUATED_RETRY_MS = 1_000;

/** A route or a customer; without home regions, any region may serve it. */
export interface Homes {
  readonly homeRegions: readonly ids.RegionName[];
}

/** The regions that may serve a request; null for any region. Empty if the home regions exclude each other. */
export type Placement = readonly ids.RegionName[] | null;

/** @param customer null or undefined where there is none, or none that is known */
export function resolvePlacement(
  route: Homes | undefined,
  customer: Homes | null | undefined,
): Placement {
  const ofRoute = route?.homeRegions ?? [];
  const ofCustomer = customer?.homeRegions ?? [];
  if (ofRoute.length === 0) return ofCustomer.length === 0 ? null : ofCustomer;
  if (ofCustomer.length === 0) return ofRoute;
  return ofRoute.filter((region) => ofCustomer.includes(region));
}

export function allows(
  placement: Placement,
  { region }: Pick<members.NodeAddress, 'region'>,
): boolean {
  return placement === null || placement.includes(region);
}
