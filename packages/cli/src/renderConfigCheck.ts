/** Text output of checked configurations: a line for each change and finding, then a summary. */

import type * as configurationCheck from '@godwittrack/users-platform/configurationCheck';
import * as table from './table.js';

export interface CheckedFiles {
  file: string;
  againstFile: string | null;
  result: configurationCheck.CheckResult;
}

export function renderConfigCheck({ file, againstFile, result }: CheckedFiles): string {
  const { version, findings, against } = result;
  const againstFindings = against?.findings ?? [];
  const changes = against?.changes ?? null;
  const lines = [
    ...findings.map((finding) => describeFinding(file, finding)),
    ...againstFindings.map((finding) => describeFinding(againstFile ?? '', finding)),
    ...(changes ?? []).map(describeChange),
  ];
  const all = [...findings, ...againstFindings];
  const errors = all.filter(({ severity }) => severity === 'error').length;
  const subject = version === null ? 'The configuration' : `Version ${version}`;
  lines.push(
    `${subject} ${errors > 0 ? 'should not' : 'can'} be sent: ` +
      `${errors} error(s), ${all.length - errors} warning(s).`,
  );
  if (changes !== null)
    lines.push(`${changes.length} change(s) against version ${against?.version}.`);
  else if (against !== null) lines.push('It was not compared, since a file cannot be decoded.');
  return lines.join('\n');
}

function describeFinding(
  file: string,
  { severity, type, path, message }: configurationCheck.ReportedFinding,
): string {
  const name = file === '-' ? 'standard input' : file;
  return table.cleanText(`${name}: ${severity}: ${path || '(whole file)'}: ${message} [${type}]`);
}

function describeChange(change: configurationCheck.ReportedChange): string {
  return table.cleanText(`${change.type}: ${change.path}${describeDetails(change)}`);
}

function describeDetails(change: configurationCheck.ReportedChange): string {
  switch (change.type) {
    case 'changed':
      return `: ${JSON.stringify(change.before)} -> ${JSON.stringify(change.after)}`;
    case 'keysChanged':
      return `: ${change.added} added, ${change.removed} removed`;
    default:
      return '';
  }
}
