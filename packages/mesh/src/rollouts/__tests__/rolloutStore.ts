import * as assert from 'node:assert/strict';
import * as fixtures from '../../__tests__/fixtures.js';
import * as fleetStore from '../../config/fleetStore.js';
import * as storeEra from '../../config/storeEra.js';

/** Stand-in of a store of which only the rollouts are read and written. */
export abstract class RolloutStore extends fleetStore.FleetStore {
  readonly era = new storeEra.StoreEra(fixtures.silentLog());

  readonly configuration = null as never;

  readonly evacuations = null as never;

  registerNode = () => assert.fail('not registered');

  listNodes = () => assert.fail('not listed');

  unregisterNode = () => assert.fail('not unregistered');

  readDepartures = () => assert.fail('departures were read');

  recordDepartures = () => assert.fail('departures were recorded');

  dropConnections = () => assert.fail('connections were dropped');
}
