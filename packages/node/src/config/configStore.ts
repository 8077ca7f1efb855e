/**
 * The configuration that this node routes by. It is replaced atomically, only by a higher version,
 * and only when every resource body is available and the configuration as a whole is valid.
 */

import { configuration, failures, hash, ids, manifest, resources } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import * as signals from '../signals.js';

/** Number of past manifests kept, so that children on these versions are sent deltas. */
const HISTORY_VERSIONS = 64;

export class ConfigStore {
  private config = configuration.Configuration.empty();

  private readonly history: manifest.Manifest[] = [];

  private bodies = new Map<ids.ContentHash, resources.RawSpec>();

  /** Cached deltas to the current version, by the version that they start from. */
  private readonly deltas = new Map<string, distribution.ConfigDelta>();

  /** Raised after each applied configuration. */
  readonly changed = new signals.ChangeSignal();

  get current(): configuration.Configuration {
    return this.config;
  }

  get version(): ids.ConfigVersion {
    return this.config.version;
  }

  body(contentHash: ids.ContentHash): resources.RawSpec | undefined {
    return this.bodies.get(contentHash);
  }

  /** Hashes in the manifest whose bodies are neither stored here nor in `offered`. */
  missingBodies(
    next: manifest.Manifest,
    offered: ReadonlyMap<ids.ContentHash, resources.RawSpec>,
  ): ids.ContentHash[] {
    const wanted = next.liveEntries.map((entry) => entry.hash);
    return [...new Set(wanted)].filter((key) => !offered.has(key) && !this.bodies.has(key));
  }

  /**
   * Applies a full configuration; returns false when it is not newer than the current one. Bodies
   * come from `offered` or from the current configuration.
   * @throws incompleteConfiguration, hashMismatch, invalidConfiguration: nothing was changed
   */
  apply(
    next: manifest.Manifest,
    offered: ReadonlyMap<ids.ContentHash, resources.RawSpec>,
  ): boolean {
    if (next.version <= this.config.version) return false;
    const bodyOf = (key: ids.ContentHash) => offered.get(key) ?? this.bodies.get(key);
    const resolved = configuration.Configuration.resolve(next, bodyOf);
    const kept = new Map<ids.ContentHash, resources.RawSpec>();
    for (const entry of next.liveEntries) kept.set(entry.hash, bodyOf(entry.hash) ?? {});
    this.config = resolved;
    this.bodies = kept;
    this.deltas.clear();
    this.history.push(next);
    if (this.history.length > HISTORY_VERSIONS) this.history.shift();
    this.changed.notify();
    return true;
  }

  /**
   * Delta from the version that a child holds to the current one; null when the child is up to
   * date. Starts from the empty configuration when the child's version is not in the history or its
   * digest differs.
   */
  deltaFrom(heldVersion: number, heldDigest: string): distribution.ConfigDelta | null {
    const { manifest: target } = this.config;
    if (heldVersion >= target.version) return null;
    const base = this.history.find((item) => item.version === heldVersion);
    const matchingBase = base !== undefined && digestOf(base) === heldDigest ? base : null;
    const from = matchingBase ?? manifest.Manifest.empty();
    const key = `${from.version}`;
    const cached = this.deltas.get(key);
    if (cached !== undefined) return cached;
    const delta = this.buildDelta(from, target);
    this.deltas.set(key, delta);
    return delta;
  }

  private buildDelta(from: manifest.Manifest, target: manifest.Manifest) {
    const changed = target.entries.filter((entry) => {
      const old = from.entry(entry.kind, entry.name);
      return old?.ticket !== entry.ticket || old.hash !== entry.hash;
    });
    const known = new Set(from.liveEntries.map((entry) => entry.hash));
    const needed = new Set(changed.flatMap(({ hash: key }) => (key === null ? [] : [key])));
    return {
      fromVersion: from.version,
      toVersion: target.version,
      entries: changed.map((entry) => ({
        ...entry,
        hash: entry.hash ?? '',
        replaces: entry.replaces ?? 0,
      })),
      bodies: [...needed]
        .filter((key) => !known.has(key))
        .map((key) => ({ hash: key, json: hash.canonicalJson(this.bodies.get(key)) })),
      manifestDigest: digestOf(target),
    };
  }

  /**
   * Applies a delta from the parent; returns false when it is not newer than the version held.
   * @throws protocolViolation when the delta does not start at the held version or its digest
   * differs
   */
  applyDelta(delta: distribution.ConfigDelta, peer: string): boolean {
    if (delta.toVersion <= this.config.version) return false;
    const full = delta.fromVersion === 0;
    if (!full && delta.fromVersion !== this.config.version) {
      const detail = `delta from ${delta.fromVersion}, held ${this.config.version}`;
      throw failures.toError({ type: 'protocolViolation', peer, detail });
    }
    const held = full ? [] : this.config.manifest.entries;
    const entries = [...held, ...delta.entries.map((entry) => decodeEntry(entry, peer))];
    const next = new manifest.Manifest(ids.configVersion(delta.toVersion), entries);
    if (digestOf(next) !== delta.manifestDigest) {
      const detail = `manifest digest of version ${delta.toVersion} differs`;
      throw failures.toError({ type: 'protocolViolation', peer, detail });
    }
    return this.apply(next, decodeBodies(delta.bodies, peer));
  }
}

const digests = new WeakMap<manifest.Manifest, string>();

/** Digest of a manifest, cached because a relay needs it for each of its children. */
export function digestOf(item: manifest.Manifest): string {
  const known = digests.get(item);
  if (known !== undefined) return known;
  const digest = item.digest();
  digests.set(item, digest);
  return digest;
}

function decodeEntry(entry: distribution.ManifestEntry, peer: string): manifest.ManifestEntry {
  const kind = resources.KINDS.find((known) => known === entry.kind);
  if (kind === undefined) {
    const detail = `unknown resource kind ${entry.kind}`;
    throw failures.toError({ type: 'protocolViolation', peer, detail });
  }
  return {
    kind,
    name: entry.name,
    ticket: ids.ticketNumber(entry.ticket),
    hash: entry.hash === '' ? null : ids.contentHash(entry.hash),
    replaces: entry.replaces === 0 ? null : ids.ticketNumber(entry.replaces),
  };
}

function decodeBodies(bodies: readonly distribution.ResourceBody[], peer: string) {
  const decoded = new Map<ids.ContentHash, resources.RawSpec>();
  for (const body of bodies) {
    try {
      decoded.set(ids.contentHash(body.hash), JSON.parse(body.json) as resources.RawSpec);
    } catch (err) {
      const detail = `body ${body.hash} is not JSON`;
      throw failures.toError({ type: 'protocolViolation', peer, detail }, err);
    }
  }
  return decoded;
}
