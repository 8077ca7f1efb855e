/**
 * Bundles the process for the users' platform into one file under `target/`. Resolving
 * some hundred modules at start takes more than a second there.
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
  // Resolves workspace packages to their sources, so that they need not be built first.
  conditions: ['source'],
});
