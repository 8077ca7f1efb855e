/**
 * The rollout controller's lease, stored as the object `lease/controller`. Holders change by
 * conditional updates that increment the epoch. A candidate takes over once it has seen the same
 * object version for the lease's duration by its own monotonic clock, so the clocks of two nodes
 * need not agree. The lease only avoids duplicate work; safety comes from the epochs in the rollout
 * objects.
 */

import { failures } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import * as z from 'zod';

export const LEASE_NAME = 'controller';
export const LEASE_DURATION_MS = 6_000;
const RENEW_AFTER_MS = 2_000;

const leaseSchema = z.object({
  /** Empty when the lease was released. */
  holder: z.string(),
  epoch: z.number().int().min(0),
  /** Wall clock of the holder, for operators only. */
  expiresMs: z.number(),
});
type LeaseValue = z.output<typeof leaseSchema>;

interface ObservedLease {
  version: number;
  value: LeaseValue;
  sinceMs: number;
}

export class ControllerLease {
  private readonly store: objectStore.ObjectStore;

  private readonly clock: clock.Clock;

  /** Node and incarnation; a restarted node is another holder. */
  private readonly holder: string;

  private observed: ObservedLease | null = null;

  private heldUntilMs = -Infinity;

  private renewedMs = -Infinity;

  private currentEpoch = 0;

  private minEpoch = 0;

  constructor(store: objectStore.ObjectStore, time: clock.Clock, holder: string) {
    this.store = store;
    this.clock = time;
    this.holder = holder;
  }

  get epoch(): number {
    return this.currentEpoch;
  }

  get isHeld(): boolean {
    return this.clock.monotonicMs() < this.heldUntilMs;
  }

  /**
   * Acquires or renews the lease if possible and returns whether this node holds it.
   * @throws platformUnavailable, platformOverloaded, platformOutcomeUnknown
   */
  async acquireOrRenew(): Promise<boolean> {
    const startedMs = this.clock.monotonicMs();
    if (this.isHeld && startedMs - this.renewedMs < RENEW_AFTER_MS) return true;
    const found = await this.store.get('lease', LEASE_NAME);
    if (found === null) return this.write({ type: 'absent' }, 1, startedMs);
    const value = parseLease(found.value);
    if (this.observed?.version !== found.version) {
      this.observed = { version: found.version, value, sinceMs: startedMs };
    }
    const precondition = { type: 'version' as const, version: found.version };
    if (value.holder === this.holder) return this.write(precondition, value.epoch, startedMs);
    this.heldUntilMs = -Infinity;
    const expired = startedMs - this.observed.sinceMs >= LEASE_DURATION_MS;
    if (value.holder !== '' && !expired) return false;
    return this.write(precondition, value.epoch + 1, startedMs);
  }

  /** Releases the lease, so that the next holder need not wait for expiry; ignores failures. */
  async release(): Promise<void> {
    this.heldUntilMs = -Infinity;
    try {
      const found = await this.store.get('lease', LEASE_NAME);
      if (found === null) return;
      const value = parseLease(found.value);
      if (value.holder !== this.holder) return;
      const released = { ...value, holder: '', expiresMs: 0 };
      await this.store.put('lease', LEASE_NAME, released, {
        type: 'version',
        version: found.version,
      });
    } catch (err) {
      if (!(err instanceof failures.FailureError)) throw err;
    }
  }

  /**
   * Gives up the lease locally after a rollout with a higher epoch was found. The next epoch is
   * above that one, even if the lease object was lost and its epochs started again from 1.
   */
  invalidate(seenEpoch: number): void {
    this.heldUntilMs = -Infinity;
    this.minEpoch = Math.max(this.minEpoch, seenEpoch + 1);
  }

  private async write(
    precondition: objectStore.Precondition,
    nextEpoch: number,
    startedMs: number,
  ): Promise<boolean> {
    const epoch = Math.max(nextEpoch, this.minEpoch);
    const expiresMs = this.clock.nowMs() + LEASE_DURATION_MS;
    const value = { holder: this.holder, epoch, expiresMs };
    try {
      await this.store.put('lease', LEASE_NAME, value, precondition);
    } catch (err) {
      // Another node was first, or an earlier write of this node succeeded and its answer was lost;
      // the next call then reads this node as the holder.
      if (failures.is(err, 'objectConflict')) return false;
      throw err;
    }
    this.currentEpoch = epoch;
    // Counted from before the store calls, so that a pause during them does not extend the lease.
    this.heldUntilMs = startedMs + LEASE_DURATION_MS;
    this.renewedMs = startedMs;
    return this.isHeld;
  }
}

function parseLease(value: unknown): LeaseValue {
  const checked = leaseSchema.safeParse(value);
  return checked.success ? checked.data : { holder: '', epoch: 0, expiresMs: 0 };
}
