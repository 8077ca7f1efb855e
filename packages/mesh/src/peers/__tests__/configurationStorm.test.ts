import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as configurationRequests from '../configurationRequests.js';

const STORM_MS = 8_000;
/** Interval at which a node checks for requests that are due. */
const CHECK_INTERVAL_MS = 200;
/** Shortest and longest time from one version to the next. */
const MIN_GAP_MS = 20;
const MAX_GAP_MS = 600;

/** Longest time for which an advertised version stayed unrequested, with versions `gapsMs` apart. */
function longestDelayMs(gapsMs: readonly number[]): number {
  let now = 0;
  let active = 0;
  let longest = 0;
  const missing: { version: number; atMs: number }[] = [];
  const requests = new configurationRequests.ConfigurationRequests({
    activeVersion: () => active,
    nowMs: () => now,
  });
  const node = ids.nodeId('remote');
  let version = 0;
  let nextVersionMs = 0;
  const request = () => {
    active = version;
    for (const { atMs } of missing.splice(0)) longest = Math.max(longest, now - atMs);
  };
  for (; now < STORM_MS; now += 1) {
    if (now === nextVersionMs) {
      nextVersionMs += gapsMs[version % gapsMs.length]!;
      version += 1;
      missing.push({ version, atMs: now });
      const delayMs = configurationRequests.REMOTE_REQUEST_DELAY_MS;
      requests.onAdvertised({ node, version, delayMs, request });
    }
    if (now % CHECK_INTERVAL_MS === 0) requests.requestDue();
  }
  return missing.reduce((most, { atMs }) => Math.max(most, now - atMs), longest);
}

describe('configuration storm', () => {
  const limitMs = configurationRequests.REMOTE_REQUEST_DELAY_MS + CHECK_INTERVAL_MS;

  // Each newer version restarted the delay of the request, so a failure domain without a working watch
  // answered 404 for new routes as long as versions came faster than the delay.
  it('requests a version within the delay while newer ones keep coming every 240 ms', () => {
    assert.ok(longestDelayMs([240]) <= limitMs, `${longestDelayMs([240])} ms`);
  });

  it('requests a version within the delay at any pace of versions', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: MIN_GAP_MS, max: MAX_GAP_MS }), { minLength: 1 }),
        (gapsMs) => longestDelayMs(gapsMs) <= limitMs,
      ),
    );
  });
});
