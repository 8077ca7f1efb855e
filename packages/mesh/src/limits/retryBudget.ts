/**
 * Limits the retries at each service over the whole fleet without coordination: every node retries
 * only in proportion to its own requests, and saves up no more than an equal part of the fixed
 * allowance.
 */

import type { ids } from '@godwittrack/core';

export interface RetryBudgetOptions {
  /** Retries allowed per request, over the fleet. */
  ratio: number;
  /** Retries allowed in a window in addition to the ratio, over the fleet. */
  extra: number;
}

/**
 * Share of both allowances that is used. The rest covers what a node does not see: nested calls
 * that are made again when a request is retried, and retries that fall into a window with fewer
 * requests than the one that allowed them. A service that is called by another one with as many
 * requests gets as many repeated calls as it may have retries, hence one half.
 */
const USABLE_SHARE = 0.5;

interface Account {
  /** Retries that may be sent now. */
  balance: number;
}

export class RetryBudget {
  private readonly accounts = new Map<ids.ServiceName, Account>();

  constructor(
    private readonly options: RetryBudgetOptions,
    private readonly fleetSize: () => number,
  ) {}

  /** Credits the account of a service for a request that came in at this node. */
  deposit(service: ids.ServiceName): void {
    const account = this.account(service);
    account.balance = Math.min(
      this.maxBalance(),
      account.balance + this.options.ratio * USABLE_SHARE,
    );
  }

  /** @returns whether a retry may be sent now; it is then charged to the account */
  tryWithdraw(service: ids.ServiceName): boolean {
    const account = this.account(service);
    if (account.balance < 1) return false;
    account.balance -= 1;
    return true;
  }

  /** Limit of the balance: this node's part of the extra allowance. */
  private maxBalance(): number {
    return Math.max(1, (this.options.extra * USABLE_SHARE) / Math.max(1, this.fleetSize()));
  }

  private account(service: ids.ServiceName): Account {
    let account = this.accounts.get(service);
    if (account === undefined) {
      account = { balance: 0 };
      this.accounts.set(service, account);
    }
    return account;
  }
}
