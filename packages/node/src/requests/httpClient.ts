/** HTTP client shared by the upstream client and the forwarding between nodes. */

import * as http from 'node:http';
import { failures, outgoing } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import * as exchange from './exchange.js';

/**
 * Several times the round-trip time between regions; a host that is down does not answer at all.
 */
const CONNECT_TIMEOUT_MS = 500;

/**
 * Connection pools of one client. A request with an idempotency key gets a new connection: a pooled
 * one may have been closed by the other side, which shows only after the request was sent, and then
 * it is unknown whether the request ran. A new connection that fails to open proves that it did
 * not.
 */
export class Agents {
  private readonly pooled: http.Agent;

  private readonly unpooled: http.Agent;

  constructor(options: http.AgentOptions) {
    this.pooled = new http.Agent({ ...options, keepAlive: true });
    this.unpooled = new http.Agent({ ...options, keepAlive: false });
  }

  agentFor(headers: readonly requests.Header[]): http.Agent {
    const hasIdempotencyKey = exchange.headerValue(headers, 'idempotency-key') !== undefined;
    return hasIdempotencyKey ? this.unpooled : this.pooled;
  }

  /** Sets the maximum numbers of connections in use and of idle connections that are kept. */
  resize(maxInUse: number, maxIdle: number): void {
    this.pooled.maxSockets = maxInUse;
    this.pooled.maxFreeSockets = maxIdle;
    this.unpooled.maxSockets = maxInUse;
  }

  close(): void {
    this.pooled.destroy();
    this.unpooled.destroy();
  }
}

export interface OutgoingRequest {
  options: http.RequestOptions;
  service: string;
  /** Sent at once when not null; otherwise `chunks` is written as it arrives. */
  buffered: Uint8Array | null;
  chunks: exchange.Body;
  signal: AbortSignal;
}

/**
 * Sends a request and waits for the response head.
 * @throws upstreamFailed, with `started: false` only when no connection was established for it
 * @throws the failure of the body, or the failure for which the signal was aborted
 */
export async function sendRequest(request: OutgoingRequest): Promise<http.IncomingMessage> {
  const { service, signal } = request;
  exchange.throwAbortFailure(signal);
  let connected = false;
  let bodyFailure: unknown = null;
  const createFailure = (err: Error) => {
    const reason: unknown = signal.reason;
    if (bodyFailure instanceof failures.FailureError) return bodyFailure;
    if (signal.aborted && connected && reason instanceof failures.FailureError) return reason;
    const detail = err.message;
    return failures.toError({ type: 'upstreamFailed', service, detail, started: connected }, err);
  };
  return new Promise((resolve, reject) => {
    let settled = false;
    const fail = (err: Error) => {
      // Errors capture a stack trace; build none for late events of a request that has succeeded.
      if (settled) return;
      settled = true;
      reject(createFailure(err));
    };
    let req: http.ClientRequest;
    try {
      req = http.request(request.options);
    } catch (err) {
      fail(err instanceof Error ? err : new Error(String(err)));
      return;
    }
    const cancel = () => req.destroy(new Error('cancelled'));
    signal.addEventListener('abort', cancel);
    req.on('close', () => {
      signal.removeEventListener('abort', cancel);
      // A request can close without an error event; the promise would then never settle.
      if (!settled) fail(new Error('the connection closed'));
    });
    req.on('error', fail);
    req.on('socket', (socket) => {
      if (!socket.connecting) {
        connected = true;
        return;
      }
      const onConnectTimeout = () => req.destroy(new Error('no connection within the time for it'));
      const timer = setTimeout(onConnectTimeout, CONNECT_TIMEOUT_MS);
      socket.once('close', () => clearTimeout(timer));
      socket.once('connect', () => {
        clearTimeout(timer);
        connected = true;
      });
    });
    req.on('response', (res) => {
      // A response may end before the upload does; nobody reads the rest, so close the connection.
      res.on('end', () => {
        if (!req.writableEnded) req.destroy();
      });
      settled = true;
      resolve(res);
    });
    if (request.buffered !== null) req.end(request.buffered);
    else {
      void writeBody(req, request.chunks, signal).catch((err: unknown) => {
        bodyFailure = err;
        req.destroy(err instanceof Error ? err : new Error(String(err)));
      });
    }
  });
}

async function writeBody(
  req: http.ClientRequest,
  body: exchange.Body,
  signal: AbortSignal,
): Promise<void> {
  for await (const chunk of body) {
    if (req.destroyed) return;
    await outgoing.write(req, chunk, signal);
  }
  req.end();
}
