/** Permits of one customer that a node holds. Each expires at a fixed time. */

export interface Permit {
  /** Id of the request to the owner that it was granted for. */
  requestId: number;
  /** After this time it is void. */
  expiresMs: number;
}

export class HeldPermits {
  /** Soonest to expire first. */
  private permits: Permit[] = [];

  add(permit: Permit, count: number): void {
    for (let i = 0; i < count; i += 1) this.permits.push(permit);
    this.permits.sort((a, b) => a.expiresMs - b.expiresMs);
  }

  count(nowMs: number): number {
    this.dropExpired(nowMs);
    return this.permits.length;
  }

  /** @returns null if none is valid */
  take(nowMs: number): Permit | null {
    this.dropExpired(nowMs);
    return this.permits.shift() ?? null;
  }

  /** Takes the permits that expire by the given time, except for the last `kept` ones. */
  takeExpiring(byMs: number, kept: number, nowMs: number): Permit[] {
    this.dropExpired(nowMs);
    const expiring = this.permits.filter(({ expiresMs }) => expiresMs <= byMs).length;
    const count = Math.min(expiring, Math.max(0, this.permits.length - kept));
    return this.permits.splice(0, count);
  }

  private dropExpired(nowMs: number): void {
    const expired = this.permits.findIndex(({ expiresMs }) => expiresMs > nowMs);
    if (expired !== 0) this.permits.splice(0, expired < 0 ? this.permits.length : expired);
  }
}
