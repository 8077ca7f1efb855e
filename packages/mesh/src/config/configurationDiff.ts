/**
 * Lists what differs between two configurations, field by field. Keys of customers are only counted. The
 * version is not part of it.
 */

import type * as configuration from './configuration.js';
import * as configurationPlace from './configurationPlace.js';

const { placeOf } = configurationPlace;

export type Change =
  | { type: 'added' | 'removed'; place: configurationPlace.Place }
  | { type: 'changed'; place: configurationPlace.Place; before: unknown; after: unknown }
  | { type: 'keysChanged'; place: configurationPlace.Place; added: number; removed: number };

/** Comparable fields of an entry. */
type Fields = Partial<Record<configurationPlace.FieldName, unknown>>;

export function compareConfigurations(
  before: configuration.Configuration,
  after: configuration.Configuration,
): Change[] {
  return [
    ...compareTables('routes', before.routes, after.routes, fieldsOfRoute),
    ...compareTables('services', before.services, after.services, fieldsOfService),
    ...compareFields('limits', null, { ...before.limits }, { ...after.limits }),
    ...compareCustomers(before.customers, after.customers),
  ];
}

/** Without a table of customers, requests need no key, so the table itself may be added or removed. */
function compareCustomers(
  before: configuration.Configuration['customers'],
  after: configuration.Configuration['customers'],
): Change[] {
  const changes: Change[] = [];
  const place = placeOf('customers');
  if (before === null && after !== null) changes.push({ type: 'added', place });
  if (before !== null && after === null) changes.push({ type: 'removed', place });
  const [old, current] = [before ?? {}, after ?? {}];
  changes.push(...compareTables('customers', old, current, fieldsOfCustomer));
  for (const name of namesOf(old, current)) {
    changes.push(...compareKeys(name, own(old, name)?.keyDigests, own(current, name)?.keyDigests));
  }
  return changes;
}

function compareKeys(
  name: string,
  before: configuration.Customer['keyDigests'] = [],
  after: configuration.Customer['keyDigests'] = [],
): Change[] {
  const [old, current] = [new Set(before), new Set(after)];
  const added = [...current].filter((digest) => !old.has(digest)).length;
  const removed = [...old].filter((digest) => !current.has(digest)).length;
  if (added + removed === 0) return [];
  const place = placeOf('customers', name, 'keyDigests');
  return [{ type: 'keysChanged', place, added, removed }];
}

function compareTables<T extends object>(
  section: configurationPlace.Section,
  before: Record<string, T>,
  after: Record<string, T>,
  fieldsOf: (entry: T) => Fields,
): Change[] {
  return namesOf(before, after).flatMap((name): Change[] => {
    const [old, current] = [own(before, name), own(after, name)];
    const place = placeOf(section, name);
    if (old === undefined) return [{ type: 'added', place }];
    if (current === undefined) return [{ type: 'removed', place }];
    return compareFields(section, name, fieldsOf(old), fieldsOf(current));
  });
}

function compareFields(
  section: configurationPlace.Section,
  name: string | null,
  before: Fields,
  after: Fields,
): Change[] {
  return (Object.keys(after) as configurationPlace.FieldName[]).flatMap((field): Change[] => {
    if (JSON.stringify(before[field]) === JSON.stringify(after[field])) return [];
    const place = placeOf(section, name, field);
    return [{ type: 'changed', place, before: before[field], after: after[field] }];
  });
}

function fieldsOfRoute({ name, ...fields }: configuration.Route): Fields {
  return { ...fields, homeRegions: [...fields.homeRegions].sort() };
}

function fieldsOfService({ name, coldStart, ...fields }: configuration.ServiceSettings): Fields {
  return {
    ...fields,
    'coldStart.durationMs': coldStart?.durationMs ?? null,
    'coldStart.perSecond': coldStart?.perSecond ?? null,
  };
}

function fieldsOfCustomer({ priority, quota, homeRegions }: configuration.Customer): Fields {
  return {
    priority,
    homeRegions: [...homeRegions].sort(),
    'quota.ratePerSecond': quota?.ratePerSecond ?? null,
    'quota.burst': quota?.burst ?? null,
  };
}

function namesOf(before: object, after: object): string[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])];
}

/** Entries only, not what every object inherits. */
function own<T>(table: Record<string, T>, name: string): T | undefined {
  return Object.hasOwn(table, name) ? table[name] : undefined;
}
