import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as retryBudget from '../retryBudget.js';

const SERVICE = ids.serviceName('s');

describe('RetryBudget', () => {
  it('keeps the whole fleet within ratio and extra in any order of requests and retries', () => {
    const step = fc.record({ node: fc.nat(4), isRetry: fc.boolean() });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 2_000 }), (steps) => {
        const limits = { ratio: 0.2, extra: 20 };
        const nodes = Array.from({ length: 5 }, () => new retryBudget.RetryBudget(limits, () => 5));
        let requests = 0;
        let retries = 0;
        for (const { node, isRetry } of steps) {
          if (!isRetry) {
            nodes[node]!.deposit(SERVICE);
            requests += 1;
          } else if (nodes[node]!.tryWithdraw(SERVICE)) retries += 1;
        }
        assert.ok(retries <= limits.ratio * requests + limits.extra);
      }),
    );
  });

  it('allows nothing before the first request, so that restarted nodes do not add allowances', () => {
    const budget = new retryBudget.RetryBudget({ ratio: 0.2, extra: 64 }, () => 3);
    assert.equal(budget.tryWithdraw(SERVICE), false);
  });

  it('saves up no more than its part of the extra allowance', () => {
    const budget = new retryBudget.RetryBudget({ ratio: 0.2, extra: 64 }, () => 12);
    for (let i = 0; i < 10_000; i += 1) budget.deposit(SERVICE);
    let spent = 0;
    while (budget.tryWithdraw(SERVICE)) spent += 1;
    assert.ok(spent <= 64 / 12);
  });

  // A service got more repeated arrivals than its bound: its own retries, and the calls of repeated runs.
  it('leaves room for the calls that repeated runs of another service make again', () => {
    const limits = { ratio: 0.2, extra: 64 };
    const budget = new retryBudget.RetryBudget(limits, () => 12);
    const caller = ids.serviceName('caller');
    const total = 5_000;
    let repeated = 0;
    for (let i = 0; i < total; i += 1) {
      // Each request of the caller makes one call, and all of both fail.
      budget.deposit(caller);
      budget.deposit(SERVICE);
      if (budget.tryWithdraw(SERVICE)) repeated += 1;
      if (budget.tryWithdraw(caller)) repeated += 1;
    }
    assert.ok(repeated > total * 0.15);
    assert.ok(repeated <= limits.ratio * total + limits.extra, String(repeated));
  });
});
