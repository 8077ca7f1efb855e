/** Interface of the platform's versioned object store, independent of its transport. */

/** Kinds of objects that the system keeps in the platform. */
export type ObjectKind =
  'manifest' | 'body' | 'rollout' | 'lease' | 'roster' | 'placement' | 'audit';

export interface StoredObject {
  kind: ObjectKind;
  name: string;
  /** Rises with each write of any object. */
  version: number;
  value: unknown;
}

export interface ObjectList {
  /** Current version of the store; a watch that starts here misses no event. */
  version: number;
  items: StoredObject[];
}

export interface ObjectEvent {
  type: 'put' | 'delete';
  kind: ObjectKind;
  name: string;
  version: number;
  /** Null for a delete. */
  value: unknown;
}

export interface EventBatch {
  version: number;
  events: ObjectEvent[];
}

/** Condition on the stored object under which a write takes effect. */
export type Precondition =
  { type: 'none' } | { type: 'absent' } | { type: 'version'; version: number };

/**
 * Client of the object store. Every method throws a `FailureError`: `platformUnavailable`
 * (nothing was done), `platformOverloaded`, or, for writes, `platformOutcomeUnknown` (the write may
 * have taken effect; read the object back).
 */
export abstract class ObjectStore {
  /** Returns null when the object does not exist. */
  abstract get(kind: ObjectKind, name: string, signal?: AbortSignal): Promise<StoredObject | null>;

  abstract list(kind: ObjectKind, signal?: AbortSignal): Promise<ObjectList>;

  /**
   * Writes an object and returns its new version.
   * @throws objectConflict when the precondition does not hold; nothing was written
   * @throws objectTooLarge
   */
  abstract put(
    kind: ObjectKind,
    name: string,
    value: unknown,
    precondition: Precondition,
    signal?: AbortSignal,
  ): Promise<number>;

  /** @throws objectNotFound, objectConflict */
  abstract delete(
    kind: ObjectKind,
    name: string,
    precondition: Precondition,
    signal?: AbortSignal,
  ): Promise<void>;

  /**
   * Waits for events after `since`; returns an empty batch after `waitMs`.
   * @throws watchExpired when events since then are no longer kept; the caller has to list again
   */
  abstract watch(
    kinds: readonly ObjectKind[],
    since: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<EventBatch>;
}
