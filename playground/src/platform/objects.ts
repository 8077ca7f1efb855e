/** In-memory objects of the platform stand-in, with versions and a bounded history for watches. */

import * as timers from 'node:timers/promises';

export interface StoredObject {
  kind: string;
  name: string;
  /** Store version of the last write; each write of any object increments the store version. */
  version: number;
  value: unknown;
}

export interface ObjectEvent extends StoredObject {
  type: 'put' | 'delete';
}

export type Condition =
  { type: 'none' } | { type: 'absent' } | { type: 'version'; version: number };

export type WriteResult =
  | { type: 'written'; version: number }
  | { type: 'conflict'; current: number | null }
  | { type: 'notFound' };

export class ObjectStore {
  private readonly byKey = new Map<string, StoredObject>();

  private readonly events: ObjectEvent[] = [];

  private readonly waiters = new Set<(event: ObjectEvent) => void>();

  /** Highest version whose event was dropped from the history. */
  private lastDroppedVersion = 0;

  version = 0;

  constructor(private readonly historyLength: number) {}

  get size(): number {
    return this.byKey.size;
  }

  get waiterCount(): number {
    return this.waiters.size;
  }

  get(kind: string, name: string): StoredObject | undefined {
    return this.byKey.get(keyOf(kind, name));
  }

  list(kind: string): StoredObject[] {
    return [...this.byKey.values()].filter((object) => object.kind === kind);
  }

  put(kind: string, name: string, value: unknown, condition: Condition): WriteResult {
    const current = this.get(kind, name)?.version ?? null;
    if (!conditionHolds(condition, current)) return { type: 'conflict', current };
    this.version += 1;
    const object = { kind, name, version: this.version, value };
    this.byKey.set(keyOf(kind, name), object);
    this.publish({ type: 'put', ...object });
    return { type: 'written', version: this.version };
  }

  delete(kind: string, name: string, condition: Condition): WriteResult {
    const current = this.get(kind, name)?.version ?? null;
    if (current === null) return { type: 'notFound' };
    if (!conditionHolds(condition, current)) return { type: 'conflict', current };
    this.version += 1;
    this.byKey.delete(keyOf(kind, name));
    this.publish({ type: 'delete', kind, name, version: this.version, value: null });
    return { type: 'written', version: this.version };
  }

  /** Events after `since`, or null when some of them were dropped from the history. */
  eventsAfter(since: number, kinds: ReadonlySet<string>): ObjectEvent[] | null {
    if (since < this.lastDroppedVersion) return null;
    return this.events.filter((event) => event.version > since && kinds.has(event.kind));
  }

  /** Waits for the next event of one of `kinds`, the time limit or the signal. */
  async waitForEvent(
    kinds: ReadonlySet<string>,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const woken = new AbortController();
    const wake = (event: ObjectEvent) => {
      if (kinds.has(event.kind)) woken.abort();
    };
    this.waiters.add(wake);
    const wakeSignal = AbortSignal.any([signal, woken.signal]);
    await timers.setTimeout(waitMs, undefined, { signal: wakeSignal }).catch(() => undefined);
    this.waiters.delete(wake);
  }

  private publish(event: ObjectEvent): void {
    this.events.push(event);
    if (this.events.length > this.historyLength) {
      this.lastDroppedVersion = this.events.shift()?.version ?? this.lastDroppedVersion;
    }
    [...this.waiters].forEach((wake) => wake(event));
  }
}

function keyOf(kind: string, name: string): string {
  return `${kind}/${name}`;
}

function conditionHolds(condition: Condition, current: number | null): boolean {
  if (condition.type === 'none') return true;
  return (condition.type === 'version' ? condition.version : null) === current;
}
