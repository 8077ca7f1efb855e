/** In-memory object store for tests, with fault injection. */

import { backoff, failures } from '@godwittrack/core';
import * as store from './objectStore.js';

const MAX_EVENTS = 10_000;

/** Way in which an affected call fails. */
export type InjectedFault =
  /** The call fails before it takes effect. */
  | 'unavailable'
  /** The write takes effect, but its response is lost. */
  | 'answerLost';

/** Returns the fault for a call, or null to let it succeed. */
export type FaultInjector = (operation: string, kind: string, name: string) => InjectedFault | null;

export class MemoryObjectStore extends store.ObjectStore {
  private readonly objects = new Map<string, store.StoredObject>();

  private readonly events: store.ObjectEvent[] = [];

  private readonly watchers = new Set<() => void>();

  private version = 0;

  /** Number of calls so far; a watch counts as one call. */
  calls = 0;

  faults: FaultInjector = () => null;

  override async get(kind: store.ObjectKind, name: string) {
    await this.beginCall('get', kind, name);
    const found = this.objects.get(`${kind}/${name}`);
    return found === undefined ? null : structuredClone(found);
  }

  override async list(kind: store.ObjectKind) {
    await this.beginCall('list', kind, '');
    const items = [...this.objects.values()].filter((object) => object.kind === kind);
    return { version: this.version, items: structuredClone(items) };
  }

  override async put(
    kind: store.ObjectKind,
    name: string,
    value: unknown,
    precondition: store.Precondition,
  ) {
    const responseLost = await this.beginCall('put', kind, name);
    this.checkPrecondition(kind, name, precondition);
    this.version += 1;
    const object = { kind, name, version: this.version, value: structuredClone(value) };
    this.objects.set(`${kind}/${name}`, object);
    this.publish({ type: 'put', ...object });
    if (responseLost) throw outcomeUnknownFailure(`put ${kind}/${name}`);
    return object.version;
  }

  override async delete(kind: store.ObjectKind, name: string, precondition: store.Precondition) {
    const responseLost = await this.beginCall('delete', kind, name);
    if (!this.objects.has(`${kind}/${name}`)) {
      throw failures.toError({ type: 'objectNotFound', kind, name });
    }
    this.checkPrecondition(kind, name, precondition);
    this.version += 1;
    this.objects.delete(`${kind}/${name}`);
    this.publish({ type: 'delete', kind, name, version: this.version, value: null });
    if (responseLost) throw outcomeUnknownFailure(`delete ${kind}/${name}`);
  }

  override async watch(
    kinds: readonly store.ObjectKind[],
    since: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<store.EventBatch> {
    await this.beginCall('watch', kinds.join(','), '');
    const [oldest] = this.events;
    if (this.events.length === MAX_EVENTS && oldest !== undefined && since < oldest.version - 1) {
      throw failures.toError({ type: 'watchExpired', since });
    }
    if (!this.hasEvents(kinds, since)) await this.waitForEvent(kinds, since, waitMs, signal);
    const events = this.events.filter(
      (event) => event.version > since && kinds.includes(event.kind),
    );
    return { version: this.version, events: structuredClone(events) };
  }

  /** Counts the call and applies its fault; returns true when the response is to be lost. */
  private async beginCall(operation: string, kind: string, name: string): Promise<boolean> {
    this.calls += 1;
    await Promise.resolve();
    const fault = this.faults(operation, kind, name);
    if (fault === 'unavailable') {
      const detail = 'injected outage';
      throw failures.toError({ type: 'platformUnavailable', operation, detail });
    }
    return fault === 'answerLost';
  }

  private checkPrecondition(
    kind: store.ObjectKind,
    name: string,
    precondition: store.Precondition,
  ): void {
    const currentVersion = this.objects.get(`${kind}/${name}`)?.version ?? null;
    const requiredVersion = precondition.type === 'version' ? precondition.version : null;
    if (precondition.type === 'none' || requiredVersion === currentVersion) return;
    throw failures.toError({ type: 'objectConflict', kind, name, currentVersion });
  }

  private hasEvents(kinds: readonly store.ObjectKind[], since: number): boolean {
    return this.events.some((event) => event.version > since && kinds.includes(event.kind));
  }

  private async waitForEvent(
    kinds: readonly store.ObjectKind[],
    since: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<void> {
    const arrived = new AbortController();
    const wake = () => {
      if (this.hasEvents(kinds, since)) arrived.abort();
    };
    this.watchers.add(wake);
    const signals = signal === undefined ? [arrived.signal] : [arrived.signal, signal];
    await backoff.sleep(waitMs, AbortSignal.any(signals));
    this.watchers.delete(wake);
  }

  private publish(event: store.ObjectEvent): void {
    this.events.push(structuredClone(event));
    if (this.events.length > MAX_EVENTS) this.events.shift();
    [...this.watchers].forEach((wake) => wake());
  }
}

function outcomeUnknownFailure(operation: string): failures.FailureError {
  const detail = 'injected loss of the answer';
  return failures.toError({ type: 'platformOutcomeUnknown', operation, detail });
}
