/** Headers that the system reads and sets; their names belong to the deployment's platform. */

import type { ids } from '@godwittrack/core';
import type * as exchange from '../routing/exchange.js';

export interface CallerHeaders {
  requestId: ids.RequestId | null;
  /** Time that the caller will wait; null where it does not say. */
  deadlineMs: number | null;
}

export interface AnswerHeaders {
  /** Request that the answer belongs to; null where the upstream does not say. */
  requestId: ids.RequestId | null;
  /** The answer carries the upstream's signature. */
  signed: boolean;
  /** The upstream states that it has not run the request. */
  notExecuted: boolean;
}

export abstract class HeaderCodec {
  abstract readCaller(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): CallerHeaders;

  /** End-to-end headers of a caller, less those that the system sets. */
  abstract forwardable(raw: readonly string[]): exchange.FlatHeaders;

  /** Headers that the system adds towards the upstream. */
  abstract forUpstream(
    req: exchange.ForwardedRequest,
    deadlineLeftMs: number,
  ): exchange.FlatHeaders;

  abstract readAnswer(headers: exchange.FlatHeaders): AnswerHeaders;

  /** End-to-end headers of an answer. */
  abstract returnable(raw: readonly string[]): exchange.FlatHeaders;
}

const CONNECTION_HEADERS = new Set([
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

/** Leaves out headers of one connection, and those named in `Connection` and in `drop`. */
export function endToEnd(raw: readonly string[], drop: ReadonlySet<string>): exchange.FlatHeaders {
  const named = new Set<string>();
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i]!.toLowerCase() === 'connection') {
      for (const name of raw[i + 1]!.split(',')) named.add(name.trim().toLowerCase());
    }
  }
  const kept: exchange.FlatHeaders = [];
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    if (!CONNECTION_HEADERS.has(name) && !named.has(name) && !drop.has(name)) {
      kept.push(raw[i]!, raw[i + 1]!);
    }
  }
  return kept;
}

export function valueOf(headers: readonly string[], lowerName: string): string | null {
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() === lowerName) return headers[i + 1]!;
  }
  return null;
}
