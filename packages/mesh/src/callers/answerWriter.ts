/** Writes answers to callers and announces whether their connections close. */

import type * as http from 'node:http';
import type * as net from 'node:net';
import type { callerConnections } from '@godwittrack/core';
import type * as exchange from '../routing/exchange.js';
import type * as connectionCloser from './connectionCloser.js';
import * as localReply from './localReply.js';

export class AnswerWriter {
  private draining = false;

  /** Connections on which a request was answered. */
  private readonly answered = new WeakSet<net.Socket>();

  constructor(private readonly closer: connectionCloser.ConnectionCloser) {}

  /** From now on, each answer closes its connection. */
  drain(): void {
    this.draining = true;
  }

  /** Whether a request was answered on the connection. */
  hasAnswered(socket: net.Socket): boolean {
    return this.answered.has(socket);
  }

  write(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    outcome: exchange.Outcome | localReply.LocalReply,
    pipelineEntry: callerConnections.TrackedRequest,
  ): void {
    if (outcome.type === 'localReply') {
      this.writeLocalReply(req, res, outcome, pipelineEntry);
    } else if (outcome.type === 'answer') {
      const { status, headers, body } = outcome;
      const connectionHeaders = this.prepareConnection(req, res, pipelineEntry);
      res.sendDate = false;
      res.writeHead(status, [
        ...headers,
        'Content-Length',
        String(body.length),
        ...connectionHeaders,
      ]);
      res.end(body);
    } else if (outcome.type === 'refused') {
      const { reason, retryAfterMs } = outcome;
      const reply = localReply.createReply(503, `not run: ${reason}`, retryAfterMs);
      this.writeLocalReply(req, res, reply, pipelineEntry);
    } else {
      this.writeLocalReply(req, res, localReply.createReply(502, outcome.detail), pipelineEntry);
    }
  }

  writeLocalReply(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    reply: localReply.LocalReply,
    pipelineEntry: callerConnections.TrackedRequest,
  ): void {
    const { status, message, retryAfterMs } = reply;
    const connectionHeaders = this.prepareConnection(req, res, pipelineEntry);
    const headers = [
      'Content-Type',
      'text/plain',
      'Content-Length',
      String(Buffer.byteLength(message)),
    ];
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(3));
    res.writeHead(status, [...headers, ...connectionHeaders]);
    res.end(message);
  }

  /** @returns the headers that announce whether the connection closes after this answer */
  private prepareConnection(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    { isLast }: callerConnections.TrackedRequest,
  ): string[] {
    const { socket } = req;
    // The unread rest of a body would be parsed as the next request.
    if (!req.complete) res.shouldKeepAlive = false;
    if (this.draining || !req.complete) this.closer.markClosing(socket);
    this.answered.add(socket);
    return this.closer.isClosing(socket) && isLast ? ['Connection', 'close'] : [];
  }
}
