/**
 * Rendezvous (highest random weight) hashing: ranks candidates for a key so that removing one
 * candidate does not reorder the others.
 */

/** 32-bit FNV-1a over UTF-16 code units; the MurmurHash3 finalizer mixes short inputs better. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Weight of a candidate for `key`; the highest weight ranks first. */
export function weightOf(key: string, name: string): number {
  return hash32(`${key}\u0000${name}`);
}

/** Candidates ordered by their weight for `key`, highest first; ties by name. */
export function rank<T>(key: string, candidates: readonly T[], nameOf: (item: T) => string): T[] {
  return candidates
    .map((item) => ({ item, name: nameOf(item), weight: weightOf(key, nameOf(item)) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ item }) => item);
}
