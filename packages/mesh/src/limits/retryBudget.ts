/**
 * Limits repeats at each service over the whole fleet without asking anyone: every node spends only
 * what its own requests earned, and an equal part of the fixed allowance.
 */

import type { ids } from '@godwittrack/core';

export interface RetryBudgetOptions {
  /** Repeats allowed for each request, over the fleet. */
  ratio: number;
  /** Repeats allowed in a window beside the ratio, over the fleet. */
  extra: number;
}

/**
 * Part of the ratio that is spent. The rest covers repeats that a node does not see: calls that a
 * repeated run makes again, and windows in which the load falls.
 */
const SPENT_PART = 0.6;

interface Account {
  earned: number;
}

export class RetryBudget {
  private readonly accounts = new Map<ids.ServiceName, Account>();

  constructor(
    private readonly options: RetryBudgetOptions,
    private readonly fleetSize: () => number,
  ) {}

  /** A request for the service has come in at this node. */
  earn(service: ids.ServiceName): void {
    const account = this.account(service);
    account.earned = Math.min(this.cap(), account.earned + this.options.ratio * SPENT_PART);
  }

  /** @returns whether one more send may be made now */
  spend(service: ids.ServiceName): boolean {
    const account = this.account(service);
    if (account.earned < 1) return false;
    account.earned -= 1;
    return true;
  }

  /** Most that is saved up: a node's part of the extra allowance. */
  private cap(): number {
    return Math.max(1, (this.options.extra * SPENT_PART) / Math.max(1, this.fleetSize()));
  }

  private account(service: ids.ServiceName): Account {
    let account = this.accounts.get(service);
    if (account === undefined) {
      account = { earned: 0 };
      this.accounts.set(service, account);
    }
    return account;
  }
}
