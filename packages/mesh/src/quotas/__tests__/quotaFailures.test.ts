import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as quotaFleet from './quotaFleet.js';

const HOSTS = 24;
const QUOTA = { ratePerSecond: 200, burst: 100 };
const ACME = ids.customerName('acme');
const START_MS = 5_000;
/** Twice the quota of a window, so that a second owner would be noticed. */
const FLOOD_PER_MS = 0.5;

describe('quotas in failures', () => {
  let fleet: quotaFleet.QuotaFleet;

  beforeEach(() => {
    fleet = new quotaFleet.QuotaFleet(7, HOSTS);
    fleet.setQuota('acme', QUOTA);
    fleet.runUntil(START_MS);
  });

  const owners = () => fleet.hosts.filter(({ isAlive, node }) => isAlive && node.owned > 0);
  const runsSince = (fromMs: number) =>
    (fleet.runs.get(ACME) ?? []).filter((atMs) => atMs >= fromMs).length;

  /** Requests at all given hosts in turn; more than the quota from each third of them. */
  function flood(hosts: readonly quotaFleet.Host[], forMs: number, perMs = FLOOD_PER_MS): void {
    const send = (i: number) =>
      fleet.at(fleet.now + i / perMs, () => fleet.request('acme', hosts[i % hosts.length]!));
    for (let i = 0; i < forMs * perMs; i += 1) send(i);
  }

  function assertBound({ ratePerSecond, burst } = QUOTA): void {
    const excess = fleet.worstExcess(ACME, () => (ratePerSecond * 5 + burst) * 1.1 + 20);
    assert.ok(excess <= 0, `exceeded by ${excess}`);
  }

  // Every node sent votes to all seats, which were most of all messages.
  it('sends votes between seats only', () => {
    const before = fleet.messages;
    fleet.runUntil(START_MS + 2_000);
    const seats = fleet.hosts.filter(({ node }) => node.isSeat).length;
    assert.ok(seats < HOSTS / 2);
    assert.equal(fleet.messages - before, seats * (seats - 1) * 10);
  });

  it('refuses what exceeds the quota, at once and with the time until the next permit', () => {
    flood(fleet.hosts, 6_000);
    fleet.runUntil(START_MS + 6_500);
    assertBound();
    assert.ok(runsSince(START_MS) >= QUOTA.ratePerSecond * 6 * 0.95);
    const refused = fleet.requests.filter(({ decision }) => decision?.type === 'refused');
    for (const { decision } of refused) {
      assert.ok(decision?.type === 'refused' && decision.reason === 'overQuota');
      assert.ok(decision.retryAfterMs > 0 && decision.retryAfterMs <= 250);
    }
  });

  it('moves the quota of a killed owner in about a second', () => {
    const [owner] = owners();
    flood(fleet.hosts, 10_000);
    fleet.at(START_MS + 3_000, () => fleet.kill(owner!));
    fleet.runUntil(START_MS + 4_300);
    assert.ok(owners().length === 1 && owners()[0] !== owner);
    fleet.runUntil(START_MS + 5_000);
    fleet.runUntil(START_MS + 10_500);
    assertBound();
    assert.ok(runsSince(START_MS + 5_000) >= QUOTA.ratePerSecond * 5 * 0.8);
  });

  // A frozen owner finds all its votes and all asks of others in its queues when it resumes.
  it('grants nothing from old votes when a frozen owner resumes', () => {
    const [owner] = owners();
    flood([owner!, ...fleet.hosts], 14_000);
    fleet.at(START_MS + 3_000, () => fleet.freeze(owner!));
    fleet.at(START_MS + 8_000, () => fleet.thaw(owner!));
    fleet.runUntil(START_MS + 14_500);
    assertBound();
  });

  it('shares the quota between the sides of a partition, and joins it again', () => {
    const side = fleet.hosts.filter(
      (_host, i) => i % 3 === 0 || owners().includes(fleet.hosts[i]!),
    );
    flood(side, 20_000);
    flood(fleet.hosts, 20_000);
    fleet.at(START_MS + 3_000, () => fleet.partition(side, true));
    fleet.at(START_MS + 13_000, () => fleet.partition(side, false));
    fleet.runUntil(START_MS + 12_000);
    const lately = fleet.requests.filter(({ atMs }) => atMs > START_MS + 6_000);
    const run = lately.filter(({ decision }) => decision?.type === 'admitted');
    assert.ok(run.some(({ host }) => side.includes(host)));
    assert.ok(run.some(({ host }) => !side.includes(host)));
    fleet.runUntil(START_MS + 20_500);
    assertBound();
  });

  // Without votes, a node that cannot reach the owner, but all others, took itself for the owner as well.
  it('has one owner if only the link between the first two candidates is cut', () => {
    const [first] = owners();
    fleet.kill(first!);
    fleet.runUntil(START_MS + 3_000);
    const [second] = owners();
    fleet.start(first!);
    fleet.introduce(first!, fleet.hosts);
    fleet.cutBoth(first!, second!);
    const fromMs = fleet.now;
    flood([first!, second!], 10_000, 1);
    fleet.runUntil(fromMs + 10_500);
    assertBound();
    assert.ok(runsSince(fromMs + 5_000) >= QUOTA.ratePerSecond * 5 * 0.8);
  });

  // Two owners with the same votes would grant more than the quota, if only for a moment.
  it('counts no vote twice while votes move', () => {
    const side = fleet.hosts.filter((_host, i) => i % 4 < 2);
    const checkShares = () => {
      const shares = fleet.hosts.map(({ node, offsetMs, deferred }) => {
        const { votes, seats } = node.shareOf(ACME, fleet.now + offsetMs);
        return deferred === null ? votes / seats : 0;
      });
      const sum = shares.reduce((total, share) => total + share, 0);
      assert.ok(sum <= 1 + 1e-9, `${sum} at ${fleet.now}`);
    };
    for (let ms = 1; ms < 15_000; ms += 1) fleet.at(START_MS + ms, checkShares);
    fleet.at(START_MS + 100, () => fleet.partition(side, true));
    fleet.at(START_MS + 5_000, () => fleet.partition(side, false));
    fleet.at(START_MS + 9_000, () => fleet.freeze(owners()[0]!));
    fleet.at(START_MS + 12_000, () => fleet.hosts.forEach((host) => fleet.thaw(host)));
    fleet.runUntil(START_MS + 15_000);
  });

  // Each side removes the unreachable members and would then have taken itself for the whole fleet.
  it('keeps the bound if both sides of a long partition remove the members of the other', () => {
    const side = fleet.hosts.filter((_host, i) => i % 3 === 0);
    const rest = fleet.hosts.filter((host) => !side.includes(host));
    fleet.partition(side, true);
    fleet.at(START_MS + 30_000, () => {
      for (const host of side) fleet.remove(host, rest);
      for (const host of rest) fleet.remove(host, side);
    });
    fleet.runUntil(START_MS + 88_000);
    flood(side, 25_000);
    flood(rest, 25_000);
    fleet.runUntil(START_MS + 113_500);
    assertBound();
    assert.ok(runsSince(START_MS + 105_000) >= QUOTA.ratePerSecond * 8 * 0.9);
  });

  it('leaves nodes without any owner their floors, which add up to a part of the tolerance', () => {
    for (const a of fleet.hosts) for (const b of fleet.hosts) if (a !== b) fleet.cut(a, b);
    fleet.runUntil(START_MS + 40_000);
    flood(fleet.hosts, 15_000);
    const fromMs = fleet.now;
    fleet.runUntil(fromMs + 15_500);
    const excess = fleet.worstExcess(ACME, () => 0.4 * (20 + 0.1 * QUOTA.burst));
    assert.ok(excess <= 0, `exceeded by ${excess}`);
    assert.ok(runsSince(fromMs) >= 20);
  });

  it('hands over without a gap when an owner stops, and starts with an empty bucket', () => {
    const [owner] = owners();
    const others = fleet.hosts.filter((host) => host !== owner);
    flood(others, 4_000, 0.05);
    fleet.at(START_MS + 2_000, () => owner!.node.leave(fleet.now + owner!.offsetMs));
    fleet.runUntil(START_MS + 4_500);
    const refused = fleet.requests.filter(({ decision }) => decision?.type !== 'admitted');
    assert.ok(refused.length <= 5, `${refused.length} refused`);
    assert.ok(owners().length === 1 && owners()[0] !== owner);
  });

  it('applies a lower quota at once', () => {
    const lower = { ratePerSecond: 20, burst: 10 };
    flood(fleet.hosts, 12_000);
    fleet.runUntil(START_MS + 4_000);
    fleet.setQuota('acme', lower);
    fleet.runUntil(START_MS + 5_000);
    const before = runsSince(0);
    fleet.runUntil(START_MS + 10_000);
    assert.ok(runsSince(0) - before <= lower.ratePerSecond * 5 * 1.1 + lower.burst + 20);
  });

  // Requests that were refused for lack of capacity used up the quota.
  it('does not count requests that were refused after their admission', () => {
    const host = fleet.hosts.find((each) => !owners().includes(each))!;
    const send = (i: number) =>
      fleet.at(fleet.now + i * 2, () => fleet.request('acme', host, i % 4 !== 0));
    for (let i = 0; i < 2_000; i += 1) send(i);
    fleet.runUntil(START_MS + 4_500);
    const kept = fleet.requests.filter(({ isReleased }) => !isReleased);
    const refused = kept.filter(({ decision }) => decision?.type === 'refused');
    assert.ok(refused.length <= kept.length * 0.02, `${refused.length} of ${kept.length} refused`);
    assertBound();
  });
});
