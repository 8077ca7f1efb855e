import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { failures, ids, manifest, ticket as tickets } from '@godwittrack/core';
import type { resources } from '@godwittrack/core';
import * as configStore from '../configStore.js';

function advance(store: configStore.ConfigStore, number: number): void {
  const ticket = tickets.Ticket.parse({
    ...{ ticket: number, author: 'test', reason: 'test' },
    resources: [{ kind: 'service', name: 'a', spec: { queueLength: number } }],
  });
  const next = store.current.manifest.accept(ticket, 0).manifest;
  const bodies = new Map<ids.ContentHash, resources.RawSpec>();
  ticket.changes.forEach(({ hash, spec }) => {
    if (hash !== null && spec !== null) bodies.set(hash, spec);
  });
  store.apply(next, bodies);
}

describe('configuration store', () => {
  // Guards against a cached delta that is sent to a child with a different configuration.
  it('sends a diverged child the whole configuration', () => {
    const parent = new configStore.ConfigStore();
    [1, 2, 3].forEach((number) => advance(parent, number));
    const same = new configStore.ConfigStore();
    [1, 2].forEach((number) => advance(same, number));
    const digest = configStore.digestOf(same.current.manifest);
    const delta = parent.deltaFrom(2, digest);
    assert.equal(delta?.fromVersion, 2);
    assert.equal(parent.deltaFrom(2, digest), delta, 'the same delta serves all such children');
    assert.equal(parent.deltaFrom(2, 'other')?.fromVersion, 0);
    assert.ok(same.applyDelta(delta, 'parent'));
    assert.equal(same.version, 3);
  });

  // Guards against a return to an older version and against a partly applied delta.
  it('refuses older versions, other base versions, other digests and missing bodies', () => {
    const parent = new configStore.ConfigStore();
    [1, 2, 3].forEach((number) => advance(parent, number));
    const child = new configStore.ConfigStore();
    [1, 2].forEach((number) => advance(child, number));
    const whole = parent.deltaFrom(0, '');
    assert.ok(whole);
    const refusals = [
      { ...whole, fromVersion: 1 },
      { ...whole, manifestDigest: 'other' },
      { ...whole, bodies: [] },
    ];
    for (const delta of refusals) {
      assert.throws(() => child.applyDelta(delta, 'parent'), failures.FailureError);
      assert.equal(child.version, 2);
    }
    assert.equal(child.applyDelta({ ...whole, toVersion: 2 }, 'parent'), false);
    const older = new manifest.Manifest(ids.configVersion(1), []);
    assert.equal(child.apply(older, new Map()), false);
    assert.equal(child.version, 2);
  });
});
