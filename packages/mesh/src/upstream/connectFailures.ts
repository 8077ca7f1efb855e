/** Counts refused connections to the upstream on this host, which gets no requests for a while after several. */

import type * as localUpstream from '../membership/localUpstream.js';
import type * as observability from '../observability/decisionLog.js';
import type * as upstreamConnection from './upstreamConnection.js';

/** Consecutive connect failures after which the upstream is considered down. */
const DOWN_AFTER_FAILURES = 3;
/** Time for which an upstream that is considered down gets no requests. */
const DOWN_RETRY_MS = 500;

export interface ConnectFailuresOptions {
  upstream: localUpstream.LocalUpstream;
  log: observability.DecisionLog;
  nowMs: () => number;
  /** Called each time that the upstream is considered down. */
  onDown: () => void;
}

export class ConnectFailures {
  private count = 0;

  private downUntilMs = 0;

  constructor(private readonly options: ConnectFailuresOptions) {}

  isDown(nowMs: number): boolean {
    return nowMs < this.downUntilMs;
  }

  record({ detail, closedBy }: upstreamConnection.Unsent): void {
    const { upstream, log, nowMs, onDown } = this.options;
    // A request that was cancelled before its connection was open says nothing about the upstream.
    if (closedBy === 'upstream') upstream.cold.invalidate('upstreamUnreachable');
    this.count += 1;
    if (this.count < DOWN_AFTER_FAILURES) return;
    this.downUntilMs = nowMs() + DOWN_RETRY_MS;
    log.info('upstream', 'the upstream does not accept connections', {
      instance: upstream.state?.instance,
      detail,
      failures: this.count,
    });
    onDown();
  }

  /** To be called after a connection, or for another incarnation. */
  clear(): void {
    this.count = 0;
  }
}
