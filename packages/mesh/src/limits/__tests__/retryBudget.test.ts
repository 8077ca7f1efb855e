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
});
