import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { after, describe, it } from 'node:test';
import * as fake from './fakeNode.js';

const SPEC = { version: 2, routes: {}, services: { shop: {} }, limits: { idle: 1 } };

function check(doc: unknown, ...args: string[]): Promise<fake.RunResult> {
  return fake.run(['config', 'check', '-', ...args], JSON.stringify(doc));
}

describe('godwittrack config check', () => {
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'config-check-'));
  const inForce = path.join(dir, 'main.yaml');
  fs.writeFileSync(inForce, 'spec: { version: 1, routes: {}, services: {}, limits: {} }\n');
  after(() => fs.rmSync(dir, { recursive: true }));

  it('ends with 0 on warnings, and lists them and the changes', async () => {
    const { code, stdout } = await check(SPEC, '--against', inForce);
    assert.equal(code, 0);
    assert.deepEqual(stdout.split('\n'), [
      'standard input: warning: limits.idle: unknown field [ignored]',
      'added: services.shop',
      'Version 2 can be sent: 0 error(s), 1 warning(s).',
      '1 change(s) against version 1.',
      '',
    ]);
  });

  // Scripts send the file only after code 0.
  it('ends with 3 on errors in either file, in text and as one JSON document', async () => {
    const older = await check({ ...SPEC, version: 1 }, '--against', inForce);
    assert.match(older.stdout, /error: version: .*\n[^]*Version 1 should not be sent: 1 error/);
    const broken = await check(7, '--json');
    const { valid, exitCode, findings } = JSON.parse(broken.stdout);
    assert.deepEqual([valid, exitCode, findings[0].type], [false, 3, 'rejected']);
    fs.writeFileSync(path.join(dir, 'broken'), '{');
    const against = await check(SPEC, '--against', path.join(dir, 'broken'));
    assert.match(against.stdout, /broken: error: \(whole file\): [^]*not be sent[^]*not compared/);
    assert.deepEqual([older.code, broken.code, against.code], [3, 3, 3]);
  });

  it('ends with 3 on a file that is too large, without reading all of it', async () => {
    const { code, stdout } = await fake.run(['config', 'check', '/dev/zero']);
    assert.equal(code, 3);
    assert.match(stdout, /\/dev\/zero: error: .* is larger than \d+ bytes/);
  });

  it('ends with 2 on a file that cannot be read, and on standard input given twice', async () => {
    const missing = await fake.run(['config', 'check', path.join(dir, 'missing')]);
    assert.match(missing.stderr, /missing cannot be read/);
    assert.deepEqual([missing.code, (await check(SPEC, '--against', '-')).code], [2, 2]);
  });
});
