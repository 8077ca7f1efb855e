import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import type * as crashRecords from '../crashRecords.js';
import * as quarantine from '../quarantine.js';

const endOf = (n: number, wasSuspect = n > 1) => ({ id: ids.upstreamEndId(`e-${n}`), wasSuspect });

describe('Quarantine', () => {
  const req = fixtures.forwardedRequest({ target: '/r/deadly' });
  const other = fixtures.forwardedRequest({ target: '/r/other' });
  let now: number;
  let subject: quarantine.Quarantine;
  let sent: { reports: crashRecords.CrashReport[]; origin: string }[];

  const recordEnds = (count: number) => {
    for (let n = 1; n <= count; n += 1) subject.recordEnd(req, endOf(n), 'self');
  };

  beforeEach(() => {
    now = 0;
    sent = [];
    subject = new quarantine.Quarantine({ log: fixtures.silentLog(), nowMs: () => now });
    subject.onChange((reports, origin) => sent.push({ reports, origin }));
  });

  it('lets requests pass during which no upstream has ended', () => {
    recordEnds(3);
    assert.deepEqual(subject.verdictOf(other), { type: 'clear' });
    assert.equal(subject.refusalOf(other), null);
  });

  it('counts one upstream once, whoever reports its end', () => {
    subject.recordEnd(req, endOf(1), 'self');
    subject.recordEnd(req, endOf(1), 'remote');
    assert.equal(subject.verdictOf(req).type, 'suspect');
    assert.equal(sent.length, 1);
  });

  // One request ended server after server, each time under a new id and at another node.
  it('blocks a request during which two upstreams have ended, also by reports of other nodes', () => {
    subject.recordEnd(req, endOf(1), 'self');
    const elsewhere = new quarantine.Quarantine({ log: fixtures.silentLog(), nowMs: () => now });
    elsewhere.recordEnd(req, endOf(2), 'self');
    subject.merge(elsewhere.repeatedReports(), 'remote');
    assert.equal(subject.verdictOf(req).type, 'suspect');
    elsewhere.merge(sent[0]!.reports, 'remote');
    subject.merge(elsewhere.repeatedReports(), 'remote');
    assert.equal(subject.verdictOf(req).type, 'blocked');
    assert.equal(elsewhere.verdictOf(req).type, 'blocked');
  });

  it('states when a blocked request may be tried again', () => {
    recordEnds(2);
    now = 1_000;
    const refusal = subject.refusalOf(req);
    assert.equal(refusal?.reason, quarantine.BLOCKED);
    assert.equal(refusal?.retryAfterMs, 29_000);
    assert.equal(refusal?.reachedUpstream, false);
  });

  it('tries a blocked request again after delays that grow with each end, up to half an hour', () => {
    const delays: number[] = [];
    for (let n = 1; n <= 8; n += 1) {
      subject.recordEnd(req, endOf(n), 'self');
      const verdict = subject.verdictOf(req);
      delays.push(verdict.type === 'blocked' ? verdict.retryAfterMs : 0);
      now += delays[n - 1]!;
      assert.equal(subject.verdictOf(req).type, 'suspect');
    }
    assert.deepEqual(delays, [0, 30e3, 180e3, 1_080e3, 1_800e3, 1_800e3, 1_800e3, 1_800e3]);
  });

  it('clears a request that was answered, and tells the other nodes', () => {
    recordEnds(2);
    subject.recordAnswer(req);
    assert.equal(subject.verdictOf(req).type, 'clear');
    const { reports, origin } = sent.at(-1)!;
    assert.equal(origin, 'self');
    const elsewhere = new quarantine.Quarantine({ log: fixtures.silentLog(), nowMs: () => now });
    elsewhere.recordEnd(req, endOf(1), 'self');
    elsewhere.merge(reports, 'remote');
    assert.equal(elsewhere.verdictOf(req).type, 'clear');
  });

  it('does not clear other requests', () => {
    recordEnds(2);
    subject.recordAnswer(other);
    assert.equal(subject.verdictOf(req).type, 'blocked');
  });

  // Servers that lost their power together had all been running the start page.
  it('soon tries a request again if all upstreams ended before it was a suspect', () => {
    for (const n of [1, 2, 3]) subject.recordEnd(req, endOf(n, false), 'self');
    assert.equal(subject.refusalOf(req)?.retryAfterMs, 5_000);
    now = 5_000;
    assert.equal(subject.verdictOf(req).type, 'suspect');
    subject.recordEnd(req, endOf(4, true), 'self');
    assert.equal(subject.refusalOf(req)?.retryAfterMs, 1_080_000);
  });

  it('runs a suspect once at a time', () => {
    assert.equal(subject.beginRun(req).wasSuspect, false);
    recordEnds(1);
    assert.equal(subject.refusalOf(req), null);
    const run = subject.beginRun(req);
    assert.equal(run.wasSuspect, true);
    assert.equal(subject.refusalOf(req)?.reason, quarantine.SUSPECT_RUNNING);
    assert.equal(subject.refusalOf(other), null);
    run.end();
    assert.equal(subject.refusalOf(req), null);
  });

  // The next end was blamed on an innocent request too, if it ran beside the one that caused both.
  it('runs suspects of the same end apart, as long as they have somewhere else to go', () => {
    const third = fixtures.forwardedRequest({ target: '/r/third', maxWaitMs: 100 });
    const unrelated = fixtures.forwardedRequest({ target: '/r/unrelated', maxWaitMs: 100 });
    recordEnds(1);
    subject.recordEnd(third, endOf(1), 'self');
    subject.recordEnd(unrelated, endOf(9), 'self');
    subject.beginRun(req);
    assert.equal(subject.refusalOf(third)?.reason, quarantine.BESIDE_SUSPECT);
    assert.equal(subject.refusalOf(unrelated), null);
    assert.equal(subject.refusalOf({ ...third, maxWaitMs: Infinity }), null);
  });

  // Each attempt found another upstream beside whose suspects it could run, and ended it.
  it('refuses further attempts at a suspect that it has sent on, for a while', () => {
    const third = fixtures.forwardedRequest({ target: '/r/third', maxWaitMs: 100 });
    recordEnds(1);
    subject.recordEnd(third, endOf(1), 'self');
    const run = subject.beginRun(req);
    assert.equal(subject.refusalOf(third)?.reason, quarantine.BESIDE_SUSPECT);
    run.end();
    assert.equal(subject.refusalOf(third)?.reason, quarantine.SUSPECT_RUNNING);
    assert.equal(subject.refusalOf({ ...third, maxWaitMs: Infinity }), null);
    now = 300;
    subject.prune();
    assert.equal(subject.refusalOf(third), null);
  });

  it('counts suspects and blocked requests', () => {
    recordEnds(2);
    subject.recordEnd(other, endOf(1), 'self');
    assert.deepEqual([subject.count('suspect'), subject.count('blocked')], [1, 1]);
  });

  it('repeats reports on requests that were blocked, also once they are cleared', () => {
    recordEnds(2);
    subject.recordEnd(other, endOf(1), 'self');
    assert.equal(subject.repeatedReports().length, 1);
    subject.recordAnswer(req);
    const [report] = subject.repeatedReports();
    assert.deepEqual(
      report!.ends.map(({ isVoid }) => isVoid),
      [true, true],
    );
  });

  it('forgets an end after an hour', () => {
    recordEnds(1);
    now = 3_600_001;
    subject.prune();
    assert.equal(subject.verdictOf(req).type, 'clear');
  });
});
