/** Names places in a configuration, independent of the format in which it was written. */

import type * as configuration from './configuration.js';

export type FieldName =
  | Exclude<keyof configuration.Route, 'name'>
  | Exclude<keyof configuration.ServiceSettings, 'name' | 'coldStart'>
  | Exclude<keyof configuration.Customer, 'name' | 'quota'>
  | keyof configuration.CallerLimits
  | 'coldStart.durationMs'
  | 'coldStart.perSecond'
  | 'quota.ratePerSecond'
  | 'quota.burst';

export type Section = 'version' | 'routes' | 'services' | 'limits' | 'customers';

export interface Place {
  section: Section;
  /** Name of the route, service or customer; null for the section as a whole. */
  name: string | null;
  /** Null for the entry as a whole. */
  field: FieldName | null;
}

export function placeOf(
  section: Section,
  name: string | null = null,
  field: FieldName | null = null,
): Place {
  return { section, name, field };
}
