import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as configuration from '../configuration.js';
import * as failures from '../failures.js';
import * as ids from '../ids.js';
import * as manifests from '../manifest.js';
import * as tickets from '../ticket.js';

function makeTicket(number: number, resources: unknown[]): tickets.Ticket {
  return tickets.Ticket.parse({ ticket: number, author: 'ana', reason: 'test', resources });
}

function serviceChange(name: string, queueLength: number) {
  return { kind: 'service', name, spec: { queueLength } };
}

describe('manifest', () => {
  describe('accept', () => {
    it('raises the version by one, so that nodes can order configurations', () => {
      const { manifest } = manifests.Manifest.empty().accept(
        makeTicket(7, [serviceChange('fontworks', 3)]),
        0,
      );
      assert.equal(manifest.version, 1);
      assert.equal(manifest.entry('service', 'fontworks')?.ticket, 7);
    });

    it('treats the same number with the same content as one ticket (repeat after a lost response)', () => {
      const ticket = makeTicket(7, [serviceChange('fontworks', 3)]);
      const first = manifests.Manifest.empty().accept(ticket, 0);
      const second = first.manifest.accept(ticket, 1);
      assert.equal(second.repeated, true);
      assert.equal(second.manifest, first.manifest);
    });

    it('refuses a number that was accepted with other content', () => {
      const first = manifests.Manifest.empty().accept(
        makeTicket(7, [serviceChange('fontworks', 3)]),
        0,
      );
      assert.throws(
        () => first.manifest.accept(makeTicket(7, [serviceChange('fontworks', 4)]), 1),
        (err) => failures.is(err, 'ticketReused'),
      );
    });

    it('refuses a lower number for a resource, so that no ticket is undone by an older one', () => {
      const first = manifests.Manifest.empty().accept(
        makeTicket(7, [serviceChange('fontworks', 3)]),
        0,
      );
      assert.throws(
        () => first.manifest.accept(makeTicket(6, [serviceChange('fontworks', 4)]), 1),
        (err) => failures.is(err, 'ticketConflict'),
      );
    });

    it('agrees with a plain map for random tickets in random order', () => {
      const step = fc.record({
        number: fc.integer({ min: 1, max: 12 }),
        name: fc.constantFrom('a', 'b', 'c'),
        queueLength: fc.integer({ min: 0, max: 3 }),
      });
      fc.assert(
        fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
          let manifest = manifests.Manifest.empty();
          const model = new Map<string, { number: number; queueLength: number }>();
          const used = new Map<number, string>();
          for (const { number, name, queueLength } of steps) {
            const content = `${name}:${queueLength}`;
            const held = model.get(name);
            const accepts = !used.has(number) && (held === undefined || held.number < number);
            const repeats = used.get(number) === content;
            try {
              manifest = manifest.accept(
                makeTicket(number, [serviceChange(name, queueLength)]),
                0,
              ).manifest;
              assert.ok(accepts || repeats);
              if (accepts) {
                model.set(name, { number, queueLength });
                used.set(number, content);
              }
            } catch (err) {
              assert.ok(failures.is(err, 'ticketReused') || failures.is(err, 'ticketConflict'));
              assert.ok(!accepts && !repeats);
            }
          }
          assert.equal(manifest.liveEntries.length, model.size);
          for (const [name, { number }] of model) {
            assert.equal(manifest.entry('service', name)?.ticket, number);
          }
        }),
      );
    });
  });
});

describe('configuration', () => {
  it('refuses a route to a missing service as a whole', () => {
    const ticket = makeTicket(1, [
      serviceChange('fontworks', 3),
      {
        kind: 'route',
        name: 'proofs',
        spec: { service: 'storefront', match: { pathPrefix: '/proofs' }, semantics: 'safe' },
      },
    ]);
    const { manifest } = manifests.Manifest.empty().accept(ticket, 0);
    const bodies = new Map(ticket.changes.map((change) => [change.hash, change.spec ?? {}]));
    assert.throws(
      () => configuration.Configuration.resolve(manifest, (bodyHash) => bodies.get(bodyHash)),
      (err) => failures.is(err, 'invalidConfiguration'),
    );
  });

  it('refuses a body that is not the one that the manifest names', () => {
    const ticket = makeTicket(1, [serviceChange('fontworks', 3)]);
    const { manifest } = manifests.Manifest.empty().accept(ticket, 0);
    assert.throws(
      () => configuration.Configuration.resolve(manifest, () => ({ queueLength: 4 })),
      (err) => failures.is(err, 'hashMismatch'),
    );
  });

  it('does not resolve while a body is missing', () => {
    const ticket = makeTicket(1, [serviceChange('fontworks', 3)]);
    const { manifest } = manifests.Manifest.empty().accept(ticket, 0);
    assert.throws(
      () => configuration.Configuration.resolve(manifest, () => undefined),
      (err) => failures.is(err, 'incompleteConfiguration'),
    );
  });
});

describe('ticket', () => {
  it('reports every problem of a YAML ticket at once, with lines', () => {
    const text = [
      'ticket: 12',
      'author: ana',
      'reason: raise the queue',
      'resources:',
      '  - kind: service',
      '    name: fontworks',
      '    spec:',
      '      queueLenght: 3',
      '      queueTimeout: 500',
    ].join('\n');
    assert.throws(
      () => tickets.Ticket.parseYaml(text),
      (err) => {
        assert.ok(failures.is(err, 'invalidTicket'));
        const found = err.failure.problems.map(({ path, line }) => [path, line]);
        assert.deepEqual(found.sort(), [
          ['resources[0].spec.queueLenght', 8],
          ['resources[0].spec.queueTimeout', 9],
        ]);
        return true;
      },
    );
  });

  it('keeps the digest independent of the order of resources', () => {
    const one = makeTicket(3, [serviceChange('a', 1), serviceChange('b', 2)]);
    const two = makeTicket(3, [serviceChange('b', 2), serviceChange('a', 1)]);
    assert.equal(one.digest, two.digest);
    assert.equal(one.number, ids.ticketNumber(3));
  });
});
