import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { failures } from '@godwittrack/core';
import * as settings from '../settings.js';

const VALID = `
node: storefront-1
region: lower-mainland
failureDomain: lm-a
homeRegion: lower-mainland
platform:
  url: http://127.0.0.1:7000
listen:
  caller: 127.0.0.1:8101
  peer: 127.0.0.1:8201
  admin: 127.0.0.1:8301
`;

function problemsOf(text: string): [string, number | undefined][] {
  try {
    settings.parseSettings(text);
  } catch (err) {
    assert.ok(failures.is(err, 'invalidSettings'), String(err));
    return err.failure.problems.map(({ path, line }) => [path, line]);
  }
  return [];
}

describe('settings', () => {
  describe('defaults', () => {
    it('advertises the listen addresses when none are given', () => {
      const cfg = settings.parseSettings(VALID);
      assert.equal(cfg.advertise.peer, '127.0.0.1:8201');
      assert.equal(cfg.advertise.externalPeer, '127.0.0.1:8201');
      assert.equal(cfg.platform.timeoutMs, 2_000);
    });
  });

  describe('problems', () => {
    it('reports all problems at once, each with its line', () => {
      const text = VALID.replace('caller: 127.0.0.1:8101', 'caller: localhost:8101')
        .replace('url: http://127.0.0.1:7000', 'url: ftp://127.0.0.1:7000')
        .concat('drainTime: 10\n', 'colour: red\n');
      assert.deepEqual(problemsOf(text).sort(), [
        ['colour', 13],
        ['drainTime', 12],
        ['listen.caller', 9],
        ['platform.url', 7],
      ]);
    });

    it('refuses port 0 and ports beyond the range', () => {
      for (const port of ['0', '65536']) {
        const text = VALID.replace('peer: 127.0.0.1:8201', `peer: 127.0.0.1:${port}`);
        assert.deepEqual(problemsOf(text), [['listen.peer', 10]]);
      }
    });

    it('refuses a duplicate listen address and the own address as a seed', () => {
      const twice = VALID.replace('admin: 127.0.0.1:8301', 'admin: 127.0.0.1:8201');
      assert.deepEqual(problemsOf(twice), [['listen', 9]]);
      const seeds = VALID.concat('seeds: ["127.0.0.1:8201"]\n');
      assert.deepEqual(problemsOf(seeds), [['seeds', 12]]);
    });

    it('reports text that is not YAML, with its line', () => {
      const [first] = problemsOf('node: [a\nregion: b\n');
      assert.ok(first !== undefined && first[1] !== undefined);
    });
  });
});
