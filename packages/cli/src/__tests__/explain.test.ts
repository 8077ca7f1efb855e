import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { after, before, describe, it } from 'node:test';
import * as fake from './fakeNode.js';

function line(timeMs: number, node: string, msg: string, fields: object): string {
  return JSON.stringify({
    level: 30,
    time: timeMs,
    node,
    component: msg.split(':')[0],
    ...fields,
    msg,
  });
}

describe('godwittrack explain', () => {
  let dir: string;
  let entry: string;
  let upstream: string;

  before(() => {
    dir = fs.mkdtempSync(path.join(os.tmpdir(), 'explain-'));
    entry = path.join(dir, 'entry.log');
    upstream = path.join(dir, 'upstream.log');
    fs.writeFileSync(
      entry,
      [
        line(1_030, 'a', 'dispatch: a request was given up', {
          requestId: 'q1',
          reason: 'deadline',
        }),
        line(1_000, 'a', 'dispatch: a request was given up', { requestId: 'q2', reason: 'other' }),
        `  0.4 a ${line(1_050, 'a', 'rollouts: a rollout has a new phase', { service: 's', target: 'v2', phase: 'canary' })}`,
        'Warning: not a line of a node',
      ].join('\n'),
    );
    fs.writeFileSync(
      upstream,
      [
        line(1_020, 'b', 'upstream: the upstream failed a request', {
          requestId: 'q1',
          serviceMs: 9,
        }),
        line(1_040, 'b', 'rollouts: a rollout has a new phase', {
          service: 's',
          target: 'v2',
          phase: 'held',
        }),
      ].join('\n'),
    );
  });

  after(() => fs.rmSync(dir, { recursive: true }));

  it('prints the timeline of a request over several nodes', async () => {
    const { code, stdout } = await fake.run(['explain', 'request', 'q1', entry, upstream]);
    assert.equal(code, 0);
    const rows = stdout.split('\n');
    assert.match(rows[2]!, /^\+0 +b +upstream: the upstream failed a request +serviceMs=9/);
    assert.match(rows[3]!, /^\+10 +a +dispatch: a request was given up +reason=deadline/);
    assert.match(stdout, /1 lines were skipped: not log lines of a node/);
    assert.doesNotMatch(stdout, /other/);
  });

  it('prints the phases of a rollout, also from lines with a prefix', async () => {
    const { code, stdout } = await fake.run([
      'explain',
      'rollout',
      's',
      'v2',
      entry,
      upstream,
      '--json',
    ]);
    assert.equal(code, 0);
    const { lines } = JSON.parse(stdout) as { lines: { fields: { phase: string } }[] };
    assert.deepEqual(
      lines.map(({ fields }) => fields.phase),
      ['held', 'canary'],
    );
  });

  it('fails when no line is about the request', async () => {
    const { code, stderr } = await fake.run(['explain', 'request', 'none', entry]);
    assert.notEqual(code, 0);
    assert.match(stderr, /none/);
  });

  it('names a file that cannot be read', async () => {
    const { stderr } = await fake.run(['explain', 'request', 'q1', path.join(dir, 'missing.log')]);
    assert.match(stderr, /missing\.log cannot be read/);
  });
});
