import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import * as configurationRequests from '../configurationRequests.js';

describe('ConfigurationRequests', () => {
  let activeVersion: number;
  let now: number;
  let requested: string[];
  let requests: configurationRequests.ConfigurationRequests;

  beforeEach(() => {
    activeVersion = 0;
    now = 0;
    requested = [];
    requests = new configurationRequests.ConfigurationRequests({
      activeVersion: () => activeVersion,
      nowMs: () => now,
    });
  });

  function advertise(name: string, version: number, delayMs = 0): void {
    requests.onAdvertised({ version, delayMs, request: () => requested.push(name) });
  }

  // A restarted node requested the configuration from each of 72 others, which saturated the links between
  // regions.
  it('requests a version that many nodes advertise from one of them', () => {
    for (let i = 0; i < 72; i += 1) advertise(`n${i}`, 7);
    assert.deepEqual(requested, ['n0']);
    activeVersion = 7;
    requests.requestDeferred();
    assert.deepEqual(requested, ['n0']);
  });

  it('requests a newer version that was advertised while it waited', () => {
    advertise('a', 7);
    advertise('b', 9);
    activeVersion = 7;
    requests.requestDeferred();
    assert.deepEqual(requested, ['a', 'b']);
  });

  it('requests from another node if the first does not respond', () => {
    advertise('a', 7);
    advertise('b', 7);
    now = 499;
    requests.requestDeferred();
    assert.deepEqual(requested, ['a']);
    now = 500;
    requests.requestDeferred();
    assert.deepEqual(requested, ['a', 'b']);
  });

  it('does not request the active version or older ones', () => {
    activeVersion = 7;
    advertise('a', 7);
    advertise('b', 6);
    assert.deepEqual(requested, []);
  });
});
