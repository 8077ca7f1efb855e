/**
 * One connection to the upstream, one request at a time. Answers are matched to requests by the id
 * that the upstream echoes: an answer to another request is skipped, and bytes that belong to no
 * request end the connection.
 */

import * as net from 'node:net';
import * as httpParser from 'http-parser-js';
import type * as byteBudget from '../limits/byteBudget.js';
import type * as exchange from '../routing/exchange.js';
import * as headerCodec from './headerCodec.js';

const { HTTPParser } = httpParser;

/** Longest time to establish a connection to an upstream on the same host. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Part of the announced keep-alive time for which an idle connection is used again. */
const KEEP_ALIVE_PART = 0.7;
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** Answers larger than this are given up, since they are held whole before they are passed on. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
/**
 * Bytes in one exchange that are no part of the answer's body: heads, chunk framing, and one late answer
 * to an earlier request. An upstream that sends more is in trouble and may never stop.
 */
const MAX_STRAY_BYTES = 2 * 1024 * 1024;
/** Framing bytes that are allowed for each byte of a body that comes in chunks of one byte. */
const MAX_FRAMING_PER_BYTE = 8;

/** Empty line that servers ignore ahead of a request (RFC 9112, 2.2). */
const END_PROBE = '\r\n';

export interface RawAnswer {
  status: number;
  /** All headers as received. */
  headers: exchange.FlatHeaders;
  body: Buffer;
}

export type RawOutcome =
  | { type: 'answer'; answer: RawAnswer }
  /** Nothing was written, so the request has not run. */
  | { type: 'unsent'; detail: string }
  | { type: 'broken'; detail: string };

interface Pending {
  requestId: string;
  settle: (outcome: RawOutcome) => void;
}

interface Incoming {
  status: number;
  headers: exchange.FlatHeaders;
  chunks: Buffer[];
  bytes: number;
  /** Reserved for the body. */
  heldBytes: number;
  belongs: boolean;
}

export class UpstreamConnection {
  private readonly socket: net.Socket;

  private readonly parser: httpParser.HTTPParserJS;

  private pending: Pending | null = null;

  private incoming: Incoming | null = null;

  private connected = false;

  private closed = false;

  private keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

  private idleSinceMs = 0;

  private detail = 'connection closed';

  /** Received for the current request, less the body of its answer. */
  private strayBytes = 0;

