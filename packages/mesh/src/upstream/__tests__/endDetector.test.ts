import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as members from '../../membership/members.js';
import * as endDetector from '../endDetector.js';
import type * as upstreamConnection from '../upstreamConnection.js';

describe('EndDetector', () => {
  const first = fixtures.member('a').upstream!;
  const END = members.endIdOf(first);
  let state: members.UpstreamState | null;
  let result: upstreamConnection.OpenResult;
  let probes: number;
  let onProbe: () => void | Promise<void>;
  let subject: endDetector.EndDetector;

  beforeEach(() => {
    state = first;
    result = 'refused';
    probes = 0;
    onProbe = () => {};
    subject = new endDetector.EndDetector({
      current: () => state,
      probe: async () => {
        probes += 1;
        await onProbe();
        return result;
      },
    });
  });

  it('reports an end if the upstream refuses connections', async () => {
    assert.equal(await subject.findEnd(first), END);
  });

  // A broken connection alone is no end: servers also break off single answers.
  it('reports none if a connection is opened or fails in another way', async () => {
    for (const other of ['open', 'failed'] as const) {
      result = other;
      assert.equal(await subject.findEnd(first), null);
    }
  });

  // Requests would wait for the connect timeout before they are sent elsewhere.
  it('reports none if the upstream does not answer a probe', async () => {
    onProbe = () => new Promise(() => {});
    assert.equal(await subject.findEnd(first), null);
  });

  it('reports an end without a probe if another incarnation has taken over', async () => {
    state = { ...first, bornMs: first.bornMs! + 1 };
    assert.equal(await subject.findEnd(first), END);
    assert.equal(probes, 0);
  });

  it('reports an end if another incarnation takes over during the probe', async () => {
    result = 'open';
    onProbe = () => {
      state = { ...first, instance: ids.instanceId('i-2') };
    };
    assert.equal(await subject.findEnd(first), END);
  });

  it('reports none for an upstream that was leaving', async () => {
    state = { ...first, leaving: true };
    assert.equal(await subject.findEnd(first), null);
  });

  it('probes once for connections that break together', async () => {
    const ends = await Promise.all([first, first, first].map((each) => subject.findEnd(each)));
    assert.deepEqual(ends, [END, END, END]);
    assert.equal(probes, 1);
  });
});
