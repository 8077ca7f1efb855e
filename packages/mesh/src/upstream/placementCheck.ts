/**
 * Checks, beside the upstream, whether its place may serve a request: senders may know of an evacuation or of
 * a configuration with home regions later than this node.
 */

import type { ids } from '@godwittrack/core';
import type * as configHolder from '../config/configHolder.js';
import type * as evacuationTable from '../evacuations/evacuationTable.js';
import type * as members from '../membership/members.js';
import * as placements from '../routing/placement.js';

/** This node has just started and does not know yet whether its failure domain is evacuated. */
export const EVACUATIONS_UNKNOWN = 'evacuationsUnknown';

export type PlacementRefusal =
  typeof placements.EVACUATED | typeof placements.OUTSIDE_HOME | typeof EVACUATIONS_UNKNOWN;

/** What identifies the home regions of a request. */
export interface PlacedRequest {
  route: ids.RouteName;
  customer: ids.CustomerName | null;
}

export interface PlacementCheckOptions {
  self: members.NodeAddress;
  config: configHolder.ConfigHolder;
  evacuations: evacuationTable.EvacuationTable;
}

export class PlacementCheck {
  constructor(private readonly options: PlacementCheckOptions) {}

  /** Adds a listener that is called when the failure domain of this node is evacuated. */
  onEvacuated(listener: () => void): void {
    const { self, evacuations } = this.options;
    evacuations.onChange(({ added }) => {
      if (added.includes(self.domain)) listener();
    });
  }

  /** Reason why no upstream in this place may run the request; null if one may. */
  refusalReason({ route, customer }: PlacedRequest): PlacementRefusal | null {
    const { self, config, evacuations } = this.options;
    if (!evacuations.isSynced) return EVACUATIONS_UNKNOWN;
    if (evacuations.isEvacuated(self.domain)) return placements.EVACUATED;
    const cfg = config.current?.cfg;
    if (cfg === undefined) return null;
    const placement = placements.resolvePlacement(
      cfg.routes[route],
      customer === null ? null : cfg.customers?.[customer],
    );
    return placements.allows(placement, self) ? null : placements.OUTSIDE_HOME;
  }
}
