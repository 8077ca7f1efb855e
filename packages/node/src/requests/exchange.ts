/** A request and its answer as they pass between the parts of a node. */

import type { requests } from '@godwittrack/protocol';

export type Body = AsyncIterable<Uint8Array>;

export interface Answer {
  head: requests.ResponseHead;
  /** Ends normally only when the answer is whole; otherwise throws `answerIncomplete`. */
  body: Body;
}

/** Where a request can be sent: the local upstream, or the node beside another one. */
export abstract class Destination {
  /**
   * Sends a request and waits for the head of the answer.
   * @throws queueFull, draining, notRun: the upstream did not start the request
   * @throws upstreamFailed, peerUnavailable, deadlineExceeded, cancelled
   */
  abstract forward(head: requests.RequestHead, body: Body, signal: AbortSignal): Promise<Answer>;
}

export async function* emptyBody(): Body {
  // Nothing to send.
}

/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Header pairs without those of the connection, from Node's flat list of names and values. */
export function endToEndHeaders(raw: readonly string[]): requests.Header[] {
  const headers: requests.Header[] = [];
  const named = new Set<string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]?.toLowerCase() === 'connection') {
      (raw[i + 1] ?? '').split(',').forEach((name) => named.add(name.trim().toLowerCase()));
    }
  }
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] ?? '';
    const lower = name.toLowerCase();
    if (!HOP_HEADERS.has(lower) && !named.has(lower))
      headers.push({ name, value: raw[i + 1] ?? '' });
  }
  return headers;
}

/** Flat list of names and values, as Node's HTTP functions take it. */
export function flattenHeaders(headers: readonly requests.Header[]): string[] {
  return headers.flatMap(({ name, value }) => [name, value]);
}
