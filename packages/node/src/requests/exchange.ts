/** Requests and responses as they pass between the parts of a node. */

import type { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';

export type Body = AsyncIterable<Uint8Array>;

export interface RequestBody {
  /** The complete body when it is in memory; `chunks` then yields the same bytes. */
  readonly buffered: Uint8Array | null;
  readonly chunks: Body;
}

export interface Response {
  head: requests.ResponseHead;
  /**
   * Ends normally only when the response is complete; otherwise throws `answerIncomplete`. Its
   * owner must read it to the end or pass it to `discard`.
   */
  body: Body;
}

/** Where a request can be sent: the local upstream, or the node that serves another one. */
export abstract class Destination {
  /**
   * Sends a request and waits for the response head. When `signal` is aborted with a
   * `FailureError` as its reason, that failure is thrown.
   * @throws queueFull, draining, noUpstream, notRun: the upstream did not start the request
   * @throws upstreamFailed, answerIncomplete, protocolViolation, deadlineExceeded, bodyTooLarge
   */
  abstract forward(
    head: requests.RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<Response>;
}

const NO_BYTES = new Uint8Array(0);

/** Request body that is completely in memory. */
export function bufferedBody(bytes: Uint8Array = NO_BYTES): RequestBody {
  return { buffered: bytes, chunks: bodyOf(bytes) };
}

export async function* bodyOf(bytes: Uint8Array): Body {
  if (bytes.length > 0) yield bytes;
}

/** Releases a body that is not read to its end, whether or not reading has begun. */
export async function discard(body: Body): Promise<void> {
  await body[Symbol.asyncIterator]().return?.();
}

/**
 * Wraps a body so that `onEnd` is called once when it ends, fails or is discarded. Not written as a
 * generator, whose `finally` is skipped when the body is discarded before the first read.
 */
export function notifyOnEnd(body: Body, onEnd: (err: unknown) => void): Body {
  const inner = body[Symbol.asyncIterator]();
  let settled = false;
  const finish = (err: unknown) => {
    if (settled) return;
    settled = true;
    onEnd(err);
  };
  const iterator: AsyncIterableIterator<Uint8Array> = {
    [Symbol.asyncIterator]: () => iterator,
    async next() {
      try {
        const result = await inner.next();
        if (result.done) finish(null);
        return result;
      } catch (err) {
        finish(err);
        throw err;
      }
    },
    async return() {
      await inner.return?.();
      finish(null);
      return { done: true, value: undefined };
    },
  };
  return iterator;
}

/** Throws the abort reason of the signal if it is aborted with a failure. */
export function throwAbortFailure(signal: AbortSignal): void {
  const reason: unknown = signal.reason;
  if (signal.aborted && isFailureError(reason)) throw reason;
}

function isFailureError(value: unknown): value is failures.FailureError {
  return value instanceof Error && 'failure' in value;
}

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Forwarded even if `Connection` lists them: without them the request means something else. */
const ALWAYS_FORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'host',
  'content-length',
  'idempotency-key',
]);

/** Converts Node's flat list of names and values, and drops headers of the connection. */
export function endToEndHeaders(raw: readonly string[]): requests.Header[] {
  const headers: requests.Header[] = [];
  const listedInConnection = new Set<string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]?.toLowerCase() === 'connection') {
      (raw[i + 1] ?? '')
        .split(',')
        .forEach((name) => listedInConnection.add(name.trim().toLowerCase()));
    }
  }
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] ?? '';
    const lower = name.toLowerCase();
    const dropped =
      HOP_BY_HOP_HEADERS.has(lower) ||
      (listedInConnection.has(lower) && !ALWAYS_FORWARDED_HEADERS.has(lower));
    if (!dropped) headers.push({ name, value: raw[i + 1] ?? '' });
  }
  return headers;
}

/** Flat list of names and values, as Node's HTTP functions take it. */
export function flattenHeaders(headers: readonly requests.Header[]): string[] {
  const flat: string[] = [];
  for (const { name, value } of headers) flat.push(name, value);
  return flat;
}

/** Value of the first header of this lower-case name. */
export function headerValue(headers: readonly requests.Header[], name: string): string | undefined {
  return headers.find((header) => header.name.toLowerCase() === name)?.value;
}
