import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import { afterEach, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as fake from './fakeNode.js';

/** Nothing listens on the discard port of the loopback address. */
const DEAD_NODE = 'http://127.0.0.1:9';

const started: fake.FakeNode[] = [];

async function startNode(handler: fake.Handler): Promise<fake.FakeNode> {
  const node = await fake.startNode(handler);
  started.push(node);
  return node;
}

afterEach(async () => {
  await Promise.all(started.splice(0).map((node) => node.close()));
});

/** Starts a node that returns the given responses in turn and then repeats the last one. */
function startScriptedNode(statuses: fake.FakeResponse[], rollouts: fake.FakeResponse[]) {
  return startNode((request, count) => {
    if (request === 'POST /v1/tickets') return { body: fake.FILED };
    const responses = request.includes('rollouts') ? rollouts : statuses;
    return responses[Math.min(count, responses.length) - 1] ?? 'lost';
  });
}

const NO_ROLLOUT = fake.failure(404, {
  type: 'objectNotFound',
  kind: 'rollout',
  name: 'fontworks.12',
});

describe('godwittrack', () => {
  describe('exit codes', () => {
    const detail = 'because';
    const cases: [number, fake.FakeResponse][] = [
      [1, fake.failure(500, { type: 'internal', detail })],
      [3, fake.failure(400, { type: 'invalidTicket', problems: [{ path: 'a', message: 'b' }] })],
      [3, fake.failure(413, { type: 'bodyTooLarge', limitBytes: 10 })],
      [4, fake.failure(409, { type: 'ticketReused', ticket: 12, detail })],
      [6, fake.failure(409, { type: 'acceptContention', attempts: 5 })],
      [6, fake.failure(503, { type: 'platformUnavailable', operation: 'put', detail })],
      [6, fake.failure(503, { type: 'platformOverloaded', operation: 'put', retryAfterMs: 10 })],
      [6, fake.failure(503, { type: 'platformOutcomeUnknown', operation: 'put', detail })],
      [6, fake.failure(503, { type: 'notReady', detail, retryAfterMs: 10 })],
    ];
    for (const [code, response] of cases) {
      const { type } = (response.body as { error: { type: string } }).error;
      it(`ends with ${code} on ${type}, in text and as one JSON document`, async () => {
        const node = await startNode(() => response);
        const args = ['ticket', 'file', '-', '--node', node.url];
        const text = await fake.run(args, fake.TICKET);
        assert.equal(text.code, code);
        assert.equal(text.stdout, '');
        assert.match(text.stderr, new RegExp(`${type}: .+\nnext: .+\n$`));
        const json = await fake.run([...args, '--json'], fake.TICKET);
        const document = JSON.parse(json.stdout);
        assert.equal(json.code, code);
        assert.deepEqual([document.error.type, document.exitCode], [type, code]);
      });
    }

    it('ends with 5 on a ticket or rollout that is not known', async () => {
      const missing = fake.failure(404, { type: 'ticketNotFound', ticket: 9 });
      const node = await startNode((request) =>
        request.includes('tickets') ? missing : NO_ROLLOUT,
      );
      assert.equal((await fake.run(['ticket', 'show', '9', '--node', node.url])).code, 5);
      assert.equal((await fake.run(['rollout', 'show', 'x.9', '--node', node.url])).code, 5);
      assert.deepEqual(node.requests, ['GET /v1/tickets/9', 'GET /v1/rollouts/x.9']);
    });

    it('ends with 2 on wrong usage, which must differ from the code of a refused ticket', async () => {
      const invalid = [
        [],
        ['stat'],
        ['status', '--bogus'],
        ['ticket', 'show', '0'],
        ['rollout', 'show', '..'],
        ['audit', '--limit', 'x'],
        ['status', '--node', 'nowhere'],
        ['ticket', 'file', '-', '--timeout', '30'],
        ['ticket', 'check', '/nonexistent/ticket.yaml', '--offline'],
      ];
      for (const args of invalid) {
        const text = await fake.run(args);
        assert.equal(text.code, 2, args.join(' '));
        assert.equal(text.stdout, '');
        assert.match(text.stderr, /^usage: /);
        const json = await fake.run([...args, '--json']);
        assert.equal(json.code, 2);
        assert.equal(JSON.parse(json.stdout).error.type, 'usage');
      }
    });

    it('documents the exit codes in the help of every command', async () => {
      for (const args of [['--help'], ['ticket', '--help'], ['ticket', 'file', '--help']]) {
        const { code, stdout } = await fake.run(args);
        assert.equal(code, 0);
        assert.match(stdout, /8 {2}the rollout was taken back/);
      }
    });
  });

  describe('nodes', () => {
    it('asks the next node when one is dead or not ready', async () => {
      const notReady = await startNode(() =>
        fake.failure(503, { type: 'notReady', detail: 'no floor', retryAfterMs: 100 }),
      );
      const ready = await startNode(() => fake.statusResponse(2, 2));
      const env = { GODWITTRACK_NODE: `${DEAD_NODE},${notReady.url}, ${ready.url}/` };
      const result = await fake.run(['status'], '', env);
      assert.equal(result.code, 0, result.stderr);
      assert.equal(notReady.requests.length, 1);
      assert.deepEqual(ready.requests, ['GET /v1/status']);
    });

    it('does not ask another node after a refusal that every node would give', async () => {
      const detail = 'x';
      const first = await startNode(() =>
        fake.failure(409, { type: 'ticketReused', ticket: 12, detail }),
      );
      const second = await startNode(() => ({ body: fake.FILED }));
      const args = ['--node', first.url, '--node', second.url, 'ticket', 'file', '-'];
      assert.equal((await fake.run(args, fake.TICKET)).code, 4);
      assert.equal(second.requests.length, 0);
    });

    it('files the same text at the next node after a lost response', async () => {
      const lost = await startNode(() => 'lost');
      const second = await startNode(() => ({ body: { ...fake.FILED, repeated: true } }));
      const args = ['ticket', 'file', '-', '--json', '--node', `${lost.url},${second.url}`];
      const result = await fake.run(args, fake.TICKET);
      assert.equal(result.code, 0);
      assert.equal(JSON.parse(result.stdout).repeated, true);
      assert.deepEqual([...lost.bodies, ...second.bodies], [fake.TICKET, fake.TICKET]);
    });

    it('reports an unknown outcome when a response is lost and no other node responds', async () => {
      const lost = await startNode(() => 'lost');
      const args = ['ticket', 'file', '-', '--node', lost.url, '--node', DEAD_NODE];
      const result = await fake.run(args, fake.TICKET);
      assert.equal(result.code, 6);
      assert.match(result.stderr, /^platformOutcomeUnknown: .*may have been made/);
    });

    it('does not report an unknown outcome when nothing was sent', async () => {
      const result = await fake.run(['ticket', 'file', '-', '--node', DEAD_NODE], fake.TICKET);
      assert.equal(result.code, 6);
      assert.match(result.stderr, /^peerUnavailable: no node answered/);
    });
  });

  describe('problems of a ticket', () => {
    it('names file, line and field, one problem per line, without a node', async () => {
      const text = fake.TICKET.replace('reason: move fontworks', 'reasn: x').replace(
        '{}',
        '{a: 1}',
      );
      const { code, stderr } = await fake.run(['ticket', 'check', '-'], text);
      assert.equal(code, 3);
      const lines = stderr.trim().split('\n');
      assert.equal(lines.length, 4, stderr);
      assert.ok(lines.some((line) => /^standard input:3: invalidTicket: reasn: /.test(line)));
      assert.ok(
        lines.some((line) => /input:7: invalidTicket: resources\[0\]\.spec\.a: /.test(line)),
      );
    });

    it('stops at the local check with --offline', async () => {
      const args = ['ticket', 'check', '-', '--offline', '--node', DEAD_NODE];
      assert.equal((await fake.run(args, fake.TICKET)).code, 0);
      assert.equal((await fake.run(args, 'ticket: [')).code, 3);
      assert.equal((await fake.run(args, '')).code, 3);
    });

    it('adds lines to the problems and conflicts that a node reports by resource', async () => {
      const problems = [{ path: 'versionPlan/fontworks', message: 'names a missing service' }];
      const conflict = { ticket: 12, resource: 'service/fontworks', heldTicket: 30, detail: 'x' };
      const node = await startNode((request) =>
        request.endsWith('check')
          ? fake.failure(422, { type: 'invalidConfiguration', problems })
          : fake.failure(409, { type: 'ticketConflict', ...conflict }),
      );
      const checked = await fake.run(['ticket', 'check', '-', '--node', node.url], fake.TICKET);
      assert.equal(checked.code, 3);
      assert.match(checked.stderr, /^standard input:8: invalidConfiguration: versionPlan/);
      const filed = await fake.run(['ticket', 'file', '-', '--node', node.url], fake.TICKET);
      assert.equal(filed.code, 4);
      assert.match(filed.stderr, /^standard input:5: ticketConflict: .*\nnext: .*above 30/);
    });
  });

  describe('waiting', () => {
    const args = ['ticket', 'file', '-', '--json', '--node'];

    it('prints progress to standard error and ends when every known node holds it', async () => {
      const statuses = [1, 1, 3].map((held) => fake.statusResponse(3, held));
      const node = await startScriptedNode(statuses, [
        NO_ROLLOUT,
        fake.rolloutResponse('canary', 1),
      ]);
      const result = await fake.run([...args, node.url, '--wait'], fake.TICKET);
      assert.equal(result.code, 0);
      assert.equal(JSON.parse(result.stdout).wait.outcome, 'inForce');
      assert.deepEqual(result.stderr.trim().split('\n').slice(1), [
        'version 40 is in force on 1 of 3 nodes',
        'rollout fontworks.12 is canary at 1 %',
        'version 40 is in force on 3 of 3 nodes',
      ]);
      assert.ok(node.requests.includes('GET /v1/status?version=40'));
    });

    const outcomes: [string, number][] = [
      ['done', 0],
      ['superseded', 4],
      ['takenBack', 8],
    ];
    for (const [phase, code] of outcomes) {
      it(`ends with ${code} when the rollout is ${phase}`, async () => {
        const rollouts = [NO_ROLLOUT, fake.rolloutResponse(phase, 0)];
        const node = await startScriptedNode([fake.statusResponse(1, 1)], rollouts);
        const result = await fake.run(
          [...args, node.url, '--wait-rollout', '--timeout', '9s'],
          fake.TICKET,
        );
        assert.equal(result.code, code);
        assert.equal(JSON.parse(result.stdout).wait.outcome, phase);
      });
    }

    it('reports a rollback even if a node never applies the version', async () => {
      const rollouts = [fake.rolloutResponse('takenBack', 0)];
      const node = await startScriptedNode([fake.statusResponse(3, 2)], rollouts);
      const result = await fake.run([...args, node.url, '--wait'], fake.TICKET);
      assert.equal(result.code, 8);
    });

    it('ends with 7 on timeout and says that the ticket is accepted', async () => {
      const node = await startScriptedNode([fake.statusResponse(3, 2)], [NO_ROLLOUT]);
      const result = await fake.run(
        [...args, node.url, '--wait', '--timeout', '300ms'],
        fake.TICKET,
      );
      assert.equal(result.code, 7);
      const document = JSON.parse(result.stdout);
      assert.deepEqual([document.error.type, document.filed.version], ['timeout', 40]);
    });

    it('ends at its timeout when the node stops answering', async () => {
      const node = await startNode((request) =>
        request.startsWith('POST') ? { body: fake.FILED } : 'hang',
      );
      const result = await fake.run(
        [...args, node.url, '--wait', '--timeout', '300ms'],
        fake.TICKET,
      );
      assert.equal(result.code, 7);
    });
  });

  describe('malformed responses', () => {
    const malformed: [string, fake.FakeResponse][] = [
      ['text', { body: 'hello' }],
      ['a cut-off document', { body: '{"node": "n1", ' }],
      ['a missing field', { body: { node: 'n1' } }],
      ['a wrong type', { body: { ...(fake.statusResponse(1, 1).body as object), path: 'root' } }],
      ['null', { body: 'null' }],
      ['an error without a type', { status: 503, body: { error: 'down' } }],
      ['a redirect', { status: 302, body: '' }],
    ];
    for (const [name, response] of malformed) {
      it(`makes ${name} a typed failure`, async () => {
        const node = await startNode(() => response);
        const result = await fake.run(['status', '--json', '--node', node.url]);
        assert.equal(result.code, 1);
        assert.equal(JSON.parse(result.stdout).error.type, 'protocolViolation');
      });
    }

    it('keeps the type of a failure that a newer node may send', async () => {
      const node = await startNode(() => fake.failure(500, { type: 'fromTheFuture' }));
      const result = await fake.run(['status', '--node', node.url]);
      assert.equal(result.code, 1);
      assert.match(result.stderr, /internal: fromTheFuture: one line/);
    });
  });

  describe('output', () => {
    const atMs = Date.UTC(2026, 11, 4, 9, 30);
    const member = { node: 'n1', region: 'okanagan', failureDomain: 'ok-a', draining: false };
    const ticket = { ticket: 3, version: 2, author: 'Peña', reason: 'a\u001b[31mb', atMs };
    const spec = { outlier: { maxEjectedPct: 5 } };
    const changes = [
      { resource: 'service/a', spec, current: true },
      { resource: 'route/b', spec: null, current: false },
    ];
    const upstream = { ...member, service: 'fontworks', version: 'v1', slots: 12, healthy: true };
    const node = { ...member, incarnation: 5, ready: true, parent: 'n2' };
    const entry = { atMs, actor: 'ana', action: 'accept', ticket: 3, outcome: 'accepted' };
    const cases: [string[], string, unknown, RegExp][] = [
      [
        ['ticket', 'list'],
        'GET /v1/tickets',
        { tickets: [{ ...ticket, resources: ['service/a', 'route/b'] }] },
        /^3 +2 +2026-12-04T09:30:00\.000Z +Peña +service\/a,route\/b +a \[31mb$/m,
      ],
      [
        ['ticket', 'show', '3'],
        'GET /v1/tickets/3',
        { ...ticket, resources: ['service/a'], changes },
        /service\/a \(current\)\n {2}outlier:\n {4}maxEjectedPct: 5\n\nroute\/b \(replaced.*\)\n {2}deleted$/m,
      ],
      [
        ['status'],
        'GET /v1/status',
        fake.statusResponse(3, 2).body,
        /^nodes +3 known, 3 ready, 2 at version\n\nSERVICE .*\nfontworks +v1 +- /m,
      ],
      [
        ['rollout', 'list'],
        'GET /v1/rollouts',
        { rollouts: [fake.rolloutResponse('canary', 1.5).body] },
        /^fontworks\.12 +- +- +canary +1\.5 /m,
      ],
      [
        ['rollout', 'show', 'fontworks.12'],
        'GET /v1/rollouts/fontworks.12',
        fake.rolloutResponse('canary', 1).body,
        /^2023-11-14T22:13:20\.000Z +canary +1 +evidence$/m,
      ],
      [
        ['upstream', 'list'],
        'GET /v1/upstreams',
        { upstreams: [upstream] },
        /^fontworks +v1 +n1 +okanagan +ok-a +12 +yes +no$/m,
      ],
      [
        ['node', 'list'],
        'GET /v1/nodes',
        { nodes: [node] },
        /^n1 +okanagan +ok-a +n2 +yes +no +5$/m,
      ],
      [
        ['audit', '--limit', '5', '--service', 'a'],
        'GET /v1/audit?limit=5&service=a',
        { entries: [entry] },
        /^2026-12-04T09:30:00\.000Z +ana +accept +3 +- +accepted/m,
      ],
    ];
    for (const [args, request, body, expected] of cases) {
      it(`of "${args.join(' ')}" is aligned text without escapes, or the node's JSON`, async () => {
        const server = await startNode(() => ({ body }));
        const text = await fake.run([...args, '--node', server.url]);
        assert.equal(text.code, 0, text.stderr);
        assert.match(text.stdout, expected);
        assert.ok(!text.stdout.includes('\u001b'));
        const json = await fake.run([...args, '--json', '--node', server.url]);
        assert.deepEqual(JSON.parse(json.stdout), body);
        assert.deepEqual(server.requests, [request, request]);
      });
    }

    it('lists what a valid ticket would change', async () => {
      const change = { resource: 'service/fontworks', action: 'replace' };
      const body = { ticket: 12, valid: true, wouldBeVersion: 41, changes: [change] };
      const server = await startNode(() => ({ body }));
      const { stdout } = await fake.run(
        ['ticket', 'check', '-', '--node', server.url],
        fake.TICKET,
      );
      assert.match(stdout, /version 41\.\n.*\nservice\/fontworks {2}replace\n$/);
      assert.deepEqual(server.bodies, [fake.TICKET]);
    });
  });

  describe('docs/tickets.md', () => {
    it('holds only tickets that the schema accepts, so that the examples stay valid', async () => {
      const page = new URL('../../../../docs/tickets.md', import.meta.url);
      const blocks = fs.readFileSync(page, 'utf8').matchAll(/^```yaml\n(ticket:[^`]*)^```/gm);
      const examples = [...blocks].map(([, text]) => text ?? '');
      assert.ok(examples.length >= 4);
      for (const example of examples) {
        const { code, stderr } = await fake.run(['ticket', 'check', '-', '--offline'], example);
        assert.equal(code, 0, stderr);
      }
    });
  });

  describe('binary', () => {
    it('reads standard input and hands its exit code to the shell', () => {
      const main = fileURLToPath(new URL('../main.js', import.meta.url));
      const args = [main, 'ticket', 'check', '-', '--offline', '--json'];
      const good = childProcess.spawnSync(process.execPath, args, { input: fake.TICKET });
      assert.equal(good.status, 0, good.stderr.toString());
      assert.equal(JSON.parse(good.stdout.toString()).ticket, 12);
      const bad = childProcess.spawnSync(process.execPath, args, { input: 'ticket: x' });
      assert.equal(bad.status, 3);
    });
  });
});
