/**
 * HTTP/1.1 connection to the upstream that carries one request at a time. Answers are matched to
 * requests by the request id that the upstream echoes: an answer to another request is skipped, and
 * data that belongs to no request closes the connection.
 */

import * as net from 'node:net';
import { byteCollector } from '@godwittrack/core';
import type * as byteBudget from '../limits/byteBudget.js';
import type * as exchange from '../routing/exchange.js';
import * as answerReader from './answerReader.js';
import * as headerCodec from './headerCodec.js';

/** Connect timeout; the upstream is on the same host. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Share of the announced keep-alive time for which an idle connection is reused. */
const KEEP_ALIVE_SHARE = 0.7;
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** Larger answers are aborted, since an answer is buffered as a whole before it is passed on. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
/**
 * Limit of the bytes received for one request apart from the body of its answer: headers, chunk
 * framing, and one late answer to an earlier request. An upstream that exceeds it is faulty and may
 * send without end.
 */
const MAX_NON_BODY_BYTES = 2 * 1024 * 1024;
/** Chunk framing allowed per byte of the body; a body may come in chunks of one byte. */
const MAX_FRAMING_PER_BYTE = 8;

/** Written to detect a reset; servers ignore empty lines before a request (RFC 9112, 2.2). */
const RESET_PROBE = '\r\n';

export interface RawAnswer {
  status: number;
  /** All headers as received. */
  headers: exchange.FlatHeaders;
  body: Buffer;
}

/** Nothing was written to the upstream, so the request has not been run. */
export interface Unsent {
  type: 'unsent';
  detail: string;
  closedBy: ClosedBy;
}

export type RawOutcome =
  | { type: 'answer'; answer: RawAnswer }
  | Unsent
  /** The connection closed before the answer was complete; the request may have been run. */
  | { type: 'broken'; detail: string; closedBy: ClosedBy };

export type ClosedBy = 'node' | 'upstream';

/** Result of opening a connection. */
export type OpenResult = 'open' | 'refused' | 'failed';

interface PendingRequest {
  requestId: string;
  settle: (outcome: RawOutcome) => void;
}

interface IncomingAnswer {
  head: answerReader.AnswerHead;
  body: byteCollector.ByteCollector;
  /** Received bytes of the body; not collected if the answer is skipped. */
  bytes: number;
  /** False for an answer to an earlier request, which is skipped. */
  isForPending: boolean;
}

export class UpstreamConnection {
  /** Settles when the connection is open or cannot be opened. */
  readonly opened: Promise<OpenResult>;

  private settleOpened: (result: OpenResult) => void = () => {};

  private readonly socket: net.Socket;

  private readonly reader: answerReader.AnswerReader;

  private pending: PendingRequest | null = null;

  private incoming: IncomingAnswer | null = null;

  private connected = false;

  private closed = false;

  private keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

  private idleSinceMs = performance.now();

  private closeDetail = 'connection closed';

  private closedBy: ClosedBy = 'node';

  /** Bytes received for the pending request, without the body of its answer. */
  private nonBodyBytes = 0;

