/** Wire format of the evacuated failure domains: era, revision, domains, and held ones if there are any. */

import { ids } from '@godwittrack/core';
import type * as evacuationTable from '../evacuations/evacuationTable.js';

export function pack({ position, domains, held }: evacuationTable.EvacuationSet): unknown[] {
  const fields = [position.era, position.revision, domains];
  if (held.length === 0) return fields;
  return [...fields, held.map(({ domain, leftMs }) => [domain, leftMs])];
}

/** @throws Error if a field is invalid */
export function unpack(packed: unknown): evacuationTable.EvacuationSet {
  const [era, revision, domains, held = []] = toList(packed);
  return {
    position: { era: ids.storeEra(toInteger(era)), revision: toInteger(revision) },
    domains: toList(domains).map(toDomain),
    held: toList(held).map((entry) => {
      const [domain, leftMs] = toList(entry);
      return { domain: toDomain(domain), leftMs: toInteger(leftMs) };
    }),
  };
}

function toList(value: unknown): unknown[] {
  if (!Array.isArray(value)) throw new Error('bad list');
  return value;
}

function toDomain(value: unknown): ids.DomainName {
  if (typeof value !== 'string') throw new Error('bad failure domain');
  return ids.domainName(value);
}

function toInteger(value: unknown): number {
  if (!Number.isSafeInteger(value)) throw new Error('bad integer');
  return value as number;
}
