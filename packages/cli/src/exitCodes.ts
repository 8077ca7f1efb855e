/** Exit codes of `godwittrack`, on which scripts may rely. */

import type { failures } from '@godwittrack/core';

export const EXIT = {
  success: 0,
  unexpected: 1,
  usage: 2,
  invalidInput: 3,
  conflict: 4,
  notFound: 5,
  unavailable: 6,
  timeout: 7,
  takenBack: 8,
} as const;

export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

const EXIT_BY_FAILURE: Partial<Record<failures.FailureType, ExitCode>> = {
  invalidTicket: EXIT.invalidInput,
  invalidRequest: EXIT.invalidInput,
  invalidConfiguration: EXIT.invalidInput,
  bodyTooLarge: EXIT.invalidInput,
  ticketConflict: EXIT.conflict,
  ticketReused: EXIT.conflict,
  ticketNotFound: EXIT.notFound,
  objectNotFound: EXIT.notFound,
  acceptContention: EXIT.unavailable,
  platformUnavailable: EXIT.unavailable,
  platformOverloaded: EXIT.unavailable,
  platformOutcomeUnknown: EXIT.unavailable,
  notReady: EXIT.unavailable,
  draining: EXIT.unavailable,
  peerUnavailable: EXIT.unavailable,
  timeout: EXIT.timeout,
};

export function ofFailure(failure: failures.Failure): ExitCode {
  return EXIT_BY_FAILURE[failure.type] ?? EXIT.unexpected;
}

/** Table of the exit codes for `--help`. */
export const HELP_TEXT = `Exit codes:
  0  success
  1  unexpected failure, such as a malformed response
  2  usage: unknown command, option or argument, or unreadable file
  3  invalid input: the ticket or request was refused and changed nothing, or a checked
     configuration has errors
  4  conflict: ticketConflict, ticketReused, or the rollout was superseded while waiting
  5  not found
  6  node or platform unavailable
  7  timeout while waiting; a ticket that was accepted stays accepted
  8  the rollout was taken back: all traffic goes to the stable version again
`;
