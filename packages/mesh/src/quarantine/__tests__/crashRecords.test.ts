import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import * as crashRecords from '../crashRecords.js';
import * as requestFingerprint from '../requestFingerprint.js';

const HOUR_MS = 3_600_000;

function report(
  req: number,
  end: number,
  isVoid = false,
  ageMs = 0,
  wasSuspect = false,
): crashRecords.CrashReport {
  return {
    fingerprint: fingerprintOf(req),
    ends: [{ end: ids.upstreamEndId(`e-${end}`), ageMs, wasSuspect, isVoid }],
  };
}

function request(n: number): ReturnType<typeof fixtures.forwardedRequest> {
  return fixtures.forwardedRequest({ target: `/r/${n}` });
}

function fingerprintOf(n: number): ids.RequestFingerprint {
  return requestFingerprint.fingerprintOf(request(n));
}

describe('CrashRecords', () => {
  let now: number;
  let subject: crashRecords.CrashRecords;

  const endsOf = (n: number) => [...(subject.heldEnds(fingerprintOf(n))?.ends ?? [])].sort();

  beforeEach(() => {
    now = 10 * HOUR_MS;
    subject = new crashRecords.CrashRecords(() => now);
  });

  describe('fingerprints', () => {
    const body = Buffer.from('body');
    const base = fixtures.forwardedRequest({ headers: ['Host', 'a.example', 'X-Id', '1'], body });

    it('are the same for attempts that differ in their ids and times only', () => {
      const again = { ...base, requestId: ids.requestId('other'), deadlineLeftMs: 1 };
      const headers = ['X-Id', '2', 'host', 'A.example'];
      assert.equal(
        requestFingerprint.fingerprintOf({ ...again, headers }),
        requestFingerprint.fingerprintOf(base),
      );
    });

    for (const [what, change] of Object.entries({
      method: { method: 'PUT' },
      target: { target: '/a/?b=d' },
      host: { headers: ['Host', 'b.example'] },
      caller: { callerService: ids.serviceName('other') },
      body: { body: Buffer.from('BODY') },
    })) {
      it(`differ by the ${what}`, () => {
        assert.notEqual(
          requestFingerprint.fingerprintOf({ ...base, ...change }),
          requestFingerprint.fingerprintOf(base),
        );
      });
    }
  });

  it('finds a request by its whole fingerprint', () => {
    const post = (text: string) => fixtures.forwardedRequest({ body: Buffer.from(text) });
    const fingerprint = requestFingerprint.fingerprintOf(post('bad'));
    subject.merge([{ ...report(1, 1), fingerprint }]);
    assert.equal(subject.find(post('bad')), fingerprint);
    assert.equal(subject.find(post('fine')), null);
    assert.equal(subject.find(post('of other length')), null);
  });

  it('returns only what was new, so that reports are not forwarded for ever', () => {
    assert.equal(subject.merge([report(1, 1), report(2, 1)]).length, 2);
    assert.deepEqual(subject.merge([report(1, 1)]), []);
    assert.deepEqual(subject.merge([report(1, 2)]), [report(1, 2)]);
    assert.equal(subject.merge([report(1, 1, true)]).length, 1);
    assert.deepEqual(subject.merge([report(1, 1, true), report(1, 1)]), []);
  });

  it('holds the same after merges in any order', () => {
    const reports = fc.array(
      fc.tuple(
        fc.integer({ min: 1, max: 4 }),
        fc.integer({ min: 1, max: 5 }),
        fc.boolean(),
        fc.boolean(),
      ),
      { maxLength: 30 },
    );
    fc.assert(
      fc.property(reports, fc.infiniteStream(fc.nat()), (tuples, order) => {
        const all = tuples.map(([req, end, isVoid, wasSuspect]) =>
          report(req, end, isVoid, 0, wasSuspect),
        );
        const shuffled = all
          .map((each) => ({ each, at: order.next().value }))
          .sort((a, b) => a.at - b.at)
          .map(({ each }) => each);
        const [one, other] = [all, shuffled].map((list) => {
          const records = new crashRecords.CrashRecords(() => now);
          for (const each of list) records.merge([each]);
          return [1, 2, 3, 4].map((n) => {
            const held = records.heldEnds(fingerprintOf(n));
            return [held?.hasSuspectRun, [...(held?.ends ?? [])].sort()];
          });
        });
        assert.deepEqual(one, other);
      }),
    );
  });

  it('voids the ends that it holds, and counts later ones', () => {
    subject.merge([report(1, 1), report(1, 2)]);
    const cleared = subject.clear(fingerprintOf(1));
    assert.deepEqual(
      cleared?.ends.map(({ end, isVoid }) => [end, isVoid]),
      [
        ['e-1', true],
        ['e-2', true],
      ],
    );
    assert.equal(subject.clear(fingerprintOf(1)), null);
    subject.merge([report(1, 1), report(1, 3)]);
    assert.deepEqual(endsOf(1), ['e-3']);
  });

  it('still counts an end after many void ones', () => {
    for (let end = 1; end <= 40; end += 1) {
      subject.merge([report(1, end)]);
      subject.clear(fingerprintOf(1));
    }
    subject.merge([report(1, 41)]);
    assert.deepEqual(endsOf(1), ['e-41']);
  });

  it('keeps the age of an end that another node reports', () => {
    subject.merge([report(1, 1, false, 4_000)]);
    now += 1_000;
    assert.equal(subject.reports(1, 10)[0]?.ends[0]?.ageMs, 5_000);
    assert.equal(subject.heldEnds(fingerprintOf(1))?.lastAtMs, now - 5_000);
  });

  it('drops records an hour after their last end, and takes none that are older', () => {
    subject.merge([
      report(1, 1),
      report(2, 1, false, HOUR_MS - 2),
      report(3, 1, false, HOUR_MS + 1),
    ]);
    assert.equal(subject.size, 2);
    now += 3;
    subject.prune();
    assert.equal(subject.find(request(2)), null);
    assert.equal(subject.find(request(1)), fingerprintOf(1));
    now += HOUR_MS;
    subject.prune();
    assert.equal(subject.size, 0);
    assert.equal(subject.find(request(1)), null);
  });

  // A version that ends with every request makes a record of each, which must not push out the proven ones.
  it('keeps requests with several ends in a flood of others', () => {
    subject.merge([report(0, 1), report(0, 2)]);
    for (let n = 1; n <= 5_000; n += 1) {
      now += 1;
      subject.merge([report(n, n)]);
    }
    assert.deepEqual(endsOf(0), ['e-1', 'e-2']);
    assert.deepEqual(endsOf(5_000), ['e-5000']);
    assert.ok(subject.size < 2_100);
    assert.equal(subject.find(request(1)), null);
  });
});
