import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as quotaClient from '../quotaClient.js';
import * as quotaLedger from '../quotaLedger.js';
import * as quotaTolerance from '../quotaTolerance.js';
import * as quotaFleet from './quotaFleet.js';

const ACME = ids.customerName('acme');
const OWNER = ids.nodeId('owner');
const ASKER = ids.nodeId('asker');
const QUOTA = { ratePerSecond: 10, burst: 18 };
const RULES = quotaTolerance.permitRules(quotaFleet.TOLERANCE);
const PERMIT_MS = 400;

describe('QuotaLedger', () => {
  let votes: number;
  let ledger: quotaLedger.QuotaLedger;

  const ask = (wanted: number, nowMs: number, id = 1) =>
    ledger.grant(ASKER, id, { customer: ACME, wanted }, nowMs);
  const fill = (fromMs: number, untilMs: number) => {
    for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 200) ledger.review([ACME], nowMs);
  };

  beforeEach(() => {
    votes = 4;
    ledger = new quotaLedger.QuotaLedger({
      quotaOf: () => QUOTA,
      shareOf: () => ({ votes, seats: 4 }),
      tolerance: RULES,
    });
    ledger.review([ACME], 0);
  });

  // The owner before may have granted a whole burst a moment ago.
  it('starts with an empty bucket, and states when the next token is there', () => {
    assert.deepEqual(ask(1, 0), { granted: 0, retryAfterMs: 100 });
    assert.deepEqual(ask(1, 0), { granted: 0, retryAfterMs: 200 });
    assert.deepEqual(ask(3, 200), { granted: 2, retryAfterMs: 100 });
  });

  it('holds no more than the burst, and drops what exceeds a smaller share', () => {
    fill(0, 10_000);
    votes = 1;
    fill(10_000, 10_000);
    votes = 4;
    assert.equal(ask(100, 10_000)?.granted, (QUOTA.burst + RULES.extraBurst) / 4);
  });

  // A frozen process would otherwise add the tokens of a time in which another one granted them.
  it('adds no tokens for a long pause', () => {
    ledger.review([ACME], 60_000);
    assert.equal(ask(100, 60_000)?.granted, 5);
  });

  it('takes back what it granted, once and only while it is valid', () => {
    fill(0, 4_000);
    const returned = { customer: ACME, count: 9, requestId: 7 };
    assert.equal(ask(20, 4_000, 7)?.granted, 20);
    ledger.takeBack(ASKER, returned, 4_100);
    ledger.takeBack(OWNER, returned, 4_100);
    ledger.takeBack(ASKER, { ...returned, count: 20 }, 4_000 + PERMIT_MS + 1);
    assert.equal(ask(100, 4_000 + PERMIT_MS)?.granted, 9 + 4);
  });
});

describe('QuotaClient', () => {
  let client: quotaClient.QuotaClient;
  let decisions: quotaClient.Decision[];

  const admit = (nowMs: number) => client.admit(ACME, nowMs, (each) => decisions.push(each));
  const reply = (nowMs: number, granted: number, retryAfterMs: number) => {
    const [sent] = client.takeRequests(nowMs);
    const grant = { customer: ACME, granted, retryAfterMs, isOwner: true, owner: null };
    return () =>
      client.receive({ type: 'quotaGrant', id: sent!.request.id, grants: [grant] }, nowMs);
  };

  beforeEach(() => {
    decisions = [];
    client = new quotaClient.QuotaClient({
      quotaOf: () => QUOTA,
      ownerOf: () => OWNER,
      floorAdmits: () => false,
      permitMs: RULES.permitMs,
    });
  });

  // A node that was frozen held permits of a window long past.
  it('uses no permit, and no reply, that is older than its validity', () => {
    admit(0);
    const receive = reply(0, 1, 0);
    client.expire(PERMIT_MS);
    receive();
    client.expire(PERMIT_MS);
    assert.deepEqual(decisions, [{ type: 'refused', reason: 'noQuotaOwner', retryAfterMs: 1_000 }]);
    admit(1_000);
    reply(1_000, 1, 0)();
    const [, second] = decisions;
    assert.ok(second?.type === 'admitted');
    client.release(ACME, second.permit, 1_000 + PERMIT_MS);
    assert.equal(admit(1_000 + PERMIT_MS), null);
  });

  it('refuses at once, without asking, until the owner has permits again', () => {
    admit(0);
    reply(0, 0, 90)();
    assert.deepEqual(decisions, [{ type: 'refused', reason: 'overQuota', retryAfterMs: 90 }]);
    assert.deepEqual(admit(30), { type: 'refused', reason: 'overQuota', retryAfterMs: 60 });
    assert.equal(client.hasRequests, false);
    assert.equal(admit(90), null);
    assert.equal(client.hasRequests, true);
  });

  // Each request of a steady customer would otherwise wait for a round trip.
  it('asks ahead for customers that are used steadily, and not for others', () => {
    const wantedFor = (intervalMs: number, fromMs: number) => {
      for (let i = 0; i < 60; i += 1) admit(fromMs + i * intervalMs);
      return client.takeRequests(fromMs + 60 * intervalMs)[0]!.request.asks[0]!.wanted - 60;
    };
    assert.equal(wantedFor(2_000, 0), 0);
    assert.ok(wantedFor(20, 1_000_000) >= 5);
  });
});