  constructor(
    host: string,
    port: number,
    private readonly codec: headerCodec.HeaderCodec,
    private readonly onIdleClose: (connection: UpstreamConnection) => void,
    private readonly heldBytes: byteBudget.ByteBudget,
  ) {
    this.socket = net.connect({ host, port, noDelay: true, allowHalfOpen: true });
    this.socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (!this.connected) this.fail('connect timeout');
    });
    this.socket.on('connect', () => {
      this.connected = true;
      this.socket.setTimeout(0);
    });
    this.socket.on('error', (err) => this.fail(err.message));
    this.socket.on('end', () => this.finish());
    this.socket.on('close', () => this.fail('connection closed'));
    this.parser = this.createParser();
    this.socket.on('data', (chunk) => this.read(chunk));
  }

  get reusable(): boolean {
    return (
      !this.closed &&
      this.pending === null &&
      performance.now() - this.idleSinceMs < this.keepAliveMs * KEEP_ALIVE_PART
    );
  }

  get idleMs(): number {
    return performance.now() - this.idleSinceMs;
  }

  send(requestId: string, bytes: Buffer): Promise<RawOutcome> {
    return new Promise((settle) => {
      if (this.closed) {
        settle({ type: 'unsent', detail: this.detail });
        return;
      }
      this.pending = { requestId, settle };
      this.strayBytes = 0;
      this.socket.write(bytes);
    });
  }

  destroy(detail: string): void {
    this.fail(detail);
  }

  private createParser(): httpParser.HTTPParserJS {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      this.begin(info.statusCode, info.headers);
    };
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      this.collect(chunk.subarray(offset, offset + length));
    };
    parser[HTTPParser.kOnMessageComplete] = () => this.complete();
    return parser;
  }

  private read(chunk: Buffer): void {
    if (this.closed) return;
    if (this.pending === null) {
      this.fail('bytes without a request');
      return;
    }
    this.strayBytes += chunk.length;
    const result = this.parser.execute(chunk);
    if (result instanceof Error) this.fail(`unreadable answer: ${result.message}`);
    else if (this.strayBytes > this.strayLimit()) this.fail('bytes without end that are no answer');
  }

  private strayLimit(): number {
    const bodyBytes = this.incoming?.belongs ? this.incoming.bytes : 0;
    return MAX_STRAY_BYTES + bodyBytes * MAX_FRAMING_PER_BYTE;
  }

  private begin(status: number, headers: exchange.FlatHeaders): void {
    if (status < 200) return;
    const { requestId } = this.codec.readAnswer(headers);
    const belongs =
      this.pending !== null && (requestId ?? this.pending.requestId) === this.pending.requestId;
    this.incoming = { status, headers, chunks: [], bytes: 0, heldBytes: 0, belongs };
  }

  private collect(chunk: Buffer): void {
    if (this.incoming === null) return;
    this.incoming.bytes += chunk.length;
    if (this.incoming.bytes > MAX_ANSWER_BYTES) {
      this.fail('answer too large');
      return;
    }
    if (!this.incoming.belongs) return;
    this.strayBytes -= chunk.length;
    if (!this.heldBytes.reserve(chunk.length)) {
      this.fail('no memory left for the answer');
      return;
    }
    this.incoming.heldBytes += chunk.length;
    // The parser hands out views of the chunk that it was given, which nobody else changes.
    this.incoming.chunks.push(chunk);
  }

  private complete(): void {
    const { incoming, pending } = this;
    this.dropIncoming();
    if (incoming === null || !incoming.belongs || pending === null) {
      if (incoming !== null && pending === null) this.fail('an answer without a request');
      return;
    }
    this.pending = null;
    this.idleSinceMs = performance.now();
    const { status, headers, chunks } = incoming;
    this.noteKeepAlive(headers);
    const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    pending.settle({ type: 'answer', answer: { status, headers, body } });
  }

  /** An answer that has come in whole, or is given up, is no longer held here. */
  private dropIncoming(): void {
    if (this.incoming !== null) this.heldBytes.release(this.incoming.heldBytes);
    this.incoming = null;
  }

  private noteKeepAlive(headers: exchange.FlatHeaders): void {
    if (/\bclose\b/i.test(headerCodec.valueOf(headers, 'connection') ?? '')) {
      this.fail('the upstream closes');
      return;
    }
    const seconds = /timeout=(\d+)/.exec(headerCodec.valueOf(headers, 'keep-alive') ?? '')?.[1];
    if (seconds !== undefined) this.keepAliveMs = Number(seconds) * 1_000;
  }

  /**
   * The upstream has ended its side. An answer without length is complete if the connection was
   * closed and not reset. A reset behind the last bytes shows only on the next write.
   */
  private finish(): void {
    if (this.closed) return;
    if (this.incoming === null || !this.incoming.belongs) {
      this.fail('connection ended');
      return;
    }
    this.socket.write(END_PROBE, (err) => {
      if (this.closed) return;
      if (err) this.fail(`answer cut short: ${err.message}`);
      else if (this.parser.finish() instanceof Error) this.fail('answer cut short');
      else this.fail('connection ended');
    });
  }

  private fail(detail: string): void {
    if (this.closed) return;
    this.closed = true;
    this.detail = detail;
    this.socket.destroy();
    this.dropIncoming();
    const { pending } = this;
    this.pending = null;
    if (pending !== null) {
      const unsent = !this.connected;
      if (unsent) pending.settle({ type: 'unsent', detail });
      else pending.settle({ type: 'broken', detail });
    }
    this.onIdleClose(this);
  }
}