  constructor(
    host: string,
    port: number,
    private readonly codec: headerCodec.HeaderCodec,
    private readonly onClose: (connection: UpstreamConnection) => void,
    private readonly bodyBudget: byteBudget.ByteBudget,
  ) {
    this.opened = new Promise((resolve) => {
      this.settleOpened = resolve;
    });
    this.socket = net.connect({ host, port, noDelay: true, allowHalfOpen: true });
    this.socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (!this.connected) this.close('connect timeout', 'upstream');
    });
    this.socket.on('connect', () => {
      this.connected = true;
      this.socket.setTimeout(0);
      this.settleOpened('open');
    });
    this.socket.on('error', (err: NodeJS.ErrnoException) => {
      this.settleOpened(err.code === 'ECONNREFUSED' ? 'refused' : 'failed');
      this.close(err.message, 'upstream');
    });
    this.socket.on('end', () => this.handleEnd());
    this.socket.on('close', () => this.close('connection closed', 'upstream'));
    this.reader = new answerReader.AnswerReader({
      onHead: (head) => this.startAnswer(head),
      onBody: (chunk, start, end) => this.appendBody(chunk, start, end),
      onComplete: (surplusBytes) => this.completeAnswer(surplusBytes),
    });
    this.socket.on('data', (chunk) => this.read(chunk));
  }

  get reusable(): boolean {
    return (
      !this.closed &&
      this.pending === null &&
      performance.now() - this.idleSinceMs < this.keepAliveMs * KEEP_ALIVE_SHARE
    );
  }

  get idleMs(): number {
    return performance.now() - this.idleSinceMs;
  }

  send(requestId: string, bytes: Buffer, method = 'GET'): Promise<RawOutcome> {
    return new Promise((settle) => {
      if (this.closed) {
        settle({ type: 'unsent', detail: this.closeDetail, closedBy: this.closedBy });
        return;
      }
      this.pending = { requestId, settle };
      this.reader.expectAnswerTo(method);
      this.nonBodyBytes = 0;
      this.socket.write(bytes);
    });
  }

  destroy(detail: string): void {
    this.close(detail);
  }

  private read(chunk: Buffer): void {
    if (this.closed) return;
    if (this.pending === null) {
      this.close('bytes without a request');
      return;
    }
    this.nonBodyBytes += chunk.length;
    const problem = this.reader.read(chunk);
    if (problem !== null) this.close(`unreadable answer: ${problem}`);
    else if (this.nonBodyBytes > this.nonBodyLimit())
      this.close('bytes without end that are no answer');
  }

  private nonBodyLimit(): number {
    const bodyBytes = this.incoming?.isForPending ? this.incoming.bytes : 0;
    return MAX_NON_BODY_BYTES + bodyBytes * MAX_FRAMING_PER_BYTE;
  }

  private startAnswer(head: answerReader.AnswerHead): void {
    if ((head.bodyBytes ?? 0) > MAX_ANSWER_BYTES) {
      this.close('answer too large');
      return;
    }
    const { requestId } = this.codec.readAnswer(head.headers);
    const isForPending =
      this.pending !== null && (requestId ?? this.pending.requestId) === this.pending.requestId;
    this.incoming = { head, body: new byteCollector.ByteCollector(), bytes: 0, isForPending };
  }

  private appendBody(chunk: Buffer, start: number, end: number): void {
    if (this.incoming === null) return;
    const bytes = end - start;
    this.incoming.bytes += bytes;
    if (this.incoming.bytes > MAX_ANSWER_BYTES) {
      this.close('answer too large');
      return;
    }
    if (!this.incoming.isForPending) return;
    this.nonBodyBytes -= bytes;
    if (this.bodyBudget.reserve(bytes)) this.incoming.body.append(chunk, start, end);
    else this.close('no memory left for the answer');
  }

  private completeAnswer(surplusBytes: number): void {
    const { incoming, pending } = this;
    this.releaseIncoming();
    if (incoming === null || !incoming.isForPending || pending === null) return;
    this.pending = null;
    this.idleSinceMs = performance.now();
    const { head, body } = incoming;
    const { status, headers } = head;
    if (surplusBytes > 0) this.close('bytes behind an answer');
    else if (!head.isPersistent) this.close('the upstream closes');
    else this.applyKeepAlive(headers);
    pending.settle({ type: 'answer', answer: { status, headers, body: body.take() } });
  }

  /** Discards the answer that is being received and returns its bytes to the body budget. */
  private releaseIncoming(): void {
    if (this.incoming !== null) this.bodyBudget.release(this.incoming.body.length);
    this.incoming = null;
  }

  private applyKeepAlive(headers: exchange.FlatHeaders): void {
    if (/\bclose\b/i.test(headerCodec.headerValue(headers, 'connection') ?? '')) {
      this.close('the upstream closes');
      return;
    }
    const seconds = /timeout=(\d+)/.exec(headerCodec.headerValue(headers, 'keep-alive') ?? '')?.[1];
    if (seconds !== undefined) this.keepAliveMs = Number(seconds) * 1_000;
  }

  /**
   * Handles the end of the upstream's side. An answer without a length is complete if the
   * connection was closed, but not if it was reset. A reset after the last bytes is reported only
   * by the next write.
   */
  private handleEnd(): void {
    if (this.closed) return;
    if (this.incoming === null || !this.incoming.isForPending) {
      this.close('connection ended', 'upstream');
      return;
    }
    this.socket.write(RESET_PROBE, (err) => {
      if (this.closed) return;
      if (err) this.close(`answer cut short: ${err.message}`, 'upstream');
      else if (!this.reader.finish()) this.close('answer cut short', 'upstream');
      else this.close('connection ended', 'upstream');
    });
  }

  private close(detail: string, closedBy: ClosedBy = 'node'): void {
    if (this.closed) return;
    this.closed = true;
    this.settleOpened('failed');
    this.closeDetail = detail;
    this.closedBy = closedBy;
    this.socket.destroy();
    this.reader.stop();
    this.releaseIncoming();
    const { pending } = this;
    this.pending = null;
    if (pending !== null) {
      const unsent = !this.connected;
      if (unsent) pending.settle({ type: 'unsent', detail, closedBy });
      else pending.settle({ type: 'broken', detail, closedBy });
    }
    this.onClose(this);
  }
}
