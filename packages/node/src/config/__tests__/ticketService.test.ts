import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { clock, failures, manifest, ticket as tickets } from '@godwittrack/core';
import { memoryObjectStore } from '@godwittrack/platform';
import * as auditTrail from '../../admin/auditTrail.js';
import * as logging from '../../logging.js';
import * as configStore from '../configStore.js';
import * as manifestCache from '../manifestCache.js';
import * as ticketService from '../ticketService.js';

const SEED = Number(process.env.TEST_SEED ?? Date.now() % 1_000_000);
const log = logging.createSilentLogger();

function createRandom(seed: number): (bound: number) => number {
  let state = seed >>> 0;
  return (bound) => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return Math.floor((state / 2 ** 32) * bound);
  };
}

/** Ticket service of one node, with its own configuration and manifest cache. */
function createNode(
  store: memoryObjectStore.MemoryObjectStore,
  forwarder: ticketService.TicketForwarder | null = null,
) {
  const config = new configStore.ConfigStore();
  const cache = new manifestCache.ManifestCache();
  const audit = new auditTrail.AuditTrail(store, 'node', log);
  const time = new clock.ManualClock(1);
  const service = new ticketService.TicketService(
    ...[store, config, audit, log, time, cache, forwarder],
  );
  return { service, config, cache };
}

function ticketOf(number: number, queueLengths: Record<string, number | null>) {
  return tickets.Ticket.parse({
    ...{ ticket: number, author: 'test', reason: 'test' },
    resources: Object.entries(queueLengths).map(([name, queueLength]) =>
      queueLength === null
        ? { kind: 'service', name, deleted: true }
        : { kind: 'service', name, spec: { queueLength } },
    ),
  });
}

async function storedManifest(store: memoryObjectStore.MemoryObjectStore) {
  const object = await store.get('manifest', 'current');
  return object === null ? manifest.Manifest.empty() : manifest.Manifest.parse(object.value);
}

describe('ticket service', () => {
  // Guards against lost, doubled or partly accepted tickets under conflicts and lost answers.
  it(`ends in the same state as a plain map (seed ${SEED})`, async () => {
    for (let round = 0; round < 40; round++) {
      const random = createRandom(SEED + round);
      const store = new memoryObjectStore.MemoryObjectStore();
      const nodes = [createNode(store), createNode(store), createNode(store)];
      const model = new Map<string, { ticket: number; queueLength: number | null }>();
      let versions = 0;
      for (let step = 0; step < 30; step++) {
        store.faults = (operation) => {
          if (random(12) === 0) return 'unavailable';
          return operation === 'put' && random(8) === 0 ? 'answerLost' : null;
        };
        const names = ['a', 'b', 'c'].filter(() => random(2) === 0);
        if (names.length === 0) names.push('a');
        const number = 1 + random(25);
        const change = Object.fromEntries(
          names.map((name) => [name, random(6) === 0 ? null : random(5)]),
        );
        const fits = names.every((name) => number > (model.get(name)?.ticket ?? 0));
        const node = nodes[random(nodes.length)];
        const filed = await node?.service
          .file(ticketOf(number, change))
          .catch((err: unknown) => failures.fromError(err));
        store.faults = () => null;
        const held = await storedManifest(store);
        if (held.version === versions + 1) {
          assert.ok(fits, `ticket ${number} is refused where a resource holds a higher one`);
          versions += 1;
          names.forEach((name) =>
            model.set(name, { ticket: number, queueLength: change[name] ?? null }),
          );
        } else {
          assert.equal(held.version, versions);
          const repeated = filed !== undefined && 'repeated' in filed && filed.repeated;
          assert.ok(
            repeated || (filed !== undefined && 'type' in filed),
            'nothing is lost silently',
          );
        }
        for (const [name, wanted] of model) {
          const entry = held.entry('service', name);
          assert.equal(entry?.ticket, wanted.ticket);
          const body = entry.hash === null ? null : await store.get('body', entry.hash);
          const value = body?.value as { queueLength: number } | undefined;
          assert.equal(value?.queueLength ?? null, wanted.queueLength);
        }
      }
      assert.ok(versions > 0);
    }
  });

  // Guards against a refusal that is based on an outdated cached manifest.
  it('reads the manifest again before it refuses a ticket', async () => {
    const store = new memoryObjectStore.MemoryObjectStore();
    const [first, second] = [createNode(store), createNode(store)];
    await first.service.file(ticketOf(1, { a: 1 }));
    await second.service.file(ticketOf(2, { b: 1 }));
    const route = { pathPrefix: '/b' };
    const filed = await first.service.file(
      tickets.Ticket.parse({
        ...{ ticket: 3, author: 'test', reason: 'test' },
        resources: [
          { kind: 'route', name: 'b', spec: { service: 'b', match: route, semantics: 'safe' } },
        ],
      }),
    );
    assert.equal(filed.version, 3);
  });

  // Guards against two reads and a conflict for each of many tickets filed at once.
  it('files tickets of one node one at a time, without a conflict', async () => {
    const store = new memoryObjectStore.MemoryObjectStore();
    const node = createNode(store);
    const numbers = [...Array(20).keys()].map((n) => n + 1);
    const filed = await Promise.all(
      numbers.map((n) => node.service.file(ticketOf(n, { [`s${n}`]: n }))),
    );
    assert.deepEqual(
      filed.map(({ version }) => version),
      numbers,
    );
    assert.equal(node.config.version, 20, 'an accepted ticket is in force here at once');
  });

  // Guards against an acceptance that is reported as a repetition because its answer was lost.
  it('does not report an acceptance as repeated because its answer was lost', async () => {
    const store = new memoryObjectStore.MemoryObjectStore();
    const node = createNode(store);
    let lost = false;
    store.faults = (operation, kind) => {
      if (lost || operation !== 'put' || kind !== 'manifest') return null;
      lost = true;
      return 'answerLost';
    };
    assert.equal((await node.service.file(ticketOf(1, { a: 1 }))).repeated, false);
    assert.equal((await node.service.file(ticketOf(1, { a: 1 }))).repeated, true);
  });

  // Guards against a manifest that the platform refuses with an untyped error.
  it('refuses a ticket that would make the manifest too large', async () => {
    const store = new memoryObjectStore.MemoryObjectStore();
    const entries = [...Array(12_000).keys()].map((n) => {
      const name = `${'x'.repeat(40)}-${n}`;
      return { kind: 'service', name, ticket: 1, hash: null };
    });
    await store.put(...(['manifest', 'current', { version: 1, entries, recent: [] }] as const), {
      type: 'none',
    });
    const node = createNode(store);
    await assert.rejects(node.service.file(ticketOf(2, { a: 1 })), (err) =>
      failures.is(err, 'invalidConfiguration'),
    );
  });

  // Guards against tickets that cannot be filed while only the watching node has lost the platform.
  it('files from this node when the watching node cannot', async () => {
    class Broken extends ticketService.TicketForwarder {
      override forward(): Promise<never> {
        const detail = 'lost';
        throw failures.toError({ type: 'platformUnavailable', operation: 'put', detail });
      }
    }
    const node = createNode(new memoryObjectStore.MemoryObjectStore(), new Broken());
    assert.equal((await node.service.file(ticketOf(1, { a: 1 }))).version, 1);
  });
});
