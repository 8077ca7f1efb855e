/** HTTP headers that the mesh reads and sets; their names are given by the platform. */

import type { ids } from '@godwittrack/core';
import type * as exchange from '../routing/exchange.js';

export interface CallerHeaders {
  requestId: ids.RequestId | null;
  /** Time that the caller will wait; null if it states none. */
  deadlineMs: number | null;
  /** Key of the customer; null if the request carries none. Must not be logged or forwarded. */
  key: string | null;
}

/** Limit of the rate of requests that an answer states. */
export type StatedLimit =
  { type: 'none' } | { type: 'rate'; perSecond: number } | { type: 'unreadable'; text: string };

export interface AnswerHeaders {
  /** Request that is answered; null if the upstream states none. */
  requestId: ids.RequestId | null;
  /** Whether the answer carries the upstream's signature. */
  signed: boolean;
  /** Whether the upstream states that it has not run the request. */
  notExecuted: boolean;
  /** Whether the upstream states that it is leaving. */
  leaving: boolean;
  limit: StatedLimit;
  /** Time for which the upstream stays cold, in an answer to a health check; null if not stated. */
  coldRemainingMs: number | null;
  /** Incarnation that answers; null if the answer states none. */
  instance: ids.InstanceId | null;
}

export abstract class HeaderCodec {
  abstract readCaller(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): CallerHeaders;

  /**
   * End-to-end headers of a caller's request, without those that the mesh sets itself.
   * @param hasCustomers whether callers are identified by keys; then the key is removed too
   */
  abstract forwardable(rawHeaders: readonly string[], hasCustomers: boolean): exchange.FlatHeaders;

  /** Headers that the mesh adds to a request for the upstream. */
  abstract forUpstream(
    req: exchange.ForwardedRequest,
    deadlineLeftMs: number,
  ): exchange.FlatHeaders;

  abstract readAnswer(headers: exchange.FlatHeaders): AnswerHeaders;

  /** End-to-end headers of an answer. */
  abstract returnable(rawHeaders: readonly string[]): exchange.FlatHeaders;
}

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** Removes hop-by-hop headers, those named in `Connection`, and lower-case names in `excluded`. */
export function endToEnd(
  rawHeaders: readonly string[],
  excluded: ReadonlySet<string>,
): exchange.FlatHeaders {
  const connectionOptions = new Set<string>();
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i]!.toLowerCase() === 'connection') {
      for (const name of rawHeaders[i + 1]!.split(','))
        connectionOptions.add(name.trim().toLowerCase());
    }
  }
  const kept: exchange.FlatHeaders = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(name) && !connectionOptions.has(name) && !excluded.has(name)) {
      kept.push(rawHeaders[i]!, rawHeaders[i + 1]!);
    }
  }
  return kept;
}

export function headerValue(headers: readonly string[], lowerName: string): string | null {
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() === lowerName) return headers[i + 1]!;
  }
  return null;
}
