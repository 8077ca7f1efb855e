/**
 * Prints how rollouts end in the simulated fleet, by kind of fault: rolled back and completed ones, and those
 * with too many or too late requests at a bad version.
 *
 * `node exposureCurve.js [SEEDS] [FIRST_SEED] [FILTER]`
 */

import process from 'node:process';
import * as rolloutSimulation from './rolloutSimulation.js';
import * as simulatedFaults from './simulatedFaults.js';

type Options = Omit<rolloutSimulation.SimulationOptions, 'seed'>;

const ORDER = { durationMs: 16_000, requestsPerSecond: 330, hasVariedHosts: true };
function slow(share: number, factor: number): Partial<Options> {
  return { slowFault: () => ({ share, factor }) };
}

function failing(targetFailure: Options['targetFailure']): Partial<Options> {
  return { targetFailure };
}

const CASES: [string, Partial<Options>][] = [
  ...[1.5, 2, 2.5, 3, 4, 8].map((x): [string, Partial<Options>] => [`slow ${x} on 1`, slow(1, x)]),
  ...[2.5, 3, 4, 8].map((x): [string, Partial<Options>] => [`slow ${x} on 0.5`, slow(0.5, x)]),
  ...[0.4, 0.3, 0.2].map((s): [string, Partial<Options>] => [`slow 4 on ${s}`, slow(s, 4)]),
  ...[0.3, 0.2, 0.1, 0.05].map((s): [string, Partial<Options>] => [`slow 8 on ${s}`, slow(s, 8)]),
  ...[0.01, 0.02, 0.03, 0.04, 0.06].map((s): [string, Partial<Options>] => [
    `fails ${s}`,
    failing(simulatedFaults.failsFrom(0, s)),
  ]),
  ...[0.05, 0.08, 0.1, 0.3].map((s): [string, Partial<Options>] => [
    `fails ${s} under load`,
    failing(simulatedFaults.failsUnderLoad(s)),
  ]),
  ...[0.05, 0.1, 0.2].map((s): [string, Partial<Options>] => [
    `fails ${s} on one route`,
    failing(simulatedFaults.failsOnRoute(s)),
  ]),
  ...[12_000, 13_000, 14_000].map((ms): [string, Partial<Options>] => [
    `fails 0.5 from ${ms}`,
    failing(simulatedFaults.failsFrom(ms, 0.5)),
  ]),
  ['fails 0.1 from 12000', failing(simulatedFaults.failsFrom(12_000, 0.1))],
  ['good', {}],
  ['good, alike hosts', { hasVariedHosts: false }],
  ['good, hosts slow for a while', { slowness: simulatedFaults.slowForAWhile }],
  [
    'good, an old version with slow hosts',
    { slowness: ({ upstream, isTarget }) => (!isTarget && upstream < 3 ? 6 : 1) },
  ],
  [
    'good, two slow hosts of six',
    { slowness: ({ upstream, isTarget }) => (isTarget && upstream < 2 ? 6 : 1) },
  ],
  ['good, both fail 0.005', { targetFailure: () => 0.005, stableFailure: () => 0.005 }],
  ['good, both fail 0.001', { targetFailure: () => 0.001, stableFailure: () => 0.001 }],
  ['good, one host fails 0.3', { targetFailure: ({ upstream }) => (upstream === 2 ? 0.3 : 0) }],
  ['good, 70 requests/s', { requestsPerSecond: 70 }],
  ['slow 2 on 1, 70 requests/s', { requestsPerSecond: 70, ...slow(1, 2) }],
  ['slow 4 on 0.3, 70 requests/s', { requestsPerSecond: 70, ...slow(0.3, 4) }],
  [
    'fails 0.1, 70 requests/s',
    { requestsPerSecond: 70, ...failing(simulatedFaults.failsFrom(0, 0.1)) },
  ],
  ['good, 9 s', { durationMs: 9_000 }],
  ['slow 3 on 1, 9 s', { durationMs: 9_000, ...slow(1, 3) }],
  ['fails 0.1, 9 s', { durationMs: 9_000, ...failing(simulatedFaults.failsFrom(0, 0.1)) }],
  ['good, 40 s', { durationMs: 40_000 }],
];

async function main(): Promise<void> {
  const [seeds = '20', firstSeed = '1', filter = ''] = process.argv.slice(2);
  process.stdout.write(
    '| version | rolled back | completed in time | late | none | with late | over share |\n',
  );
  for (const [name, options] of CASES.filter(([each]) => each.includes(filter))) {
    const counts = { rolledBack: 0, inTime: 0, tooLate: 0, none: 0, late: 0, over: 0 };
    for (let i = 0; i < Number(seeds); i += 1) {
      const all = {
        ...ORDER,
        targetFailure: simulatedFaults.never,
        ...options,
        seed: Number(firstSeed) + i,
      };
      const result = await new rolloutSimulation.RolloutSimulation(all).run();
      if (result.outcome === 'rolledBack') counts.rolledBack += 1;
      else if (result.outcome === 'completed') {
        counts[result.recordedAtMs! <= all.durationMs ? 'inTime' : 'tooLate'] += 1;
      } else counts.none += 1;
      if (result.late > 0) counts.late += 1;
      if (!rolloutSimulation.isBounded(result) && result.bad > 0) counts.over += 1;
    }
    process.stdout.write(`| ${name} | ${Object.values(counts).join(' | ')} |\n`);
  }
}

await main();
