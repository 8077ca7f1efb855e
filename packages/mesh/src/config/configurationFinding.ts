/** What a check of a configuration reports. */

import type * as configurationPlace from './configurationPlace.js';

/** With an error, nodes do not activate the configuration; with a warning, they may not do what is meant. */
export type Severity = 'error' | 'warning';

export type FindingType =
  | 'versionNotHigher'
  | 'sameHostAndPrefix'
  | 'neverMatches'
  | 'noWeight'
  | 'unknownService'
  | 'noCommonRegion'
  | 'noKeys'
  | 'targetAboveTimeout'
  | 'idleBelowHeaderTimeout'
  | 'rateBelowWindow'
  | 'coldRateWithoutTime';

export interface Finding {
  severity: Severity;
  type: FindingType;
  place: configurationPlace.Place;
  message: string;
}

export function warning(
  type: FindingType,
  place: configurationPlace.Place,
  message: string,
): Finding {
  return { severity: 'warning', type, place, message };
}
