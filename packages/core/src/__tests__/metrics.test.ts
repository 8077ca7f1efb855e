import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as metrics from '../metrics.js';

describe('metrics', () => {
  it('keeps one series for equal labels in any order', () => {
    const meters = new metrics.Metrics();
    meters.increment('requests_total', { a: '1', b: '2' });
    meters.increment('requests_total', { b: '2', a: '1' });
    assert.equal(meters.counter('requests_total', { a: '1', b: '2' }), 2);
  });

  it('escapes label values, so that a name cannot break the text format', () => {
    const meters = new metrics.Metrics();
    meters.increment('requests_total', { route: 'a"b\\c\nd' });
    assert.match(meters.render(), /requests_total\{route="a\\"b\\\\c\\nd"\} 1\n/);
  });

  it('states what a metric counts', () => {
    const meters = new metrics.Metrics();
    meters.describe({ requests_total: 'Requests by outcome.' });
    meters.increment('requests_total');
    assert.match(
      meters.render(),
      /# HELP requests_total Requests by outcome\.\n# TYPE requests_total counter\n/,
    );
  });

  it('renders quantiles, sum and count of a histogram in seconds', () => {
    const meters = new metrics.Metrics();
    for (let ms = 1; ms <= 100; ms++) meters.observeMs('request_seconds', ms);
    const text = meters.render();
    const median = Number(/request_seconds\{quantile="0.5"\} (\S+)/.exec(text)?.[1]);
    assert.ok(median >= 0.049 && median <= 0.052, String(median));
    assert.match(text, /request_seconds_count 100\n/);
  });
});
