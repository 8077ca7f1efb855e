/** Checks a decoded configuration for mistakes that decoding accepts. */

import type * as configuration from './configuration.js';
import type * as configurationFinding from './configurationFinding.js';
import * as configurationPlace from './configurationPlace.js';
import * as limitContradictions from './limitContradictions.js';
import * as unusableEntries from './unusableEntries.js';

export function checkConfiguration(
  cfg: configuration.Configuration,
  quotaWindowMs: number,
): configurationFinding.Finding[] {
  return [
    ...unusableEntries.findUnusableEntries(cfg),
    ...limitContradictions.findLimitContradictions(cfg, quotaWindowMs),
  ];
}

/** Checks whether nodes that hold `inForce` would activate `cfg`. */
export function checkSuccession(
  inForce: configuration.Configuration,
  cfg: configuration.Configuration,
): configurationFinding.Finding[] {
  if (cfg.version > inForce.version) return [];
  return [
    {
      severity: 'error',
      type: 'versionNotHigher',
      place: configurationPlace.placeOf('version'),
      message: `version ${cfg.version} is not above ${inForce.version}, which is in force; nodes would ignore it`,
    },
  ];
}
