import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as coldState from '../../membership/coldState.js';
import * as localUpstream from '../../membership/localUpstream.js';
import * as connectFailures from '../connectFailures.js';

describe('ConnectFailures', () => {
  // A warm upstream was limited to the rate of a cold one after its own node had closed a new connection.
  it('makes the cold state unknown only after failures that the upstream caused', () => {
    const cold = new coldState.ColdState({
      coldStartOf: () => ({ durationMs: 3_000, perSecond: 2 }),
      isConfigured: () => true,
      nowMs: () => 0,
    });
    const upstream = new localUpstream.LocalUpstream(fixtures.UPSTREAM_ADDRESS, () => 0, cold);
    upstream.announce(fixtures.announcement({ coldRemainingMs: 0, service: ids.serviceName('s') }));
    const log = fixtures.silentLog();
    const options = { upstream, log, nowMs: () => 0, onDown: () => {} };
    const subject = new connectFailures.ConnectFailures(options);
    subject.record({ type: 'unsent', detail: 'cancelled', closedBy: 'node' });
    assert.equal(cold.isCold, false);
    subject.record({ type: 'unsent', detail: 'refused', closedBy: 'upstream' });
    assert.equal(cold.isCold, true);
  });
});
