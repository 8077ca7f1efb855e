/** Customers of a fleet as an operator writes them, with the times at which their keys and quotas hold. */

import type * as customerFleet from './customerFleet.js';
import * as fixtures from './fixtures.js';

/** Part of every key, by which a key is recognized in what an upstream receives. */
export const KEY_MARK = 'k3y-';
export const COLD_PER_SECOND = 10;
export const HOME_REGION = 'r-b';
export const TIMEOUT_MS = 4_000;

export interface Account {
  keys: string[];
  priority: number;
  /** Null for no quota. */
  quota: { ratePerSecond: number; burst: number } | null;
  homeRegions: readonly string[];
}

/** Time in which a key is in the store. */
export interface KeySpan {
  key: string;
  fromMs: number;
  /** Acknowledgement of the removal; Infinity before. */
  untilMs: number;
}

export interface QuotaChange {
  fromMs: number;
  ratePerSecond: number;
  burst: number;
}

export function keyOf(customer: string, n: number): string {
  return `${KEY_MARK}${customer}-${n}`;
}

/** @returns the customer by the name of a key, whether or not it holds the key at present */
export function customerOf(key: string): string {
  return key.slice(KEY_MARK.length, key.lastIndexOf('-'));
}

export class CustomerAccounts {
  readonly keySpans: KeySpan[] = [];

  readonly quotas = new Map<string, QuotaChange[]>();

  private version = 0;

  constructor(
    private readonly fleet: customerFleet.CustomerFleet,
    private readonly accounts: Map<string, Account>,
  ) {}

  /** Writes the changed accounts. */
  async change(apply: (accounts: Map<string, Account>) => void = () => {}): Promise<void> {
    let beforeMs = 0;
    const ackMs = await this.fleet.write((store) => {
      apply(this.accounts);
      this.version += 1;
      beforeMs = performance.now();
      store.write('config', 'main', this.document());
    });
    this.recordKeys(beforeMs, ackMs);
    this.recordQuotas(ackMs);
  }

  private recordKeys(beforeMs: number, ackMs: number): void {
    const held = new Set([...this.accounts.values()].flatMap(({ keys }) => keys));
    for (const span of this.keySpans) {
      if (span.untilMs !== Infinity) continue;
      if (!held.delete(span.key)) span.untilMs = ackMs;
    }
    for (const key of held) this.keySpans.push({ key, fromMs: beforeMs, untilMs: Infinity });
  }

  private recordQuotas(ackMs: number): void {
    for (const [name, { quota }] of this.accounts) {
      if (quota === null) continue;
      const changes = this.quotas.get(name) ?? [];
      const last = changes.at(-1);
      if (last?.ratePerSecond === quota.ratePerSecond && last.burst === quota.burst) continue;
      this.quotas.set(name, [...changes, { fromMs: ackMs, ...quota }]);
    }
  }

  private document(): object {
    const times = { timeout_ms: TIMEOUT_MS, target_latency_ms: 1_500, max_attempts: 2 };
    const routes = {
      'r-view': fixtures.route('/view/', times),
      'r-order': fixtures.route('/order/', { ...times, kind: 'unsafe' }),
      'r-home': fixtures.route('/home/', { ...times, home_regions: [HOME_REGION] }),
      'r-open': fixtures.route('/open/', { ...times, public: true }),
    };
    const tenants = Object.fromEntries(
      [...this.accounts].map(([name, { keys, priority, quota, homeRegions }]) => [
        name,
        {
          ...{ api_keys: keys, priority, home_regions: homeRegions },
          ...(quota === null ? {} : { rate_per_s: quota.ratePerSecond, burst: quota.burst }),
        },
      ]),
    );
    const shop = {
      ...{ health_path: '/health', max_connections: 130 },
      ...{ cold_start_s: 4, cold_per_s: COLD_PER_SECOND },
    };
    return { ...fixtures.configurationOf(this.version, routes), services: { shop }, tenants };
  }
}
