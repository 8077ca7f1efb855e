import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import * as configurationRequests from '../configurationRequests.js';

describe('ConfigurationRequests', () => {
  let held: number;
  let now: number;
  let requested: string[];
  let requests: configurationRequests.ConfigurationRequests;

  beforeEach(() => {
    held = 0;
    now = 0;
    requested = [];
    requests = new configurationRequests.ConfigurationRequests({
      heldVersion: () => held,
      nowMs: () => now,
    });
  });

  function advertise(name: string, version: number, patienceMs = 0): void {
    requests.onAdvertised({ version, delayMs: patienceMs, request: () => requested.push(name) });
  }

  // A restarted node asked each of 72 others, which filled the links between regions.
  it('asks one of many nodes that offer the same version', () => {
    for (let i = 0; i < 72; i += 1) advertise(`n${i}`, 7);
    assert.deepEqual(requested, ['n0']);
    held = 7;
    requests.requestDeferred();
    assert.deepEqual(requested, ['n0']);
  });

  it('asks for what was heard of while it waited', () => {
    advertise('a', 7);
    advertise('b', 9);
    held = 7;
    requests.requestDeferred();
    assert.deepEqual(requested, ['a', 'b']);
  });

  it('asks another node where the first does not answer', () => {
    advertise('a', 7);
    advertise('b', 7);
    now = 499;
    requests.requestDeferred();
    assert.deepEqual(requested, ['a']);
    now = 500;
    requests.requestDeferred();
    assert.deepEqual(requested, ['a', 'b']);
  });

  it('does not ask for what is held', () => {
    held = 7;
    advertise('a', 7);
    advertise('b', 6);
    assert.deepEqual(requested, []);
  });
});
