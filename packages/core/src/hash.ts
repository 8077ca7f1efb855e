/** Canonical JSON and content hashes. */

import * as crypto from 'node:crypto';
import * as ids from './ids.js';

/** JSON value with object keys in code-unit order and no spaces; equal values give equal text. */
export function canonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(',')}]`;
  if (value !== null && typeof value === 'object') {
    const fields = Object.entries(value)
      .filter(([, field]) => field !== undefined)
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([name, field]) => `${JSON.stringify(name)}:${canonicalJson(field)}`);
    return `{${fields.join(',')}}`;
  }
  return JSON.stringify(value);
}

export function hashText(text: string): ids.ContentHash {
  return ids.contentHash(crypto.createHash('sha256').update(text).digest('hex'));
}

export function hashValue(value: unknown): ids.ContentHash {
  return hashText(canonicalJson(value));
}
