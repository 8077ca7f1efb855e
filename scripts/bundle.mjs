/**
 * Bundles the process for the users' platform into one file under `target/`: resolving some hundred
 * modules at start costs a process there more than a second.
 */
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/godwittrack-node.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  treeShaking: true,
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
  // esbuild follows the workspace packages' sources, so that tests need not be built.
  conditions: ['source'],
});
