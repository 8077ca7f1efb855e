/** HTTP client to the local upstream, with pooled keep-alive connections. */

import { failures, httpStatus } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import * as exchange from './exchange.js';
import * as httpClient from './httpClient.js';
import * as incomingBody from './incomingBody.js';

export interface UpstreamTarget {
  service: string;
  /** `ip:port` */
  address: string;
  /** Maximum number of connections that the upstream accepts. */
  connections: number;
}

export abstract class UpstreamClient {
  /**
   * Sends one request to the upstream.
   * @param onEnd called once when the response has arrived completely or was cut off; not called
   *   when the promise rejects
   * @throws upstreamFailed, with `started: false` only when no byte of the request was sent
   */
  abstract send(
    target: UpstreamTarget,
    head: requests.RequestHead,
    body: exchange.RequestBody,
    signal: AbortSignal,
    onEnd: () => void,
  ): Promise<exchange.Response>;

  abstract close(): void;
}

/** At most the upstream's connections divided by this are in use at once. */
export const CONNECTION_DIVISOR = 2;
/**
 * Idle connections come on top of the new ones that requests with an idempotency key open; together
 * they stay below the upstream's limit.
 */
const IDLE_CONNECTION_DIVISOR = 4;
/**
 * Below Node's default keep-alive timeout of 5 s, so that this side closes an idle connection
 * first.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 4_000;
const METHODS_WITH_BODY: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH']);
/** Response headers that only the node itself may set; removed from the upstream's response. */
const RESERVED_RESPONSE_HEADERS: ReadonlySet<string> = new Set(['x-godwittrack-outcome']);

/**
 * Client on `node:http`, which costs less per call than an HTTP library, see docs/requestClient.md.
 */
export class NodeHttpUpstreamClient extends UpstreamClient {
  private readonly agents = new httpClient.Agents({ timeout: IDLE_CONNECTION_TIMEOUT_MS });

  private connectionLimit = 0;

  override async send(
    target: UpstreamTarget,
    head: requests.RequestHead,
    body: exchange.RequestBody,
    signal: AbortSignal,
    onEnd: () => void,
  ): Promise<exchange.Response> {
    this.resize(target.connections);
    const startMs = performance.now();
    const portSeparator = target.address.lastIndexOf(':');
    const res = await httpClient.sendRequest({
      options: {
        host: target.address.slice(0, portSeparator),
        port: Number(target.address.slice(portSeparator + 1)),
        method: head.method,
        path: head.path,
        headers: exchange.flattenHeaders(withBodyFraming(head, body)),
        agent: this.agents.agentFor(head.headers),
      },
      service: target.service,
      buffered: body.buffered,
      chunks: body.chunks,
      signal,
    });
    const status = res.statusCode;
    if (!httpStatus.isFinal(status)) {
      res.destroy();
      const detail = `a response with the status ${status}`;
      throw failures.toError({
        type: 'upstreamFailed',
        service: target.service,
        detail,
        started: true,
      });
    }
    const upstreamMs = performance.now() - startMs;
    const { service } = target;
    const createFailure = (detail: string) =>
      failures.toError({ type: 'answerIncomplete', service, detail });
    const headers = exchange
      .endToEndHeaders(res.rawHeaders)
      .filter(({ name }) => !RESERVED_RESPONSE_HEADERS.has(name.toLowerCase()));
    return {
      head: { status, headers, requestId: head.requestId, upstreamMs },
      body: new incomingBody.IncomingBody(res, createFailure, onEnd),
    };
  }

  override close(): void {
    this.agents.close();
  }

  private resize(connections: number): void {
    const limit = Math.max(1, Math.floor(connections / CONNECTION_DIVISOR));
    if (limit === this.connectionLimit) return;
    this.connectionLimit = limit;
    const idle = Math.max(1, Math.floor(connections / IDLE_CONNECTION_DIVISOR));
    this.agents.resize(limit, idle);
  }
}

/**
 * Headers with exactly one framing header for the body. Node sends a GET or DELETE body that has no
 * framing header as bare bytes, which the upstream would read as another request.
 */
function withBodyFraming(
  head: requests.RequestHead,
  body: exchange.RequestBody,
): requests.Header[] {
  const declaredLength = exchange.headerValue(head.headers, 'content-length');
  const headers = head.headers.filter(({ name }) => name.toLowerCase() !== 'content-length');
  if (body.buffered === null) {
    headers.push(
      declaredLength === undefined
        ? { name: 'Transfer-Encoding', value: 'chunked' }
        : { name: 'Content-Length', value: declaredLength },
    );
    return headers;
  }
  const { length } = body.buffered;
  if (length > 0 || declaredLength !== undefined || METHODS_WITH_BODY.has(head.method)) {
    headers.push({ name: 'Content-Length', value: String(length) });
  }
  return headers;
}
