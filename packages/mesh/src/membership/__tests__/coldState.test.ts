import * as assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { ids } from '@godwittrack/core';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as fixtures from '../../__tests__/fixtures.js';
import type * as configuration from '../../config/configuration.js';
import * as rateLimiter from '../../limits/rateLimiter.js';
import * as meters from '../../observability/meters.js';
import * as coldState from '../coldState.js';
import * as coldWatch from '../coldWatch.js';
import * as localUpstream from '../localUpstream.js';

const PROTECTION = { durationMs: 20_000, perSecond: 4 };
const INSTANCE = ids.instanceId('i-1');

describe('cold upstreams', () => {
  let now: number;
  let coldStart: configuration.ColdStart | null;
  let isConfigured: boolean;
  let upstream: localUpstream.LocalUpstream;
  let cold: coldState.ColdState;
  let published: (number | null)[];

  function create(): void {
    cold = new coldState.ColdState({
      coldStartOf: () => coldStart,
      isConfigured: () => isConfigured,
      nowMs: () => now,
    });
    upstream = new localUpstream.LocalUpstream(fixtures.UPSTREAM_ADDRESS, () => now, cold);
    published = [];
    upstream.onChange((state) => published.push(state?.limitPerSecond ?? null));
  }

  const announce = (
    coldRemainingMs: number | null,
    sequence = Math.round(now) + 1,
    overrides: Partial<localUpstream.Announcement> = {},
  ) => upstream.announce(fixtures.announcement({ coldRemainingMs, sequence, ...overrides }));

  beforeEach(() => {
    now = 0;
    coldStart = PROTECTION;
    isConfigured = true;
    create();
  });

  describe('state', () => {
    it('is cold for the announced time and turns cold again at any announcement', () => {
      announce(5_000);
      assert.equal(upstream.startLimitPerSecond, 4);
      now = 5_000;
      assert.equal(upstream.startLimitPerSecond, null);
      announce(0);
      announce(7_000, 9_000);
      assert.equal(upstream.startLimitPerSecond, 4);
    });

    // A record without the limit would bring the former load to an upstream that has just started.
    it('publishes another incarnation with its limit at once', () => {
      announce(0);
      announce(20_000, 1, { bornMs: 2_000 });
      assert.deepEqual(published, [null, 4]);
    });

    it('counts as cold after a restart, an end, failed connections and an evacuation', () => {
      announce(0);
      for (const reason of ['upstreamEnded', 'upstreamUnreachable', 'evacuationEnded'] as const) {
        cold.invalidate(reason);
        assert.equal(upstream.startLimitPerSecond, 4, reason);
        now += 2_000;
        announce(0);
        assert.equal(upstream.startLimitPerSecond, null, reason);
      }
      const { state } = upstream;
      create();
      upstream.restore(state!);
      assert.equal(upstream.startLimitPerSecond, 4);
    });

    // An announcement sent before a crash arrived after it, and lifted the limit of the next start.
    it('is not settled by an announcement from before the end of the upstream', () => {
      announce(0);
      cold.invalidate('upstreamEnded');
      now = 500;
      announce(0);
      assert.equal(upstream.startLimitPerSecond, 4);
      announce(0, 1, { bornMs: 2_000 });
      assert.equal(upstream.startLimitPerSecond, null);
    });

    it('stays cold while no valid time is stated, and learns from one health check', () => {
      announce(null);
      assert.deepEqual(cold.knowledge, { type: 'unknown', reason: 'notStated' });
      const { epoch } = cold;
      cold.invalidate('upstreamUnreachable');
      cold.recordHealth(epoch, 0);
      assert.equal(upstream.startLimitPerSecond, 4, 'an answer from before the failure');
      cold.recordHealth(cold.epoch, 0);
      assert.equal(upstream.startLimitPerSecond, null);
      announce(3_000, 99);
      cold.recordHealth(cold.epoch, 0);
      assert.equal(upstream.startLimitPerSecond, 4, 'a late answer against an announcement');
    });

    it('follows the configuration at once, and keeps the lower of two limits', () => {
      announce(10_000);
      upstream.recordLimit(INSTANCE, 2);
      assert.equal(upstream.startLimitPerSecond, 2);
      upstream.recordLimit(INSTANCE, 50);
      assert.equal(upstream.startLimitPerSecond, 4);
      for (const next of [null, { durationMs: 1, perSecond: 9 }]) {
        coldStart = next;
        cold.review();
        assert.equal(upstream.startLimitPerSecond, next?.perSecond ?? 50);
      }
      assert.deepEqual(published, [4, 2, 4, 50, 9]);
    });

    it('takes the least while the node has no configuration, only if it is stated to be cold', () => {
      isConfigured = false;
      announce(0);
      assert.equal(upstream.startLimitPerSecond, null);
      announce(9_000, 9);
      assert.equal(upstream.startLimitPerSecond, 0);
      isConfigured = true;
      cold.review();
      assert.equal(upstream.startLimitPerSecond, 4);
    });

    // The limit of the cold time, returned by other nodes, would have stayed as a stated one.
    it('does not keep a restored limit of the cold time when the upstream is warm', () => {
      announce(10_000);
      const { state } = upstream;
      create();
      upstream.restore(state!);
      announce(0);
      assert.equal(upstream.startLimitPerSecond, null);
    });
  });

  describe('without protection', () => {
    it('publishes the same records, and tells no listener', () => {
      coldStart = null;
      let changes = 0;
      cold.onChange(() => {
        changes += 1;
      });
      announce(9_000);
      announce(null, 9);
      cold.invalidate('upstreamEnded');
      assert.deepEqual(published, [null]);
      assert.equal(changes, 0);
    });
  });

  describe('watch', () => {
    let checks: number;
    let answer: coldWatch.HealthOutcome;

    afterEach(() => mock.timers.reset());

    beforeEach(() => {
      checks = 0;
      answer = { type: 'answer', coldRemainingMs: 0 };
      mock.timers.enable({ apis: ['setTimeout'] });
      createWatch();
    });

    function createWatch(): coldWatch.ColdWatch {
      return new coldWatch.ColdWatch({
        state: cold,
        checkHealth: () => {
          checks += 1;
          return Promise.resolve(answer);
        },
        log: fixtures.silentLog(),
        meters: meters.createMetrics(),
        nowMs: () => now,
      });
    }

    async function advance(ms: number): Promise<void> {
      for (let step = 0; step < ms; step += 10) {
        now += 10;
        mock.timers.tick(10);
        await Promise.resolve();
      }
    }

    it('publishes the end of the cold time when it comes', async () => {
      announce(5_000);
      announce(4_000, 9);
      await advance(3_990);
      assert.deepEqual(published, [4]);
      await advance(20);
      assert.deepEqual(published, [4, null]);
      assert.equal(checks, 0);
    });

    it('settles an unknown state by one health check', async () => {
      announce(0);
      cold.invalidate('evacuationEnded');
      await advance(400);
      assert.equal(checks, 1);
      assert.deepEqual(published, [null, 4, null]);
    });

    it('sends no health check if an announcement comes first', async () => {
      announce(0);
      cold.invalidate('evacuationEnded');
      await advance(200);
      announce(0, 999);
      await advance(2_000);
      assert.equal(checks, 0);
    });

    // Each check costs a slot and a request of a cold upstream.
    it('does not repeat a check that failed, nor one for each announcement without a time', async () => {
      answer = { type: 'none', reason: 'upstreamDown' };
      announce(0);
      cold.invalidate('upstreamEnded');
      for (let i = 0; i < 40; i += 1) {
        cold.invalidate('upstreamUnreachable');
        cold.review();
        await advance(100);
      }
      assert.equal(checks, 1);
      answer = { type: 'answer', coldRemainingMs: 0 };
      for (let i = 0; i < 20; i += 1) {
        announce(null, 10_000 + i);
        await advance(1_500);
      }
      assert.ok(checks <= 3, String(checks));
    });
  });

  describe('bound', () => {
    /** Random life of one upstream; the judge knows its real state and the configuration in force. */
    function play(seed: number): void {
      const rng = random.xoroshiro128plus(seed);
      const draw = () => uniform.uniformFloat64(rng);
      coldStart = PROTECTION;
      now = 0;
      create();
      let limiter = new rateLimiter.RateLimiter();
      let bornMs = 1;
      let warmAtMs = 6_000;
      let sequence = 0;
      let nextAnnouncementMs = 0;
      const late: { atMs: number; next: localUpstream.Announcement }[] = [];
      /** Starts while the upstream was cold and the node could know it. */
      let starts: number[] = [];
      let allowed = 0;
      const count = () => {
        const recent = starts.filter((at) => at > now - 1_000);
        starts = recent;
        assert.ok(recent.length <= allowed, `seed ${seed}: ${recent.length} at ${now}`);
      };
      let isTold = true;
      let load = 100;
      for (; now < 60_000; now += 2) {
        if (draw() < 0.0003) load = draw() < 0.5 ? 400 : 5;
        if (draw() < 0.0001) {
          // Ends and starts again under the same id.
          cold.invalidate(draw() < 0.5 ? 'upstreamEnded' : 'upstreamUnreachable');
          bornMs += 1;
          warmAtMs = now + 1_000 + draw() * 9_000;
          isTold = true;
        }
        if (draw() < 0.0001) {
          warmAtMs = now + draw() * 6_000;
          isTold = false;
        }
        if (draw() < 0.0001) {
          const { state } = upstream;
          create();
          limiter = new rateLimiter.RateLimiter();
          if (state !== null) upstream.restore(state);
          isTold = true;
        }
        if (draw() < 0.0001) {
          coldStart = draw() < 0.3 ? null : { durationMs: 9_000, perSecond: 1 + draw() * 9 };
          cold.review();
          starts = [];
        }
        if (draw() < 0.0001) upstream.recordLimit(INSTANCE, draw() < 0.5 ? null : draw() * 40);
        if (now >= nextAnnouncementMs) {
          nextAnnouncementMs = now + 1_300 + draw() * 400;
          sequence += 1;
          const coldRemainingMs = draw() < 0.05 ? null : Math.max(0, warmAtMs - now);
          const next = fixtures.announcement({ coldRemainingMs, sequence, bornMs });
          late.push({ atMs: now + (draw() < 0.2 ? draw() * 1_500 : 5), next });
        }
        for (const [i, { atMs, next }] of [...late.entries()].reverse()) {
          if (atMs <= now) {
            late.splice(i, 1);
            const isCurrent = next.bornMs === bornMs && (next.coldRemainingMs ?? 1) > 0;
            if (upstream.announce(next) === 'accepted' && isCurrent) isTold = true;
          }
        }
        limiter.setRate(upstream.startLimitPerSecond, now);
        allowed = (coldStart?.perSecond ?? 0) * 1.5 + 8;
        const isProtected = coldStart !== null && now < warmAtMs && isTold;
        for (let i = 0; i < 3; i += 1) {
          const starting = upstream.state !== null && draw() < load / 500;
          if (starting && limiter.tryTake(now) && isProtected) starts.push(now);
        }
        if (isProtected) count();
        else starts = [];
      }
    }

    // Senders know nothing of the limit, announcements are late or lost in value, and anything may restart.
    it('holds in any second over many random lives', () => {
      for (let seed = 1; seed <= 40; seed += 1) play(seed);
    });
  });
});
