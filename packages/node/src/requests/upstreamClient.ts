/** HTTP client to the local upstream, with pooled keep-alive connections. */

import * as http from 'node:http';
import { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import * as exchange from './exchange.js';

export interface UpstreamTarget {
  service: string;
  /** `ip:port` */
  address: string;
  /** Most connections that the upstream takes. */
  connections: number;
}

export abstract class UpstreamClient {
  /**
   * Sends one request to the upstream.
   * @throws upstreamFailed, with `started: false` only when no byte of the request was taken
   */
  abstract send(
    target: UpstreamTarget,
    head: requests.RequestHead,
    body: exchange.Body,
    signal: AbortSignal,
  ): Promise<exchange.Answer>;

  abstract close(): void;
}

/** Share of the upstream's connections that this node may use, as a divisor. */
const CONNECTION_DIVISOR = 2;
const CONNECTION_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Client on `node:http`: leaner per call than an HTTP library, see docs/requestClient.md. */
export class NodeHttpUpstreamClient extends UpstreamClient {
  private agent = new http.Agent({ keepAlive: true });

  private agentSockets = 0;

  override async send(
    target: UpstreamTarget,
    head: requests.RequestHead,
    body: exchange.Body,
    signal: AbortSignal,
  ): Promise<exchange.Answer> {
    this.resize(target.connections);
    const startMs = performance.now();
    const res = await this.request(target, head, body, signal);
    const upstreamMs = performance.now() - startMs;
    return {
      head: {
        status: res.statusCode ?? 502,
        headers: exchange.endToEndHeaders(res.rawHeaders),
        requestId: head.requestId,
        upstreamMs,
      },
      body: readWhole(res, target.service),
    };
  }

  override close(): void {
    this.agent.destroy();
  }

  private resize(connections: number): void {
    const wanted = Math.max(1, Math.floor(connections / CONNECTION_DIVISOR));
    if (wanted === this.agentSockets) return;
    this.agentSockets = wanted;
    this.agent.maxSockets = wanted;
    this.agent.maxFreeSockets = wanted;
  }

  private async request(
    target: UpstreamTarget,
    head: requests.RequestHead,
    body: exchange.Body,
    signal: AbortSignal,
  ): Promise<http.IncomingMessage> {
    const at = target.address.lastIndexOf(':');
    const req = http.request({
      host: target.address.slice(0, at),
      port: Number(target.address.slice(at + 1)),
      method: head.method,
      path: head.path,
      headers: exchange.flattenHeaders(head.headers),
      agent: this.agent,
      signal,
    });
    const answered = new Promise<http.IncomingMessage>((resolve, reject) => {
      req.on('response', resolve);
      req.on('error', (err: NodeJS.ErrnoException) => {
        const started = !CONNECTION_ERRORS.has(err.code ?? '');
        const { service } = target;
        const detail = err.message;
        reject(failures.raise({ type: 'upstreamFailed', service, detail, started }, err));
      });
    });
    await Promise.race([answered, writeBody(req, body)]);
    return answered;
  }
}

async function writeBody(req: http.ClientRequest, body: exchange.Body): Promise<void> {
  try {
    for await (const chunk of body) {
      if (req.destroyed) return;
      if (!req.write(chunk)) {
        await new Promise<void>((resolve) => {
          req.once('drain', resolve);
          req.once('close', resolve);
        });
      }
    }
    req.end();
  } catch (err) {
    req.destroy(err instanceof Error ? err : undefined);
  }
}

async function* readWhole(res: http.IncomingMessage, service: string): exchange.Body {
  try {
    for await (const chunk of res) yield chunk as Uint8Array;
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    throw failures.raise({ type: 'answerIncomplete', service, detail }, err);
  }
  if (!res.complete) {
    const detail = 'the upstream closed the connection before the end';
    throw failures.raise({ type: 'answerIncomplete', service, detail });
  }
}
