/**
 * The lease `lease/controller`. It changes hands by conditional updates with a rising epoch. A
 * candidate takes it after it has seen the same object version for the lease's duration by its own
 * monotonic clock, so the clocks of two nodes need not agree. The lease only avoids double work;
 * safety comes from the epochs in the rollout objects.
 */

import { failures } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import * as z from 'zod';

export const LEASE_NAME = 'controller';
export const LEASE_DURATION_MS = 6_000;
const RENEW_AFTER_MS = 2_000;

const leaseSchema = z.object({
  /** Empty when the lease was given up. */
  holder: z.string(),
  epoch: z.number().int().min(0),
  /** Wall clock of the holder, for operators only. */
  expiresMs: z.number(),
});
type LeaseValue = z.output<typeof leaseSchema>;

interface Seen {
  version: number;
  value: LeaseValue;
  sinceMs: number;
}

export class ControllerLease {
  private readonly store: objectStore.ObjectStore;

  private readonly clock: clock.Clock;

  /** Node and incarnation; a restarted node is another holder. */
  private readonly holder: string;

  private seen: Seen | null = null;

  private heldUntilMs = -Infinity;

  private renewedMs = -Infinity;

  private epochValue = 0;

  private floorEpoch = 0;

  constructor(store: objectStore.ObjectStore, time: clock.Clock, holder: string) {
    this.store = store;
    this.clock = time;
    this.holder = holder;
  }

  get epoch(): number {
    return this.epochValue;
  }

  get isHeld(): boolean {
    return this.clock.monotonicMs() < this.heldUntilMs;
  }

  /**
   * Takes or renews the lease where possible and returns whether it is held.
   * @throws platformUnavailable, platformOverloaded, platformOutcomeUnknown
   */
  async ensure(): Promise<boolean> {
    const startedMs = this.clock.monotonicMs();
    if (this.isHeld && startedMs - this.renewedMs < RENEW_AFTER_MS) return true;
    const found = await this.store.get('lease', LEASE_NAME);
    if (found === null) return this.write({ type: 'absent' }, 1, startedMs);
    const value = parseLease(found.value);
    if (this.seen?.version !== found.version) {
      this.seen = { version: found.version, value, sinceMs: startedMs };
    }
    const precondition = { type: 'version' as const, version: found.version };
    if (value.holder === this.holder) return this.write(precondition, value.epoch, startedMs);
    this.heldUntilMs = -Infinity;
    const lapsed = startedMs - this.seen.sinceMs >= LEASE_DURATION_MS;
    if (value.holder !== '' && !lapsed) return false;
    return this.write(precondition, value.epoch + 1, startedMs);
  }

  /** Gives the lease up, so that the next holder need not wait; a failure is harmless. */
  async release(): Promise<void> {
    this.heldUntilMs = -Infinity;
    try {
      const found = await this.store.get('lease', LEASE_NAME);
      if (found === null) return;
      const value = parseLease(found.value);
      if (value.holder !== this.holder) return;
      const given = { ...value, holder: '', expiresMs: 0 };
      await this.store.put('lease', LEASE_NAME, given, { type: 'version', version: found.version });
    } catch (err) {
      if (!(err instanceof failures.FailureError)) throw err;
    }
  }

  /**
   * Forgets the lease after a rollout with a higher epoch was met. The next epoch is above it, also
   * when the lease object was lost and started again from 1.
   */
  drop(metEpoch: number): void {
    this.heldUntilMs = -Infinity;
    this.floorEpoch = Math.max(this.floorEpoch, metEpoch + 1);
  }

  private async write(
    precondition: objectStore.Precondition,
    nextEpoch: number,
    startedMs: number,
  ): Promise<boolean> {
    const epoch = Math.max(nextEpoch, this.floorEpoch);
    const expiresMs = this.clock.nowMs() + LEASE_DURATION_MS;
    const value = { holder: this.holder, epoch, expiresMs };
    try {
      await this.store.put('lease', LEASE_NAME, value, precondition);
    } catch (err) {
      // Another node was first. After a lost answer the next call reads its own entry back.
      if (failures.is(err, 'objectConflict')) return false;
      throw err;
    }
    this.epochValue = epoch;
    // Counted from before the calls, so that a pause in between does not lengthen the lease.
    this.heldUntilMs = startedMs + LEASE_DURATION_MS;
    this.renewedMs = startedMs;
    return this.isHeld;
  }
}

function parseLease(value: unknown): LeaseValue {
  const checked = leaseSchema.safeParse(value);
  return checked.success ? checked.data : { holder: '', epoch: 0, expiresMs: 0 };
}
