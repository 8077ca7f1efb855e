import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as storeEra from '../storeEra.js';

const STORE = { origin: 'store', name: 'store' } as const;
const PEER = { origin: 'domain', name: 'node b' } as const;

describe('StoreEra', () => {
  let subject: storeEra.StoreEra;
  let rises: string[];

  const observe = (era: number, source: typeof STORE | typeof PEER = STORE) =>
    subject.observe(ids.storeEra(era), source);

  beforeEach(() => {
    subject = new storeEra.StoreEra(fixtures.silentLog());
    rises = [];
    subject.onRise(({ name }) => rises.push(`${subject.current} by ${name}`));
  });

  it('is unknown at first, and the first known era is not a rise', () => {
    assert.equal(subject.current, null);
    assert.equal(observe(4), true);
    assert.equal(subject.current, 4);
    assert.deepEqual(rises, []);
  });

  it('reports each rise once, whoever tells it first', () => {
    observe(4);
    observe(5, PEER);
    observe(5);
    observe(5, PEER);
    observe(7);
    assert.deepEqual(rises, ['5 by node b', '7 by store']);
  });

  // An answer from before a restore may arrive after it, and would bring back what was replaced since.
  it('never falls, and rejects answers of older eras', () => {
    observe(4);
    assert.equal(observe(5), true);
    assert.equal(observe(4), false);
    assert.equal(subject.current, 5);
  });
});
