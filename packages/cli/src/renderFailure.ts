/** Text output of failures: one problem per line, then what to do next. */

import type { failures } from '@godwittrack/core';
import * as table from './table.js';

/** File that the failed command read, for the `file:line:` prefix. */
export interface FailureContext {
  file?: string;
  /** Line of the resource that the failure names. */
  line?: number;
}

export function renderFailure(failure: failures.Failure, context: FailureContext = {}): string {
  return [...describeLines(failure, context), `next: ${nextStep(failure)}`].join('\n');
}

/** One-line message in words, unlike the `name=value` list of `failures.describe`. */
export function messageOf(failure: failures.Failure): string {
  switch (failure.type) {
    case 'ticketConflict':
      return `ticket ${failure.ticket} cannot change ${failure.resource}, which holds ticket ${failure.heldTicket}`;
    case 'ticketReused':
      return `ticket ${failure.ticket} was accepted before with other content`;
    case 'ticketNotFound':
      return `ticket ${failure.ticket} is not known`;
    case 'objectNotFound':
      return `${failure.kind} ${failure.name} is not known`;
    case 'acceptContention':
      return `other tickets were accepted at the same time (${failure.attempts} attempts)`;
    case 'bodyTooLarge':
      return `the ticket is larger than ${failure.limitBytes} bytes`;
    case 'platformOverloaded':
      return `${failure.operation}: the platform refuses more calls for now`;
    case 'platformUnavailable':
      return `${failure.operation}: the platform does not answer: ${failure.detail}`;
    case 'platformOutcomeUnknown':
      return `${failure.operation}: the answer was lost, so the change may have been made: ${failure.detail}`;
    case 'peerUnavailable':
      return `no node answered: ${failure.detail}`;
    case 'protocolViolation':
      return `${failure.peer}: ${failure.detail}`;
    case 'timeout':
      return `${failure.operation}: not finished after ${failure.timeoutMs} ms`;
    case 'notReady':
    case 'internal':
      return failure.detail;
    default:
      if ('problems' in failure) return `${failure.problems.length} problem(s)`;
      return failure.type;
  }
}

/** What the operator can do about a failure. */
export function nextStep(failure: failures.Failure): string {
  switch (failure.type) {
    case 'invalidTicket':
    case 'invalidConfiguration':
    case 'bodyTooLarge':
      return 'Correct the ticket and run "godwittrack ticket check FILE" again; nothing was changed.';
    case 'invalidRequest':
      return 'Correct the arguments; see --help.';
    case 'ticketConflict':
      return `Look at "godwittrack ticket show ${failure.heldTicket}", then file the change under a number above ${failure.heldTicket}.`;
    case 'ticketReused':
      return `Look at "godwittrack ticket show ${failure.ticket}", then file the change under a new number.`;
    case 'ticketNotFound':
      return 'See "godwittrack ticket list" for the tickets that are kept.';
    case 'objectNotFound':
      return failure.kind === 'rollout'
        ? 'See "godwittrack rollout list" for the rollouts that are kept.'
        : 'Check the name.';
    case 'platformOutcomeUnknown':
      return 'File the same ticket again; the same number with the same content is accepted only once.';
    case 'peerUnavailable':
      return 'Name other nodes with --node or GODWITTRACK_NODE, or check that the node runs.';
    case 'protocolViolation':
      return 'Check that --node names the admin listener of a node of the same release.';
    case 'timeout':
      return 'Look at "godwittrack status"; an accepted ticket stays accepted.';
    case 'acceptContention':
    case 'platformUnavailable':
    case 'platformOverloaded':
    case 'notReady':
    case 'draining':
      return 'Nothing was changed; try again in a few seconds, or at another node.';
    default:
      return 'Report this with the output of the same command with --json.';
  }
}

function describeLines(failure: failures.Failure, context: FailureContext): string[] {
  if ('problems' in failure && failure.problems.length > 0) {
    return failure.problems.map((problem) => {
      const location = formatLocation(context.file, problem.line);
      const hint = problem.hint === undefined ? '' : ` (${problem.hint})`;
      const text = `${problem.path || '(whole file)'}: ${problem.message}${hint}`;
      return `${location}${failure.type}: ${table.cleanText(text)}`;
    });
  }
  const location = context.line === undefined ? '' : formatLocation(context.file, context.line);
  return [`${location}${failure.type}: ${table.cleanText(messageOf(failure))}`];
}

function formatLocation(file = '', line: number | undefined = undefined): string {
  const name = file === '-' ? 'standard input' : file;
  if (line === undefined) return name === '' ? '' : `${name}: `;
  return name === '' ? `line ${line}: ` : `${name}:${line}: `;
}
