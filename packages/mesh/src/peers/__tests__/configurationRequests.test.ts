import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import * as configurationRequests from '../configurationRequests.js';

describe('ConfigurationRequests', () => {
  let held: number;
  let now: number;
  let asked: string[];
  let requests: configurationRequests.ConfigurationRequests;

  beforeEach(() => {
    held = 0;
    now = 0;
    asked = [];
    requests = new configurationRequests.ConfigurationRequests({
      heldVersion: () => held,
      nowMs: () => now,
    });
  });

  function offer(name: string, version: number, patienceMs = 0): void {
    requests.offered({ version, patienceMs, ask: () => asked.push(name) });
  }

  // A restarted node asked each of 72 others, which filled the links between regions.
  it('asks one of many nodes that offer the same version', () => {
    for (let i = 0; i < 72; i += 1) offer(`n${i}`, 7);
    assert.deepEqual(asked, ['n0']);
    held = 7;
    requests.review();
    assert.deepEqual(asked, ['n0']);
  });

  it('asks for what was heard of while it waited', () => {
    offer('a', 7);
    offer('b', 9);
    held = 7;
    requests.review();
    assert.deepEqual(asked, ['a', 'b']);
  });

  it('asks another node where the first does not answer', () => {
    offer('a', 7);
    offer('b', 7);
    now = 499;
    requests.review();
    assert.deepEqual(asked, ['a']);
    now = 500;
    requests.review();
    assert.deepEqual(asked, ['a', 'b']);
  });

  it('does not ask for what is held', () => {
    held = 7;
    offer('a', 7);
    offer('b', 6);
    assert.deepEqual(asked, []);
  });
});
