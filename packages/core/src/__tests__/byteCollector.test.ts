import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as byteCollector from '../byteCollector.js';

/** Sizes on both sides of the limits within the collector. */
const partBytes = fc.oneof(fc.nat(20), fc.nat(2_000), fc.integer({ min: 32_000, max: 70_000 }));

describe('ByteCollector', () => {
  it('returns the bytes of all parts in their order', () => {
    fc.assert(
      fc.property(fc.array(partBytes, { maxLength: 12 }), fc.nat(3), (sizes, margin) => {
        const collector = new byteCollector.ByteCollector();
        const parts = sizes.map((bytes, i) => Buffer.alloc(bytes, i + 1));
        for (const part of parts) {
          const around = Buffer.concat([Buffer.alloc(margin), part, Buffer.alloc(margin)]);
          collector.append(around, margin, margin + part.length);
        }
        const whole = Buffer.concat(parts);
        assert.equal(collector.length, whole.length);
        assert.ok(collector.take().equals(whole));
        assert.equal(collector.length, 0);
      }),
      { seed: 44, numRuns: 200 },
    );
  });

  it('starts anew after its bytes were taken', () => {
    const collector = new byteCollector.ByteCollector();
    collector.append(Buffer.from('first'));
    const first = collector.take();
    collector.append(Buffer.from('next'));
    assert.equal(collector.take().toString(), 'next');
    assert.equal(first.toString(), 'first');
  });

  it('copies small parts, whose source may be used again', () => {
    const collector = new byteCollector.ByteCollector();
    const source = Buffer.from('abc');
    collector.append(source);
    source.fill(0);
    assert.equal(collector.take().toString(), 'abc');
  });
});
