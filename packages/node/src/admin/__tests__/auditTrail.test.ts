import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { memoryObjectStore } from '@godwittrack/platform';
import * as logging from '../../logging.js';
import * as auditTrail from '../auditTrail.js';

function entryOf(atMs: number, version: number | null): auditTrail.NewAuditEntry {
  return {
    ...{ atMs, version, actor: 'a', action: 'ticket.file', ticket: atMs, outcome: 'accepted' },
    ...{ resources: ['service/a'], detail: '' },
  };
}

describe('audit trail', () => {
  const log = logging.createSilentLogger();

  // Guards against entries that are lost in an outage or written twice after a lost answer.
  it('stores every entry exactly once despite outages and lost answers', async () => {
    const store = new memoryObjectStore.MemoryObjectStore();
    const trail = new auditTrail.AuditTrail(store, 'n', log);
    let calls = 0;
    store.faults = () => {
      calls += 1;
      if (calls % 3 === 0) return 'answerLost';
      return calls % 2 === 0 ? 'unavailable' : null;
    };
    for (let n = 1; n <= 5; n++) await trail.record(entryOf(n, n));
    await trail.record(entryOf(6, null));
    await trail.settled();
    store.faults = () => null;
    const read = await trail.read(100);
    assert.deepEqual(
      read.map(({ atMs }) => atMs),
      [6, 5, 4, 3, 2, 1],
    );
    assert.equal((await trail.read(100, 'other')).length, 0);
  });

  // Guards against a trail that grows without bound.
  it('overwrites the oldest accepted ticket', async () => {
    const store = new memoryObjectStore.MemoryObjectStore();
    const trail = new auditTrail.AuditTrail(store, 'n', log);
    for (let n = 1; n <= 5_000; n++) {
      await trail.record(entryOf(n, n));
      if (n % 500 === 0) await trail.settled();
    }
    await trail.settled();
    const read = await trail.read(10_000);
    assert.equal(read.length, 4_096);
    assert.equal(read[read.length - 1]?.version, 5_000 - 4_095);
  });
});
