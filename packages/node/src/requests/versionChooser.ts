/** Chooses the version of a service for one request. */

import type { configuration, ids } from '@godwittrack/core';
import type * as configStore from '../config/configStore.js';

export abstract class VersionChooser {
  /** Version for one request of a route; null when the service has no version plan. */
  abstract choose(route: configuration.Route): ids.VersionName | null;
}

/** Sends everything to the stable version of the plan. */
export class StableVersionChooser extends VersionChooser {
  constructor(private readonly config: configStore.ConfigStore) {
    super();
  }

  override choose(route: configuration.Route): ids.VersionName | null {
    const plan = this.config.current.plans.get(route.service);
    return plan === undefined ? null : (plan.stable as ids.VersionName);
  }
}
