import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
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
    requests.onAdvertised({
      node: ids.nodeId(name),
      version,
      delayMs,
      request: () => requested.push(name),
    });
  }

  // A restarted node requested the configuration from each of 72 others, which saturated the links between
  // regions.
  it('requests a version that many nodes advertise from one of them', () => {
    for (let i = 0; i < 72; i += 1) advertise(`n${i}`, 7);
    assert.deepEqual(requested, ['n0']);
    activeVersion = 7;
    requests.requestDue();
    assert.deepEqual(requested, ['n0']);
  });

  it('requests a newer version that was advertised while it waited', () => {
    advertise('a', 7);
    advertise('b', 9);
    activeVersion = 7;
    requests.requestDue();
    assert.deepEqual(requested, ['a', 'b']);
  });

  it('requests from another node if the first does not respond', () => {
    advertise('a', 7);
    advertise('b', 7);
    now = 499;
    requests.requestDue();
    assert.deepEqual(requested, ['a']);
    now = 500;
    requests.requestDue();
    assert.deepEqual(requested, ['a', 'b']);
  });

  it('asks nodes in turn while none of them responds', () => {
    advertise('a', 7);
    advertise('b', 7);
    for (now = 500; now <= 1_500; now += 500) requests.requestDue();
    assert.deepEqual(requested, ['a', 'b', 'a', 'b']);
  });

  it('does not request a version that arrives from the own failure domain within the delay', () => {
    for (let version = 1; version <= 40; version += 1) {
      advertise('remote', version, configurationRequests.REMOTE_REQUEST_DELAY_MS);
      now += 240;
      activeVersion = version;
      requests.requestDue();
    }
    assert.deepEqual(requested, []);
  });

  it('prefers a node of the own failure domain', () => {
    advertise('remote', 8, configurationRequests.REMOTE_REQUEST_DELAY_MS);
    advertise('near', 7);
    assert.deepEqual(requested, ['near']);
  });

  it('does not request the active version or older ones', () => {
    activeVersion = 7;
    advertise('a', 7);
    advertise('b', 6);
    assert.deepEqual(requested, []);
  });
});
