import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as placement from '../placement.js';

describe('resolvePlacement', () => {
  // Guards against data that leaves its region because one of two lists is empty or ignored.
  for (const [route, customer, allowed] of [
    ['', '', 'r1 r2'],
    ['r1', '', 'r1'],
    ['', 'r2', 'r2'],
    ['r1 r2', 'r2', 'r2'],
    ['r1', 'r2', ''],
  ] as const) {
    it(`of "${route}" and "${customer}" allows "${allowed}"`, () => {
      const homesOf = (text: string) => text.split(' ').filter(Boolean).map(ids.regionName);
      const resolved = placement.resolvePlacement(
        { homeRegions: homesOf(route) },
        { homeRegions: homesOf(customer) },
      );
      const regions = homesOf('r1 r2').filter((region) => placement.allows(resolved, { region }));
      assert.equal(regions.join(' '), allowed);
    });
  }
});
