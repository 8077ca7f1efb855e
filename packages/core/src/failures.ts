/**
 * Failures as a tagged union. Every expected error is thrown as a `FailureError` that carries one
 * of these values, so that callers can switch on `type`.
 */

/** One problem in a settings file, ticket or request body. */
export interface Problem {
  /** Path of the field, for example `resources[0].spec.service`. */
  path: string;
  message: string;
  /** Line in the YAML source, from 1, where it is known. */
  line?: number;
  /** What the operator can do about it. */
  hint?: string;
}

export type Failure =
  | { type: 'invalidTicket'; problems: Problem[] }
  | { type: 'invalidSettings'; problems: Problem[] }
  | { type: 'invalidRequest'; problems: Problem[] }
  | { type: 'invalidConfiguration'; problems: Problem[] }
  | { type: 'ticketConflict'; ticket: number; resource: string; heldTicket: number; detail: string }
  | { type: 'ticketReused'; ticket: number; detail: string }
  | { type: 'ticketNotFound'; ticket: number }
  | { type: 'acceptContention'; attempts: number }
  | { type: 'platformUnavailable'; operation: string; detail: string }
  | { type: 'platformOverloaded'; operation: string; retryAfterMs: number }
  /** The write may or may not have taken effect. */
  | { type: 'platformOutcomeUnknown'; operation: string; detail: string }
  | { type: 'objectNotFound'; kind: string; name: string }
  | { type: 'objectConflict'; kind: string; name: string; currentVersion: number | null }
  | { type: 'objectTooLarge'; kind: string; name: string; bytes: number; limitBytes: number }
  | { type: 'watchExpired'; since: number }
  /** The store has since been restored from a copy; the call may have been executed before. */
  | { type: 'storeEraOutdated'; operation: string; era: number; newestEra: number | null }
  | { type: 'hashMismatch'; expected: string; actual: string }
  | { type: 'incompleteConfiguration'; version: number; missing: string[] }
  | { type: 'olderVersion'; held: number; offered: number }
  | { type: 'rolloutFinal'; rollout: string; phase: string }
  | { type: 'rolloutFenced'; rollout: string; heldEpoch: number; epoch: number }
  | { type: 'rolloutTransition'; rollout: string; from: string; to: string; detail: string }
  | { type: 'notReady'; detail: string; retryAfterMs: number }
  | { type: 'noRoute'; method: string; path: string }
  | { type: 'noUpstream'; service: string; detail: string; retryAfterMs: number }
  | { type: 'queueFull'; service: string; retryAfterMs: number }
  | { type: 'deadlineExceeded'; timeoutMs: number; retryAfterMs: number }
  | { type: 'draining'; node: string; retryAfterMs: number }
  | { type: 'tooManyHops'; hops: number; limit: number }
  | { type: 'bodyTooLarge'; limitBytes: number }
  | { type: 'keyRequired'; route: string }
  | { type: 'keyReused'; key: string; detail: string }
  | { type: 'keyInProgress'; key: string; retryAfterMs: number }
  | { type: 'outcomeUnknown'; key: string; detail: string; retryAfterMs: number }
  | { type: 'answerNotKept'; key: string; status: number }
  | { type: 'notRun'; detail: string; retryAfterMs: number }
  | { type: 'upstreamFailed'; service: string; detail: string; started: boolean }
  | { type: 'answerIncomplete'; service: string; detail: string }
  | { type: 'cancelled'; detail: string }
  | { type: 'peerUnavailable'; peer: string; detail: string }
  | { type: 'protocolViolation'; peer: string; detail: string }
  | { type: 'timeout'; operation: string; timeoutMs: number }
  | { type: 'internal'; detail: string };

export type FailureType = Failure['type'];
export type FailureOf<T extends FailureType> = Extract<Failure, { type: T }>;

/** Error that carries a `Failure`. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure, options?: { cause?: unknown }) {
    super(describe(failure), options);
    this.name = 'FailureError';
    this.failure = failure;
  }
}

/** Returns the error for a failure, with an optional cause; throwing it is up to the caller. */
export function toError(failure: Failure, cause?: unknown): FailureError {
  return new FailureError(failure, cause === undefined ? undefined : { cause });
}

/** Returns the failure carried by `err`, or wraps anything else as `internal`. */
export function fromError(err: unknown): Failure {
  if (err instanceof FailureError) return err.failure;
  return { type: 'internal', detail: err instanceof Error ? err.message : String(err) };
}

export function is<T extends FailureType>(
  err: unknown,
  type: T,
): err is FailureError & { failure: FailureOf<T> } {
  return err instanceof FailureError && err.failure.type === type;
}

/** Human-readable description in one line. */
export function describe(failure: Failure): string {
  if ('problems' in failure) {
    const lines = failure.problems.map(describeProblem);
    return `${failure.type}: ${lines.join('; ')}`;
  }
  const details = Object.entries(failure)
    .filter(([name]) => name !== 'type')
    .map(([name, value]) => `${name}=${String(value)}`);
  return details.length === 0 ? failure.type : `${failure.type}: ${details.join(', ')}`;
}

export function describeProblem(problem: Problem): string {
  const line = problem.line === undefined ? '' : ` (line ${problem.line})`;
  const hint = problem.hint === undefined ? '' : ` ${problem.hint}`;
  return `${problem.path || '.'}${line}: ${problem.message}${hint}`;
}
