/**
 * Builds, runs the compiled tests with tap and ends with `N passed, N failed`.
 * Arguments select test files whose path contains one of them; without arguments, all files run
 * except those that KNOWN-RED.txt lists (`file: path` at the start of a line).
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';

const ROOTS = ['packages', 'playground', 'platform'];
const dist = `${path.sep}dist${path.sep}`;
const src = `${path.sep}src${path.sep}`;

/** Compiled tests whose TypeScript source still exists. */
function findTests(dir) {
  return fs.readdirSync(dir, { withFileTypes: true }).flatMap((entry) => {
    const full = path.join(dir, entry.name);
    if (entry.isDirectory()) return entry.name === 'node_modules' ? [] : findTests(full);
    const isTest = full.includes(dist) && entry.name.endsWith('.test.js');
    const source = full.replace(dist, src).replace(/\.js$/, '.ts');
    return isTest && fs.existsSync(source) ? [full] : [];
  });
}

function fail(message) {
  process.stdout.write(`${message}\n0 passed, 1 failed\n`);
  process.exit(1);
}

function readKnownRed() {
  if (!fs.existsSync('KNOWN-RED.txt')) return [];
  const listed = fs
    .readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .map((line) => /^file:\s*(\S+)/.exec(line)?.[1])
    .filter(Boolean);
  const missing = listed.find((file) => !fs.existsSync(file));
  if (missing !== undefined) fail(`KNOWN-RED.txt lists a file that does not exist: ${missing}`);
  return listed.map((file) => file.replace(src, dist).replace(/\.ts$/, '.js'));
}

const build = childProcess.spawnSync('npx', ['tsc', '-b'], { stdio: 'inherit' });
if (build.status !== 0) fail('The build failed.');

const filters = process.argv.slice(2);
const knownRed = readKnownRed();
const files = ROOTS.flatMap(findTests)
  .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)))
  .filter((file) => filters.length > 0 || !knownRed.includes(file));
if (files.length === 0) fail('No test files found.');

const tap = childProcess.spawn('npx', ['tap', 'run', '--reporter=tap', ...files], {
  stdio: ['ignore', 'pipe', 'inherit'],
});
const counts = { passed: 0, failed: 0 };
let result = null;
let pending = '';
// Kept across chunks, so that the details of a failure are printed completely.
let isPrinting = process.env.VERBOSE !== undefined;

/** Counts single tests; results that tap marks as a suite (`describe` blocks) are ignored. */
function readLine(line) {
  const match = /^\s+(not )?ok \d+/.exec(line);
  if (match !== null) {
    result = match[1] === undefined ? 'passed' : 'failed';
    if (/# (SKIP|TODO)/.test(line)) result = null;
  } else if (/^\s+type: 'suite'/.test(line)) {
    result = null;
  } else if (/^\s+\.\.\.$/.test(line) && result !== null) {
    counts[result] += 1;
    result = null;
  }
}

tap.stdout.setEncoding('utf8');
tap.stdout.on('data', (chunk) => {
  const lines = (pending + chunk).split('\n');
  pending = lines.pop();
  for (const line of lines) {
    readLine(line);
    if (/^\s*(not )?ok /.test(line))
      isPrinting = process.env.VERBOSE !== undefined || /not ok/.test(line);
    if (isPrinting) process.stdout.write(`${line}\n`);
  }
});
tap.on('close', (code) => {
  if (code !== 0 && counts.failed === 0) counts.failed = 1;
  if (counts.passed === 0 && counts.failed === 0) counts.failed = 1;
  process.stdout.write(`${counts.passed} passed, ${counts.failed} failed\n`);
  process.exit(counts.failed === 0 ? 0 : 1);
});
